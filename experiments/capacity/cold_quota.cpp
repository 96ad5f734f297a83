#include "capacity/cold_quota.hpp"

#include <string>
#include <vector>

#include "capacity/simulated_director.hpp"
#include "policy.hpp"

namespace hareramp::capacity {

namespace {

// Concurrent transfers of a node: 5.4 Tbit/s over 460 nodes is 1.47 GB/s per node, and one transfer takes
// 4,600 KB/s.
constexpr double kNodeTransfers = 319;
constexpr double kObjectKb = 193;
constexpr double kTransferKbPerS = 4600;
// As in director_configuration.
constexpr double kOverloadInterval = 3, kOverloadFactor = 2, kStartCapacity = 0.1;
constexpr int kOfferedRequests = 6000;  // in the overload interval
const NodeId kParent{"parent"};

// Records the attempts of the decision module; ignores its other actions.
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

  struct SentAttempt {
    RequestId request;
    NodeId node, source;
  };
  std::vector<SentAttempt> sent;
};

}  // namespace

ColdQuota measure_cold_quota(int directors) {
  DirectorParameters parameters;
  parameters.change_stream = "127.0.0.1:1";
  parameters.directors = directors;
  const program::Config config = program::parse_config(director_configuration(parameters), "", "");
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
  for (int number = 0; number < kOfferedRequests; ++number) {
    now += kOverloadInterval / kOfferedRequests;
    const RequestId request{std::to_string(number)};
    actions.sent.clear();
    director.request_arrived(now, request, {0}, {0}, {static_cast<std::uint64_t>(number)}, {0}, {0}, now + 3,
                             kObjectKb, false, false);
    // The first attempt is a cache-only lookup, which the cache answers with "absent". The next attempt is
    // the fill.
    for (int attempt = 0; static_cast<std::size_t>(attempt) < actions.sent.size(); ++attempt) {
      const auto sent_attempt = actions.sent[attempt];
      const bool is_fill = sent_attempt.source.value != sent_attempt.node.value;
      if (is_fill && sent_attempt.source.value == kParent.value) ++quota.attempts_each;
      director.attempt_ended(now, request, {attempt}, sent_attempt.node,
                             is_fill ? Result::kCompleted : Result::kAbsent,
                             is_fill ? AnswerDetail::kFilled : AnswerDetail::kNone, 0, 0.001, {}, is_fill);
      if (is_fill) break;
    }
  }
  quota.limit_all =
      kOverloadFactor * kStartCapacity * kNodeTransfers * kOverloadInterval / (kObjectKb / kTransferKbPerS);
  return quota;
}

}  // namespace hareramp::capacity
