// When the node list is too old to choose a node from, because the change stream was lost: the decision
// alone, and what the Director does meanwhile.
#include "policy/list_staleness.hpp"

#include <limits>

#include "helpers.hpp"
#include "policy/origin_budget.hpp"

using namespace hareramp;
using policy::ListStaleness;

namespace {
constexpr Seconds kNever = -std::numeric_limits<Seconds>::infinity();
constexpr Seconds kStep = 0.05;
constexpr double kSmallKb = 20;
const char* const kNodes = "c1 c2 c3 P1 P2 O";

// The span in which the list is stale, found by asking at every step; both empty if it never is.
struct Span {
  std::optional<Seconds> begin, end;
};
Span stale_span(const ListStaleness& list, Seconds from, Seconds until) {
  Span span;
  for (Seconds now = from; now < until; now += kStep) {
    if (list.is_stale(now) && !span.begin) span.begin = now;
    if (span.begin && !span.end && !list.is_stale(now)) span.end = now;
    if (span.end) CHECK(!list.is_stale(now));
  }
  return span;
}
void check_near(const std::optional<Seconds>& time, Seconds expected) {
  REQUIRE(time);
  CHECK(*time >= expected - 1e-9);
  CHECK(*time <= expected + kStep + 1e-9);
}

// A director whose change stream breaks off; it may go past the caches or not.
struct OutageFixture : DirectorFixture {
  explicit OutageFixture(const std::string& direct)
      : DirectorFixture(Settings{{"FamilyInfo.Direct", direct}}) {
    list(ListCompleteness::kCached, kNodes);
    lost_at = now;
    director->change_stream_lost(now, StreamLoss::kBroken, now, now);
  }
  std::string trace_of(const std::string& id, std::uint64_t object, int request_class = 0) {
    take_trace();
    request(id, object, request_class, kSmallKb);
    return take_trace();
  }
  bool uses_caches(const std::string& id, std::uint64_t object) {
    return trace_of(id, object).find("attempt to c") != std::string::npos;
  }
  Seconds lost_at = 0;
};
}  // namespace

TEST_CASE("list staleness: from when missed changes count as notified, for each way of losing the stream") {
  struct Example {
    StreamLoss loss;
    Seconds last_received, stale_from;
  };
  for (const Example& example :
       {Example{StreamLoss::kBroken, 100, 102}, Example{StreamLoss::kBroken, 97.8, 101.8},
        Example{StreamLoss::kMoved, 100, 104}, Example{StreamLoss::kNotConnected, kNever, 107}}) {
    ListStaleness list;
    CHECK(!list.next_change(90));
    list.stream_lost(example.loss, 100, example.last_received);
    CHECK(list.next_change(100) == example.stale_from);
    CHECK(!list.is_stale(example.stale_from - 0.01));
    for (const Seconds after : {0.0, 10.0, 1e6}) CHECK(list.is_stale(example.stale_from + after));
    CHECK(!list.next_change(example.stale_from));
  }
}

TEST_CASE("list staleness: an answer soon after the loss costs nothing, if the stream then stays") {
  ListStaleness cut, moved, silent;
  cut.stream_lost(StreamLoss::kBroken, 100, 100);
  cut.stream_followed(101.7, 100.7);  // the first comment comes 1 s after the answer's head
  moved.stream_lost(StreamLoss::kMoved, 100, 100);
  moved.stream_followed(100.5, 100.1);
  silent.stream_lost(StreamLoss::kBroken, 102.2, 100);
  silent.stream_followed(103.4, 102.4);
  for (const ListStaleness* list : {&cut, &moved, &silent}) CHECK(!stale_span(*list, 100, 130).begin);
}

// Guards against taking the first bytes of an answer for all that was missed (issue 68, review/8 and 10).
TEST_CASE("list staleness: ends when the source was followed as long as the outage lasted, within bounds") {
  struct Example {
    Seconds asked_at, followed_at, usable_at;
  };
  for (const Example& example : {Example{101.4, 101.4, 103.6}, Example{103, 103, 106}, Example{108, 108, 112},
                                 Example{160, 161, 165}, Example{100.2, 102.7, 104.9}}) {
    ListStaleness list;
    list.stream_lost(StreamLoss::kBroken, 100, 100);
    CHECK(list.is_stale(102));
    list.stream_followed(example.followed_at, example.asked_at);
    const Span span = stale_span(list, 100, 200);
    check_near(span.begin, 102);
    check_near(span.end, example.usable_at);
    if (example.followed_at >= 102) CHECK(list.next_change(example.followed_at) == example.usable_at);
  }
}

TEST_CASE("list staleness: a stream that breaks off again before it has settled leaves the list stale") {
  ListStaleness list;
  list.stream_lost(StreamLoss::kBroken, 100, 100);
  for (Seconds now = 103; now < 160; now += 3) {
    list.stream_followed(now, now);
    CHECK(list.is_stale(now + 1.5));
    list.stream_lost(StreamLoss::kBroken, now + 2, now + 2);
    CHECK(list.is_stale(now + 2));
  }
  list.stream_followed(160, 160);
  CHECK(list.is_stale(163.99));
  CHECK(!list.is_stale(164));
  // Its next loss counts anew.
  list.stream_lost(StreamLoss::kBroken, 170, 170);
  CHECK(!list.is_stale(171.99));
  CHECK(list.is_stale(172));
}

TEST_CASE("list staleness: of several losses the earliest counts, also with a new source in an outage") {
  ListStaleness broken_again, moved_in_outage;
  broken_again.stream_lost(StreamLoss::kBroken, 100, 100);
  broken_again.stream_followed(100.2, 100.2);
  broken_again.stream_lost(StreamLoss::kBroken, 101,
                           101);  // not settled: what the first missed may be missing
  broken_again.stream_followed(101.2, 101.2);
  check_near(stale_span(broken_again, 100, 130).begin, 102);
  moved_in_outage.stream_lost(StreamLoss::kBroken, 100, 100);
  moved_in_outage.stream_lost(StreamLoss::kMoved, 101, 100);
  check_near(stale_span(moved_in_outage, 100, 130).begin, 102);
}

TEST_CASE("list staleness: a start that reaches the source, and a long quiet time, leave the list usable") {
  ListStaleness list;
  list.stream_lost(StreamLoss::kNotConnected, 100, kNever);
  list.stream_followed(100.1, 100);
  CHECK(!stale_span(list, 100, 130).begin);
  list.stream_lost(StreamLoss::kBroken, 106.5, 106.5);
  list.stream_followed(106.7, 106.7);
  CHECK(!stale_span(list, 106.5, 130).begin);
}

TEST_CASE("rule 3: while the list is stale, requests are rejected at once where nothing else is allowed") {
  OutageFixture fixture("false");
  fixture.run_until(fixture.lost_at + 1.9);
  CHECK(fixture.uses_caches("before", 1));
  fixture.run_until(fixture.lost_at + 2.1);
  CHECK(fixture.take_trace().find("log: change stream lost: node list stale") != std::string::npos);
  for (const int request_class : {0, 1, 2, 3}) {
    const std::string id = "class-" + std::to_string(request_class);
    const std::string trace = fixture.trace_of(id, 5, request_class);
    CHECK(trace.find(id + ": reject, Retry-After\n") != std::string::npos);
    CHECK(trace.find("attempt") == std::string::npos);
  }
  fixture.run_until(fixture.lost_at + 60);
  CHECK(fixture.trace_of("later", 1) == "160.000 later: reject, Retry-After\n");
}

// Guards against attempts to a node that drained unseen: none of the ways to choose one may pass it
// (issue 68, review/10).
TEST_CASE("rule 3: while the list is stale, only the origin is used, for retries and hedges too") {
  OutageFixture fixture("true");
  fixture.run_until(fixture.lost_at + 1.9);
  for (const std::string id : {"retried", "hedged", "looked-up"}) fixture.trace_of(id, 7);
  fixture.run_until(fixture.lost_at + 2.1);
  fixture.take_trace();
  fixture.end_attempt("retried", 0, Result::kUnreachable);
  fixture.end_attempt("looked-up", 0, Result::kAbsent);
  for (int object = 0; object < 40; ++object) fixture.request("new-" + std::to_string(object), object, 0, 1);
  fixture.request("write", 9, 2, kSmallKb);
  fixture.run_until(fixture.lost_at + 6);  // "hedged" becomes late
  const std::string trace = fixture.take_trace();
  CHECK(trace.find("attempt to O, no fill") != std::string::npos);
  CHECK(trace.find("write: attempt to O, no fill") != std::string::npos);
  for (const char* node : {"to c", "to P", "from c", "from P"}) CHECK(trace.find(node) == std::string::npos);
}

TEST_CASE("rule 3: an attempt that waits for a connection does not begin after its node has drained") {
  OutageFixture fixture("true");
  Director& director = *fixture.director;
  const NodeId c1{"c1"}, p1{"P1"}, origin{"O"};
  CHECK(director.may_start_attempt(fixture.now, c1, p1));
  fixture.list(ListCompleteness::kChanges, "P1", EndpointState::kDraining);
  CHECK_FALSE(director.may_start_attempt(fixture.now, c1, p1));
  CHECK(director.may_start_attempt(fixture.now, c1, c1));
  fixture.run_until(fixture.lost_at + 2.1);
  CHECK(director.list_is_stale(fixture.now));
  CHECK_FALSE(director.may_start_attempt(fixture.now, c1, c1));
  CHECK_FALSE(director.may_start_attempt(fixture.now, origin, c1));
  CHECK(director.may_start_attempt(fixture.now, origin, origin));
}

TEST_CASE("rule 3: after an outage caches serve again, and fills begin with a fraction of the requests") {
  for (const bool direct : {false, true}) {
    OutageFixture fixture(direct ? "true" : "false");
    fixture.run_until(fixture.lost_at + 8);
    fixture.director->change_stream_followed(fixture.now, fixture.now);
    fixture.list(ListCompleteness::kChanges, "c2", EndpointState::kDraining);
    fixture.run_until(fixture.lost_at + 11.9);
    CHECK(!fixture.uses_caches("settling", 1));
    if (direct) fixture.end_attempt("settling", 0, Result::kCompleted, AnswerDetail::kHit, 0);
    fixture.run_until(fixture.lost_at + 12.1);
    CHECK(fixture.take_trace().find("log: change stream: node list in use again") != std::string::npos);
    // How many of 60 requests for new objects fill a cache, are only looked up there, or go to the origin.
    int filling = 0, looked_up = 0, at_origin = 0, number = 0;
    const auto request_new_objects = [&] {
      filling = looked_up = at_origin = 0;
      for (const int end = number + 60; number < end; ++number) {
        const std::string id = "after-" + std::to_string(number);
        const std::string trace = fixture.trace_of(id, 1000 + number);
        CHECK(trace.find("to c2") == std::string::npos);
        filling += trace.find("fill from") != std::string::npos;
        looked_up +=
            trace.find("attempt to c") != std::string::npos && trace.find("fill from") == std::string::npos;
        fixture.end_attempt(id, 0, Result::kAbsent, AnswerDetail::kNone, 0.001);
        at_origin += fixture.take_trace().find("attempt to O, no fill") != std::string::npos;
        if (fixture.node_of[id].size() > 1)
          fixture.end_attempt(id, 1, Result::kCompleted, AnswerDetail::kHit, 0.001);
        fixture.director->client_disconnected(fixture.now, {id});
      }
    };
    request_new_objects();
    CHECK(filling > 0);
    CHECK(filling < 15);
    CHECK(looked_up == 60 - filling);
    CHECK((at_origin > 0) == direct);
    fixture.run_until(fixture.lost_at + 15.1);
    request_new_objects();
    CHECK(filling == 60);
    CHECK(at_origin == 0);
  }
}

TEST_CASE("the origin's budget: an even share, little of it saved up, and one attempt at a time at least") {
  constexpr double kShare = 0.5;
  constexpr Seconds kSpan = 2;
  const auto most_work = [&](double work, double saved_fraction) {
    policy::OriginBudget budget;
    budget.start(100, saved_fraction);
    double sum = 0;
    for (Seconds now = 100; now < 120; now += 0.01) {
      budget.refill(now, kShare, kSpan);
      if (!budget.allows(work)) continue;
      budget.charge(work);
      sum += work;
    }
    return sum;
  };
  CHECK(most_work(0.1, 0) == doctest::Approx(20 * kShare).epsilon(0.02));
  CHECK(most_work(0.1, 1) == doctest::Approx((20 + kSpan) * kShare).epsilon(0.02));
  // An attempt larger than the share of a span, every 8 s.
  CHECK(most_work(4, 1) == doctest::Approx(12));
}
