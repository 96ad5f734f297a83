// A table of measurements, stored as comma-separated values: the first line holds the command that produced
// it, the second the column names, and each further line one row.
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
  // Throws std::runtime_error with the path if the file can't be read or a row has more or fewer values than
  // the header has columns.
  static Table load(const std::string& path);
  void save(std::ostream& output) const;

  // Appends a row. Throws std::runtime_error unless it has one value per column.
  void add(const std::vector<double>& row);
  const std::string& command() const { return command_; }
  const std::vector<std::vector<double>>& rows() const { return rows_; }
  // Index of a column. Throws std::runtime_error with the name if the column does not exist.
  std::size_t column(const std::string& name) const;
  // The values of two columns, for the rows in which each column named in `where` has the given value.
  std::vector<std::pair<double, double>> points(const std::string& x, const std::string& y,
                                                const std::map<std::string, double>& where = {}) const;

 private:
  std::string command_;
  std::vector<std::string> columns_;
  std::vector<std::vector<double>> rows_;
};

}  // namespace hareramp::capacity
