#include "protocol/settings.hpp"

#include <algorithm>

namespace hareramp::protocol {

namespace {
std::string without(std::string_view text, std::string_view marks) {
  std::string clean(text);
  for (char& c : clean)
    if (marks.find(c) != std::string_view::npos) c = '_';
  return clean;
}
}  // namespace

void put_setting(Settings& settings, std::string_view name, std::string_view value) {
  settings[std::string(name)] = without(value, " \t\r\n");
}

void flatten_settings(Settings& settings, const Json& value, const std::string& name) {
  const std::string stem = name.empty() ? "" : name + ".";
  if (value.is_object()) {
    for (const auto& [key, member] : value.members()) flatten_settings(settings, member, stem + key);
  } else if (value.is_array()) {
    const auto& items = value.items();
    if (std::any_of(items.begin(), items.end(), [](const Json& item) { return item.is_object(); })) {
      put_setting(settings, stem + "count", std::to_string(items.size()));
      for (std::size_t i = 0; i < items.size(); ++i)
        flatten_settings(settings, items[i], stem + std::to_string(i));
      return;
    }
    std::string joined;
    for (const Json& item : items) joined += (&item == &items.front() ? "" : ",") + without(item.text(), ",");
    put_setting(settings, name, joined);
  } else if (value.kind() == Json::Kind::kString) {
    put_setting(settings, name, without(value.text(), ","));
  } else {
    put_setting(settings, name, value.text());
  }
}

}  // namespace hareramp::protocol
