// The time from which a node counts as started, with a given clock.
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

TEST_CASE("the initial list: stamps count, one in the future counts as now, a missing one stays unknown") {
  for (const ListSource source : {ListSource::kKnownBeforeStart, ListSource::kChangeStream}) {
    StartTimes times;
    times.list_starts(source, true);
    CHECK(times.start_time(kNow, kNode, kNow - 30) == kNow - 30);
    CHECK(times.start_time(kNow, kOther, kNow + kHour) == kNow);
    CHECK(times.start_time(kNow, {"c3"}, 0) == 0);
  }
  StartTimes times;
  times.list_starts(ListSource::kKnownBeforeStart, true);
  CHECK(times.start_time(kNow, kNode, kNow - 30) == kNow - 30);
  // a change that was known before the start as well
  times.list_starts(ListSource::kKnownBeforeStart, false);
  CHECK(times.start_time(kNow, kNode, kNow - 20) == kNow - 20);
}

TEST_CASE(
    "a node that first appears in a change, or with another stamp, has just started whatever its stamp") {
  for (const Seconds error : {-kHour, -5.0, 0.0, 5.0, kHour}) {
    StartTimes times;
    times.list_starts(ListSource::kKnownBeforeStart, true);
    times.start_time(kNow, kNode, kNow - kHour);
    times.list_starts(ListSource::kChangeStream, false);
    CHECK(times.start_time(kNow + 10, kOther, kNow + 10 + error) == kNow + 10);
    CHECK(times.start_time(kNow + 20, kNode, kNow + 20 + error) == kNow + 20);
    // A later complete list is not an initial list.
    times.list_starts(ListSource::kChangeStream, true);
    CHECK(times.start_time(kNow + 30, {"c3"}, kNow + error) == kNow + 30);
  }
}

TEST_CASE(
    "the same stamp keeps its start time in changes and in complete lists; a missing stamp changes nothing") {
  StartTimes times;
  times.list_starts(ListSource::kKnownBeforeStart, true);
  times.start_time(kNow, kNode, kNow - 30);
  times.start_time(kNow, kOther, 0);
  for (const bool complete : {false, true, true}) {
    times.list_starts(ListSource::kChangeStream, complete);
    CHECK(times.start_time(kNow + kHour, kNode, kNow - 30) == kNow - 30);
    CHECK(times.start_time(kNow + kHour, kNode, 0) == kNow - 30);
    CHECK(times.start_time(kNow + kHour, kOther, 0) == 0);
  }
  CHECK(times.start_time(kNow + kHour, kOther, kNow) == kNow + kHour);  // its first stamp is a new one
}

TEST_CASE("a removed node has just started when it returns, and nothing of it is stored meanwhile") {
  StartTimes times;
  times.list_starts(ListSource::kKnownBeforeStart, true);
  times.start_time(kNow, kNode, kNow - 30);
  times.forget(kNode);
  CHECK(times.known() == 0);
  times.list_starts(ListSource::kChangeStream, false);
  CHECK(times.start_time(kNow + 10, kNode, kNow - 30) == kNow + 10);
}
