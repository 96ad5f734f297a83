#include "capacity/cold_quota.hpp"

#include <string>
#include <vector>

#include "capacity/simulated_director.hpp"
#include "policy.hpp"

namespace hareramp::capacity {

namespace {

// 5.4 Tbit/s over 460 nodes are 1.47 GB/s a node: so many transfers at the pace of one, 4,600 KB/s.
constexpr double kNodeTransfers = 319;
constexpr double kObjectKb = 193;
constexpr double kFlowKbPerS = 4600;
constexpr double kFallSpan = 3, kFallMultiple = 2, kColdFrom = 0.1;  // as director_configuration has them
constexpr int kOffered = 6000;                                       // requests in that span
const NodeId kParent{"parent"};

class CountingActions : public Actions {
 public:
  void attempt(const RequestId& request, const NodeId& node, const FillOptions& fill, Seconds) override {
    sent.push_back({request, node, fill.source});
  }
  void cancel(const RequestId&, AttemptNumber) override {}
  void reject(const RequestId&, Seconds) override {}
  void fail(const RequestId&) override {}
  void set_timer(Seconds, const TimerToken&) override {}
  void probe(const NodeId&) override {}
  void watch_list() override {}
  void log(const std::string&) override {}

  struct Sent {
    RequestId request;
    NodeId node, source;
  };
  std::vector<Sent> sent;
};

}  // namespace

ColdQuota measure_cold_quota(int directors) {
  DirectorPlan plan;
  plan.change_stream = "127.0.0.1:1";
  plan.directors = directors;
  const program::Config config = program::parse_config(director_configuration(plan), "", "");
  CountingActions actions;
  Seconds now = 1000;
  Director director(now, config.settings, 1, actions);
  director.list_starts(now, ListCompleteness::kFull);
  director.list_entry(now, {"cache"}, {1}, {0}, {0}, EndpointState::kRunning, 1000 * kNodeTransfers,
                      now - 1000);
  director.list_entry(now, {"origin"}, {0}, {2}, {0}, EndpointState::kRunning, 1000 * kNodeTransfers,
                      now - 1000);
  director.list_entry(now, kParent, {0}, {1}, {0}, EndpointState::kRunning, kNodeTransfers, now);
  director.list_ends(now);
  ColdQuota quota;
  for (int number = 0; number < kOffered; ++number) {
    now += kFallSpan / kOffered;
    const RequestId request{std::to_string(number)};
    actions.sent.clear();
    director.request_arrived(now, request, {0}, {0}, {static_cast<std::uint64_t>(number)}, {0}, {0}, now + 3,
                             kObjectKb, false, false);
    // A look for what the cache holds comes first; it has nothing. Whatever follows is the fill.
    for (int attempt = 0; static_cast<std::size_t>(attempt) < actions.sent.size(); ++attempt) {
      const auto one = actions.sent[attempt];
      const bool is_fill = one.source.value != one.node.value;
      if (is_fill && one.source.value == kParent.value) ++quota.attempts_each;
      director.attempt_ended(now, request, {attempt}, one.node,
                             is_fill ? Result::kCompleted : Result::kAbsent,
                             is_fill ? AnswerDetail::kFilled : AnswerDetail::kNone, 0, 0.001, {}, is_fill);
      if (is_fill) break;
    }
  }
  quota.limit_all = kFallMultiple * kColdFrom * kNodeTransfers * kFallSpan / (kObjectKb / kFlowKbPerS);
  return quota;
}

}  // namespace hareramp::capacity
