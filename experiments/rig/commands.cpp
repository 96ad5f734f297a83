#include "rig/commands.hpp"

#include <charconv>

namespace hareramp::rig {

std::optional<Command> next_command(transport::Buffer& input) {
  for (;;) {
    const auto end = input.view().find("\r\n");
    if (end == std::string_view::npos) return {};
    const std::string line(input.view().substr(0, end));
    if (line.starts_with("serve ")) {
      const auto id_end = line.find(' ', 6), fields_end = line.rfind(' ');
      std::size_t length = 0;
      std::from_chars(line.data() + fields_end + 1, line.data() + line.size(), length);
      if (input.size() < end + 2 + length + 2) return {};
      input.consume(end + 2 + length + 2);
      return Command{"serve", line.substr(6, id_end - 6), line.substr(id_end + 1, fields_end - id_end - 1)};
    }
    input.consume(end + 2);
    if (line.starts_with("cancel ")) return Command{"cancel", line.substr(7), ""};
  }
}

std::string field(const std::string& fields, const std::string& name) {
  const std::string delimited = "," + fields + ",";
  const auto position = delimited.find("," + name + "=");
  if (position == std::string::npos) return "";
  const auto value_begin = position + name.size() + 2;
  return delimited.substr(value_begin, delimited.find(',', value_begin) - value_begin);
}

}  // namespace hareramp::rig
