#include "distribution/subscription.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <exception>
#include <limits>
#include <utility>

#include "protocol/content_coding.hpp"
#include "transport/signal.hpp"

namespace hareramp::distribution {

using transport::IoResult;
using transport::IoStatus;
using transport::Scheduler;
using transport::Seconds;
using transport::Task;

namespace {
constexpr Seconds kSliceLook = 0.001;         // s; a slice takes less
constexpr std::size_t kEventsInSlice = 4096;  // more from one read is no stream of changes
constexpr int kDoublings = 10;                // of the pause between tries
}  // namespace

// Follows the endpoints, connection after connection, until it is told to stop.
class Subscription::Connection : public std::enable_shared_from_this<Connection>,
                                 private protocol::HttpHandler,
                                 private protocol::SseHandler {
 public:
  explicit Connection(Subscription& owner)
      : owner_(owner), events_(owner.limits_.max_event), slice_over_(owner.scheduler_) {}

  void start() { owner_.scheduler_.spawn(keep_following(shared_from_this())); }
  // The receiver has taken the last slice in, or could not.
  void slice_ended(bool taken) {
    broken_ = broken_ || !taken;
    slice_over_.notify();
  }
  void stop() {
    stopped_ = true;
    socket_.close();
  }

 private:
  static Task<> keep_following(std::shared_ptr<Connection> self) {
    Subscription& owner = self->owner_;
    for (int failures = 0; !self->stopped_;) {
      self->was_useful_ = false;
      try {
        co_await self->follow();
      } catch (const std::exception& error) {  // no memory, say: the stream must be followed all the same
        owner.troubled(error.what());
      }
      if (self->stopped_) co_return;
      failures = self->was_useful_ ? 0 : failures + 1;
      owner.place_ = (owner.place_ + 1) % owner.endpoints_.size();
      co_await owner.scheduler_.sleep_until(Scheduler::now() + owner.retry_pause(failures));
    }
  }
  Task<> follow();
  Task<> hand_over(bool more_waits);

  void start_line(std::string_view status, std::string_view) override {
    usable_ = status == "200";
    broken_ = !usable_;
    if (broken_) return owner_.troubled("answered " + std::string(status));
    was_useful_ = true;
    if (!std::exchange(owner_.trouble_, "").empty())
      owner_.log_.info("change_log_followed", "change log: followed again, after event {}", owner_.last_);
  }
  void header(std::string_view name, std::string_view value) override {
    if (protocol::equal_ignoring_case(name, "content-encoding") && value == "gzip")
      decoder_ = std::make_unique<protocol::GzipDecoder>();
  }
  void body(std::string_view piece) override {
    if (!usable_ || broken_) return;
    const auto take = [this](std::string_view decoded) {
      return events_.parse(decoded, *this) && slice_.size() <= kEventsInSlice;
    };
    broken_ = decoder_ ? !decoder_->decode(piece, take) : !take(piece);
    if (broken_) owner_.troubled("sends what is no stream of changes");
  }
  void event(std::string_view id, std::string_view data) override {
    auto change = protocol::Json::parse(data);
    long long number = 0;
    std::from_chars(id.data(), id.data() + id.size(), number);
    if (change && (*change)["seq"].integer()) number = *(*change)["seq"].integer();
    slice_.push_back({number, std::move(change)});
  }

  Subscription& owner_;
  transport::Socket socket_;
  protocol::SseParser events_;
  std::unique_ptr<protocol::GzipDecoder> decoder_;  // null: the stream comes as it is
  std::vector<Event> slice_;                        // read, and not yet on its way
  transport::Signal slice_over_;
  bool first_slice_ = false;  // of this connection
  bool was_useful_ = false;   // this connection was answered with a stream
  bool usable_ = false, broken_ = false, stopped_ = false;
};

// Guards against reading faster than the receiver works: a backlog would fill the memory and hold the loop
// up. While this waits nothing is read; what the source sends stays with the system, and then with the
// source.
Task<> Subscription::Connection::hand_over(bool more_waits) {
  owner_.slice_out_ = true;
  owner_.mailbox_.post([&owner = owner_, events = std::exchange(slice_, {}),
                        first = std::exchange(first_slice_, false), more_waits,
                        self = shared_from_this()]() mutable {
    owner.slice_arrived(std::move(events), first, more_waits, self);
  });
  while (owner_.slice_out_) co_await slice_over_.wait();
}

// One connection, until it ends or falls silent; the next goes on behind the last event that was taken in.
// The time that a slice takes is no silence of the source: that counts from the next read on.
Task<> Subscription::Connection::follow() {
  const Limits& limits = owner_.limits_;
  // Of what was followed before: what it brought must be taken in, or not, before more is asked for.
  while (owner_.slice_out_ && !stopped_)
    co_await owner_.scheduler_.sleep_until(Scheduler::now() + kSliceLook);
  if (stopped_) co_return;
  const Endpoint endpoint = owner_.endpoints_[owner_.place_];
  const Seconds until = Scheduler::now() + owner_.silent_after();
  transport::ConnectResult connected =
      co_await transport::connect(owner_.scheduler_, endpoint.address, until);
  if (stopped_) co_return;
  if (connected.status != transport::ConnectStatus::kConnected) {
    owner_.troubled("no connection");
    co_return;
  }
  ++owner_.counters_.log_connected;
  socket_ = std::move(connected.socket);
  const std::string asked = "GET /changes HTTP/1.1\r\nHost: " + endpoint.host +
                            "\r\nAccept: text/event-stream\r\n" +
                            (owner_.options_.compressed ? "Accept-Encoding: gzip\r\n" : "") +
                            "Last-Event-ID: " + std::to_string(owner_.last_) + "\r\n\r\n";
  const IoResult sent = co_await socket_.write(asked, until);
  if (!sent.ok()) co_return;
  protocol::HttpParser parser(protocol::HttpParser::Message::kResponse,
                              {limits.max_head, std::numeric_limits<std::size_t>::max()});
  events_ = protocol::SseParser(limits.max_event);
  decoder_.reset();
  slice_.clear();
  usable_ = broken_ = false;
  first_slice_ = true;
  transport::Buffer in(limits.change_stream_read_size);
  for (;;) {
    const IoResult io =
        co_await socket_.read(in, limits.change_stream_read_size, Scheduler::now() + owner_.silent_after());
    if (stopped_) co_return;
    if (io.status == IoStatus::kTimedOut) {
      ++owner_.counters_.log_silent;
      owner_.troubled("silent");
    }
    if (!io.ok()) co_return;
    owner_.heard_at_ = Scheduler::now();
    auto step = protocol::HttpParser::Step::kHead;
    while (step == protocol::HttpParser::Step::kHead) {
      std::size_t used = 0;
      step = parser.parse(in.view(), used, *this);
      in.consume(used);
    }
    const bool more_waits = io.bytes >= limits.change_stream_read_size;
    if (!slice_.empty()) co_await hand_over(more_waits);
    if (step != protocol::HttpParser::Step::kMore || broken_ || stopped_) co_return;
  }
}

Subscription::Subscription(Scheduler& scheduler, const Limits& limits, Counters& counters, Log& log,
                           std::vector<Endpoint> endpoints, long long last, ChangeReceiver& receiver,
                           SubscriptionOptions options)
    : scheduler_(scheduler),
      limits_(limits),
      counters_(counters),
      log_(log),
      endpoints_(std::move(endpoints)),
      last_(last),
      received_(last),
      receiver_(receiver),
      options_(options),
      chance_(options.seed),
      mailbox_(scheduler) {}

Subscription::~Subscription() = default;

void Subscription::start(const std::vector<protocol::Json>& known) {
  for (const protocol::Json& change : known)
    mailbox_.post([this, change] { receiver_.known_change_arrived(change); });
  scheduler_.spawn(live(*this));
  follow();
}

void Subscription::moved(std::vector<Endpoint> endpoints) {
  mailbox_.post([this, endpoints = std::move(endpoints)]() mutable {
    if (endpoints == endpoints_) return;
    const Endpoint current = endpoints_[place_];
    endpoints_ = std::move(endpoints);
    const auto same = std::find(endpoints_.begin(), endpoints_.end(), current);
    place_ = same == endpoints_.end() ? 0 : static_cast<std::size_t>(same - endpoints_.begin());
    if (same != endpoints_.end()) return;
    log_.info("change_log_moved", "change log: from now on at {}, after event {}", endpoints_[0].host, last_);
    follow();
  });
}

// Guards against an old source that stays open and tells nothing: it is left at once, not when it ends. What
// it had told and we had not read is told again by the new one; what both tell counts once.
void Subscription::follow() {
  if (connection_) connection_->stop();
  connection_ = std::make_shared<Connection>(*this);
  connection_->start();
}

Seconds Subscription::silent_after() const {
  return options_.silent > 0 ? options_.silent : limits_.change_stream_silence_timeout;
}

// Guards against thousands of subscribers that come back in the same moment: each draws its own, and later
// ones the longer nobody answers.
Seconds Subscription::retry_pause(int failures) {
  if (options_.retry_longest <= 0) return limits_.change_stream_retry_delay;
  const double doubled = limits_.change_stream_retry_delay * std::exp2(std::min(failures, kDoublings));
  const Seconds longest = std::min(doubled, options_.retry_longest);
  return std::uniform_real_distribution<double>(longest / 2, longest)(chance_);
}

Task<> Subscription::live(Subscription& self) { co_await self.mailbox_.serve(); }

// Tries go on several times a second; the log hears of each trouble once.
void Subscription::troubled(const std::string& what) {
  if (trouble_ == what) return;
  trouble_ = what;
  log_.warning("change_log_lost", "change log: {}; trying again, after event {}", what, last_);
}

void Subscription::slice_arrived(std::vector<Event> events, bool first_of_connection, bool more_waits,
                                 const std::shared_ptr<Connection>& connection) {
  const Event& first = events.front();
  if (options_.restarts_followed && first_of_connection && first.number > 0 && first.number <= received_ &&
      first.change && (*first.change)["fleet"]["full"].boolean()) {
    log_.warning("change_log_restarted", "change log: began anew at event {}, after event {}", first.number,
                 last_);
    last_ = received_ = first.number - 1;
  }
  std::vector<NumberedChange> changes;
  for (Event& event : events) {
    ++counters_.events;
    if (event.number > 0 && event.number <= received_) continue;  // before, or after a reconnection
    if (event.number > 0) received_ = event.number;
    if (event.change && event.change->is_object()) {
      changes.push_back({event.number, std::move(*event.change)});
      continue;
    }
    ++counters_.events_skipped;
    log_.warning("event_unreadable", "change log: event {} can't be read", event.number);
  }
  receiver_.changes_arrived(
      std::move(changes), more_waits, [this, newest = received_, connection](bool taken) {
        mailbox_.post([this, newest, taken, connection] { slice_ended(newest, taken, *connection); });
      });
}

// Guards against a change that is lost because the receiver failed half way (no memory, say): the connection
// is made anew from the last event taken in, and all behind it comes again. Being told twice changes nothing.
void Subscription::slice_ended(long long newest, bool taken, Connection& connection) {
  slice_out_ = false;
  if (taken) last_ = std::max(last_, newest);
  if (!taken) received_ = last_;
  connection.slice_ended(taken);
}

}  // namespace hareramp::distribution
