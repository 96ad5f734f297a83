// The actor of one upstream node: a cache, a parent or the origin. Sends attempts to it over a few
// multiplexed connections, and reports how each ended, by whether the node may have run it.
#pragma once

#include <deque>
#include <list>
#include <map>
#include <memory>
#include <string>

#include "base/counters.hpp"
#include "base/limits.hpp"
#include "flow/exporter.hpp"
#include "policy.hpp"
#include "protocol/lines.hpp"
#include "routing/upstream_message.hpp"
#include "transport/buffer.hpp"
#include "transport/mailbox.hpp"
#include "transport/scheduler.hpp"
#include "transport/socket.hpp"

namespace hareramp::routing {

// What a node answered to a request.
struct Content {
  bool same_copy = false;  // the client's copy is still valid; there are no bytes
  std::string etag, bytes;
  AnswerDetail detail = AnswerDetail::kNone;
  policy::MemoryCharge memory = {};  // of the bytes
};

class AttemptObserver {
 public:
  virtual ~AttemptObserver() = default;
  // Called exactly once for each attempt.
  virtual void attempt_ended(const RequestId& request, AttemptNumber number, const NodeId& node,
                             Result result, AnswerDetail detail, Seconds waited, LoadReport report,
                             Content content) = 0;
  // The greatest age of a copy that may answer the request at this moment, 0 for any
  // (Director::max_copy_age). Called when the first byte of an attempt is about to be written.
  virtual Seconds max_copy_age(const RequestId& request) = 0;
  // Whether the attempt may still begin (Director::may_start_attempt). Called at the same moment.
  virtual bool may_start_attempt(const NodeId& node, const NodeId& source) = 0;
};

// What the connections to all nodes share.
struct UpstreamResources {
  std::size_t connections = 0;                    // open or being set up
  std::size_t expected_late_answers = 0;          // see LateAnswers
  policy::MemoryBudget* memory_budget = nullptr;  // null: no limit
};

class UpstreamNode : public std::enable_shared_from_this<UpstreamNode> {
 public:
  UpstreamNode(transport::Scheduler& scheduler, const Limits& limits, Counters& counters,
               UpstreamResources& resources, NodeId node, transport::Address address,
               AttemptObserver& observer, flow::Exporter* flows = nullptr,
               ipfix::NodeRole role = ipfix::NodeRole::kUnknown);

  void start();
  // Each of these only posts to the mailbox; the actor carries them out in order.
  void attempt(const RequestId& request, AttemptNumber number,
               std::shared_ptr<const protocol::ForwardedRequest> forwarded_request, const FillOptions& fill,
               Seconds give_up_at);
  void cancel(const RequestId& request, AttemptNumber number);
  void set_address(transport::Address address);
  // No attempts will follow. Those not sent yet end, and connections close as the others end.
  void retire();

 private:
  struct OpenAttempt {
    AttemptNumber number;
    transport::Scheduler::TimerKey timer;
    Seconds written_at = 0;
    bool written = false, moved = false;
    ipfix::NameNumber request_class, location;  // for flow records, as is octets_written
    std::size_t octets_written = 0;
  };
  class UpstreamConnection;
  using ConnectionPointer = std::shared_ptr<UpstreamConnection>;

  ConnectionPointer choose_connection(const RequestId& request);
  // The connection with the fewest open attempts among those that may carry the request; null if there is
  // none.
  ConnectionPointer least_loaded_connection(const RequestId& request, bool must_be_up);
  void send(AttemptNumber number, UpstreamMessage message);
  // Sets the timer of an attempt: it is abandoned if its first byte has not been written by `until`, or if it
  // has not ended by give_up_at.
  transport::Scheduler::TimerKey set_attempt_timer(const RequestId& request, AttemptNumber number,
                                                   Seconds until, Seconds give_up_at);
  void abandon_attempt(const RequestId& request, AttemptNumber number, Result result);
  void end_attempt(const ConnectionPointer& connection, const RequestId& request, Result result,
                   AnswerDetail detail, Seconds waited, LoadReport report, Content content);
  void end_attempts(const ConnectionPointer& connection, Result written, Result unwritten, bool may_move_on);
  // Moves the attempts of which nothing has been written to other connections, or ends them as not sent where
  // that is not possible.
  void release_unsent(const ConnectionPointer& connection);
  // Moves an attempt whose command has not been written whole to another connection.
  void move_attempt(const ConnectionPointer& from, UpstreamMessage message, const ConnectionPointer& to);
  // The same for the attempts of a connection that could not be set up, where others are up and below their
  // limit.
  void move_to_connected(const ConnectionPointer& connection);
  void close_connection(const ConnectionPointer& connection);
  void remove_connection(const ConnectionPointer& connection);
  void handle_idle(const ConnectionPointer& connection);
  // Retires the connection with the most requests that may still be answered late, while all connections
  // together have more of them than allowed.
  void limit_late_answers();
  void start_writing(const ConnectionPointer& connection);
  void schedule_write_retry(const ConnectionPointer& connection);
  bool write_pending(const ConnectionPointer& connection);
  // Encodes the first queued message, of which nothing has been written yet. False: it must not be sent any
  // more; its attempt has ended and the message is removed.
  bool encode_first(const ConnectionPointer& connection);
  void count_written(UpstreamConnection& connection, std::size_t bytes);
  // For flow records: adds what was written of an attempt, and octets_read, to the traffic of its outcome.
  void record_flow(UpstreamConnection& connection, OpenAttempt& open_attempt, Result result,
                   AnswerDetail detail, std::size_t octets_read);
  static transport::Task<> serve_mailbox(std::shared_ptr<UpstreamNode> self);
  void set_idle_timer(const ConnectionPointer& connection, Seconds until);
  static transport::Task<> run_connection(std::shared_ptr<UpstreamNode> self, ConnectionPointer connection);
  transport::Task<> connect_and_read(ConnectionPointer connection);
  // Waits until there is memory for the answer that is being read. False: the connection has closed.
  transport::Task<bool> wait_for_memory(ConnectionPointer connection);
  policy::MemoryCharge answer_memory() const;
  static transport::Task<> write_when_ready(std::shared_ptr<UpstreamNode> self, ConnectionPointer connection);

  transport::Scheduler& scheduler_;
  const Limits& limits_;
  Counters& counters_;
  UpstreamResources& resources_;
  NodeId node_;
  transport::Address address_;
  AttemptObserver& observer_;
  flow::Exporter* const flows_;  // null: flows are not exported
  const ipfix::NodeRole role_;
  transport::Mailbox mailbox_;
  std::list<ConnectionPointer> connections_;
  bool retired_ = false;
};

}  // namespace hareramp::routing
