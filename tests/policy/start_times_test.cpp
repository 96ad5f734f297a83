// Which moment counts as a node's start, on a given clock.
#include "policy/start_times.hpp"

#include <doctest/doctest.h>

using namespace hareramp;
using namespace hareramp::policy;

namespace {
constexpr Seconds kNow = 1'800'000'000;
constexpr Seconds kHour = 3600;
const NodeId kNode{"c1"};
const NodeId kOther{"c2"};
}  // namespace

TEST_CASE("the list at the start: stamps count, one in the future counts as now, none stays none") {
  for (const ListSource source : {ListSource::kKnownBeforeStart, ListSource::kChangeStream}) {
    StartTimes times;
    times.list_starts(source, true);
    CHECK(times.started(kNow, kNode, kNow - 30) == kNow - 30);
    CHECK(times.started(kNow, kOther, kNow + kHour) == kNow);
    CHECK(times.started(kNow, {"c3"}, 0) == 0);
  }
  StartTimes times;
  times.list_starts(ListSource::kKnownBeforeStart, true);
  CHECK(times.started(kNow, kNode, kNow - 30) == kNow - 30);
  times.list_starts(ListSource::kKnownBeforeStart, false);  // a change that was known as well
  CHECK(times.started(kNow, kNode, kNow - 20) == kNow - 20);
}

TEST_CASE(
    "a node first heard of in a change, or with another stamp, has just started whatever the stamp says") {
  for (const Seconds error : {-kHour, -5.0, 0.0, 5.0, kHour}) {
    StartTimes times;
    times.list_starts(ListSource::kKnownBeforeStart, true);
    times.started(kNow, kNode, kNow - kHour);
    times.list_starts(ListSource::kChangeStream, false);
    CHECK(times.started(kNow + 10, kOther, kNow + 10 + error) == kNow + 10);
    CHECK(times.started(kNow + 20, kNode, kNow + 20 + error) == kNow + 20);
    // A whole list later on is no list of the start.
    times.list_starts(ListSource::kChangeStream, true);
    CHECK(times.started(kNow + 30, {"c3"}, kNow + error) == kNow + 30);
  }
}

TEST_CASE("the same stamp keeps its start time in changes and in whole lists; no stamp tells nothing new") {
  StartTimes times;
  times.list_starts(ListSource::kKnownBeforeStart, true);
  times.started(kNow, kNode, kNow - 30);
  times.started(kNow, kOther, 0);
  for (const bool whole : {false, true, true}) {
    times.list_starts(ListSource::kChangeStream, whole);
    CHECK(times.started(kNow + kHour, kNode, kNow - 30) == kNow - 30);
    CHECK(times.started(kNow + kHour, kNode, 0) == kNow - 30);
    CHECK(times.started(kNow + kHour, kOther, 0) == 0);
  }
  CHECK(times.started(kNow + kHour, kOther, kNow) == kNow + kHour);  // its first stamp is another one
}

TEST_CASE("a node that was gone has just started when it is back, and nothing of it is kept meanwhile") {
  StartTimes times;
  times.list_starts(ListSource::kKnownBeforeStart, true);
  times.started(kNow, kNode, kNow - 30);
  times.forget(kNode);
  CHECK(times.known() == 0);
  times.list_starts(ListSource::kChangeStream, false);
  CHECK(times.started(kNow + 10, kNode, kNow - 30) == kNow + 10);
}
