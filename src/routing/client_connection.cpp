#include "routing/client_connection.hpp"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

#include "routing/client_listener.hpp"

namespace hareramp::routing {

using protocol::HttpParser;
using transport::IoResult;
using transport::IoStatus;
using transport::Scheduler;
using transport::Task;

namespace {

// Bytes that the kernel is asked to hold of what a client sent and nobody has read yet; it may grant twice as
// much, and takes the memory only where it is used. A client's end is known as long as all that it sent
// before fits in here and into what is read ahead: behind more, the end itself waits at the client.
constexpr int kUnreadRoom = 256 << 10;

// Final answers that are written where there is no memory, or no time, for others.
// Nothing of the request has run: it may be sent again.
constexpr std::string_view kRejectedAnswer =
    "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
// It may have run.
constexpr std::string_view kFailedAnswer =
    "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

// What may follow a whole request on its connection: the start of another.
bool begins_request(std::string_view text) {
  return std::all_of(text.begin(), text.begin() + std::min<std::size_t>(3, text.size()),
                     [](char c) { return (c >= 'A' && c <= 'Z') || c == '\r' || c == '\n'; });
}
// The client has closed its sending side or has reset the connection, also while bytes that it sent before
// are unread.
bool has_closed(const transport::Socket& socket) {
  pollfd asked{socket.descriptor(), POLLRDHUP, 0};
  return ::poll(&asked, 1, 0) > 0 && (asked.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}
// Throws away what has come and is unread, up to a bound: a close over unread bytes would reset the
// connection, and with it an answer that is still on its way.
void discard_unread(const transport::Socket& socket) {
  constexpr std::size_t kMost = 1 << 20;
  std::array<char, 1 << 14> room;
  std::size_t discarded = 0;
  while (socket.open() && discarded < kMost) {
    const ssize_t count = ::recv(socket.descriptor(), room.data(), room.size(), MSG_DONTWAIT);
    if (count <= 0) return;
    discarded += static_cast<std::size_t>(count);
  }
}
bool has_unread(const transport::Socket& socket) {
  char byte;
  return ::recv(socket.descriptor(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

}  // namespace

ClientConnection::Standing ClientConnection::standing(Seconds now) const {
  if (busy_) return Standing::kStays;
  if (closing_) return Standing::kLingering;
  // The first request of a client that means well is on its way when it connects, as the next may be now.
  if (now - moved_at_ < listener_.limits_.first_request_grace) return Standing::kStays;
  if (!shown_) return parser_.begun() ? Standing::kShownPart : Standing::kShownNothing;
  return parser_.begun() || in_.size() > 0 ? Standing::kStays : Standing::kIdle;
}

bool ClientConnection::may_go() const { return socket_.unacknowledged() == 0 && !has_request_unread(); }

bool ClientConnection::client_has_closed() const { return has_closed(socket_); }

bool ClientConnection::has_request_unread() const {
  return !closing_ && !parser_.begun() && has_unread(socket_);
}

ClientConnection::ClientConnection(ClientListener& listener, transport::Socket socket)
    : listener_(listener),
      socket_(std::move(socket)),
      in_(listener.limits_.retained_buffer),
      parser_(HttpParser::Message::kRequest, {listener.limits_.max_head, listener.limits_.max_request_body}),
      mailbox_(listener.scheduler_),
      resumed_(listener.scheduler_),
      moved_at_(Scheduler::now()) {
  if (!listener.flows_) return;
  location_ = listener.flows_->location_of(socket_.descriptor());
  auto tap = listener.flows_->client(socket_.descriptor());
  flow_observer_ = tap.get();
  if (flow_observer_) flow_observer_->writing_for({});
  socket_.observe(std::move(tap));
}

void ClientConnection::start() {
  setsockopt(socket_.descriptor(), SOL_SOCKET, SO_RCVBUF, &kUnreadRoom, sizeof kUnreadRoom);
  if (client_has_closed()) return leave();  // before anybody could be told of it
  // Guards against attempts for a client that has gone: where it sent more than is read ahead, its end stands
  // behind bytes that nobody reads while a request is open. It hurts a client that closes only its sending
  // side and still waits for an answer.
  socket_.on_peer_closed([weak = weak_from_this()] {
    if (const auto client = weak.lock()) client->leave();
  });
  try {
    listener_.scheduler_.spawn(live(shared_from_this()));
    listener_.scheduler_.spawn(read(shared_from_this()));
  } catch (...) {  // no memory: it goes unread
    leave();
    throw;
  }
}

Task<> ClientConnection::live(std::shared_ptr<ClientConnection> self) { co_await self->mailbox_.serve(); }

// --- reading ---

Task<> ClientConnection::read(std::shared_ptr<ClientConnection> self) {
  for (bool failed = true; failed && !self->ended_;) {
    failed = false;
    try {
      co_await self->read_on();
    } catch (...) {
      failed = true;
      self->listener_.report(std::current_exception());
    }
    if (!failed || self->ended_) break;
    if (self->busy_)
      co_await self->resumed_.wait();  // the open request keeps its answer; what follows is read after it
    else if (self->closing_)
      break;
    else if (self->parser_.begun() || has_unread(self->socket_))
      self->answer_at_once(kRejectedAnswer);
    else
      self->finish();
  }
  self->leave();
}

Task<> ClientConnection::read_on() {
  const Limits& limits = listener_.limits_;
  while (!ended_) {
    if (in_.size() >= limits.max_read_ahead && busy_) {  // reading pauses until the answer is out
      co_await resumed_.wait();
      continue;
    }
    const bool lingers = closing_ && !busy_;
    const Seconds patience =
        parser_.begun() || !shown_ ? limits.request_read_timeout : limits.client_idle_timeout;
    const IoResult io =
        co_await socket_.read(in_, limits.read_size, lingers ? linger_until_ : moved_at_ + patience);
    if (ended_) break;
    if (io.status == IoStatus::kTimedOut) {
      if (busy_) {
        moved_at_ = Scheduler::now();
      } else if (closing_) {
        if (Scheduler::now() >= linger_until_) break;
      } else if (Scheduler::now() < moved_at_ + patience) {
        continue;  // something was answered meanwhile
      } else if (parser_.begun()) {
        refuse(408);
      } else if (!has_unread(socket_)) {
        finish();
      }
      continue;
    }
    if (!io.ok()) break;
    // Guards against one that sends on for ever after a refusal, also where it never reads it. What it had to
    // send is taken for a while: a connection closed with bytes unread would destroy the answer on its way.
    if (closing_ && !busy_ && Scheduler::now() >= linger_until_) break;
    if (closing_ || (shown_ && !parser_.begun())) moved_at_ = Scheduler::now();
    advance();
  }
}

void ClientConnection::advance() {
  try {
    read_requests();
  } catch (...) {  // no memory for the request
    listener_.report(std::current_exception());
    answer_at_once(kRejectedAnswer);
  }
}

// Reads on in what has come in. Stops at a whole request, until that is answered.
void ClientConnection::read_requests() {
  if (closing_ && !busy_) in_.consume(in_.size());  // nothing that follows counts
  while (!busy_ && !closing_ && !ended_ && in_.size() > 0) {
    std::size_t used = 0;
    const auto step = parser_.feed(in_.view(), used, *this);
    in_.consume(used);
    request_bytes_ += used;
    switch (step) {
      case HttpParser::Step::kMore:
        return;
      case HttpParser::Step::kHead:
        if (parser_.expects_continue() && in_.size() == 0) socket_.write_now("HTTP/1.1 100 Continue\r\n\r\n");
        break;
      case HttpParser::Step::kDone:
        // Guards against a length that says too little: what follows is then a body's rest, and no request.
        if (!begins_request(in_.view())) return refuse(400);
        busy_ = true;
        keep_ = parser_.keeps_alive();
        serve();
        break;
      case HttpParser::Step::kBad:
        return refuse(400);
      case HttpParser::Step::kTooLarge:
        return refuse(parser_.in_head() ? 431 : 413);
      case HttpParser::Step::kUnknown:
        return refuse(501);
    }
  }
}

// --- answers ---

template <class Work>
void ClientConnection::post_answer(const RequestId& request, std::string_view without_memory, Work work) {
  try {
    mailbox_.post([this, request, without_memory, work = std::move(work)]() mutable {
      try {
        if (owed_ && request == request_) work();
      } catch (...) {
        answer_without_memory(request, without_memory);
      }
    });
  } catch (...) {
    answer_without_memory(request, without_memory);
  }
}

void ClientConnection::answer_without_memory(const RequestId& request, std::string_view text) {
  listener_.report(std::current_exception());
  if (owed_ && request == request_) answer_at_once(text);
}

void ClientConnection::completed(const RequestId& request, Content content) {
  post_answer(request, kFailedAnswer, [this, content = std::move(content)]() mutable {
    std::string more;
    if (!content.tag.empty()) more = "ETag: \"" + content.tag + "\"\r\n";
    answer(content.same_copy ? 304 : 200, more, std::move(content.bytes), ipfix::Outcome::kCompleted,
           content.note);
  });
}

void ClientConnection::rejected(const RequestId& request, Seconds retry_after) {
  post_answer(request, kRejectedAnswer, [this, retry_after] {
    std::string more;
    const auto pause = static_cast<long long>(std::ceil(retry_after * 1000));
    if (pause > 0) more = "X-Pushback-Ms: " + std::to_string(pause) + "\r\n";
    answer(503, more, "", ipfix::Outcome::kBounced);
  });
}

void ClientConnection::failed(const RequestId& request) {
  post_answer(request, kFailedAnswer, [this] { answer(500, "", "", ipfix::Outcome::kForfeited); });
}

// A request that can't be read: a plain answer, and nothing that follows on the connection counts.
void ClientConnection::refuse(int status) {
  ++listener_.counters_.clients_bad;
  busy_ = true;
  keep_ = false;
  in_.consume(in_.size());
  answer(status, "", "");
}

void ClientConnection::label(ipfix::Outcome outcome, AnswerDetail note) {
  if (!flow_observer_) return;
  ipfix::Label label;
  if (outcome != ipfix::Outcome::kNone)
    label = {request_class_, location_, outcome, static_cast<std::uint8_t>(note)};
  else
    label.location = location_;
  flow_observer_->read_for(label, std::exchange(request_bytes_, 0));
  flow_observer_->writing_for(label);
  if (outcome != ipfix::Outcome::kNone) flow_observer_->request_ended(label);
}

void ClientConnection::answer(int status, std::string_view more, std::string bytes, ipfix::Outcome outcome,
                              AnswerDetail note) {
  try {
    begin_answer(status, more, std::move(bytes), outcome, note);
  } catch (...) {  // no memory for it
    listener_.report(std::current_exception());
    const bool may_have_run = outcome == ipfix::Outcome::kCompleted || outcome == ipfix::Outcome::kForfeited;
    answer_at_once(may_have_run ? kFailedAnswer : kRejectedAnswer);
  }
}

void ClientConnection::begin_answer(int status, std::string_view more, std::string bytes,
                                    ipfix::Outcome outcome, AnswerDetail note) {
  owed_ = false;
  forwarded_request_.reset();
  label(outcome, note);
  if (!keep_) closing_ = true;
  listener_.counters_.bytes_answered += bytes.size();
  std::string head = protocol::http_response_head(status, more, bytes.size(), keep_);
  listener_.scheduler_.spawn(write(shared_from_this(), std::move(head), std::move(bytes)));
}

// Ends the request in work and the connection with a final answer, without a need for memory. What is read
// ahead of further requests goes with it: the answer says that the connection closes.
void ClientConnection::answer_at_once(std::string_view text) {
  if (ended_) return;
  if (forwarded_request_) forwarded_request_->client_gone = true;  // the module may have it, or not
  forwarded_request_.reset();
  owed_ = false;
  in_.consume(in_.size());
  if (!socket_.write_now(text).ok()) return leave();
  finish();
  resumed_.notify();
}

// Nothing more is sent; what was is waited for until it has reached the client. What the client still sends
// is read and thrown away: a close over unread bytes would reset the connection, and destroy an answer on its
// way.
void ClientConnection::finish() {
  busy_ = false;
  keep_ = false;
  closing_ = true;
  moved_at_ = Scheduler::now();
  linger_until_ = moved_at_ + listener_.limits_.max_linger;
  socket_.shutdown_write();
  try {
    watch_linger();
  } catch (...) {
    listener_.report(std::current_exception());
    leave();
  }
}

void ClientConnection::watch_linger() {
  const Seconds due =
      std::min(linger_until_, std::max(moved_at_, Scheduler::now()) + listener_.limits_.linger_timeout);
  listener_.scheduler_.at(due, [weak = weak_from_this()] {
    if (const auto client = weak.lock()) client->end_linger();
  });
}

void ClientConnection::end_linger() {
  if (ended_) return;
  const Seconds now = Scheduler::now();
  const bool silent = now >= moved_at_ + listener_.limits_.linger_timeout;
  if (now >= linger_until_ || (silent && socket_.unacknowledged() == 0)) return leave();
  watch_linger();
}

Task<> ClientConnection::write(std::shared_ptr<ClientConnection> self, std::string head, std::string bytes) {
  const Seconds until = Scheduler::now() + self->listener_.limits_.answer_write_timeout;
  const std::size_t size = bytes.size();
  try {
    head += bytes;  // one write: a client that reads the head finds the body with it
  } catch (...) {
    self->listener_.report(std::current_exception());
    self->answer_at_once(kFailedAnswer);
    co_return;
  }
  bytes = std::string();
  self->listener_.waiting_answers_ += size;
  IoResult io = self->socket_.write_now(head);
  if (io.status == IoStatus::kTimedOut) {
    try {
      io = co_await self->socket_.write(std::string_view(head).substr(io.bytes), until);
    } catch (...) {  // as a connection that broke: the client can tell
      io.status = IoStatus::kBroken;
    }
  }
  self->listener_.waiting_answers_ -= size;
  if (self->ended_) co_return;
  if (!io.ok()) {
    // Guards against a client that does not read: what it was sent is not whole, and it can tell.
    if (io.status == IoStatus::kTimedOut) ++self->listener_.counters_.clients_slow;
    self->flow_observer_ = nullptr;
    self->socket_.abort();
    self->leave();
    co_return;
  }
  self->moved_at_ = Scheduler::now();
  self->busy_ = false;
  if (self->closing_) self->finish();  // the client reads what it was sent before it sees the end
  self->advance();
  self->resumed_.notify();
}

bool ClientConnection::make_way() {
  if (!closing_ && parser_.begun()) answer_at_once(kRejectedAnswer);
  if (ended_) return true;
  if (closing_ && socket_.unacknowledged() > 0) return false;
  leave();
  return true;
}

void ClientConnection::close_unless_busy() {
  if (busy_ || closing_ || has_request_unread()) return;
  if (parser_.begun())
    answer_at_once(kRejectedAnswer);
  else
    finish();
}

void ClientConnection::leave() {
  if (std::exchange(ended_, true)) return;
  const auto self = shared_from_this();
  if (forwarded_request_)
    forwarded_request_->client_gone = true;  // at once, ahead of what is posted to the module
  const bool owed = std::exchange(owed_, false);
  try {
    if (owed) label(ipfix::Outcome::kLeft, AnswerDetail::kNone);
    if (owed) listener_.module_.request_left(request_);
  } catch (...) {  // no memory: the request ends by its deadline, unheard
    listener_.report(std::current_exception());
  }
  flow_observer_ = nullptr;  // goes with the socket
  discard_unread(socket_);
  socket_.close();
  resumed_.notify();
  mailbox_.close();
  listener_.ended(*this);
}

}  // namespace hareramp::routing
