// How a relay's snapshot uses the timestamps of purges: in a long backlog, and when the issuer's clock is
// stepped.
#include "distribution/snapshot.hpp"

#include <doctest/doctest.h>

using namespace hareramp::distribution;
using hareramp::transport::Seconds;

namespace {

constexpr double kUnixMs = 1.79e12;
constexpr Seconds kHour = 3600;
constexpr Seconds kLifetime = 10;

Change object_purge(std::uint64_t object, double unix_ms) {
  Change change;
  change.purge = Purge{{PurgeTarget::Kind::kObject, object}, unix_ms};
  return change;
}

// A snapshot of purges that were issued at equal intervals over an hour and all arrive at once.
Snapshot snapshot_of_backlog(int purges) {
  Snapshot snapshot(kLifetime, 1'000'000);
  for (int i = 0; i < purges; ++i)
    snapshot.add(0, i + 1, object_purge(static_cast<std::uint64_t>(i), kUnixMs + i * kHour * 1000 / purges));
  return snapshot;
}

}  // namespace

TEST_CASE("snapshot: of a one-hour backlog only purges that may still be live are kept") {
  CHECK(snapshot_of_backlog(360'000).purge_count() < 1'700);  // 16 s of purges at 100 a second
  CHECK(snapshot_of_backlog(40'000).purge_count() < 200);
  // The gaps are 10 s, and each may be a clock step, so all purges are kept.
  CHECK(snapshot_of_backlog(360).purge_count() == 360);
}

TEST_CASE("snapshot: a step of the issuer's clock drops no live purge") {
  for (const Seconds step : {-kHour, -5.0, 5.0, kHour}) {
    CAPTURE(step);
    Snapshot snapshot(kLifetime, 1'000'000);
    // Ten purges a second for 9 s; the clock is stepped after each second.
    for (int i = 0; i < 90; ++i)
      snapshot.add(i * 0.1, i + 1,
                   object_purge(static_cast<std::uint64_t>(i), kUnixMs + i * 100 + (i / 10) * step * 1000));
    CHECK(snapshot.purge_count() == 90);
  }
}
