// Short runs of one director process in front of 3,200 nodes on loopback, compared with the same run in front
// of 200 nodes. Processor time and memory are checked only by the experiment: on busy cores and with
// sanitizers they are meaningless.
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
  std::map<std::string, std::string> verdict_of;
  std::istringstream lines(printed);
  std::string verdict, name;
  for (std::string line; std::getline(lines, line);) {
    std::istringstream fields(line);
    fields >> verdict >> name;
    if (verdict == "PASS" || verdict == "FAIL") verdict_of[name] = verdict;
  }
  return verdict_of;
}

}  // namespace

TEST_CASE("connections, descriptors, list bytes and share served stay in bounds with 16 times the nodes") {
  Process experiment(HARERAMP_FLEET_SIZE, {"--program", HARERAMP_BINARY, "--seconds", "10"});
  const auto give_up_at = std::chrono::steady_clock::now() + std::chrono::seconds(120);
  while (!experiment.ended() && std::chrono::steady_clock::now() < give_up_at)
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  REQUIRE(experiment.ended());
  const std::string printed = experiment.printed();
  INFO(printed);
  const auto verdict_of = verdicts(printed);
  for (const std::string fleet : {"more_directors", "smaller_nodes"})
    for (const std::string measure : {".connections", ".descriptors", ".list_kb", ".share_served"}) {
      REQUIRE(verdict_of.contains(fleet + measure));
      CHECK_MESSAGE(verdict_of.at(fleet + measure) == "PASS", fleet << measure);
    }
}
