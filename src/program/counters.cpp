#include <fmt/format.h>

#include <iterator>

#include "program/serve.hpp"

namespace hareramp::program {

std::string counters_line(const Counters& counters) {
  std::string line = "counters";
#define HARERAMP_COUNT(name, description) \
  fmt::format_to(std::back_inserter(line), " " #name "={}", counters.name);
  HARERAMP_COUNTERS(HARERAMP_COUNT)
#undef HARERAMP_COUNT
  return line;
}

}  // namespace hareramp::program
