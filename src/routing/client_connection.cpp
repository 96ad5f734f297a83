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

// Size of the kernel's buffer for what a client sent and was not read yet, in bytes; the kernel may grant
// twice as much, and uses the memory only as bytes arrive. A client's close is noticed as long as all that it
// sent before fits into this buffer and what is read ahead: behind more bytes, the close itself waits in the
// client's kernel.
constexpr int kReceiveBufferBytes = 256 << 10;

// From so many unread bytes on, the window may be closed, and the client's close wait in its kernel behind
// what it has not sent. A connection's first window is 64 KB, and small segments take more of the buffer than
// their bytes.
constexpr std::size_t kHiddenCloseBytes = 32 << 10;

// Unused memory that the buffer of a partly read request keeps, in bytes.
constexpr std::size_t kWaitingSlackBytes = 1 << 10;

// Final answers for when memory, or time, for other answers is lacking.
// Nothing of the request has run: the client may send it again.
constexpr std::string_view kRejectedAnswer =
    "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
// The request may have run.
constexpr std::string_view kFailedAnswer =
    "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

// Whether the text may be the start of a request: nothing else may follow a complete request on its
// connection.
bool begins_request(std::string_view text) {
  return std::all_of(text.begin(), text.begin() + std::min<std::size_t>(3, text.size()),
                     [](char c) { return (c >= 'A' && c <= 'Z') || c == '\r' || c == '\n'; });
}
// Whether the client has closed its sending side or has reset the connection, even if bytes that it sent
// before are unread.
bool has_closed(const transport::Socket& socket) {
  pollfd poll_request{socket.descriptor(), POLLRDHUP, 0};
  return ::poll(&poll_request, 1, 0) > 0 && (poll_request.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}
// Whether more is unread than the empty lines that a client may send behind a request.
bool has_unread(const transport::Socket& socket) {
  std::array<char, 64> bytes;
  const ssize_t count = ::recv(socket.descriptor(), bytes.data(), bytes.size(), MSG_PEEK | MSG_DONTWAIT);
  return count > 0 && !protocol::is_empty_lines({bytes.data(), static_cast<std::size_t>(count)});
}

}  // namespace

bool ClientConnection::client_has_closed() const { return has_closed(socket_); }

bool ClientConnection::close_may_be_hidden() const { return socket_.unread() > kHiddenCloseBytes; }

bool ClientConnection::has_request_unread() const {
  return !closing_ && !parser_.in_message() && has_unread(socket_);
}

ClientConnection::ClientConnection(ClientListener& listener, transport::Socket socket)
    : listener_(listener),
      socket_(std::move(socket)),
      input_(listener.limits_.retained_buffer, kWaitingSlackBytes),
      parser_(HttpParser::Message::kRequest, {listener.limits_.max_head, listener.limits_.max_request_body}),
      mailbox_(listener.scheduler_),
      resumed_(listener.scheduler_),
      request_memory_(listener.director_.memory_budget(), policy::MemoryUse::kRequests),
      last_active_at_(Scheduler::now()) {
  if (!listener.flows_) return;
  location_ = listener.flows_->location_of(socket_.descriptor());
  auto observer = listener.flows_->observe_client(socket_.descriptor());
  flow_observer_ = observer.get();
  if (flow_observer_) flow_observer_->set_write_label({});
  socket_.observe(std::move(observer));
}

void ClientConnection::start() {
  setsockopt(socket_.descriptor(), SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes, sizeof kReceiveBufferBytes);
  if (client_has_closed()) return close_connection();  // it closed before the callback for that was set
  // Guards against attempts for a client that has disconnected: where it sent more than is read ahead, its
  // close is queued behind bytes that are not read while a request is open. The cost: a client that closes
  // only its sending side, and still waits for an answer, gets none.
  socket_.on_peer_closed([weak = weak_from_this()] {
    if (const auto client = weak.lock()) client->close_connection();
  });
  try {
    listener_.scheduler_.spawn(serve_mailbox(shared_from_this()));
    listener_.scheduler_.spawn(read(shared_from_this()));
  } catch (...) {  // no memory: the connection is closed unread
    close_connection();
    throw;
  }
}

Task<> ClientConnection::serve_mailbox(std::shared_ptr<ClientConnection> self) {
  co_await self->mailbox_.serve();
}

// --- reading ---

Task<> ClientConnection::read(std::shared_ptr<ClientConnection> self) {
  for (bool failed = true; failed && !self->closed_;) {
    failed = false;
    try {
      co_await self->read_until_closed();
    } catch (...) {
      failed = true;
      self->listener_.report_failure(std::current_exception());
    }
    if (!failed || self->closed_) break;
    if (self->busy_)
      co_await self->resumed_.wait();  // the open request still gets its answer; reading resumes after that
    else if (self->closing_)
      break;
    else
      self->reject_and_close();
  }
  self->close_connection();
}

Task<> ClientConnection::read_until_closed() {
  const Limits& limits = listener_.limits_;
  while (!closed_) {
    // While a request is open, reading pauses until it is answered if much has been read ahead, or more than
    // there is memory for.
    if (busy_ && (input_.size() >= limits.max_read_ahead || !charge_request_memory(0))) {
      co_await resumed_.wait();
      continue;
    }
    const bool lingering = closing_ && !busy_;
    const Seconds read_timeout = parser_.in_message() || !seen_valid_request_ ? limits.request_read_timeout
                                                                              : limits.client_idle_timeout;
    const IoResult io = co_await socket_.read(input_, limits.read_size,
                                              lingering ? linger_until_ : last_active_at_ + read_timeout);
    if (closed_) break;
    if (io.status == IoStatus::kTimedOut) {
      if (busy_) {
        last_active_at_ = Scheduler::now();
      } else if (closing_) {
        if (Scheduler::now() >= linger_until_) break;
      } else if (Scheduler::now() < last_active_at_ + read_timeout) {
        continue;  // an answer was written meanwhile
      } else if (parser_.in_message()) {
        set_close_reason(CloseReason::kUnfinished);
        refuse(408);
      } else if (!has_unread(socket_)) {
        set_close_reason(CloseReason::kIdle);
        begin_lingering_close();
      }
      continue;
    }
    if (!io.ok()) break;
    // Guards against a client that keeps sending after a refusal, even if it never reads that. What it sends
    // is read for a while: closing a connection with unread bytes would destroy the answer on its way.
    if (closing_ && !busy_ && Scheduler::now() >= linger_until_) break;
    if (closing_ || (seen_valid_request_ && !parser_.in_message())) last_active_at_ = Scheduler::now();
    advance();
    if (!busy_ && !closing_ && !closed_ && !charge_request_memory(0)) shed();
    // Guards against a request that never ends although its bytes arrive without a pause.
    if (!busy_ && !closing_ && !closed_ && parser_.in_message() &&
        Scheduler::now() >= last_active_at_ + limits.request_read_timeout) {
      set_close_reason(CloseReason::kUnfinished);
      refuse(408);
    }
  }
}

void ClientConnection::advance() {
  try {
    read_requests();
  } catch (...) {  // no memory for the request
    set_close_reason(CloseReason::kLacksMemory);
    listener_.report_failure(std::current_exception());
    reject_and_close();
  }
}

// Parses the bytes that have been received. Stops after a complete request, until that is answered.
void ClientConnection::read_requests() {
  if (closing_ && !busy_) input_.consume(input_.size());  // whatever follows is ignored
  while (!busy_ && !closing_ && !closed_ && input_.size() > 0) {
    std::size_t consumed = 0;
    const auto step = parser_.parse(input_.view(), consumed, *this);
    input_.consume(consumed);
    request_bytes_ += consumed;
    if (drain_bytes_left_) *drain_bytes_left_ -= std::min(consumed, *drain_bytes_left_);
    switch (step) {
      case HttpParser::Step::kMore:
        return;
      case HttpParser::Step::kHead:
        if (!charge_request_memory(parser_.missing_body())) return shed();
        http_request_.body.reserve(parser_.missing_body());
        if (parser_.expects_continue() && input_.size() == 0) write_continue();
        break;
      case HttpParser::Step::kDone:
        // Guards against a stated length that is too short: what follows is then the rest of the body, and
        // not a request.
        if (!begins_request(input_.view())) return refuse(400);
        busy_ = true;
        keep_alive_ = parser_.keeps_alive() && drain_bytes_left_ != std::size_t{0};
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

// The client sends the body all the same if it gets no interim answer. Part of one would spoil the answer
// that follows.
void ClientConnection::write_continue() {
  constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
  const std::size_t written = socket_.write_now(kContinue).bytes;
  if (written > 0 && written < kContinue.size()) abort_answer(CloseReason::kSlowReader);
}

bool ClientConnection::owes_answer() const {
  if (busy_) return !answer_begun_;
  return !closing_ && (parser_.in_message() || has_request_unread());
}

template <class Work>
void ClientConnection::post_answer(const RequestHandle& request, std::string_view fallback, Work work) {
  try {
    mailbox_.post([this, request, fallback, work = std::move(work)]() mutable {
      try {
        if (awaiting_director_ && request == open_request_) work();
      } catch (...) {
        answer_with_fallback(request, fallback);
      }
    });
  } catch (...) {
    answer_with_fallback(request, fallback);
  }
}

void ClientConnection::answer_with_fallback(const RequestHandle& request, std::string_view text) {
  set_close_reason(CloseReason::kLacksMemory);
  listener_.report_failure(std::current_exception());
  if (awaiting_director_ && request == open_request_) answer_and_close(text);
}

void ClientConnection::completed(const RequestHandle& request, Content content) {
  post_answer(request, kFailedAnswer, [this, content = std::move(content)]() mutable {
    std::string extra_headers;
    if (!content.etag.empty()) extra_headers = "ETag: \"" + content.etag + "\"\r\n";
    answer_memory_ = std::move(content.memory);
    answer(content.same_copy ? 304 : 200, extra_headers, std::move(content.bytes), ipfix::Outcome::kCompleted,
           content.detail);
  });
}

void ClientConnection::rejected(const RequestHandle& request, Seconds retry_after) {
  post_answer(request, kRejectedAnswer, [this, retry_after] {
    std::string extra_headers;
    const auto pause = static_cast<long long>(std::ceil(retry_after * 1000));
    if (pause > 0) extra_headers = "X-Pushback-Ms: " + std::to_string(pause) + "\r\n";
    answer(503, extra_headers, "", ipfix::Outcome::kRejected);
  });
}

void ClientConnection::failed(const RequestHandle& request) {
  post_answer(request, kFailedAnswer, [this] { answer(500, "", "", ipfix::Outcome::kFailed); });
}

// Answers a request that cannot be read with this status; whatever follows on the connection is ignored.
void ClientConnection::refuse(int status) {
  set_close_reason(CloseReason::kMalformed);
  ++listener_.counters_.clients_bad;
  busy_ = true;
  keep_alive_ = false;
  input_.consume(input_.size());
  answer(status, "", "");
}

void ClientConnection::label_flow(ipfix::Outcome outcome, AnswerDetail detail) {
  if (!flow_observer_) return;
  ipfix::Label label;
  if (outcome != ipfix::Outcome::kNone)
    label = {request_class_, location_, outcome, static_cast<std::uint8_t>(detail)};
  else
    label.location = location_;
  flow_observer_->attribute_read(label, std::exchange(request_bytes_, 0));
  flow_observer_->set_write_label(label);
  if (outcome != ipfix::Outcome::kNone) flow_observer_->request_ended(label);
}

void ClientConnection::answer(int status, std::string_view extra_headers, std::string bytes,
                              ipfix::Outcome outcome, AnswerDetail detail) {
  try {
    begin_answer(status, extra_headers, std::move(bytes), outcome, detail);
  } catch (...) {  // no memory for the answer
    set_close_reason(CloseReason::kLacksMemory);
    listener_.report_failure(std::current_exception());
    const bool may_have_run = outcome == ipfix::Outcome::kCompleted || outcome == ipfix::Outcome::kFailed;
    answer_and_close(may_have_run ? kFailedAnswer : kRejectedAnswer);
  }
}

void ClientConnection::begin_answer(int status, std::string_view extra_headers, std::string bytes,
                                    ipfix::Outcome outcome, AnswerDetail detail) {
  awaiting_director_ = false;
  forwarded_request_.reset();
  label_flow(outcome, detail);
  if (!keep_alive_) {
    closing_ = true;
    set_close_reason(CloseReason::kAfterAnswer);
  }
  finish_reading_request();
  listener_.counters_.bytes_answered += bytes.size();
  std::string head = protocol::http_response_head(status, extra_headers, bytes.size(), keep_alive_);
  listener_.scheduler_.spawn(write(shared_from_this(), std::move(head), std::move(bytes)));
}

void ClientConnection::reject_and_close() { answer_and_close(kRejectedAnswer); }

// Ends the connection, and the request that is open or being read with a final answer, without allocating
// memory. Requests that were read ahead are dropped: the answer says that the connection closes. Where no
// answer is owed, the connection ends without one.
void ClientConnection::answer_and_close(std::string_view text) {
  if (closed_) return;
  if (busy_ && answer_begun_) return abort_answer(CloseReason::kLacksMemory);
  const bool owed = owes_answer();
  if (forwarded_request_)
    forwarded_request_->client_gone = true;  // whether or not the request has reached the Director
  forwarded_request_.reset();
  awaiting_director_ = false;
  free_request_memory();
  free_answer_memory();
  if (owed && !socket_.write_now(text).ok()) return close_connection();
  begin_lingering_close();
  resumed_.notify();
}

Task<> ClientConnection::write(std::shared_ptr<ClientConnection> self, std::string head, std::string bytes) {
  const Seconds until = Scheduler::now() + self->listener_.limits_.answer_write_timeout;
  const std::size_t size = bytes.size();
  try {
    head += bytes;  // a single write: a client that reads the head finds the body with it
  } catch (...) {
    self->listener_.report_failure(std::current_exception());
    self->answer_and_close(kFailedAnswer);
    co_return;
  }
  bytes = std::string();
  self->listener_.pending_answer_bytes_ += self->pending_answer_bytes_ = size;
  self->answer_begun_ = true;
  IoResult io = self->socket_.write_now(head);
  if (io.status == IoStatus::kTimedOut) {
    self->writing_since_ = Scheduler::now();
    try {
      io = co_await self->socket_.write(std::string_view(head).substr(io.bytes), until);
    } catch (...) {  // handled as a broken connection: the client can tell that the answer is incomplete
      io.status = IoStatus::kBroken;
    }
  }
  if (self->closed_) co_return;
  self->free_answer_memory();
  if (!io.ok()) {
    self->abort_answer(io.status == IoStatus::kTimedOut ? CloseReason::kSlowReader : CloseReason::kByClient);
    co_return;
  }
  self->last_active_at_ = Scheduler::now();
  self->busy_ = self->answer_begun_ = false;
  if (self->closing_) self->begin_lingering_close();  // the client reads the answer before it sees the close
  self->advance();
  self->resumed_.notify();
}

}  // namespace hareramp::routing
