#include "distribution/relay_actor.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <charconv>
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

constexpr std::size_t kReadRoom = 2048;         // a subscriber sends one request, a few hundred bytes
constexpr std::size_t kUnsentMost = 64 * 1024;  // bytes that wait in the kernel for a subscriber
constexpr int kAcceptBacklog = 4096;            // a region that comes back at once

// What a subscriber asks for.
struct SubscriptionRequest : protocol::HttpHandler {
  std::string method, target;
  long long cursor = 0;
  bool compressed = false;

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

// Guards against a subscriber whose machine has vanished: nothing else would end its connection for minutes.
void bound_unacknowledged(const Socket& socket, Seconds longest) {
  const auto milliseconds = static_cast<unsigned>(longest * 1000);
  setsockopt(socket.descriptor(), IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds, sizeof milliseconds);
}

const char* words_of(Refusal why) {
  switch (why) {
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

std::string plain_answer(const std::string& status) {
  return "HTTP/1.1 " + status + "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
}

}  // namespace

class RelayActor::Session {
 public:
  Session(SubscriberId given, Socket taken) : id(given), socket(std::move(taken)) {}
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
                     .retry_longest = settings.source_silent,
                     .seed = seed}),
      listener_(scheduler, settings.listen, kAcceptBacklog) {}

RelayActor::~RelayActor() = default;

void RelayActor::start() {
  scheduler_.spawn(live(*this));
  scheduler_.spawn(accept_subscribers(*this));
  scheduler_.spawn(tick(*this));
  subscription_.start({});
}

void RelayActor::close() {
  listener_.close();
  for (const auto& [id, session] : sessions_) session->socket.close();
}

Task<> RelayActor::live(RelayActor& self) { co_await self.mailbox_.serve(); }

Task<> RelayActor::accept_subscribers(RelayActor& self) {
  for (;;) {
    auto accepted = co_await self.listener_.accept();
    if (accepted.status == transport::Listener::Status::kClosed) co_return;
    if (accepted.status != transport::Listener::Status::kAccepted) {
      co_await self.scheduler_.sleep_until(Scheduler::now() + self.limits_.accept_retry_delay);
      continue;
    }
    accepted.socket.limit_send_buffer(kUnsentMost);
    bound_unacknowledged(accepted.socket, self.settings_.stalled);
    self.scheduler_.spawn(
        serve(self, std::make_shared<Session>(++self.last_id_, std::move(accepted.socket))));
  }
}

Task<> RelayActor::tick(RelayActor& self) {
  for (;;) {
    co_await self.scheduler_.sleep_until(Scheduler::now() + self.settings_.tick);
    self.post(Ticked{self.source_alive()});
    if (!self.done_later_ || !self.relay_.has_room()) continue;
    std::exchange(self.done_later_, {})(true);
  }
}

bool RelayActor::source_alive() const {
  return Scheduler::now() - subscription_.heard_at() <= settings_.source_silent;
}

// One connection: its request, and then only the look for its end; what it is given comes from carry_out.
// Whoever sends more than one request is no subscriber and is closed.
Task<> RelayActor::serve(RelayActor& self, SessionPointer session) {
  const Seconds until = Scheduler::now() + self.limits_.request_read_timeout;
  protocol::HttpParser parser(protocol::HttpParser::Message::kRequest, {self.limits_.max_head, 0});
  SubscriptionRequest request;
  transport::Buffer in(kReadRoom);
  auto step = protocol::HttpParser::Step::kMore;
  while (step == protocol::HttpParser::Step::kMore) {
    const IoResult io = co_await session->socket.read(in, kReadRoom, until);
    if (!io.ok()) co_return;
    do {
      std::size_t used = 0;
      step = parser.parse(in.view(), used, request);
      in.consume(used);
    } while (step == protocol::HttpParser::Step::kHead);
  }
  const bool asks_health = request.target == "/_health";
  if (step != protocol::HttpParser::Step::kDone || request.method != "GET" ||
      (request.target != "/changes" && !asks_health)) {
    session->socket.write_now(plain_answer("404 Not Found"));
    co_return;
  }
  if (asks_health) {
    session->socket.write_now(plain_answer("200 OK"));
    co_return;
  }
  session->compressed = request.compressed;
  self.sessions_[session->id] = session;
  self.post(SubscriberArrived{session->id, request.cursor, request.compressed});
  co_await session->socket.read(in, kReadRoom, transport::kNever);
  session->socket.close();
  self.sessions_.erase(session->id);
  self.post(SubscriberLeft{session->id});
}

void RelayActor::known_change_arrived(protocol::Json) {}  // a relay knows nothing before it has asked

void RelayActor::changes_arrived(std::vector<NumberedChange> changes, bool more_waits,
                                 std::function<void(bool taken)> done) {
  mailbox_.post([this, changes = std::move(changes), more_waits, done = std::move(done)]() mutable {
    try {
      step(ChangesArrived{std::move(changes), more_waits});
    } catch (...) {
      done(false);
      throw;
    }
    if (relay_.has_room()) return done(true);
    done_later_ = std::move(done);
  });
}

void RelayActor::post(RelayEvent event) {
  mailbox_.post([this, event = std::move(event)] { step(event); });
}

void RelayActor::step(const RelayEvent& event) {
  for (const RelayEffect& effect : relay_.step(Scheduler::now(), event))
    std::visit([this](const auto& one) { carry_out(one); }, effect);
}

void RelayActor::carry_out(const Accept& accept) {
  const auto found = sessions_.find(accept.id);
  if (found == sessions_.end()) return;
  found->second->socket.write_now(
      std::string("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-store\r\n") +
      (found->second->compressed ? "Content-Encoding: gzip\r\n" : "") + "Connection: close\r\n\r\n");
}

void RelayActor::carry_out(const Refuse& refuse) {
  const auto found = sessions_.find(refuse.id);
  if (found == sessions_.end()) return;
  found->second->socket.write_now(plain_answer(words_of(refuse.why)));
  found->second->socket.shutdown_write();
  scheduler_.at(Scheduler::now() + limits_.linger_timeout,
                [session = found->second] { session->socket.close(); });
}

void RelayActor::carry_out(const Give& give) {
  const auto found = sessions_.find(give.id);
  if (found == sessions_.end()) return;
  const IoResult io = found->second->socket.write_now(*give.bytes);
  ++writes_;
  bytes_given_ += io.bytes;
  if (io.ok()) return post(PieceTaken{give.id});
  if (io.status == IoStatus::kTimedOut)
    scheduler_.spawn(write_rest(*this, found->second, give.bytes, io.bytes));
}

Task<> RelayActor::write_rest(RelayActor& self, SessionPointer session, SharedBytes bytes, std::size_t from) {
  const std::string_view rest = std::string_view(*bytes).substr(from);
  const IoResult io = co_await session->socket.write(rest, Scheduler::now() + 2 * self.settings_.stalled);
  ++self.writes_;
  self.bytes_given_ += io.bytes;
  if (io.ok()) self.post(PieceTaken{session->id});
}

void RelayActor::carry_out(const Close& close) {
  const auto found = sessions_.find(close.id);
  if (found == sessions_.end()) return;
  log_.warning("subscriber_stalled", "relay: a subscriber took nothing for {} s and is closed",
               settings_.stalled);
  found->second->socket.abort();
}

}  // namespace hareramp::distribution
