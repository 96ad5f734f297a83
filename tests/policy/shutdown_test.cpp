// What is answered when the director is to end, on a given clock.
#include "helpers.hpp"

using namespace hareramp;

namespace {
constexpr int kRetryable = 0, kWrite = 2;
constexpr Seconds kEnd = 102;

bool says(const std::string& trace, const std::string& line) { return trace.find(line) != std::string::npos; }
}  // namespace

TEST_CASE("at the director's end what may be repeated or never ran is rejected, what may have run fails") {
  Rig rig;
  rig.list(ListCompleteness::kFull, "c1 c2 P1 O");
  rig.request("read", 1, kRetryable);
  rig.request("write", 2, kWrite);
  rig.director->cap_deadlines(rig.now, kEnd);
  CHECK(rig.node_of["write"].size() == 1);
  rig.run_until(kEnd - 0.01);
  const std::string before = rig.taken();
  CHECK_FALSE(says(before, "bounce"));
  CHECK_FALSE(says(before, "forfeit"));
  rig.run_until(kEnd);
  const std::string at_end = rig.taken();
  CHECK(says(at_end, "102.000 read: bounce, come back"));
  CHECK(says(at_end, "102.000 write: forfeit"));
  CHECK(says(at_end, "read: cancel attempt 0"));
}

TEST_CASE("a request that comes later is held to the same end; a write that never ran is rejected") {
  Rig rig;
  rig.list(ListCompleteness::kFull, "c1 c2 P1 O");
  rig.director->cap_deadlines(rig.now, kEnd);
  rig.after(0.5);
  rig.request("late", 1, kRetryable);
  rig.run_until(kEnd);
  CHECK(says(rig.taken(), "102.000 late: bounce"));
  rig.request("too-late", 2, kWrite);
  CHECK(rig.taken() == "102.000 too-late: bounce, come back\n");
}

TEST_CASE("a deadline before the director's end is as it was") {
  Rig rig;
  rig.list(ListCompleteness::kFull, "c1 c2 P1 O");
  rig.request("read", 1, kRetryable);  // by 105
  rig.director->cap_deadlines(rig.now, 106);
  rig.run_until(104.9);
  CHECK_FALSE(says(rig.taken(), "forfeit"));
  rig.after(0.1);
  rig.ends("read", 0, Result::kTimedOut, AnswerDetail::kNone, 0);
  CHECK(says(rig.taken(), "read: forfeit"));
  rig.run_until(106);
  CHECK_FALSE(says(rig.taken(), "read: bounce"));
}
