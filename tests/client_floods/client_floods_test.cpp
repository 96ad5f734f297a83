// Floods of clients against a director process with the least memory that the operators' pages name.
#include <doctest/doctest.h>

#include "client_floods/run.hpp"

using namespace hareramp::client_floods;

namespace {

RunPlan flood_plan(std::vector<FloodKind> floods, int connections_per_flood, double seconds = 4) {
  RunPlan plan;
  plan.program = HARERAMP_BINARY;
  plan.floods = std::move(floods);
  plan.connections_per_flood = connections_per_flood;
  plan.seconds = seconds;
  plan.node_delay = 0.02;
  return plan;
}

void check(const RunPlan& plan) {
  CAPTURE(describe(plan));
  const RunResult result = play(plan);
  for (const Finding& finding : result.findings)
    CHECK_MESSAGE(finding.holds(), finding.name << " " << finding.value << ", most " << finding.most);
}

}  // namespace

// Drawn plays (experiments/client_floods); the long run is started by hand with client_floods_experiment
// --seeds.
TEST_CASE("drawn floods under drawn limits: no crash, no lost request, nothing that runs twice") {
  for (const std::uint64_t seed : {16, 42, 58}) {
    RunPlan plan = draw_plan(HARERAMP_BINARY, seed);
    plan.seconds = 4;
    check(plan);
  }
}

TEST_CASE("half sent requests of hundreds of clients do not take the director past its memory limit") {
  check(flood_plan({FloodKind::kHalfBodies, FloodKind::kChunkedBodies, FloodKind::kLongFields}, 150));
}

TEST_CASE("writes of hundreds of clients at once do not take the director past its memory limit") {
  check(flood_plan({FloodKind::kWholeWrites}, 300));
}

TEST_CASE("answers that clients leave unread do not take the director past its memory limit") {
  check(flood_plan({FloodKind::kSlowReaders}, 300));
}

TEST_CASE("reads under ever new names on one connection do not take the director past its memory limit") {
  check(flood_plan({FloodKind::kNewNames}, 1, 8));
}

TEST_CASE("requests that nodes answer with an error do not take the director past its memory limit") {
  check(flood_plan({FloodKind::kFailingNames}, 1, 10));
}

TEST_CASE("a client that is refused and sends on at full speed does not hold up the other clients") {
  check(flood_plan({FloodKind::kEndlessNonsense, FloodKind::kChunkExtensions, FloodKind::kSmallRequests}, 1));
}

TEST_CASE("what a client sent before it left does not run twice when an id comes again") {
  check(flood_plan({FloodKind::kLeavers}, 1, 6));
}
