// The actor of one node: a cache, a parent or the origin. Carries attempts to it over a few connections
// that each hold many, and tells how each ended by what is known to have run.
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

// What a node sent for a request.
struct Content {
  bool same_copy = false;  // the client's copy is the one; no bytes
  std::string tag, bytes;
  AnswerDetail note = AnswerDetail::kNone;
};

class Attempts {
 public:
  virtual ~Attempts() = default;
  // The one end of an attempt.
  virtual void ended(const RequestId& request, AttemptNumber number, const NodeId& node, Result result,
                     AnswerDetail note, Seconds waited, LoadReport report, Content content) = 0;
  // The oldest copy that will do for the request at this moment (Director::oldest_copy). Asked when the first
  // byte of an attempt is about to be written.
  virtual Seconds max_copy_age(const RequestId& request) = 0;
};

class UpstreamNode : public std::enable_shared_from_this<UpstreamNode> {
 public:
  // links counts the connections to all nodes together.
  UpstreamNode(transport::Scheduler& scheduler, const Limits& limits, Counters& counters, std::size_t& links,
               NodeId node, transport::Address address, Attempts& told, flow::Exporter* flows = nullptr,
               ipfix::NodeRole part = ipfix::NodeRole::kUnknown);

  void start();
  // Each of these only posts; the actor acts on them in order.
  void attempt(const RequestId& request, AttemptNumber number,
               std::shared_ptr<const protocol::ForwardedRequest> forwarded_request, const FillOptions& fill,
               Seconds give_up_at);
  void cancel(const RequestId& request, AttemptNumber number);
  void moved(transport::Address address);
  void gone();  // nothing new will come; connections close as their work ends

 private:
  struct Open {
    AttemptNumber number;
    transport::Scheduler::TimerKey timer;
    Seconds written_at = 0;
    bool written = false, moved_on = false;
    ipfix::NameNumber request_class, location;  // for flow records, as is what was written of it
    std::size_t octets = 0;
  };
  class UpstreamConnection;
  using ConnectionPointer = std::shared_ptr<UpstreamConnection>;

  ConnectionPointer choose_link(const RequestId& request);
  // Of the connections that may carry the request the one with least out; null if there is none.
  ConnectionPointer least_used_link(const RequestId& request, bool must_be_up);
  void send(AttemptNumber number, UpstreamMessage message);
  // Looks after an attempt: at until it must have begun, at give_up_at it must have ended.
  transport::Scheduler::TimerKey watch(const RequestId& request, AttemptNumber number, Seconds until,
                                       Seconds give_up_at);
  void give_up(const RequestId& request, AttemptNumber number, Result result);
  void end(const ConnectionPointer& link, const RequestId& request, Result result, AnswerDetail note,
           Seconds waited, LoadReport report, Content content);
  void end_all(const ConnectionPointer& link, Result written, Result unwritten, bool may_move_on);
  // Moves an attempt of which the node has nothing whole to another connection.
  void move_attempt(const ConnectionPointer& from, UpstreamMessage message, const ConnectionPointer& to);
  // The same for the attempts of a connection that did not come up, where others are up and have room.
  void move_to_links_that_are_up(const ConnectionPointer& link);
  void drop(const ConnectionPointer& link);
  void forget(const ConnectionPointer& link);
  void settle(const ConnectionPointer& link);
  void pump(const ConnectionPointer& link);
  void write_again_later(const ConnectionPointer& link);
  bool write_out(const ConnectionPointer& link);
  // Makes the bytes of the message whose first byte is the next to go. False: it may not go any more, its
  // attempt has ended and it is taken out.
  bool prepare_first(const ConnectionPointer& link);
  void wrote(UpstreamConnection& link, std::size_t bytes);
  // For flow records: books what was written of an attempt, and so much read, by how it ended.
  void book(UpstreamConnection& link, Open& open, Result result, AnswerDetail note, std::size_t octets_read);
  static transport::Task<> live(std::shared_ptr<UpstreamNode> self);
  void watch_idle(const ConnectionPointer& link, Seconds until);
  static transport::Task<> run(std::shared_ptr<UpstreamNode> self, ConnectionPointer link);
  transport::Task<> follow(ConnectionPointer link);
  static transport::Task<> drain(std::shared_ptr<UpstreamNode> self, ConnectionPointer link);

  transport::Scheduler& scheduler_;
  const Limits& limits_;
  Counters& counters_;
  std::size_t& links_held_;
  NodeId node_;
  transport::Address address_;
  Attempts& told_;
  flow::Exporter* const flows_;  // null: flows are not exported
  const ipfix::NodeRole part_;
  transport::Mailbox mailbox_;
  std::list<ConnectionPointer> links_;
  bool gone_ = false;
};

}  // namespace hareramp::routing
