// The actor that owns the Director, and its only caller. Every event (a request, the end of an attempt, a
// change of the stream, a timer) is posted to this actor; the actions that the Director decides on are posted
// on to the upstream nodes and to the clients' connections.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/counters.hpp"
#include "base/limits.hpp"
#include "base/log.hpp"
#include "base/process_memory.hpp"
#include "distribution/change_receiver.hpp"
#include "policy.hpp"
#include "policy/address_owners.hpp"
#include "policy/memory_budget.hpp"
#include "policy/start_times.hpp"
#include "protocol/events.hpp"
#include "protocol/lines.hpp"
#include "routing/request_handle.hpp"
#include "routing/upstream_node.hpp"
#include "transport/clock.hpp"
#include "transport/mailbox.hpp"
#include "transport/scheduler.hpp"

namespace hareramp::routing {

// Receives the answer to a request: exactly one of these calls, or none if the client has disconnected
// before.
class ResponseSink {
 public:
  virtual ~ResponseSink() = default;
  virtual void completed(const RequestHandle& request, Content content) = 0;
  virtual void rejected(const RequestHandle& request, Seconds retry_after) = 0;
  virtual void failed(const RequestHandle& request) = 0;
  // Whether the client may have disconnected unnoticed: so much that it sent is unread that its close could
  // not be seen. Asked before each retry.
  virtual bool may_have_disconnected() const { return false; }
};

// The names behind the indexes that the settings use for request classes, zones and kinds of nodes.
struct ConfiguredNames {
  std::vector<std::string> request_classes, zones, kinds;
  std::vector<bool> writes;  // by request class: whether it is a write; shorter where the settings do not say
};

class DirectorActor : public AttemptObserver, public distribution::ChangeReceiver, private Actions {
 public:
  DirectorActor(transport::Scheduler& scheduler, const Limits& limits, Counters& counters, Log& log,
                ConfiguredNames names, Settings settings, std::uint64_t seed,
                flow::Exporter* flows = nullptr);
  ~DirectorActor() override;

  void start();
  std::size_t open_requests() const { return open_requests_; }
  policy::MemoryBudget& memory_budget() { return memory_budget_; }

  // To be called when the scheduler's turn came very late, as after the process was suspended. Until
  // hold_until only changes reach the Director, and requests wait. Guards against attempts that are sent by
  // outdated state: drains and purges issued during the pause are still unread in the change stream's socket,
  // next to the requests.
  void woke_late(Seconds hold_until);

  // For the end of the process: every request, open or still to arrive, gets its final answer by this moment
  // of the scheduler's time, rejected or failed as its request class allows (Director::cap_deadlines).
  void cap_deadlines(Seconds at);

  // The calls below only post to the actor's mailboxes.
  void known_change_arrived(protocol::Json change) override;
  void changes_arrived(std::vector<distribution::NumberedChange> changes, bool more_waits,
                       std::function<void(bool taken)> done) override;
  void stream_lost(StreamLoss loss, Seconds lost_at, Seconds last_received) override;
  void stream_followed(Seconds asked_at) override;
  // Returns the handle by which the sink gets the answer, and by which the client may leave.
  RequestHandle request_arrived(const RequestId& request, RequestClassIndex request_class, ObjectId object,
                                PartNumber part, GroupId group, Seconds deadline, double size_kb, bool resent,
                                bool is_write,
                                std::shared_ptr<const protocol::ForwardedRequest> forwarded_request,
                                std::weak_ptr<ResponseSink> response_sink);
  void client_left(const RequestHandle& request);
  // Writes a record of the level debug about one request or its connection: the event's name, the request's
  // id (empty: none) and the reason or the result.
  void log_request_event(std::string_view event, const RequestId& request, std::string_view reason,
                         std::string_view node = {}) const;
  // Counts a request that was rejected at a limit of this process and does not reach the Director; the caller
  // answers it.
  void count_rejected_at_limit() { ++counters_.taken, ++counters_.bounced, ++counters_.turned_back; }
  void attempt_ended(const RequestId& request, AttemptNumber number, const NodeId& node, Result result,
                     AnswerDetail detail, Seconds waited, LoadReport report, Content content) override;
  Seconds max_copy_age(const RequestId& request) override {
    return director_->max_copy_age(clock_.now(), request);
  }
  bool may_start_attempt(const NodeId& node, const NodeId& source) override {
    return director_->may_start_attempt(clock_.now(), node, source);
  }

 private:
  struct SentAttempt {
    NodeId node;
    Seconds sent_at = 0;
    bool in_flight = true;
  };
  struct Request {
    RequestHandle handle;
    std::shared_ptr<const protocol::ForwardedRequest> forwarded_request;
    std::weak_ptr<ResponseSink> response_sink;
    Seconds deadline = 0;  // the scheduler's time
    transport::Scheduler::TimerKey overdue_timer;
    bool unanswered = true;
    std::vector<SentAttempt> sent_attempts;
  };
  class ChangeApplier;

  void handle_request(const RequestHandle& handle, RequestClassIndex request_class, ObjectId object,
                      PartNumber part, GroupId group, Seconds deadline, double size_kb, bool resent,
                      bool is_write, std::shared_ptr<const protocol::ForwardedRequest> forwarded_request,
                      std::weak_ptr<ResponseSink> response_sink);
  void handle_attempt_end(const RequestId& request, AttemptNumber number, const NodeId& node, Result result,
                          AnswerDetail detail, Seconds waited, const LoadReport& report, Content content);
  void end_overdue(const RequestHandle& handle);
  void set_overdue_timer(Request& request);
  // The request that is open under this id, if it is still owed an answer.
  Request* find_unanswered(const RequestId& request);
  // The same, but not another request under the same id.
  Request* find_unanswered(const RequestHandle& handle);
  void mark_answered(Request& request);
  void erase_if_finished(const RequestId& request);
  void count_result(Result result);
  void count_staleness();
  static transport::Task<> serve_requests(DirectorActor& self);
  static transport::Task<> serve_changes(DirectorActor& self);
  static transport::Task<> measure_memory(DirectorActor& self);

  // Actions, called by the Director from within its own methods.
  void attempt(const RequestId& request, const NodeId& node, const FillOptions& fill,
               Seconds timeout) override;
  void cancel(const RequestId& request, AttemptNumber number) override;
  void reject(const RequestId& request, Seconds retry_after) override;
  void fail(const RequestId& request) override;
  void set_timer(Seconds at, const TimerToken& token) override;
  void probe(const NodeId& node) override;
  void watch_list() override;
  void log(const std::string& message) override;

  transport::Scheduler& scheduler_;
  const Limits& limits_;
  Counters& counters_;
  Log& log_;
  ConfiguredNames names_;
  flow::Exporter* const flows_;  // null: flows are not exported
  ProcessMemory process_memory_;
  policy::MemoryBudget memory_budget_;
  std::string parent_kind_, origin_kind_;  // the indexes of two kinds, as text, as in the settings
  transport::Clock clock_;
  transport::Mailbox mailbox_, change_mailbox_;  // change_mailbox_ is never held
  Seconds hold_until_ = 0;                       // calls in mailbox_ wait until then
  Seconds deadline_cap_ = transport::kNever;     // no deadline is later, and nothing is held for longer
  bool change_backlog_ = false;  // the change stream had more to read when its last changes arrived
  UpstreamResources upstream_resources_;
  std::size_t open_requests_ = 0;
  std::uint64_t last_serial_ = 0;  // see RequestHandle
  std::map<NodeId, std::shared_ptr<UpstreamNode>> upstream_nodes_;
  std::map<NodeId, transport::Address> addresses_;
  std::map<RequestId, Request> requests_;  // until answered, and all attempts have ended
  policy::StartTimes start_times_;
  policy::AddressOwners address_owners_;
  std::unique_ptr<Director> director_;
};

}  // namespace hareramp::routing
