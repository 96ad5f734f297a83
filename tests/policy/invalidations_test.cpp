// Purges in the exact table, and past its limit in the overflow, which may only make bounds stricter. The
// clock is given.
#include "policy/invalidations.hpp"

#include <doctest/doctest.h>

using namespace hareramp;
using namespace hareramp::policy;

namespace {
constexpr Seconds kLifetime = 11;
constexpr GroupId kNoGroup{-1};
constexpr ObjectId kOther{~std::uint64_t{0}};

// Fills the exact table at that time, so that every further object overflows.
Invalidations full_table(Seconds now) {
  Invalidations invalidations(kLifetime);
  for (std::uint64_t object = 0; object < kExactObjectPurges; ++object)
    invalidations.object_purged(now, {object}, 0);
  return invalidations;
}
}  // namespace

TEST_CASE(
    "purges of objects and groups are kept exactly; the later of two counts, an expired one never does") {
  Invalidations invalidations(kLifetime);
  invalidations.object_purged(100, {1}, 0.5);
  invalidations.object_purged(101, {1}, 3);  // issued before the first
  invalidations.group_purged(102, {7}, 0);
  invalidations.object_purged(102, {2}, kLifetime + 0.1);
  CHECK(invalidations.latest_purge({1}, kNoGroup) == 99.5);
  CHECK(invalidations.latest_purge({1}, {7}) == 102);
  CHECK(invalidations.latest_purge(kOther, {7}) == 102);
  CHECK_FALSE(invalidations.latest_purge({2}, kNoGroup));
  CHECK_FALSE(invalidations.latest_purge({7}, {1}));
  invalidations.expire(99.5 + kLifetime);
  CHECK(invalidations.latest_purge({1}, kNoGroup));
  invalidations.expire(99.6 + kLifetime);
  CHECK_FALSE(invalidations.latest_purge({1}, kNoGroup));
  CHECK_FALSE(invalidations.overflowed());
}

TEST_CASE(
    "past the exact table: no purge is lost, the bound is the latest purge of its span, memory is bounded") {
  constexpr std::uint64_t kPurges = 360'000;
  Invalidations invalidations(kLifetime);
  for (std::uint64_t object = 0; object < kPurges; ++object)
    invalidations.object_purged(100 + static_cast<Seconds>(object) / 100'000, {object}, 0);
  CHECK(invalidations.exact_objects() == kExactObjectPurges);
  CHECK(invalidations.latest_purge({10}, kNoGroup) == 100 + 10 / 100'000.0);
  std::size_t missed = 0, false_positives = 0;
  for (std::uint64_t object = 0; object < kPurges; ++object) {
    const auto latest = invalidations.latest_purge({object}, kNoGroup);
    if (!latest || *latest < 100 + static_cast<Seconds>(object) / 100'000) ++missed;
    if (invalidations.latest_purge({object + kPurges}, kNoGroup)) ++false_positives;
  }
  CHECK(missed == 0);
  CHECK(false_positives < kPurges / 50);
  CHECK(false_positives > 0);  // so large a backlog can't be kept exactly in 1 MB

  // A purge in the exact table that is repeated stays exact; a repeated one in the overflow gets no weaker
  // bound.
  invalidations.object_purged(105, {10}, 0);
  invalidations.object_purged(105, {kPurges - 1}, 0);
  CHECK(invalidations.latest_purge({10}, kNoGroup) == 105);
  CHECK(invalidations.latest_purge({kPurges - 1}, kNoGroup) == 105);
  invalidations.expire(105 + kLifetime);
  CHECK(invalidations.overflowed());
  CHECK(invalidations.latest_purge({kPurges - 1}, kNoGroup) == 105);
  invalidations.expire(105.1 + kLifetime);
  CHECK_FALSE(invalidations.overflowed());
  CHECK_FALSE(invalidations.latest_purge({kPurges - 1}, kNoGroup));
}

TEST_CASE("the overflow under a steady stream of purges drops expired purges and keeps the others") {
  constexpr std::uint64_t kFirst = 1'000'000;
  Seconds now = 100;
  Invalidations invalidations = full_table(now);
  for (std::uint64_t round = 0; round < 100; ++round) {
    now += 1;
    for (std::uint64_t object = 0; object < kExactObjectPurges; ++object)
      invalidations.object_purged(now, {object}, 0);  // keeps the table full
    invalidations.object_purged(now, {kFirst + round}, 0);
    if (round % 5 == 0) invalidations.expire(now);
    for (std::uint64_t kept = round < 11 ? 0 : round - 11; kept <= round; ++kept) {
      const auto latest = invalidations.latest_purge({kFirst + kept}, kNoGroup);
      REQUIRE(latest);
      REQUIRE(*latest >= 101 + static_cast<Seconds>(kept));
    }
    // Two generations of one lifetime each: older purges are gone.
    if (round >= 30) REQUIRE_FALSE(invalidations.latest_purge({kFirst + round - 30}, kNoGroup));
  }
}

TEST_CASE("groups past the protocol's number overflow too and stay separate from objects") {
  Invalidations invalidations(kLifetime);
  for (std::int64_t group = 0; group <= static_cast<std::int64_t>(kExactGroupPurges); ++group)
    invalidations.group_purged(100, {group}, 0);
  CHECK(invalidations.overflowed());
  CHECK(invalidations.latest_purge(kOther, {static_cast<std::int64_t>(kExactGroupPurges)}) == 100);
  CHECK_FALSE(invalidations.latest_purge({kExactGroupPurges}, kNoGroup));
}
