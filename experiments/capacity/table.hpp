// Measured rows as comma-separated values: a first line with the command that made them, a line of column
// names, a line a row.
#pragma once

#include <iosfwd>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace hareramp::capacity {

class Table {
 public:
  Table(std::string command, std::vector<std::string> columns);
  // Throws std::runtime_error naming the file where it can't be read, or where a row is not as wide as the
  // head.
  static Table load(const std::string& path);
  void save(std::ostream& to) const;

  // As many values as there are columns.
  void add(const std::vector<double>& row);
  const std::string& command() const { return command_; }
  const std::vector<std::vector<double>>& rows() const { return rows_; }
  // Throws std::runtime_error naming the column where there is none of that name.
  std::size_t column(const std::string& name) const;
  // Two columns of the rows in which every other named column has the value given.
  std::vector<std::pair<double, double>> points(const std::string& x, const std::string& y,
                                                const std::map<std::string, double>& where = {}) const;

 private:
  std::string command_;
  std::vector<std::string> columns_;
  std::vector<std::vector<double>> rows_;
};

}  // namespace hareramp::capacity
