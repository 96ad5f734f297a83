// Final answers of requests when the director is about to end, with a given clock.
#include "helpers.hpp"

using namespace hareramp;

namespace {
constexpr int kRetryable = 0, kWrite = 2;
constexpr Seconds kDirectorEnd = 102;

bool contains(const std::string& trace, const std::string& line) {
  return trace.find(line) != std::string::npos;
}
}  // namespace

TEST_CASE(
    "when the director ends, a request that is retryable or never ran is rejected, one that may have run "
    "fails") {
  DirectorFixture fixture;
  fixture.list(ListCompleteness::kFull, "c1 c2 P1 O");
  fixture.request("read", 1, kRetryable);
  fixture.request("write", 2, kWrite);
  fixture.director->cap_deadlines(fixture.now, kDirectorEnd);
  CHECK(fixture.node_of["write"].size() == 1);
  fixture.run_until(kDirectorEnd - 0.01);
  const std::string before = fixture.take_trace();
  CHECK_FALSE(contains(before, ": reject"));
  CHECK_FALSE(contains(before, ": fail"));
  fixture.run_until(kDirectorEnd);
  const std::string at_end = fixture.take_trace();
  CHECK(contains(at_end, "102.000 read: reject, Retry-After"));
  CHECK(contains(at_end, "102.000 write: fail"));
  CHECK(contains(at_end, "read: cancel attempt 0"));
}

TEST_CASE("a later request gets the same end as its deadline; a write that never ran is rejected") {
  DirectorFixture fixture;
  fixture.list(ListCompleteness::kFull, "c1 c2 P1 O");
  fixture.director->cap_deadlines(fixture.now, kDirectorEnd);
  fixture.advance(0.5);
  fixture.request("late", 1, kRetryable);
  fixture.run_until(kDirectorEnd);
  CHECK(contains(fixture.take_trace(), "102.000 late: reject"));
  fixture.request("too-late", 2, kWrite);
  CHECK(fixture.take_trace() == "102.000 too-late: reject, Retry-After\n");
}

TEST_CASE("a deadline before the director's end is unchanged") {
  DirectorFixture fixture;
  fixture.list(ListCompleteness::kFull, "c1 c2 P1 O");
  fixture.request("read", 1, kRetryable);  // its own deadline is 105
  fixture.director->cap_deadlines(fixture.now, 106);
  fixture.run_until(104.9);
  CHECK_FALSE(contains(fixture.take_trace(), ": fail"));
  fixture.advance(0.1);
  fixture.end_attempt("read", 0, Result::kTimedOut, AnswerDetail::kNone, 0);
  CHECK(contains(fixture.take_trace(), "read: fail"));
  fixture.run_until(106);
  CHECK_FALSE(contains(fixture.take_trace(), "read: reject"));
}
