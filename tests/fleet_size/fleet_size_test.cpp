// Short days of one director process in front of 3,200 nodes on loopback, held against the same day in front
// of 200. Processor time and memory are left to the experiment's own bounds: on busy cores and with
// sanitizers they say nothing.
#include <doctest/doctest.h>

#include <chrono>
#include <map>
#include <sstream>
#include <string>
#include <thread>

#include "rig/process.hpp"

using hareramp::rig::Process;

namespace {

std::map<std::string, std::string> verdicts(const std::string& printed) {
  std::map<std::string, std::string> all;
  std::istringstream lines(printed);
  std::string verdict, name;
  for (std::string line; std::getline(lines, line);) {
    std::istringstream words(line);
    words >> verdict >> name;
    if (verdict == "PASS" || verdict == "FAIL") all[name] = verdict;
  }
  return all;
}

}  // namespace

TEST_CASE("connections, descriptors, list bytes and share served hold in front of 16 times the nodes") {
  Process experiment(HARERAMP_FLEET_SIZE, {"--program", HARERAMP_BINARY, "--seconds", "10"});
  const auto most = std::chrono::steady_clock::now() + std::chrono::seconds(120);
  while (!experiment.ended() && std::chrono::steady_clock::now() < most)
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  REQUIRE(experiment.ended());
  const std::string printed = experiment.printed();
  INFO(printed);
  const auto found = verdicts(printed);
  for (const std::string fleet : {"more_directors", "smaller_nodes"})
    for (const std::string need : {".connections", ".descriptors", ".list_kb", ".share_served"}) {
      REQUIRE(found.contains(fleet + need));
      CHECK_MESSAGE(found.at(fleet + need) == "PASS", fleet << need);
    }
}
