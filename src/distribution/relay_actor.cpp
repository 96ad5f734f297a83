#include "distribution/relay_actor.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <charconv>
#include <optional>
#include <utility>

#include "protocol/http.hpp"
#include "transport/buffer.hpp"

namespace hareramp::distribution {

using transport::IoResult;
using transport::IoStatus;
using transport::Scheduler;
using transport::Seconds;
using transport::Socket;
using transport::Task;

namespace {

constexpr std::size_t kReadBufferBytes = 2048;      // a subscriber sends one request of a few hundred bytes
constexpr std::size_t kMaxUnsentBytes = 64 * 1024;  // unsent bytes in the kernel, per subscriber
// Connections whose request is being read: with 18 KB each at most, under 10 MB.
constexpr std::size_t kMaxUnfinishedRequests = 512;
constexpr int kAcceptBacklog = 4096;  // all subscribers of a region may reconnect at once

// The HTTP request of a subscriber.
struct SubscriptionRequest : protocol::HttpHandler {
  std::string method, target;
  long long cursor = 0;
  bool compressed = false, is_complete = false;

  void start_line(std::string_view first, std::string_view second) override {
    method = first;
    target = second;
  }
  void header(std::string_view name, std::string_view value) override {
    if (protocol::equal_ignoring_case(name, "last-event-id"))
      std::from_chars(value.data(), value.data() + value.size(), cursor);
    if (protocol::equal_ignoring_case(name, "accept-encoding"))
      compressed = value.find("gzip") != std::string_view::npos;
  }
  void body(std::string_view) override {}
};

// Guards against a subscriber whose machine has disappeared without closing: without a limit on
// unacknowledged data its connection would stay open for minutes.
void limit_unacknowledged_time(const Socket& socket, Seconds timeout) {
  const auto milliseconds = static_cast<unsigned>(timeout * 1000);
  setsockopt(socket.descriptor(), IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds, sizeof milliseconds);
}

const char* status_text(Refusal reason) {
  switch (reason) {
    case Refusal::kNoListYet:
      return "503 No Node List Yet";
    case Refusal::kSourceLost:
      return "503 Source Lost";
    case Refusal::kFull:
      return "503 Too Many Subscribers";
    case Refusal::kBehind:
      return "503 Behind";
    case Refusal::kBadCursor:
      return "400 Bad Last-Event-ID";
  }
  return "503 Unavailable";
}

std::string empty_response(const std::string& status) {
  return "HTTP/1.1 " + status + "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
}

// Reads the request of one connection. Nothing: the connection ended before it was complete, or sent what is
// no request.
Task<std::optional<SubscriptionRequest>> read_request(Socket& socket, const Limits& limits) {
  const Seconds deadline = Scheduler::now() + limits.request_read_timeout;
  protocol::HttpParser parser(protocol::HttpParser::Message::kRequest, {limits.max_head, 0});
  SubscriptionRequest request;
  transport::Buffer in(kReadBufferBytes);
  auto step = protocol::HttpParser::Step::kMore;
  while (step == protocol::HttpParser::Step::kMore) {
    const IoResult io = co_await socket.read(in, kReadBufferBytes, deadline);
    if (!io.ok()) co_return std::nullopt;
    do {
      std::size_t used = 0;
      step = parser.parse(in.view(), used, request);
      in.consume(used);
    } while (step == protocol::HttpParser::Step::kHead);
  }
  request.is_complete = step == protocol::HttpParser::Step::kDone;
  co_return request;
}

}  // namespace

class RelayActor::Session {
 public:
  Session(SubscriberId session_id, Socket session_socket)
      : id(session_id), socket(std::move(session_socket)) {}
  const SubscriberId id;
  Socket socket;
  bool compressed = false;
};

RelayActor::RelayActor(Scheduler& scheduler, const Limits& limits, Counters& counters, Log& log,
                       const RelaySettings& settings, std::uint64_t seed)
    : scheduler_(scheduler),
      limits_(limits),
      log_(log),
      settings_(settings),
      relay_(settings),
      mailbox_(scheduler),
      subscription_(scheduler, limits, counters, log, settings.sources, 0, *this,
                    {.compressed = settings.compressed,
                     .restarts_followed = true,
                     .retry_longest = settings.source_silence_timeout,
                     .seed = seed}),
      listener_(scheduler, settings.listen, kAcceptBacklog) {}

RelayActor::~RelayActor() = default;

void RelayActor::start() {
  scheduler_.spawn(run_mailbox(*this));
  scheduler_.spawn(accept_subscribers(*this));
  scheduler_.spawn(tick(*this));
  subscription_.start({});
}

void RelayActor::close() {
  listener_.close();
  for (const auto& [id, session] : sessions_) session->socket.close();
}

Task<> RelayActor::run_mailbox(RelayActor& self) { co_await self.mailbox_.serve(); }

Task<> RelayActor::accept_subscribers(RelayActor& self) {
  for (;;) {
    // Guards against connections that send half a request: the others wait in the backlog.
    while (self.unfinished_requests_ >= kMaxUnfinishedRequests)
      co_await self.scheduler_.sleep_until(Scheduler::now() + self.limits_.accept_retry_delay);
    auto accepted = co_await self.listener_.accept();
    if (accepted.status == transport::Listener::Status::kClosed) co_return;
    if (accepted.status != transport::Listener::Status::kAccepted) {
      co_await self.scheduler_.sleep_until(Scheduler::now() + self.limits_.accept_retry_delay);
      continue;
    }
    accepted.socket.limit_send_buffer(kMaxUnsentBytes);
    limit_unacknowledged_time(accepted.socket, self.settings_.stall_timeout);
    ++self.unfinished_requests_;
    self.scheduler_.spawn(
        serve(self, std::make_shared<Session>(++self.last_id_, std::move(accepted.socket))));
  }
}

Task<> RelayActor::tick(RelayActor& self) {
  for (;;) {
    co_await self.scheduler_.sleep_until(Scheduler::now() + self.settings_.tick_interval);
    self.post(Ticked{self.source_alive()});
    if (!self.pending_done_ || !self.relay_.can_accept_changes()) continue;
    std::exchange(self.pending_done_, {})(true);
  }
}

bool RelayActor::source_alive() const {
  return Scheduler::now() - subscription_.last_received_at() <= settings_.source_silence_timeout;
}

// Reads the request of one connection and then only waits for the connection's end; the data for the
// subscriber is written by execute(). A connection that sends anything after its request is not a
// subscriber's and is closed.
Task<> RelayActor::serve(RelayActor& self, SessionPointer session) {
  std::optional<SubscriptionRequest> request;
  try {
    request = co_await read_request(session->socket, self.limits_);
  } catch (...) {  // no memory
    --self.unfinished_requests_;
    throw;
  }
  --self.unfinished_requests_;
  if (!request) co_return;
  const bool is_health_check = request->target == "/_health";
  if (!request->is_complete || request->method != "GET" ||
      (request->target != "/changes" && !is_health_check)) {
    session->socket.write_now(empty_response("404 Not Found"));
    co_return;
  }
  if (is_health_check) {
    session->socket.write_now(empty_response("200 OK"));
    co_return;
  }
  session->compressed = request->compressed;
  self.sessions_[session->id] = session;
  self.post(SubscriberConnected{session->id, request->cursor, request->compressed});
  transport::Buffer in(kReadBufferBytes);
  co_await session->socket.read(in, kReadBufferBytes, transport::kNever);
  session->socket.close();
  self.sessions_.erase(session->id);
  self.post(SubscriberDisconnected{session->id});
}

void RelayActor::known_change_arrived(protocol::Json) {}  // a relay has no changes from before the stream

void RelayActor::changes_arrived(std::vector<NumberedChange> changes, bool more_available,
                                 std::function<void(bool accepted)> done) {
  mailbox_.post([this, changes = std::move(changes), more_available, done = std::move(done)]() mutable {
    try {
      step(ChangesArrived{std::move(changes), more_available});
    } catch (...) {
      done(false);
      throw;
    }
    if (relay_.can_accept_changes()) return done(true);
    pending_done_ = std::move(done);
  });
}

void RelayActor::post(RelayEvent event) {
  mailbox_.post([this, event = std::move(event)] { step(event); });
}

void RelayActor::step(const RelayEvent& event) {
  for (const RelayEffect& effect : relay_.step(Scheduler::now(), event))
    std::visit([this](const auto& typed_effect) { execute(typed_effect); }, effect);
}

void RelayActor::execute(const Accept& accept) {
  const auto found = sessions_.find(accept.id);
  if (found == sessions_.end()) return;
  found->second->socket.write_now(
      std::string("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-store\r\n") +
      (found->second->compressed ? "Content-Encoding: gzip\r\n" : "") + "Connection: close\r\n\r\n");
}

void RelayActor::execute(const Refuse& refuse) {
  const auto found = sessions_.find(refuse.id);
  if (found == sessions_.end()) return;
  found->second->socket.write_now(empty_response(status_text(refuse.reason)));
  found->second->socket.shutdown_write();
  scheduler_.at(Scheduler::now() + limits_.linger_timeout,
                [session = found->second] { session->socket.close(); });
}

void RelayActor::execute(const Send& send) {
  const auto found = sessions_.find(send.id);
  if (found == sessions_.end()) return;
  const IoResult io = found->second->socket.write_now(*send.bytes);
  ++writes_;
  bytes_given_ += io.bytes;
  if (io.ok()) return post(WriteCompleted{send.id});
  if (io.status == IoStatus::kTimedOut)
    scheduler_.spawn(write_remaining(*this, found->second, send.bytes, io.bytes));
}

Task<> RelayActor::write_remaining(RelayActor& self, SessionPointer session, SharedBytes bytes,
                                   std::size_t offset) {
  const std::string_view rest = std::string_view(*bytes).substr(offset);
  const IoResult io =
      co_await session->socket.write(rest, Scheduler::now() + 2 * self.settings_.stall_timeout);
  ++self.writes_;
  self.bytes_given_ += io.bytes;
  if (io.ok()) self.post(WriteCompleted{session->id});
}

void RelayActor::execute(const Close& close) {
  const auto found = sessions_.find(close.id);
  if (found == sessions_.end()) return;
  log_.warning("subscriber_stalled", "relay: closing a subscriber that has read nothing for {} s",
               settings_.stall_timeout);
  found->second->socket.abort();
}

}  // namespace hareramp::distribution
