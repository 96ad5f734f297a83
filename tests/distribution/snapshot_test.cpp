// What a relay's snapshot makes of the stamps of purges: of a long backlog, and through steps of the issuer's
// clock.
#include "distribution/snapshot.hpp"

#include <doctest/doctest.h>

using namespace hareramp::distribution;
using hareramp::transport::Seconds;

namespace {

constexpr double kUnixMs = 1.79e12;
constexpr Seconds kHour = 3600;
constexpr Seconds kLifetime = 10;

Change purge_of(std::uint64_t object, double unix_ms) {
  Change change;
  change.purge = Purge{{PurgeSubject::Kind::kObject, object}, unix_ms};
  return change;
}

// So many purges, all received at once, issued at even distances over an hour.
Snapshot after_backlog(int purges) {
  Snapshot snapshot(kLifetime, 1'000'000);
  for (int i = 0; i < purges; ++i)
    snapshot.add(0, i + 1, purge_of(static_cast<std::uint64_t>(i), kUnixMs + i * kHour * 1000 / purges));
  return snapshot;
}

}  // namespace

TEST_CASE("a backlog of an hour keeps only what may still matter") {
  CHECK(after_backlog(360'000).purges() < 1'700);  // 100 a second, and 16 s of them
  CHECK(after_backlog(40'000).purges() < 200);
  CHECK(after_backlog(360).purges() == 360);  // gaps of 10 s, any of which may be a step: all are kept
}

TEST_CASE("no step of the issuer's clock drops a purge that is still alive") {
  for (const Seconds step : {-kHour, -5.0, 5.0, kHour}) {
    CAPTURE(step);
    Snapshot snapshot(kLifetime, 1'000'000);
    // Ten purges a second for 9 s, the clock stepped after each second.
    for (int i = 0; i < 90; ++i)
      snapshot.add(i * 0.1, i + 1,
                   purge_of(static_cast<std::uint64_t>(i), kUnixMs + i * 100 + (i / 10) * step * 1000));
    CHECK(snapshot.purges() == 90);
  }
}
