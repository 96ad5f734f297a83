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
constexpr Seconds kNever = -std::numeric_limits<Seconds>::infinity();
const char* const kNodes = "c1 c2 c3 P1 P2 O";

// The age bound of a new request's attempt, as the trace shows it; empty: none.
std::string age_bound(DirectorFixture& fixture, const std::string& id) {
  fixture.take_trace();
  fixture.request(id, 1);
  const std::string trace = fixture.take_trace();
  const auto at = trace.find("at most ");
  return at == std::string::npos ? "" : trace.substr(at, trace.find(" old", at) - at);
}
}  // namespace

TEST_CASE("unseen purges: those of a broken stream count 2 s after the break, until all copies are dropped") {
  UnseenPurges purges(kLifetime);
  CHECK(!purges.latest_purge(100));
  CHECK(purges.stream_lost(StreamLoss::kBroken, 100, 99.5) == 102);
  CHECK(!purges.latest_purge(101.99));
  for (const Seconds now : {102.0, 105.0, 108.0}) CHECK(purges.latest_purge(now) == 102);
  for (const Seconds now : {108.01, 200.0, 1e6}) CHECK(!purges.latest_purge(now));
}

TEST_CASE(
    "unseen purges: a stream that stopped while open counts from its last data, a moved one from its move") {
  UnseenPurges silent(kLifetime), moved(kLifetime);
  CHECK(silent.stream_lost(StreamLoss::kBroken, 102.2, 100) == 104);
  CHECK(!silent.latest_purge(103.99));
  CHECK(silent.latest_purge(104) == 104);
  CHECK(moved.stream_lost(StreamLoss::kMoved, 100, 99) == 104);
  CHECK(!moved.latest_purge(103.99));
  CHECK(moved.latest_purge(104) == 104);
}

TEST_CASE("unseen purges: a stream that is followed again bounds nothing, and its next loss counts anew") {
  UnseenPurges purges(kLifetime);
  purges.stream_lost(StreamLoss::kBroken, 100, 100);
  CHECK(purges.latest_purge(103));
  purges.stream_followed();
  CHECK(!purges.latest_purge(103));
  CHECK(purges.stream_lost(StreamLoss::kBroken, 104, 104) == 106);
  CHECK(!purges.latest_purge(105.99));
  CHECK(purges.latest_purge(106) == 106);
}

// Guards against a source that breaks off every connection: a bound that moved with each break would never
// end.
TEST_CASE(
    "unseen purges: further breaks of a lost stream move nothing, each new source moves the bound once") {
  UnseenPurges purges(kLifetime);
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
  UnseenPurges unreached(kLongLifetime), broken(kLongLifetime), short_lived(kLifetime);
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
  DirectorFixture fixture;
  fixture.list(ListCompleteness::kCached, kNodes);
  const Seconds lost_at = fixture.now;
  fixture.director->change_stream_lost(lost_at, StreamLoss::kBroken, lost_at, lost_at);
  fixture.run_until(lost_at + 1.9);
  CHECK(age_bound(fixture, "before") == "");
  fixture.run_until(lost_at + 2.25);
  CHECK(age_bound(fixture, "bounded") == "at most 0.250 s");
  // A request that was decided on before takes the bound when its first byte is written.
  CHECK(fixture.director->max_copy_age(fixture.now, {"before"}) == doctest::Approx(0.25));
  fixture.director->object_purged(fixture.now, {1}, 0.125);
  CHECK(age_bound(fixture, "purged") == "at most 0.125 s");
  fixture.run_until(lost_at + 2 + 10);  // PurgeDoneS of the settings is 6 s
  CHECK(age_bound(fixture, "after") == "");
}

TEST_CASE("rule 5: a change stream that is followed again ends the bound at once") {
  DirectorFixture fixture;
  fixture.list(ListCompleteness::kCached, kNodes);
  fixture.director->change_stream_lost(fixture.now, StreamLoss::kBroken, fixture.now, fixture.now);
  fixture.run_until(fixture.now + 3);
  CHECK(fixture.take_trace().find("log: change stream lost") != std::string::npos);
  CHECK(age_bound(fixture, "bounded") == "at most 1.000 s");
  fixture.director->change_stream_followed(fixture.now);
  CHECK(fixture.take_trace().find("log: change stream followed") != std::string::npos);
  CHECK(age_bound(fixture, "unbounded") == "");
}
