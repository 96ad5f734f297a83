#include "routing/upstream_node.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace hareramp::routing {

using transport::IoResult;
using transport::IoStatus;
using transport::kNever;
using transport::Scheduler;
using transport::Task;

namespace {
constexpr Seconds kWriteAgain = 0.01;  // s: after a write that failed, while the connection stands
}  // namespace

class UpstreamNode::UpstreamConnection : public protocol::AnswerHandler {
 public:
  enum class State { kConnecting, kUp, kClosed };

  UpstreamConnection(UpstreamNode& owner, const Limits& limits)
      : peer(owner), in(limits.retained_buffer), parser(limits.max_answer_line, limits.max_answer_body) {}

  void answer(std::string_view id, Result result, AnswerDetail note, Seconds waited, bool same_copy,
              std::string_view tag, const LoadReport& report, std::string_view body) override {
    const RequestId request{std::string(id)};
    if (!open.contains(request)) {
      ++peer.counters_.late_answers;  // called off or given up while the answer was on its way
      return;
    }
    peer.counters_.bytes_filled += body.size();
    peer.book(*this, open.at(request), result, note, parser.answer_bytes());
    // Guards against a node that takes more connections than it serves and turns away whatever comes on those
    // too many, for as long as they stand: what comes next goes out on another. Also meets a node that is
    // full; there it costs a connection set up anew, by each of many directors, until one has been served.
    const bool turned_away = result == Result::kRejected && note == AnswerDetail::kNone;
    if (turned_away && !served && !std::exchange(retiring, true)) ++peer.counters_.links_turned_away;
    served = served || !turned_away;
    if (result != Result::kCompleted) remember(request);  // it may come again, and its answer may come twice
    peer.end(self.lock(), request, result, note, waited, report,
             Content{same_copy, std::string(tag), std::string(body), note});
  }

  void unknown_field(std::string_view) override { ++peer.counters_.unknown_fields; }
  void remember(const RequestId& request) {
    heard_of.insert(request);
    heard_of_at.emplace_back(Scheduler::now(), request);
  }
  void forget_until(Seconds old) {
    for (; !heard_of_at.empty() && heard_of_at.front().first < old; heard_of_at.pop_front())
      heard_of.erase(heard_of_at.front().second);
  }
  // The first byte of it has left.
  bool begun(const RequestId& request) const {
    if (!out.empty() && out.front().request == request) return out_sent > 0;
    return std::none_of(out.begin(), out.end(),
                        [&](const UpstreamMessage& piece) { return piece.request == request; });
  }

  UpstreamNode& peer;
  std::weak_ptr<UpstreamConnection> self;
  State state = State::kConnecting;
  transport::Socket socket;
  flow::FlowObserver* tap = nullptr;  // in the socket, as long as that is open
  transport::Buffer in;
  protocol::AnswerParser parser;
  std::deque<UpstreamMessage> out;
  std::size_t out_sent = 0;   // bytes of the first piece that are written
  bool writes_again = false;  // after a write that failed, in a moment
  bool draining = false, retiring = false, suspect = false;
  bool served = false;  // the node has answered something on it but that it is full
  std::map<RequestId, Open> open;
  std::set<RequestId> heard_of;  // given up or answered, but not completed: an answer may still come
  std::deque<std::pair<Seconds, RequestId>> heard_of_at;
  Seconds heard_at = 0;
  Seconds idle_since = 0;
  bool idle_watched = false;
};

UpstreamNode::UpstreamNode(Scheduler& scheduler, const Limits& limits, Counters& counters, std::size_t& links,
                           NodeId node, transport::Address address, Attempts& told, flow::Exporter* flows,
                           ipfix::NodeRole part)
    : scheduler_(scheduler),
      limits_(limits),
      counters_(counters),
      links_held_(links),
      node_(std::move(node)),
      address_(address),
      told_(told),
      flows_(flows),
      part_(part),
      mailbox_(scheduler) {}

void UpstreamNode::start() { scheduler_.spawn(live(shared_from_this())); }

Task<> UpstreamNode::live(std::shared_ptr<UpstreamNode> self) { co_await self->mailbox_.serve(); }

void UpstreamNode::attempt(const RequestId& request, AttemptNumber number,
                           std::shared_ptr<const protocol::ForwardedRequest> forwarded_request,
                           const FillOptions& fill, Seconds give_up_at) {
  mailbox_.post(
      [this, number,
       message = UpstreamMessage::attempt(request, std::move(forwarded_request), fill,
                                          give_up_at)]() mutable { send(number, std::move(message)); });
}

void UpstreamNode::cancel(const RequestId& request, AttemptNumber number) {
  mailbox_.post([this, request, number] { give_up(request, number, Result::kCancelled); });
}

// What is out stays with the old address until it ends; only new work goes to the new one.
void UpstreamNode::moved(transport::Address address) {
  mailbox_.post([this, address] {
    address_ = address;
    for (const ConnectionPointer& link : std::list<ConnectionPointer>(links_)) {
      link->retiring = true;
      settle(link);
    }
  });
}

void UpstreamNode::gone() {
  mailbox_.post([this] {
    gone_ = true;
    for (const ConnectionPointer& link : std::list<ConnectionPointer>(links_)) settle(link);
    if (links_.empty()) mailbox_.close();
  });
}

// A connection that may carry this request: one with nothing out, else a new one, else the one with least
// out. Guards against an answer that can't be read, stops short or never comes, and against resets: whatever
// else is out on such a connection is lost with it. Costs descriptors, and a connection set up now and then.
// The same id may not be there twice, also not while an answer to an earlier attempt may still come: nothing
// on the wire would tell the two apart.
UpstreamNode::ConnectionPointer UpstreamNode::choose_link(const RequestId& request) {
  ConnectionPointer least = least_used_link(request, false);
  if (least && least->open.empty()) return least;
  if (links_.size() >= limits_.max_connections_per_node || links_held_ >= limits_.max_node_connections)
    return least;
  auto link = std::make_shared<UpstreamConnection>(*this, limits_);
  link->self = link;
  links_.push_back(link);
  ++links_held_;
  scheduler_.spawn(run(shared_from_this(), link));
  return link;
}

UpstreamNode::ConnectionPointer UpstreamNode::least_used_link(const RequestId& request, bool must_be_up) {
  const Seconds old = Scheduler::now() - limits_.node_idle_timeout;
  ConnectionPointer least;
  for (const ConnectionPointer& link : links_) {
    if (must_be_up && link->state != UpstreamConnection::State::kUp) continue;
    if (link->retiring || link->suspect || link->open.size() >= limits_.max_attempts_per_connection) continue;
    link->forget_until(old);
    if (link->open.contains(request) || link->heard_of.contains(request)) continue;
    if (link->open.empty() && link->state == UpstreamConnection::State::kUp && link->socket.closed_by_peer())
      continue;
    if (!least || link->open.size() < least->open.size()) least = link;
  }
  return least;
}

void UpstreamNode::send(AttemptNumber number, UpstreamMessage message) {
  const RequestId request = message.request;
  const Seconds now = Scheduler::now();
  const ConnectionPointer link = message.may_begin(now) ? choose_link(request) : nullptr;
  if (!link) return told_.ended(request, number, node_, Result::kNotSent, AnswerDetail::kNone, 0, {}, {});
  const Seconds give_up_at = message.give_up_at;
  Open open;
  open.number = number;
  open.request_class = {message.forwarded_request->request_class_number};
  open.location = {message.forwarded_request->location_number};
  open.timer = watch(request, number, std::min(give_up_at, now + limits_.send_start_timeout), give_up_at);
  link->open.emplace(request, open);
  link->out.push_back(std::move(message));
  pump(link);
}

Scheduler::TimerKey UpstreamNode::watch(const RequestId& request, AttemptNumber number, Seconds until,
                                        Seconds give_up_at) {
  return scheduler_.at(until, [weak = weak_from_this(), request, number, give_up_at] {
    const auto peer = weak.lock();
    if (!peer) return;
    for (const ConnectionPointer& link : peer->links_) {
      const auto found = link->open.find(request);
      if (found == link->open.end() || found->second.number != number) continue;
      if (!link->begun(request) || Scheduler::now() >= give_up_at) break;
      found->second.timer = peer->watch(request, number, give_up_at, give_up_at);
      return;
    }
    peer->give_up(request, number, Result::kTimedOut);
  });
}

void UpstreamNode::give_up(const RequestId& request, AttemptNumber number, Result result) {
  for (const ConnectionPointer& link : std::list<ConnectionPointer>(links_)) {
    const auto found = link->open.find(request);
    if (found == link->open.end() || found->second.number != number) continue;
    const Open open = found->second;
    if (!open.written) {
      // It has not come whole to the node, so it never ran: no connection came up, or the node does not read.
      // If a part of it is on the way, the node must not get the rest: the connection goes, and what else was
      // out on it may have run. If none is, it must not go out later either, once the node has long been
      // drained, or with the age bound of a time before a purge.
      const bool begun = link->begun(request);
      end(link, request, result == Result::kTimedOut ? Result::kUnreachable : Result::kNotSent,
          AnswerDetail::kNone, 0, {}, {});
      if (begun) return drop(link);
      std::erase_if(link->out, [&](const UpstreamMessage& piece) { return piece.request == request; });
      return settle(link);
    }
    const Seconds now = Scheduler::now();
    link->remember(request);
    link->out.push_back(UpstreamMessage::cancel(request));
    // Guards against a node that vanished without a word: its connections look open for ever. Also meets a
    // path that went dead. Costs a connection set up anew where a node was only slow.
    if (link->heard_at < open.written_at && now - open.written_at > limits_.suspect_timeout) {
      link->suspect = true;
      ++counters_.links_doubted;
    }
    end(link, request, result, AnswerDetail::kNone, 0, {}, {});
    if (link->state == UpstreamConnection::State::kUp) pump(link);
    return;
  }
}

void UpstreamNode::end(const ConnectionPointer& link, const RequestId& request, Result result,
                       AnswerDetail note, Seconds waited, LoadReport report, Content content) {
  const auto found = link->open.find(request);
  const AttemptNumber number = found->second.number;
  book(*link, found->second, result, note, 0);
  scheduler_.cancel(found->second.timer);
  link->open.erase(found);
  told_.ended(request, number, node_, result, note, waited, std::move(report), std::move(content));
  settle(link);
}

// A connection with nothing out closes if it is not to be used again, and else after a while, before the
// node does: an attempt that crosses the node's close would count as one that may have run.
void UpstreamNode::settle(const ConnectionPointer& link) {
  if (link->state != UpstreamConnection::State::kUp || !link->open.empty()) return;
  if (link->retiring || link->suspect || gone_) {
    scheduler_.at(Scheduler::now(), [peer = shared_from_this(), link] {
      if (link->open.empty()) peer->drop(link);
    });
    return;
  }
  link->idle_since = Scheduler::now();
  if (!std::exchange(link->idle_watched, true))
    watch_idle(link, link->idle_since + limits_.node_idle_timeout);
}

void UpstreamNode::watch_idle(const ConnectionPointer& link, Seconds until) {
  scheduler_.at(until, [weak = weak_from_this(), link] {
    const auto peer = weak.lock();
    link->idle_watched = false;
    if (!peer || link->state != UpstreamConnection::State::kUp || !link->open.empty()) return;
    const Seconds due = link->idle_since + peer->limits_.node_idle_timeout;
    if (Scheduler::now() < due) {
      link->idle_watched = true;
      return peer->watch_idle(link, due);
    }
    ++peer->counters_.links_idle;
    peer->drop(link);
  });
}

// Ends the connection; what is out on it ends by what is known of it.
void UpstreamNode::drop(const ConnectionPointer& link) {
  if (link->state == UpstreamConnection::State::kClosed) return;
  link->state = UpstreamConnection::State::kClosed;
  for (auto& [request, open] : link->open)
    book(*link, open, open.written ? Result::kBroken : Result::kNotSent, AnswerDetail::kNone, 0);
  link->tap = nullptr;  // goes with the socket
  link->socket.close();
  if (!link->open.empty()) ++counters_.links_broken;
  forget(link);
  end_all(link, Result::kBroken, Result::kNotSent, true);
}

void UpstreamNode::forget(const ConnectionPointer& link) {
  links_.remove(link);
  --links_held_;
  if (gone_ && links_.empty()) mailbox_.close();
}

// What has not come whole to the node never ran, and goes on once on another connection if it may: a reset
// of one connection says little of the node.
void UpstreamNode::end_all(const ConnectionPointer& link, Result written, Result unwritten,
                           bool may_move_on) {
  while (!link->open.empty()) {
    const RequestId request = link->open.begin()->first;
    Open& open = link->open.begin()->second;
    const auto message =
        std::find_if(link->out.begin(), link->out.end(),
                     [&](const UpstreamMessage& waiting) { return waiting.request == request; });
    ConnectionPointer other;
    if (!open.written && !open.moved_on && may_move_on && !gone_ && message != link->out.end())
      other = choose_link(request);
    if (!other) {
      end(link, request, open.written ? written : unwritten, AnswerDetail::kNone, 0, {}, {});
      continue;
    }
    ++counters_.moved_on;
    open.moved_on = true;
    move_attempt(link, std::move(*message), other);
  }
  link->out.clear();
}

void UpstreamNode::move_attempt(const ConnectionPointer& from, UpstreamMessage message,
                                const ConnectionPointer& to) {
  to->open.insert(from->open.extract(message.request));
  message.bytes.clear();  // out of date by the time they are written there
  to->out.push_back(std::move(message));
  pump(to);
}

void UpstreamNode::move_to_links_that_are_up(const ConnectionPointer& link) {
  for (std::size_t left = link->out.size(); left > 0; --left) {
    UpstreamMessage message = std::move(link->out.front());
    link->out.pop_front();
    const ConnectionPointer other = least_used_link(message.request, true);
    if (other) {
      move_attempt(link, std::move(message), other);
    } else {
      link->out.push_back(std::move(message));
    }
  }
}

void UpstreamNode::book(UpstreamConnection& link, Open& open, Result result, AnswerDetail note,
                        std::size_t octets_read) {
  if (!link.tap) return;
  using ipfix::Outcome;
  Outcome outcome = Outcome::kForfeited;
  if (result == Result::kCompleted) outcome = Outcome::kCompleted;
  if (result == Result::kCancelled) outcome = Outcome::kLeft;
  if (result == Result::kRejected || result == Result::kNotSent || result == Result::kAbsent ||
      result == Result::kUnreachable)
    outcome = Outcome::kBounced;
  const std::size_t written = std::exchange(open.octets, 0);
  if (written + octets_read == 0) return;  // nothing of it moved, or it is booked already
  const ipfix::Label label{open.request_class, open.location, outcome, static_cast<std::uint8_t>(note)};
  link.tap->wrote_for(label, written);
  link.tap->read_for(label, octets_read);
  link.tap->request_ended(label);
}

// Notes so many more bytes of the first message as written, and whether that is whole now.
void UpstreamNode::wrote(UpstreamConnection& link, std::size_t bytes) {
  const UpstreamMessage& first = link.out.front();
  const auto found = link.open.find(first.request);
  const bool of_attempt = found != link.open.end();
  if (of_attempt) found->second.octets += bytes;
  link.out_sent += bytes;
  if (link.out_sent < first.bytes.size()) return;
  if (of_attempt) {
    found->second.written = true;
    found->second.written_at = Scheduler::now();
  }
  link.out_sent = 0;
  link.out.pop_front();
}

bool UpstreamNode::prepare_first(const ConnectionPointer& link) {
  UpstreamMessage& message = link->out.front();
  const Seconds now = Scheduler::now();
  if (message.may_begin(now)) {
    if (message.forwarded_request)
      message.encode(now, node_, told_.max_copy_age(message.request), limits_.final_write_delay > 0);
    return true;
  }
  const RequestId request = message.request;
  link->out.pop_front();
  end(link, request, Result::kNotSent, AnswerDetail::kNone, 0, {}, {});
  return false;
}

// Writes as much as goes. False: the rest must wait until the socket takes more.
// The end of a write is held back for a moment: as long as it is, the write can't have run. Guards against
// connections that are reset when new, when idle or while a request comes, where nobody could say whether a
// write had run, and so it could not be sent again. Costs a write that moment.
bool UpstreamNode::write_out(const ConnectionPointer& link) {
  while (!link->out.empty()) {
    if (link->out_sent == 0 && !prepare_first(link)) continue;
    UpstreamMessage& piece = link->out.front();
    const std::size_t first = piece.bytes.size() - piece.held;
    const bool whole = link->out_sent >= first;
    if (whole && piece.held > 0) {
      const Seconds now = Scheduler::now();
      if (piece.whole_at == 0) {
        piece.whole_at = now + limits_.final_write_delay;
        scheduler_.at(piece.whole_at, [self = shared_from_this(), link] { self->pump(link); });
      }
      if (now < piece.whole_at) return true;
    }
    const std::string_view bytes =
        std::string_view(piece.bytes).substr(0, whole ? piece.bytes.size() : first);
    const IoResult io = link->socket.write_now(bytes.substr(link->out_sent));
    wrote(*link, io.bytes);
    if (io.status == IoStatus::kTimedOut) return false;
    if (!io.ok()) {  // the reading side ends the connection, after what the node still had to say
      write_again_later(link);
      return true;
    }
  }
  return true;
}

// Guards against a write that fails for want of memory on our own side: the connection stands, and nothing
// else would tell when to write again. Costs a vain try where the reading side has not yet seen the end.
void UpstreamNode::write_again_later(const ConnectionPointer& link) {
  if (std::exchange(link->writes_again, true)) return;
  scheduler_.at(Scheduler::now() + kWriteAgain, [self = shared_from_this(), link] {
    link->writes_again = false;
    self->pump(link);
  });
}

void UpstreamNode::pump(const ConnectionPointer& link) {
  if (link->state != UpstreamConnection::State::kUp || link->draining || write_out(link)) return;
  link->draining = true;
  scheduler_.spawn(drain(shared_from_this(), link));
}

// Tries before it waits, each time: room that came in between is not told again.
Task<> UpstreamNode::drain(std::shared_ptr<UpstreamNode> self, ConnectionPointer link) {
  try {
    while (link->state == UpstreamConnection::State::kUp && !self->write_out(link)) {
      const transport::WaitResult wake = co_await link->socket.writable(kNever);
      if (wake != transport::WaitResult::kReady) break;
    }
  } catch (...) {  // no memory for what is to be written, say: nothing else would write it later
    self->drop(link);
    throw;
  }
  link->draining = false;
}

Task<> UpstreamNode::run(std::shared_ptr<UpstreamNode> self, ConnectionPointer link) {
  try {
    co_await self->follow(link);
  } catch (...) {  // no memory for what came in, say: the connection goes, and the loop tells of it
    self->drop(link);
    throw;
  }
  self->drop(link);
}

Task<> UpstreamNode::follow(ConnectionPointer link) {
  const Seconds until = Scheduler::now() + limits_.connect_timeout;
  transport::ConnectResult connected = co_await transport::connect(scheduler_, address_, until);
  if (connected.status != transport::ConnectStatus::kConnected) {
    ++counters_.links_failed;
    const bool ours = connected.status == transport::ConnectStatus::kLocalFailure;
    const bool reset = connected.status == transport::ConnectStatus::kReset;
    link->state = UpstreamConnection::State::kClosed;
    forget(link);
    if (ours) move_to_links_that_are_up(link);
    end_all(link, Result::kBroken, ours ? Result::kLocalFailure : Result::kUnreachable, reset);
    co_return;
  }
  ++counters_.links_opened;
  link->socket = std::move(connected.socket);
  if (flows_) {
    auto tap = flows_->node(link->socket.descriptor(), part_, node_.value);
    link->tap = tap.get();
    link->socket.observe(std::move(tap));
  }
  link->state = UpstreamConnection::State::kUp;
  link->heard_at = Scheduler::now();
  pump(link);
  settle(link);
  while (link->state == UpstreamConnection::State::kUp) {
    const std::size_t room = std::max(limits_.read_size, link->parser.wanted());
    // Guards against an answer that stops short: nothing behind it on this connection can be read any more.
    const bool amid = link->in.size() > 0;
    const IoResult io = co_await link->socket.read(
        link->in, room, amid ? link->heard_at + limits_.answer_stall_timeout : kNever);
    if (io.status == IoStatus::kTimedOut) ++counters_.links_stalled;
    if (!io.ok()) break;
    link->heard_at = Scheduler::now();
    link->suspect = false;
    std::size_t used = 0;
    const bool readable = link->parser.feed(link->in.view(), used, *link);
    link->in.consume(used);
    if (readable) continue;
    ++counters_.bad_answers;
    break;
  }
}

}  // namespace hareramp::routing
