#include "routing/upstream_node.hpp"

#include <algorithm>
#include <utility>

#include "routing/late_answers.hpp"

namespace hareramp::routing {

using transport::IoResult;
using transport::IoStatus;
using transport::kNever;
using transport::Scheduler;
using transport::Task;

namespace {
constexpr Seconds kWriteRetryDelay = 0.01;   // s: after a failed write on a connection that is still up
constexpr Seconds kMemoryRetryDelay = 0.01;  // s: while there is no memory for an answer
}  // namespace

class UpstreamNode::UpstreamConnection : public protocol::AnswerHandler {
 public:
  enum class State { kConnecting, kUp, kClosed };

  UpstreamConnection(UpstreamNode& owner, const Limits& limits)
      : node(owner),
        read_buffer(limits.retained_buffer),
        read_memory(owner.answer_memory()),
        late_answers(owner.resources_.expected_late_answers),
        second_answers(owner.resources_.expected_late_answers),
        parser(limits.max_answer_line, limits.max_answer_body) {}

  void answer(std::string_view id, Result result, AnswerDetail detail, Seconds waited, bool same_copy,
              std::string_view tag, const LoadReport& report, std::string_view body) override {
    const RequestId request{std::string(id)};
    if (!open_attempts.contains(request)) {
      ++node.counters_.late_answers;  // cancelled or abandoned while the answer was on its way
      return;
    }
    node.counters_.bytes_filled += body.size();
    node.record_flow(*this, open_attempts.at(request), result, detail, parser.answer_bytes());
    // Guards against a node that accepts more connections than it serves, and rejects every request on the
    // excess ones for as long as they are open: a connection on which the node has only rejected requests
    // gets no further attempt, and the next one goes out on another connection. This applies to an overloaded
    // node too; the cost there is a new connection, from each of many directors, until a request has been
    // served on one.
    const bool rejected = result == Result::kRejected && detail == AnswerDetail::kNone;
    if (rejected && !served && !std::exchange(retiring, true)) ++node.counters_.links_turned_away;
    served = served || !rejected;
    // The answer may arrive twice, and the request be retried or another come under its id.
    (result == Result::kCompleted ? second_answers : late_answers).expect(request, Scheduler::now());
    node.limit_late_answers();
    Content content{same_copy, std::string(tag), std::string(body), detail, node.answer_memory()};
    content.memory.resize(body.size());
    node.end_attempt(weak_self.lock(), request, result, detail, waited, report, std::move(content));
  }

  void unknown_field(std::string_view) override { ++node.counters_.unknown_fields; }
  // Whether the first byte of the request's message has been written.
  bool write_started(const RequestId& request) const {
    if (!outgoing.empty() && outgoing.front().request == request) return first_message_bytes_written > 0;
    return std::none_of(outgoing.begin(), outgoing.end(),
                        [&](const UpstreamMessage& message) { return message.request == request; });
  }

  // Whether the node may still answer an earlier attempt under this id on this connection.
  bool may_answer(const RequestId& request, Seconds now) {
    const Limits& limits = node.limits_;
    late_answers.expire(now - limits.node_idle_timeout);
    second_answers.expire(now - limits.second_answer_window);
    return late_answers.expects(request) || second_answers.expects(request);
  }

  std::size_t expected_answers() const { return late_answers.size() + second_answers.size(); }

  UpstreamNode& node;
  std::weak_ptr<UpstreamConnection> weak_self;
  State state = State::kConnecting;
  transport::Socket socket;
  flow::FlowObserver* flow_observer = nullptr;  // owned by the socket; null once that is closed
  transport::Buffer read_buffer;
  policy::MemoryCharge read_memory;  // of the answer in read_buffer
  LateAnswers late_answers;          // to attempts that did not complete
  LateAnswers second_answers;        // to attempts that did
  protocol::AnswerParser parser;
  std::deque<UpstreamMessage> outgoing;
  std::size_t first_message_bytes_written = 0;  // bytes written of the first message in outgoing
  bool write_retry_scheduled = false;           // after a failed write
  bool awaiting_writable = false, retiring = false, suspect = false;
  bool served = false;  // the node has answered something other than a plain rejection on this connection
  std::map<RequestId, OpenAttempt> open_attempts;
  Seconds last_read_at = 0;
  Seconds idle_since = 0;
  bool idle_timer_set = false;
};

UpstreamNode::UpstreamNode(Scheduler& scheduler, const Limits& limits, Counters& counters,
                           UpstreamResources& resources, NodeId node, transport::Address address,
                           AttemptObserver& observer, flow::Exporter* flows, ipfix::NodeRole role)
    : scheduler_(scheduler),
      limits_(limits),
      counters_(counters),
      resources_(resources),
      node_(std::move(node)),
      address_(address),
      observer_(observer),
      flows_(flows),
      role_(role),
      mailbox_(scheduler) {}

void UpstreamNode::start() { scheduler_.spawn(serve_mailbox(shared_from_this())); }

Task<> UpstreamNode::serve_mailbox(std::shared_ptr<UpstreamNode> self) { co_await self->mailbox_.serve(); }

void UpstreamNode::attempt(const RequestId& request, AttemptNumber number,
                           std::shared_ptr<const protocol::ForwardedRequest> forwarded_request,
                           const FillOptions& fill, Seconds give_up_at) {
  mailbox_.post(
      [this, number,
       message = UpstreamMessage::attempt(request, std::move(forwarded_request), fill,
                                          give_up_at)]() mutable { send(number, std::move(message)); });
}

void UpstreamNode::cancel(const RequestId& request, AttemptNumber number) {
  mailbox_.post([this, request, number] { abandon_attempt(request, number, Result::kCancelled); });
}

// Attempts that have been sent stay on connections to the old address until they end; all others go to the
// new one. By the time a connection to the old address came up, another process might be there.
void UpstreamNode::set_address(transport::Address address) {
  mailbox_.post([this, address] {
    address_ = address;
    const std::list<ConnectionPointer> connections(connections_);
    for (const ConnectionPointer& connection : connections) connection->retiring = true;
    for (const ConnectionPointer& connection : connections) {
      release_unsent(connection);
      handle_idle(connection);
    }
  });
}

void UpstreamNode::retire() {
  mailbox_.post([this] {
    retired_ = true;
    for (const ConnectionPointer& connection : std::list<ConnectionPointer>(connections_)) {
      release_unsent(connection);
      handle_idle(connection);
    }
    if (connections_.empty()) mailbox_.close();
  });
}

void UpstreamNode::release_unsent(const ConnectionPointer& connection) {
  if (connection->state == UpstreamConnection::State::kConnecting) return close_connection(connection);
  for (std::size_t left = connection->outgoing.size(); left > 0; --left) {
    UpstreamMessage message = std::move(connection->outgoing.front());
    connection->outgoing.pop_front();
    const auto attempt = connection->open_attempts.find(message.request);
    const bool first_started =
        left == connection->outgoing.size() + 1 && connection->first_message_bytes_written > 0;
    if (attempt == connection->open_attempts.end() || first_started) {
      connection->outgoing.push_back(std::move(message));
      continue;
    }
    const RequestId request = message.request;
    const ConnectionPointer other = retired_ || attempt->second.moved ? nullptr : choose_connection(request);
    attempt->second.moved = true;
    if (other)
      move_attempt(connection, std::move(message), other);
    else
      end_attempt(connection, request, Result::kNotSent, AnswerDetail::kNone, 0, {}, {});
  }
}

// Chooses a connection that may carry this request: one without open attempts, else a new one, else the one
// with the fewest open attempts. Guards against resets, and against answers that are malformed, incomplete or
// never arrive: all other attempts that are open on such a connection are lost with it. The cost is
// descriptors, and a connection set up now and then. A connection never carries the same request id twice,
// not even while an answer to an earlier attempt may still arrive: nothing in the protocol would tell the two
// answers apart.
UpstreamNode::ConnectionPointer UpstreamNode::choose_connection(const RequestId& request) {
  ConnectionPointer least_loaded = least_loaded_connection(request, false);
  if (least_loaded && least_loaded->open_attempts.empty()) return least_loaded;
  if (connections_.size() >= limits_.max_connections_per_node ||
      resources_.connections >= limits_.max_node_connections)
    return least_loaded;
  auto connection = std::make_shared<UpstreamConnection>(*this, limits_);
  connection->weak_self = connection;
  connections_.push_back(connection);
  ++resources_.connections;
  scheduler_.spawn(run_connection(shared_from_this(), connection));
  return connection;
}

UpstreamNode::ConnectionPointer UpstreamNode::least_loaded_connection(const RequestId& request,
                                                                      bool must_be_up) {
  const Seconds now = Scheduler::now();
  ConnectionPointer least_loaded;
  for (const ConnectionPointer& connection : connections_) {
    if (must_be_up && connection->state != UpstreamConnection::State::kUp) continue;
    if (connection->retiring || connection->suspect ||
        connection->open_attempts.size() >= limits_.max_attempts_per_connection)
      continue;
    if (connection->open_attempts.contains(request) || connection->may_answer(request, now)) continue;
    if (connection->open_attempts.empty() && connection->state == UpstreamConnection::State::kUp &&
        connection->socket.closed_by_peer())
      continue;
    if (!least_loaded || connection->open_attempts.size() < least_loaded->open_attempts.size())
      least_loaded = connection;
  }
  return least_loaded;
}

void UpstreamNode::send(AttemptNumber number, UpstreamMessage message) {
  const RequestId request = message.request;
  const Seconds now = Scheduler::now();
  const ConnectionPointer connection = message.may_be_sent(now) ? choose_connection(request) : nullptr;
  if (!connection)
    return observer_.attempt_ended(request, number, node_, Result::kNotSent, AnswerDetail::kNone, 0, {}, {});
  const Seconds give_up_at = message.give_up_at;
  OpenAttempt open_attempt;
  open_attempt.number = number;
  open_attempt.request_class = {message.forwarded_request->request_class_number};
  open_attempt.location = {message.forwarded_request->location_number};
  open_attempt.timer =
      set_attempt_timer(request, number, std::min(give_up_at, now + limits_.send_start_timeout), give_up_at);
  connection->open_attempts.emplace(request, open_attempt);
  connection->outgoing.push_back(std::move(message));
  start_writing(connection);
}

Scheduler::TimerKey UpstreamNode::set_attempt_timer(const RequestId& request, AttemptNumber number,
                                                    Seconds until, Seconds give_up_at) {
  return scheduler_.at(until, [weak = weak_from_this(), request, number, give_up_at] {
    const auto node = weak.lock();
    if (!node) return;
    for (const ConnectionPointer& connection : node->connections_) {
      const auto found = connection->open_attempts.find(request);
      if (found == connection->open_attempts.end() || found->second.number != number) continue;
      if (!connection->write_started(request) || Scheduler::now() >= give_up_at) break;
      found->second.timer = node->set_attempt_timer(request, number, give_up_at, give_up_at);
      return;
    }
    node->abandon_attempt(request, number, Result::kTimedOut);
  });
}

void UpstreamNode::abandon_attempt(const RequestId& request, AttemptNumber number, Result result) {
  for (const ConnectionPointer& connection : std::list<ConnectionPointer>(connections_)) {
    const auto found = connection->open_attempts.find(request);
    if (found == connection->open_attempts.end() || found->second.number != number) continue;
    const OpenAttempt open_attempt = found->second;
    if (!open_attempt.written) {
      // The node has not received the whole command, so the attempt never ran: no connection came up, or the
      // node does not read. If part of the command has been written, the node must not get the rest: the
      // connection is closed, and the other attempts written to it may have run. If nothing has been written,
      // the command must not be sent later either, when the node may long have been drained, or with an age
      // bound from before a purge.
      const bool started = connection->write_started(request);
      end_attempt(connection, request, result == Result::kTimedOut ? Result::kUnreachable : Result::kNotSent,
                  AnswerDetail::kNone, 0, {}, {});
      if (started) return close_connection(connection);
      std::erase_if(connection->outgoing,
                    [&](const UpstreamMessage& message) { return message.request == request; });
      return handle_idle(connection);
    }
    const Seconds now = Scheduler::now();
    connection->late_answers.expect(request, now);
    limit_late_answers();
    connection->outgoing.push_back(UpstreamMessage::cancel(request));
    // Guards against a node that disappears without closing its connections, which then look open for ever,
    // and against a network path that is broken. The cost: a new connection where the node was only slow.
    if (connection->last_read_at < open_attempt.written_at &&
        now - open_attempt.written_at > limits_.suspect_timeout) {
      connection->suspect = true;
      ++counters_.links_doubted;
    }
    end_attempt(connection, request, result, AnswerDetail::kNone, 0, {}, {});
    if (connection->state == UpstreamConnection::State::kUp) start_writing(connection);
    return;
  }
}

void UpstreamNode::end_attempt(const ConnectionPointer& connection, const RequestId& request, Result result,
                               AnswerDetail detail, Seconds waited, LoadReport report, Content content) {
  const auto found = connection->open_attempts.find(request);
  const AttemptNumber number = found->second.number;
  record_flow(*connection, found->second, result, detail, 0);
  scheduler_.cancel(found->second.timer);
  connection->open_attempts.erase(found);
  observer_.attempt_ended(request, number, node_, result, detail, waited, std::move(report),
                          std::move(content));
  handle_idle(connection);
}

// Closes a connection without open attempts at once if it must not be used again, and otherwise after
// node_idle_timeout, which is before the node closes it: an attempt sent while the node closes the connection
// would count as one that may have run.
void UpstreamNode::handle_idle(const ConnectionPointer& connection) {
  if (connection->state != UpstreamConnection::State::kUp || !connection->open_attempts.empty()) return;
  if (connection->retiring || connection->suspect || retired_) {
    scheduler_.at(Scheduler::now(), [node = shared_from_this(), connection] {
      if (connection->open_attempts.empty()) node->close_connection(connection);
    });
    return;
  }
  connection->idle_since = Scheduler::now();
  if (!std::exchange(connection->idle_timer_set, true))
    set_idle_timer(connection, connection->idle_since + limits_.node_idle_timeout);
}

// Guards against memory that grows with requests which end without success at full speed: an error answer, an
// attempt given up. The cost: a new connection to this node.
void UpstreamNode::limit_late_answers() {
  if (resources_.expected_late_answers <= limits_.max_expected_late_answers) return;
  ConnectionPointer largest;
  for (const ConnectionPointer& connection : connections_)
    if (!connection->retiring && (!largest || connection->expected_answers() > largest->expected_answers()))
      largest = connection;
  if (!largest) return;
  largest->retiring = true;
  ++counters_.links_forgetting;
  handle_idle(largest);
}

void UpstreamNode::set_idle_timer(const ConnectionPointer& connection, Seconds until) {
  scheduler_.at(until,
                [weak = weak_from_this(), weak_connection = std::weak_ptr<UpstreamConnection>(connection)] {
                  const auto node = weak.lock();
                  const ConnectionPointer idle_connection = weak_connection.lock();
                  if (!idle_connection) return;
                  idle_connection->idle_timer_set = false;
                  if (!node || idle_connection->state != UpstreamConnection::State::kUp ||
                      !idle_connection->open_attempts.empty())
                    return;
                  const Seconds due = idle_connection->idle_since + node->limits_.node_idle_timeout;
                  if (Scheduler::now() < due) {
                    idle_connection->idle_timer_set = true;
                    return node->set_idle_timer(idle_connection, due);
                  }
                  ++node->counters_.links_idle;
                  node->close_connection(idle_connection);
                });
}

// Closes the connection. Its open attempts end as broken where the command was written whole, so that they
// may have run; the others are moved to another connection or end as not sent.
void UpstreamNode::close_connection(const ConnectionPointer& connection) {
  if (connection->state == UpstreamConnection::State::kClosed) return;
  connection->state = UpstreamConnection::State::kClosed;
  for (auto& [request, open_attempt] : connection->open_attempts)
    record_flow(*connection, open_attempt, open_attempt.written ? Result::kBroken : Result::kNotSent,
                AnswerDetail::kNone, 0);
  connection->flow_observer = nullptr;  // destroyed when the socket closes
  connection->socket.close();
  connection->late_answers.clear();
  connection->second_answers.clear();
  if (!connection->open_attempts.empty()) ++counters_.links_broken;
  remove_connection(connection);
  end_attempts(connection, Result::kBroken, Result::kNotSent, true);
}

void UpstreamNode::remove_connection(const ConnectionPointer& connection) {
  connections_.remove(connection);
  --resources_.connections;
  if (retired_ && connections_.empty()) mailbox_.close();
}

// An attempt whose command was not written whole never ran. It is moved to another connection, once, where
// may_move_on allows that: the reset of one connection says little about the node.
void UpstreamNode::end_attempts(const ConnectionPointer& connection, Result written, Result unwritten,
                                bool may_move_on) {
  while (!connection->open_attempts.empty()) {
    const RequestId request = connection->open_attempts.begin()->first;
    OpenAttempt& open_attempt = connection->open_attempts.begin()->second;
    const auto message =
        std::find_if(connection->outgoing.begin(), connection->outgoing.end(),
                     [&](const UpstreamMessage& candidate) { return candidate.request == request; });
    ConnectionPointer other;
    if (!open_attempt.written && !open_attempt.moved && may_move_on && !retired_ &&
        message != connection->outgoing.end())
      other = choose_connection(request);
    if (!other) {
      end_attempt(connection, request, open_attempt.written ? written : unwritten, AnswerDetail::kNone, 0, {},
                  {});
      continue;
    }
    ++counters_.moved_on;
    open_attempt.moved = true;
    move_attempt(connection, std::move(*message), other);
  }
  connection->outgoing.clear();
}

void UpstreamNode::move_attempt(const ConnectionPointer& from, UpstreamMessage message,
                                const ConnectionPointer& to) {
  to->open_attempts.insert(from->open_attempts.extract(message.request));
  message.bytes.clear();  // out of date by the time they are written to the other connection
  to->outgoing.push_back(std::move(message));
  start_writing(to);
}

void UpstreamNode::move_to_connected(const ConnectionPointer& connection) {
  for (std::size_t left = connection->outgoing.size(); left > 0; --left) {
    UpstreamMessage message = std::move(connection->outgoing.front());
    connection->outgoing.pop_front();
    const ConnectionPointer other = least_loaded_connection(message.request, true);
    if (other) {
      move_attempt(connection, std::move(message), other);
    } else {
      connection->outgoing.push_back(std::move(message));
    }
  }
}

void UpstreamNode::record_flow(UpstreamConnection& connection, OpenAttempt& open_attempt, Result result,
                               AnswerDetail detail, std::size_t octets_read) {
  if (!connection.flow_observer) return;
  using ipfix::Outcome;
  Outcome outcome = Outcome::kFailed;
  if (result == Result::kCompleted) outcome = Outcome::kCompleted;
  if (result == Result::kCancelled) outcome = Outcome::kCancelled;
  if (result == Result::kRejected || result == Result::kNotSent || result == Result::kAbsent ||
      result == Result::kUnreachable)
    outcome = Outcome::kRejected;
  const std::size_t written = std::exchange(open_attempt.octets_written, 0);
  if (written + octets_read == 0) return;  // nothing was transferred, or it has been recorded already
  const ipfix::Label label{open_attempt.request_class, open_attempt.location, outcome,
                           static_cast<std::uint8_t>(detail)};
  connection.flow_observer->attribute_written(label, written);
  connection.flow_observer->attribute_read(label, octets_read);
  connection.flow_observer->request_ended(label);
}

// Counts these bytes of the first message as written, and marks its attempt as written once the message is
// whole.
void UpstreamNode::count_written(UpstreamConnection& connection, std::size_t bytes) {
  const UpstreamMessage& first = connection.outgoing.front();
  const auto found = connection.open_attempts.find(first.request);
  const bool of_attempt = found != connection.open_attempts.end();
  if (of_attempt) found->second.octets_written += bytes;
  connection.first_message_bytes_written += bytes;
  if (connection.first_message_bytes_written < first.size()) return;
  if (of_attempt) {
    found->second.written = true;
    found->second.written_at = Scheduler::now();
  }
  connection.first_message_bytes_written = 0;
  connection.outgoing.pop_front();
}

bool UpstreamNode::encode_first(const ConnectionPointer& connection) {
  UpstreamMessage& message = connection->outgoing.front();
  const Seconds now = Scheduler::now();
  if (message.may_be_sent(now) &&
      (!message.forwarded_request || observer_.may_start_attempt(node_, message.fill.source))) {
    if (message.forwarded_request)
      message.encode(now, node_, observer_.max_copy_age(message.request), limits_.final_write_delay > 0);
    return true;
  }
  const RequestId request = message.request;
  connection->outgoing.pop_front();
  end_attempt(connection, request, Result::kNotSent, AnswerDetail::kNone, 0, {}, {});
  return false;
}

// Writes as much as the socket accepts. False: the rest must wait until the socket is writable.
// The last bytes of a write are held back for final_write_delay: until they are sent, the write cannot have
// run. Guards against connections that are reset when new, when idle or while a request arrives: it would be
// unknown whether the write has run, so it could not be retried. The cost is this delay on each write.
bool UpstreamNode::write_pending(const ConnectionPointer& connection) {
  while (!connection->outgoing.empty()) {
    if (connection->first_message_bytes_written == 0 && !encode_first(connection)) continue;
    UpstreamMessage& message = connection->outgoing.front();
    const std::size_t immediate_size = message.size() - message.held_back;
    const bool immediate_written = connection->first_message_bytes_written >= immediate_size;
    if (immediate_written && message.held_back > 0) {
      const Seconds now = Scheduler::now();
      if (message.release_at == 0) {
        message.release_at = now + limits_.final_write_delay;
        scheduler_.at(message.release_at,
                      [self = shared_from_this(), connection] { self->start_writing(connection); });
      }
      if (now < message.release_at) return true;
    }
    const std::string_view bytes = message.piece(connection->first_message_bytes_written,
                                                 immediate_written ? message.size() : immediate_size);
    const IoResult io = connection->socket.write_now(bytes);
    count_written(*connection, io.bytes);
    if (io.status == IoStatus::kTimedOut) return false;
    if (!io.ok()) {  // the read loop closes the connection, after reading what the node still sent
      schedule_write_retry(connection);
      return true;
    }
  }
  return true;
}

// Guards against a write that fails for lack of memory on our own side: the connection stays up, and no event
// would say when to write again. The cost: a futile try where the read loop has not yet seen that the
// connection has ended.
void UpstreamNode::schedule_write_retry(const ConnectionPointer& connection) {
  if (std::exchange(connection->write_retry_scheduled, true)) return;
  scheduler_.at(Scheduler::now() + kWriteRetryDelay, [self = shared_from_this(), connection] {
    connection->write_retry_scheduled = false;
    self->start_writing(connection);
  });
}

void UpstreamNode::start_writing(const ConnectionPointer& connection) {
  if (connection->state != UpstreamConnection::State::kUp || connection->awaiting_writable ||
      write_pending(connection))
    return;
  connection->awaiting_writable = true;
  scheduler_.spawn(write_when_ready(shared_from_this(), connection));
}

// Tries to write before each wait: space that was freed in between is not reported again.
Task<> UpstreamNode::write_when_ready(std::shared_ptr<UpstreamNode> self, ConnectionPointer connection) {
  try {
    while (connection->state == UpstreamConnection::State::kUp && !self->write_pending(connection)) {
      const transport::WaitResult wake = co_await connection->socket.writable(kNever);
      if (wake != transport::WaitResult::kReady) break;
    }
  } catch (...) {  // for example no memory for the bytes: nothing else would write them later
    self->close_connection(connection);
    throw;
  }
  connection->awaiting_writable = false;
}

Task<> UpstreamNode::run_connection(std::shared_ptr<UpstreamNode> self, ConnectionPointer connection) {
  try {
    co_await self->connect_and_read(connection);
  } catch (...) {  // for example no memory for what was read: the connection is closed, and the scheduler
                   // reports the exception
    self->close_connection(connection);
    throw;
  }
  self->close_connection(connection);
}

policy::MemoryCharge UpstreamNode::answer_memory() const {
  if (!resources_.memory_budget) return {};
  return {*resources_.memory_budget, policy::MemoryUse::kAnswers};
}

// Guards against answers that all nodes send at once, or stop halfway, while clients have not taken those
// before. An answer that does not fit stays with its node; the attempt's own time limits apply meanwhile.
Task<bool> UpstreamNode::wait_for_memory(ConnectionPointer connection) {
  const std::size_t missing = connection->parser.missing_bytes();
  if (missing == 0 || connection->read_memory.try_resize(connection->read_buffer.size() + missing))
    co_return true;
  ++counters_.answers_paused;
  while (connection->state == UpstreamConnection::State::kUp) {
    co_await scheduler_.sleep_until(Scheduler::now() + kMemoryRetryDelay);
    connection->last_read_at = Scheduler::now();  // the pause is not the node's
    if (connection->read_memory.try_resize(connection->read_buffer.size() + missing)) break;
  }
  co_return connection->state == UpstreamConnection::State::kUp;
}

Task<> UpstreamNode::connect_and_read(ConnectionPointer connection) {
  const Seconds until = Scheduler::now() + limits_.connect_timeout;
  transport::ConnectResult connected = co_await transport::connect(scheduler_, address_, until);
  if (connection->state == UpstreamConnection::State::kClosed) co_return;  // it is not needed any more
  if (connected.status != transport::ConnectStatus::kConnected) {
    ++counters_.links_failed;
    const bool local_failure = connected.status == transport::ConnectStatus::kLocalFailure;
    const bool reset = connected.status == transport::ConnectStatus::kReset;
    connection->state = UpstreamConnection::State::kClosed;
    remove_connection(connection);
    if (local_failure) move_to_connected(connection);
    end_attempts(connection, Result::kBroken, local_failure ? Result::kLocalFailure : Result::kUnreachable,
                 reset);
    co_return;
  }
  ++counters_.links_opened;
  connection->socket = std::move(connected.socket);
  if (flows_) {
    auto flow_observer = flows_->observe_node(connection->socket.descriptor(), role_, node_.value);
    connection->flow_observer = flow_observer.get();
    connection->socket.observe(std::move(flow_observer));
  }
  connection->state = UpstreamConnection::State::kUp;
  connection->last_read_at = Scheduler::now();
  start_writing(connection);
  handle_idle(connection);
  while (connection->state == UpstreamConnection::State::kUp) {
    if (!co_await wait_for_memory(connection)) break;
    const std::size_t read_room = std::max(limits_.read_size, connection->parser.missing_bytes());
    // Guards against an answer that stops halfway: nothing after it on this connection could be read any
    // more.
    const bool mid_answer = connection->read_buffer.size() > 0;
    const IoResult io = co_await connection->socket.read(
        connection->read_buffer, read_room,
        mid_answer ? connection->last_read_at + limits_.answer_stall_timeout : kNever);
    if (io.status == IoStatus::kTimedOut) ++counters_.links_stalled;
    if (!io.ok()) break;
    connection->last_read_at = Scheduler::now();
    connection->suspect = false;
    std::size_t consumed = 0;
    const bool parsed = connection->parser.parse(connection->read_buffer.view(), consumed, *connection);
    connection->read_buffer.consume(consumed);
    connection->read_memory.resize(connection->read_buffer.size());
    if (parsed) continue;
    ++counters_.bad_answers;
    break;
  }
}

}  // namespace hareramp::routing
