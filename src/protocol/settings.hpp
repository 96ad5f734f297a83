// The settings as the module is given them: a plain map of names to values. The bench's wire hands them over
// flat and the configuration as nested JSON; both pass here, so that they come out alike.
#pragma once

#include <string>
#include <string_view>

#include "policy.hpp"
#include "protocol/json.hpp"

namespace hareramp::protocol {

// One value under its full name, such as Contract.ColdS. Spaces and line ends in a value become _.
void put_setting(Settings& settings, std::string_view name, std::string_view value);

// Nested values: members joined by a point; a list of plain values as one value, joined by commas; a list of
// objects as its length under .count and its items under .0, .1 and so on.
void flatten_settings(Settings& settings, const Json& value, const std::string& name = "");

}  // namespace hareramp::protocol
