// The settings in the form that the Director takes: a map of names to values. The simulator's wire format has
// them flat, the configuration as nested JSON; both are converted here, so that the results are the same.
#pragma once

#include <string>
#include <string_view>

#include "policy.hpp"
#include "protocol/json.hpp"

namespace hareramp::protocol {

// Sets one value under its full name, such as Contract.ColdS. Spaces, tabs and line ends in the value become
// _.
void put_setting(Settings& settings, std::string_view name, std::string_view value);

// Sets nested values. The names of nested members are joined by dots. An array of plain values becomes one
// value, joined by commas; an array of objects becomes its length under .count and its items under .0, .1 and
// so on.
void flatten_settings(Settings& settings, const Json& value, const std::string& name = "");

}  // namespace hareramp::protocol
