// Purges that count as notified while the change stream is lost: the decision alone, and the Director's bound
// on the age of copies.
#include "policy/unseen_purges.hpp"

#include <limits>

#include "helpers.hpp"

using namespace hareramp;
using policy::UnseenPurges;

namespace {
constexpr Seconds kLifetime = 6;
constexpr Seconds kLongLifetime = 20;
constexpr Seconds kGrace = 0.25;
constexpr Seconds kNever = -std::numeric_limits<Seconds>::infinity();
constexpr double kSmallKb = 20;  // little work for the origin, which serves while the list is stale
const char* const kNodes = "c1 c2 c3 P1 P2 O";

// The age bound of a new request's attempt, as the trace shows it; empty: none. The attempt ends at once, but
// for that of a request which is to stay open.
std::string age_bound(DirectorFixture& fixture, const std::string& id, bool stays_open = false) {
  fixture.take_trace();
  fixture.request(id, 1, 0, kSmallKb);
  const std::string trace = fixture.take_trace();
  REQUIRE(trace.find(id + ": attempt to ") != std::string::npos);
  if (!stays_open) fixture.end_attempt(id, 0, Result::kCompleted, AnswerDetail::kHit, 0);
  const auto at = trace.find("at most ");
  return at == std::string::npos ? "" : trace.substr(at, trace.find(" old", at) - at);
}
}  // namespace

TEST_CASE("unseen purges: those of a broken stream count 2 s after the break, until all copies are dropped") {
  UnseenPurges purges(kLifetime, kGrace);
  CHECK(!purges.latest_purge(100));
  CHECK(purges.stream_lost(StreamLoss::kBroken, 100, 99.5) == 102);
  CHECK(!purges.latest_purge(101.99));
  for (const Seconds now : {102.0, 105.0, 108.0}) CHECK(purges.latest_purge(now) == 102);
  for (const Seconds now : {108.01, 200.0, 1e6}) CHECK(!purges.latest_purge(now));
}

TEST_CASE(
    "unseen purges: a stream that stopped while open counts from its last data, a moved one from its move") {
  UnseenPurges silent(kLifetime, kGrace), moved(kLifetime, kGrace);
  CHECK(silent.stream_lost(StreamLoss::kBroken, 102.2, 100) == 104);
  CHECK(!silent.latest_purge(103.99));
  CHECK(silent.latest_purge(104) == 104);
  CHECK(moved.stream_lost(StreamLoss::kMoved, 100, 99) == 104);
  CHECK(!moved.latest_purge(103.99));
  CHECK(moved.latest_purge(104) == 104);
}

// Guards against the bound ending while purges are still on their way (issue 65, review/8).
TEST_CASE("unseen purges: of a stream that is followed again, those from before it was asked still count") {
  UnseenPurges purges(kLifetime, kGrace);
  purges.stream_lost(StreamLoss::kBroken, 100, 100);
  CHECK(purges.latest_purge(103) == 102);
  CHECK(purges.stream_followed(104) == 104.25);
  CHECK(purges.latest_purge(104.24) == 102);
  for (const Seconds now : {104.25, 107.0, 110.0}) CHECK(purges.latest_purge(now) == 104);
  CHECK(!purges.latest_purge(110.01));
  // Its next loss counts anew.
  CHECK(purges.stream_lost(StreamLoss::kBroken, 120, 120) == 122);
  CHECK(!purges.latest_purge(121.99));
  CHECK(purges.latest_purge(122) == 122);
}

TEST_CASE("unseen purges: asked within 2 s of a break, a source counts from when it was asked") {
  UnseenPurges purges(kLifetime, kGrace);
  purges.stream_lost(StreamLoss::kBroken, 100, 100);
  CHECK(purges.stream_followed(100.25) == 100.5);
  CHECK(!purges.latest_purge(100.49));
  for (const Seconds now : {100.5, 103.0, 106.25}) CHECK(purges.latest_purge(now) == 100.25);
  CHECK(!purges.latest_purge(106.26));
}

TEST_CASE("unseen purges: a further break while purges are still on their way leaves the bound") {
  UnseenPurges purges(kLifetime, kGrace);
  purges.stream_lost(StreamLoss::kBroken, 100, 100);
  purges.stream_followed(104);
  CHECK(purges.stream_lost(StreamLoss::kBroken, 105, 104.5) == 107);
  CHECK(purges.latest_purge(106.99) == 104);
  CHECK(purges.latest_purge(107) == 107);
  purges.stream_followed(109);
  CHECK(purges.latest_purge(115) == 109);
  CHECK(!purges.latest_purge(115.01));
}

TEST_CASE("unseen purges: what a new source is asked for at once counts 4 s after the new configuration") {
  UnseenPurges purges(kLifetime, kGrace);
  purges.stream_lost(StreamLoss::kMoved, 100, 99.5);
  CHECK(!purges.stream_followed(100.125));
  CHECK(!purges.latest_purge(103.99));
  for (const Seconds now : {104.0, 106.125}) CHECK(purges.latest_purge(now) == 100.125);
  CHECK(!purges.latest_purge(106.13));
}

TEST_CASE(
    "unseen purges: a first connection bounds nothing, a source that answers and breaks off not for good") {
  UnseenPurges first(kLifetime, kGrace), breaking(kLifetime, kGrace);
  first.stream_lost(StreamLoss::kNotConnected, 100, kNever);
  CHECK(!first.stream_followed(100));
  for (const Seconds now : {100.0, 101.0, 105.0, 120.0}) CHECK(!first.latest_purge(now));
  Seconds now = 100;
  for (; now < 160; now += 0.25) {
    breaking.stream_lost(StreamLoss::kBroken, now, now);
    breaking.stream_followed(now + 0.125);
  }
  CHECK(!breaking.latest_purge(now));
}

// Guards against a source that breaks off every connection: a bound that moved with each break would never
// end.
TEST_CASE(
    "unseen purges: further breaks of a lost stream move nothing, each new source moves the bound once") {
  UnseenPurges purges(kLifetime, kGrace);
  purges.stream_lost(StreamLoss::kBroken, 100, 100);
  for (int i = 1; i < 100; ++i) CHECK(!purges.stream_lost(StreamLoss::kBroken, 100 + 0.2 * i, 100));
  CHECK(!purges.latest_purge(109));
  purges.stream_lost(StreamLoss::kMoved, 110, 100);
  purges.stream_lost(StreamLoss::kMoved, 111, 100);
  CHECK(!purges.latest_purge(113.9));
  CHECK(purges.latest_purge(114.9) == 114);
  CHECK(purges.latest_purge(115) == 115);
  for (int i = 0; i < 1000; ++i) purges.stream_lost(StreamLoss::kMoved, 120 + 0.001 * i, 100);
  CHECK(purges.latest_purge(125) == doctest::Approx(124.999));
  CHECK(!purges.latest_purge(131.1));
}

TEST_CASE("unseen purges: every purge counts 7 s after its issue, if copies are kept for longer than that") {
  UnseenPurges unreached(kLongLifetime, kGrace), broken(kLongLifetime, kGrace),
      short_lived(kLifetime, kGrace);
  CHECK(!unreached.stream_lost(StreamLoss::kNotConnected, 100, kNever));
  CHECK(unreached.latest_purge(100) == 93);
  CHECK(unreached.latest_purge(150) == 143);
  broken.stream_lost(StreamLoss::kBroken, 100, 100);
  CHECK(broken.latest_purge(108) == 102);
  CHECK(broken.latest_purge(120) == 113);
  short_lived.stream_lost(StreamLoss::kNotConnected, 100, kNever);
  for (const Seconds now : {100.0, 104.0, 110.0}) CHECK(!short_lived.latest_purge(now));
}

TEST_CASE(
    "rule 5: while the change stream is lost, copies from before are fetched again for a bounded time") {
  DirectorFixture fixture(Settings{{"FamilyInfo.Direct", "true"}});
  fixture.list(ListCompleteness::kCached, kNodes);
  const Seconds lost_at = fixture.now;
  fixture.director->change_stream_lost(lost_at, StreamLoss::kBroken, lost_at, lost_at);
  fixture.run_until(lost_at + 1.9);
  CHECK(age_bound(fixture, "before", true) == "");
  fixture.run_until(lost_at + 2.25);
  CHECK(age_bound(fixture, "bounded") == "at most 0.250 s");
  // A request that was decided on before takes the bound when its first byte is written.
  CHECK(fixture.director->max_copy_age(fixture.now, {"before"}) == doctest::Approx(0.25));
  fixture.run_until(lost_at + 3);
  fixture.director->object_purged(fixture.now, {1}, 0.125);
  CHECK(age_bound(fixture, "purged") == "at most 0.125 s");
  fixture.run_until(lost_at + 2 + 10);  // PurgeDoneS of the settings is 6 s
  CHECK(age_bound(fixture, "after") == "");
}

TEST_CASE("rule 5: a change stream that is followed again leaves the bound until all copies are dropped") {
  DirectorFixture fixture(Settings{{"FamilyInfo.PurgeSlackS", "1"}, {"FamilyInfo.Direct", "true"}});
  fixture.list(ListCompleteness::kCached, kNodes);
  fixture.director->change_stream_lost(fixture.now, StreamLoss::kBroken, fixture.now, fixture.now);
  fixture.run_until(fixture.now + 3);
  CHECK(fixture.take_trace().find("log: change stream lost") != std::string::npos);
  CHECK(age_bound(fixture, "bounded") == "at most 1.000 s");
  const Seconds asked_at = fixture.now;
  fixture.director->change_stream_followed(fixture.now, asked_at);
  CHECK(age_bound(fixture, "asked") == "at most 1.000 s");
  fixture.run_until(asked_at + 0.5);  // half of the slack
  CHECK(age_bound(fixture, "followed") == "at most 0.500 s");
  fixture.run_until(asked_at + 5.75);
  CHECK(age_bound(fixture, "still-bounded") == "at most 5.750 s");
  CHECK(fixture.take_trace().find("log: change stream") == std::string::npos);
  fixture.run_until(asked_at + 6.25);  // PurgeDoneS of the settings is 6 s
  CHECK(fixture.take_trace().find("log: change stream: copies are used again") != std::string::npos);
  CHECK(age_bound(fixture, "unbounded") == "");
}
