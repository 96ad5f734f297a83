// The figures of docs/CAPACITY.md, computed from the committed tables: lines fitted to what was measured, put
// at the size to design for and held against its budgets. The page holds them in blocks that are made anew
// from here.
#pragma once

#include <map>
#include <string>

namespace hareramp::capacity {

// The blocks by name, in Markdown. results: the folder with the tables. Throws std::runtime_error naming the
// table or column that is missing.
std::map<std::string, std::string> report_blocks(const std::string& results);

// The page with each block between "<!-- block NAME -->" and "<!-- end -->" replaced. Throws
// std::runtime_error naming a block that the page has and the report does not, or the other way round.
std::string fill_page(const std::string& page, const std::map<std::string, std::string>& blocks);

}  // namespace hareramp::capacity
