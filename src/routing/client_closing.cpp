// The part of ClientConnection that ends connections: which may be closed to make room, what memory that
// frees, and how each is closed.
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <utility>

#include "routing/client_connection.hpp"
#include "routing/client_listener.hpp"

namespace hareramp::routing {

using transport::Scheduler;

namespace {

// Discards received bytes that are unread, up to kMaxDiscarded: closing a socket with unread bytes resets the
// connection, which destroys an answer that is still on its way.
void discard_unread(const transport::Socket& socket) {
  constexpr std::size_t kMaxDiscarded = 1 << 20;
  std::array<char, 1 << 14> scratch;
  std::size_t discarded = 0;
  while (socket.open() && discarded < kMaxDiscarded) {
    const ssize_t count = ::recv(socket.descriptor(), scratch.data(), scratch.size(), MSG_DONTWAIT);
    if (count <= 0) return;
    discarded += static_cast<std::size_t>(count);
  }
}

// The names of ClientConnection::CloseReason in the log.
constexpr std::array<std::string_view, 9> kCloseReasonNames = {"by_client",  "after_answer", "malformed",
                                                               "unfinished", "idle",         "slow_reader",
                                                               "evicted",    "shutdown",     "lacks_memory"};

}  // namespace

ClientConnection::EvictionPriority ClientConnection::eviction_priority(Seconds now) const {
  if (busy_) return EvictionPriority::kNotEvictable;
  if (closing_) return EvictionPriority::kLingering;
  // A well-behaved client sends its first request as it connects, and may be sending the next one now: a
  // connection with recent activity is kept.
  if (now - last_active_at_ < listener_.limits_.first_request_grace) return EvictionPriority::kNotEvictable;
  if (!seen_valid_request_)
    return parser_.in_message() ? EvictionPriority::kPartialRequest : EvictionPriority::kNoRequest;
  return parser_.in_message() || input_.size() > 0 ? EvictionPriority::kNotEvictable
                                                   : EvictionPriority::kIdle;
}

bool ClientConnection::may_be_evicted() const {
  return socket_.unacknowledged() == 0 && !has_request_unread();
}

// --- memory ---

std::size_t ClientConnection::request_bytes_held() const {
  return input_.capacity() + http_request_.body.capacity() + http_request_.target.capacity() +
         http_request_.cached_etag.capacity();
}

// Assigning an empty string to another may keep the memory of that one; a swap does not.
void ClientConnection::discard_request() {
  HttpRequest none;
  std::swap(http_request_, none);
}

void ClientConnection::finish_reading_request() {
  discard_request();
  if (input_.size() == 0) input_.release();
  // What is left are requests read ahead: no more than was charged before.
  request_memory_.resize(std::min(request_memory_.bytes(), request_bytes_held()));
}

bool ClientConnection::charge_request_memory(std::size_t additional_bytes) {
  input_.release();
  const std::size_t held = request_bytes_held() + additional_bytes;
  const std::size_t charged = held - std::min(held, listener_.limits_.uncharged_request_bytes);
  if (charged > request_memory_.bytes() && !listener_.make_room(*this, charged - request_memory_.bytes()))
    return false;
  request_memory_.resize(charged);
  return true;
}

void ClientConnection::free_request_memory() {
  input_.consume(input_.size());
  input_.release();
  discard_request();
  request_memory_.resize(0);
}

void ClientConnection::free_answer_memory() {
  listener_.pending_answer_bytes_ -= std::exchange(pending_answer_bytes_, 0);
  answer_memory_ = {};
  writing_since_ = transport::kNever;
}

std::size_t ClientConnection::sheddable_bytes() const {
  return !busy_ && !closing_ && !closed_ && parser_.in_message() ? request_memory_.bytes() : 0;
}

void ClientConnection::shed() {
  set_close_reason(CloseReason::kLacksMemory);
  reject_and_close();
}

// Guards against a client that does not read. The reset shows it that the answer is incomplete.
void ClientConnection::abort_answer(CloseReason reason) {
  set_close_reason(reason);
  flow_observer_ = nullptr;
  socket_.abort();
  close_connection();
}

// --- closing ---

bool ClientConnection::evict() {
  set_close_reason(CloseReason::kEvicted);
  if (!closing_ && parser_.in_message()) reject_and_close();
  if (closed_) return true;
  if (closing_ && socket_.unacknowledged() > 0) return false;
  close_connection();
  return true;
}

void ClientConnection::close_unless_busy() {
  // Guards against a client that keeps sending: what arrives from now on is not waited for.
  if (busy_ && !drain_bytes_left_) drain_bytes_left_ = input_.size() + socket_.unread();
  if (busy_ || closing_ || has_request_unread()) return;
  set_close_reason(CloseReason::kShutdown);
  reject_and_close();
}

void ClientConnection::set_close_reason(CloseReason reason) {
  if (close_reason_ != CloseReason::kByClient) return;
  close_reason_ = reason;
  Counters& counters = listener_.counters_;
  if (reason == CloseReason::kIdle) ++counters.clients_idle;
  if (reason == CloseReason::kUnfinished) ++counters.clients_unfinished;
  if (reason == CloseReason::kSlowReader) ++counters.clients_slow;
  if (reason == CloseReason::kEvicted) ++counters.clients_evicted;
  if (reason == CloseReason::kLacksMemory) ++counters.clients_shed;
}

void ClientConnection::log_closed() const {
  const auto reason = kCloseReasonNames[static_cast<std::size_t>(close_reason_)];
  listener_.director_.log_request_event("client_closed", open_request_.id, reason);
}

void ClientConnection::close_connection() {
  if (std::exchange(closed_, true)) return;
  log_closed();
  const auto self = shared_from_this();
  if (forwarded_request_)
    forwarded_request_->client_gone =
        true;  // at once, ahead of the calls that are posted to the DirectorActor
  const bool was_awaiting_director = std::exchange(awaiting_director_, false);
  try {
    if (was_awaiting_director) label_flow(ipfix::Outcome::kCancelled, AnswerDetail::kNone);
    if (was_awaiting_director) listener_.director_.client_left(open_request_);
  } catch (...) {  // no memory: the Director is not informed, and the request ends at its deadline
    listener_.report_failure(std::current_exception());
  }
  free_request_memory();
  free_answer_memory();
  flow_observer_ = nullptr;  // destroyed when the socket closes
  discard_unread(socket_);
  socket_.close();
  resumed_.notify();
  mailbox_.close();
  listener_.remove_client(*this);
}

// Sends nothing more, and waits until the client has received what was sent (a lingering close). What the
// client still sends is read and discarded: closing with unread bytes would reset the connection, and destroy
// an answer on its way.
void ClientConnection::begin_lingering_close() {
  busy_ = answer_begun_ = false;
  keep_alive_ = false;
  closing_ = true;
  last_active_at_ = Scheduler::now();
  linger_until_ = last_active_at_ + listener_.limits_.max_linger;
  socket_.shutdown_write();
  try {
    set_linger_timer();
  } catch (...) {
    listener_.report_failure(std::current_exception());
    close_connection();
  }
}

void ClientConnection::set_linger_timer() {
  const Seconds due =
      std::min(linger_until_, std::max(last_active_at_, Scheduler::now()) + listener_.limits_.linger_timeout);
  listener_.scheduler_.at(due, [weak = weak_from_this()] {
    if (const auto client = weak.lock()) client->check_linger();
  });
}

void ClientConnection::check_linger() {
  if (closed_) return;
  const Seconds now = Scheduler::now();
  const bool silent = now >= last_active_at_ + listener_.limits_.linger_timeout;
  if (now >= linger_until_ || (silent && socket_.unacknowledged() == 0)) return close_connection();
  set_linger_timer();
}

}  // namespace hareramp::routing
