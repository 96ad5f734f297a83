// The actor of the decision module, and the only caller of Director. Whatever happens anywhere is posted
// here; what the module wants done is posted on to the peers and to the clients.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/counters.hpp"
#include "base/limits.hpp"
#include "base/log.hpp"
#include "distribution/change_receiver.hpp"
#include "policy.hpp"
#include "policy/start_times.hpp"
#include "protocol/events.hpp"
#include "protocol/lines.hpp"
#include "routing/upstream_node.hpp"
#include "transport/clock.hpp"
#include "transport/mailbox.hpp"
#include "transport/scheduler.hpp"

namespace hareramp::routing {

// Whoever asked for a request. Gets one of these, once, and none if it has left before.
class ResponseSink {
 public:
  virtual ~ResponseSink() = default;
  virtual void completed(const RequestId& request, Content content) = 0;
  virtual void rejected(const RequestId& request, Seconds retry_after) = 0;
  virtual void failed(const RequestId& request) = 0;
};

// The names that stand for indexes in the settings.
struct ConfiguredNames {
  std::vector<std::string> request_classes, zones, kinds;
  std::vector<bool> writes;  // by grade, where the settings tell
};

class DirectorActor : public Attempts, public distribution::ChangeReceiver, private Actions {
 public:
  DirectorActor(transport::Scheduler& scheduler, const Limits& limits, Counters& counters, Log& log,
                ConfiguredNames names, Settings settings, std::uint64_t seed,
                flow::Exporter* flows = nullptr);
  ~DirectorActor() override;

  void start();
  std::size_t open_requests() const { return open_; }

  // Guards against sending on what was true before the process stood still: drains and purges told meanwhile
  // wait in the change log's socket beside the requests. Until then only changes reach the module.
  void woke_late(Seconds listen_until);

  // The director is to end: whatever is open or still comes gets its final answer by that moment of the
  // scheduler's time, as its class allows (Director::deadlines_end).
  void cap_deadlines(Seconds at);

  // From here on each call only posts.
  void known_change_arrived(protocol::Json change) override;
  void changes_arrived(std::vector<distribution::NumberedChange> changes, bool more_waits,
                       std::function<void(bool taken)> done) override;
  void request_arrived(const RequestId& request, RequestClassIndex request_class, ObjectId object,
                       PartNumber part, GroupId group, Seconds deadline, double size_kb, bool resent,
                       bool is_write, std::shared_ptr<const protocol::ForwardedRequest> forwarded_request,
                       std::weak_ptr<ResponseSink> response_sink);
  void request_left(const RequestId& request);
  // A request that a limit kept from the module: counted, and answered by whoever calls.
  void turned_back() { ++counters_.taken, ++counters_.bounced, ++counters_.turned_back; }
  void ended(const RequestId& request, AttemptNumber number, const NodeId& node, Result result,
             AnswerDetail note, Seconds waited, LoadReport report, Content content) override;
  Seconds max_copy_age(const RequestId& request) override {
    return director_->max_copy_age(clock_.now(), request);
  }

 private:
  struct Out {
    NodeId node;
    Seconds sent = 0;
    bool out = true;
  };
  struct Request {
    std::shared_ptr<const protocol::ForwardedRequest> forwarded_request;
    std::weak_ptr<ResponseSink> response_sink;
    Seconds deadline = 0;  // the scheduler's time
    transport::Scheduler::TimerKey last_resort;
    bool owed = true;
    std::vector<Out> outs;
  };
  class Changes;

  void arrived(const RequestId& request, RequestClassIndex request_class, ObjectId object, PartNumber part,
               GroupId group, Seconds deadline, double size_kb, bool resent, bool is_write,
               std::shared_ptr<const protocol::ForwardedRequest> forwarded_request,
               std::weak_ptr<ResponseSink> response_sink);
  void attempt_ended(const RequestId& request, AttemptNumber number, const NodeId& node, Result result,
                     AnswerDetail note, Seconds waited, const LoadReport& report, Content content);
  void end_by_last_resort(const RequestId& request);
  void watch_overdue(const RequestId& id, Request& request);
  Request* owed(const RequestId& request);
  void answered(Request& request);
  void forget_if_quiet(const RequestId& request);
  void count(Result result);
  static transport::Task<> live(DirectorActor& self);
  static transport::Task<> hear(DirectorActor& self);

  // Actions, called from within the director.
  void attempt(const RequestId& request, const NodeId& node, const FillOptions& fill,
               Seconds time_out) override;
  void cancel(const RequestId& request, AttemptNumber number) override;
  void reject(const RequestId& request, Seconds retry_after) override;
  void fail(const RequestId& request) override;
  void set_timer(Seconds at, const TimerToken& token) override;
  void probe(const NodeId& node) override;
  void watch_list() override;
  void log(const std::string& words) override;

  transport::Scheduler& scheduler_;
  const Limits& limits_;
  Counters& counters_;
  Log& log_;
  ConfiguredNames names_;
  flow::Exporter* const flows_;            // null: flows are not exported
  std::string parent_kind_, origin_kind_;  // by index, as the settings name them
  transport::Clock clock_;
  transport::Mailbox mailbox_, told_;         // told_: changes alone
  Seconds held_until_ = 0;                    // what is in mailbox_ waits until then
  Seconds deadline_cap_ = transport::kNever;  // no deadline lies after that, and nothing is held for longer
  bool changes_wait_ = false;                 // the change stream had more to read than it has brought
  std::size_t links_ = 0, open_ = 0;
  std::map<NodeId, std::shared_ptr<UpstreamNode>> upstream_nodes_;
  std::map<NodeId, transport::Address> addresses_;
  std::map<RequestId, Request> requests_;
  policy::StartTimes start_times_;
  std::unique_ptr<Director> director_;
};

}  // namespace hareramp::routing
