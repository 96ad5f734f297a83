// What is answered when the director is to end, on a given clock.
#include "helpers.hpp"

using namespace hareramp;

namespace {
constexpr int kRetryable = 0, kWrite = 2;
constexpr Seconds kEnd = 102;

bool says(const std::string& trace, const std::string& line) { return trace.find(line) != std::string::npos; }
}  // namespace

TEST_CASE("at the director's end what may be repeated or never ran is rejected, what may have run fails") {
  DirectorFixture fixture;
  fixture.list(ListCompleteness::kFull, "c1 c2 P1 O");
  fixture.request("read", 1, kRetryable);
  fixture.request("write", 2, kWrite);
  fixture.director->cap_deadlines(fixture.now, kEnd);
  CHECK(fixture.node_of["write"].size() == 1);
  fixture.run_until(kEnd - 0.01);
  const std::string before = fixture.take_trace();
  CHECK_FALSE(says(before, "bounce"));
  CHECK_FALSE(says(before, "forfeit"));
  fixture.run_until(kEnd);
  const std::string at_end = fixture.take_trace();
  CHECK(says(at_end, "102.000 read: bounce, come back"));
  CHECK(says(at_end, "102.000 write: forfeit"));
  CHECK(says(at_end, "read: cancel attempt 0"));
}

TEST_CASE("a request that comes later is held to the same end; a write that never ran is rejected") {
  DirectorFixture fixture;
  fixture.list(ListCompleteness::kFull, "c1 c2 P1 O");
  fixture.director->cap_deadlines(fixture.now, kEnd);
  fixture.advance(0.5);
  fixture.request("late", 1, kRetryable);
  fixture.run_until(kEnd);
  CHECK(says(fixture.take_trace(), "102.000 late: bounce"));
  fixture.request("too-late", 2, kWrite);
  CHECK(fixture.take_trace() == "102.000 too-late: bounce, come back\n");
}

TEST_CASE("a deadline before the director's end is as it was") {
  DirectorFixture fixture;
  fixture.list(ListCompleteness::kFull, "c1 c2 P1 O");
  fixture.request("read", 1, kRetryable);  // by 105
  fixture.director->cap_deadlines(fixture.now, 106);
  fixture.run_until(104.9);
  CHECK_FALSE(says(fixture.take_trace(), "forfeit"));
  fixture.advance(0.1);
  fixture.end_attempt("read", 0, Result::kTimedOut, AnswerDetail::kNone, 0);
  CHECK(says(fixture.take_trace(), "read: forfeit"));
  fixture.run_until(106);
  CHECK_FALSE(says(fixture.take_trace(), "read: bounce"));
}
