// Compares a trace with the one kept in tests/traces/NAME.txt. With HARERAMP_KEEP set, the trace is written
// to that file instead, for a person to review.
#pragma once

#include <doctest/doctest.h>

#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>

namespace hareramp {

inline void check_trace(const std::string& name, const std::string& trace) {
  const std::string path = std::string(HARERAMP_TRACES) + "/" + name + ".txt";
  if (std::getenv("HARERAMP_KEEP")) std::ofstream(path) << trace;
  std::ifstream file(path);
  REQUIRE_MESSAGE(file.good(), "no kept trace " << path);
  std::stringstream kept;
  kept << file.rdbuf();
  CHECK_MESSAGE(kept.str() == trace, name << ": decided\n" << trace << "kept\n" << kept.str());
}

}  // namespace hareramp
