#include "capacity/table.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <ostream>
#include <sstream>
#include <stdexcept>

namespace hareramp::capacity {

namespace {
const std::string kCommandPrefix = "# ";
}

Table::Table(std::string command, std::vector<std::string> columns)
    : command_(std::move(command)), columns_(std::move(columns)) {}

Table Table::load(const std::string& path) {
  std::ifstream file(path);
  std::string command, header;
  if (!std::getline(file, command) || !std::getline(file, header) || !command.starts_with(kCommandPrefix))
    throw std::runtime_error(path + ": not a table: command line or column names missing");
  const auto split = [](const std::string& line) {
    std::vector<std::string> cells;
    std::istringstream stream(line);
    for (std::string cell; std::getline(stream, cell, ',');) cells.push_back(cell);
    return cells;
  };
  Table table(command.substr(kCommandPrefix.size()), split(header));
  for (std::string line; std::getline(file, line);) {
    std::vector<double> row;
    for (const std::string& cell : split(line)) row.push_back(std::stod(cell));
    if (row.size() != table.columns_.size())
      throw std::runtime_error(
          fmt::format("{}: row has {} values, expected {}", path, row.size(), table.columns_.size()));
    table.rows_.push_back(row);
  }
  return table;
}

void Table::save(std::ostream& output) const {
  output << kCommandPrefix << command_ << "\n" << fmt::format("{}\n", fmt::join(columns_, ","));
  for (const auto& row : rows_) output << fmt::format("{:.6g}\n", fmt::join(row, ","));
}

void Table::add(const std::vector<double>& row) {
  if (row.size() != columns_.size()) throw std::runtime_error("row width differs from the number of columns");
  rows_.push_back(row);
}

std::size_t Table::column(const std::string& name) const {
  const auto found = std::find(columns_.begin(), columns_.end(), name);
  if (found == columns_.end()) throw std::runtime_error("unknown column '" + name + "'");
  return static_cast<std::size_t>(found - columns_.begin());
}

std::vector<std::pair<double, double>> Table::points(const std::string& x, const std::string& y,
                                                     const std::map<std::string, double>& where) const {
  std::vector<std::pair<double, double>> found;
  for (const auto& row : rows_) {
    const bool wanted = std::all_of(where.begin(), where.end(), [&](const auto& condition) {
      return row[column(condition.first)] == condition.second;
    });
    if (wanted) found.emplace_back(row[column(x)], row[column(y)]);
  }
  return found;
}

}  // namespace hareramp::capacity
