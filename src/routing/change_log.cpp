#include "routing/change_log.hpp"

#include <algorithm>
#include <charconv>
#include <exception>
#include <limits>
#include <utility>

#include "transport/signal.hpp"

namespace hareramp::routing {

using transport::Io;
using transport::IoEnd;
using transport::Scheduler;
using transport::Task;

namespace {
constexpr Seconds kSliceLook = 0.001;  // s; a slice takes less
}  // namespace

// Follows one address, connection after connection, until it is told to stop.
class ChangeLog::Feed : public std::enable_shared_from_this<Feed>,
                        private protocol::HttpHandler,
                        private protocol::EventHandler {
 public:
  Feed(ChangeLog& owner, transport::Address address, std::string host)
      : log_(owner),
        address_(address),
        host_(std::move(host)),
        events_(owner.limits_.event_bytes),
        slice_over_(owner.scheduler_) {}

  void start() { log_.scheduler_.spawn(keep_following(shared_from_this())); }
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
  static Task<> keep_following(std::shared_ptr<Feed> self) {
    while (!self->stopped_) {
      try {
        co_await self->follow();
      } catch (const std::exception& error) {  // no memory, say: the list must be followed all the same
        self->log_.troubled(error.what());
      }
      if (!self->stopped_)
        co_await self->log_.scheduler_.sleep_until(Scheduler::now() + self->log_.limits_.log_again);
    }
  }
  Task<> follow();
  Task<> hand_over(bool more_waits);

  void start_line(std::string_view status, std::string_view) override {
    usable_ = status == "200";
    broken_ = !usable_;
    if (broken_) return log_.troubled("answered " + std::string(status));
    if (!std::exchange(log_.trouble_, "").empty())
      log_.log_.info("change_log_followed", "change log: followed again, after event {}", log_.last_);
  }
  void header(std::string_view, std::string_view) override {}
  void body(std::string_view piece) override {
    if (usable_ && !events_.feed(piece, *this)) broken_ = true;
  }
  void event(std::string_view id, std::string_view data) override {
    auto change = protocol::Json::parse(data);
    long long number = 0;
    std::from_chars(id.data(), id.data() + id.size(), number);
    if (change && (*change)["seq"].whole()) number = *(*change)["seq"].whole();
    slice_.push_back({number, std::move(change)});
  }

  ChangeLog& log_;
  transport::Address address_;
  std::string host_;
  transport::Socket socket_;
  protocol::EventParser events_;
  std::vector<Event> slice_;  // read, and not yet on its way
  transport::Signal slice_over_;
  bool usable_ = false, broken_ = false, stopped_ = false;
};

// Guards against reading faster than the receiver works: a backlog would fill the memory and hold the loop
// up. While this waits nothing is read; what the source sends stays with the system, and then with the
// source.
Task<> ChangeLog::Feed::hand_over(bool more_waits) {
  log_.slice_out_ = true;
  log_.mailbox_.post(
      [&log = log_, events = std::exchange(slice_, {}), more_waits, self = shared_from_this()]() mutable {
        log.slice_arrived(std::move(events), more_waits, self);
      });
  while (log_.slice_out_) co_await slice_over_.wait();
}

// One connection, until it ends or falls silent; the next goes on after the last event that the module has
// been told of. The time that the module takes for a slice is no silence: it counts from the next read on.
Task<> ChangeLog::Feed::follow() {
  const Limits& limits = log_.limits_;
  // Of the address that was followed before: what it brought must be taken in, or not, before more is asked
  // for.
  while (log_.slice_out_ && !stopped_) co_await log_.scheduler_.sleep_until(Scheduler::now() + kSliceLook);
  const Seconds until = Scheduler::now() + limits.log_silent;
  transport::Connected connected = co_await transport::connect(log_.scheduler_, address_, until);
  if (stopped_) co_return;
  if (connected.end != transport::ConnectEnd::kUp) {
    log_.troubled("no connection");
    co_return;
  }
  ++log_.counters_.log_connected;
  socket_ = std::move(connected.socket);
  const std::string asked = "GET /changes HTTP/1.1\r\nHost: " + host_ +
                            "\r\nAccept: text/event-stream\r\nLast-Event-ID: " + std::to_string(log_.last_) +
                            "\r\n\r\n";
  const Io sent = co_await socket_.write(asked, until);
  if (!sent.ok()) co_return;
  protocol::HttpParser parser(protocol::HttpParser::Message::kResponse,
                              {limits.head_bytes, std::numeric_limits<std::size_t>::max()});
  events_ = protocol::EventParser(limits.event_bytes);
  usable_ = broken_ = false;
  slice_.clear();
  transport::Buffer in(limits.event_slice);
  for (;;) {
    const Io io = co_await socket_.read(in, limits.event_slice, Scheduler::now() + limits.log_silent);
    if (stopped_) co_return;
    if (io.end == IoEnd::kTimedOut) {
      ++log_.counters_.log_silent;
      log_.troubled("silent");
    }
    if (!io.ok()) co_return;
    auto step = protocol::HttpParser::Step::kHead;
    while (step == protocol::HttpParser::Step::kHead) {
      std::size_t used = 0;
      step = parser.feed(in.view(), used, *this);
      in.consume(used);
    }
    const bool more_waits = io.bytes >= limits.event_slice;
    if (!slice_.empty()) co_await hand_over(more_waits);
    if (step != protocol::HttpParser::Step::kMore || broken_ || stopped_) co_return;
  }
}

ChangeLog::ChangeLog(Scheduler& scheduler, const Limits& limits, Counters& counters, Log& log,
                     transport::Address address, std::string host, long long last, ChangeReceiver& receiver)
    : scheduler_(scheduler),
      limits_(limits),
      counters_(counters),
      log_(log),
      address_(address),
      host_(std::move(host)),
      last_(last),
      received_(last),
      receiver_(receiver),
      mailbox_(scheduler) {}

ChangeLog::~ChangeLog() = default;

void ChangeLog::start(const std::vector<protocol::Json>& known) {
  for (const protocol::Json& change : known)
    mailbox_.post([this, change] { receiver_.change_arrived(change, true); });
  scheduler_.spawn(live(*this));
  follow(address_, host_);
}

void ChangeLog::moved(transport::Address address, const std::string& host) {
  mailbox_.post([this, address, host] {
    if (address == address_) return;
    log_.info("change_log_moved", "change log: from now on at {}, after event {}", host, last_);
    follow(address, host);
  });
}

// Guards against an old change log that stays open and tells nothing: it is left at once, not when it ends.
// What it had told and we had not read is told again by the new one; what both tell counts once.
void ChangeLog::follow(transport::Address address, const std::string& host) {
  address_ = address, host_ = host;
  if (feed_) feed_->stop();
  feed_ = std::make_shared<Feed>(*this, address_, host_);
  feed_->start();
}

Task<> ChangeLog::live(ChangeLog& self) { co_await self.mailbox_.serve(); }

// Tries go on several times a second; the log hears of each trouble once.
void ChangeLog::troubled(const std::string& what) {
  if (trouble_ == what) return;
  trouble_ = what;
  log_.warning("change_log_lost", "change log: {}; trying again, after event {}", what, last_);
}

void ChangeLog::slice_arrived(std::vector<Event> events, bool more_waits, const std::shared_ptr<Feed>& feed) {
  std::vector<protocol::Json> changes;
  for (Event& event : events) {
    ++counters_.events;
    if (event.number > 0 && event.number <= received_) continue;  // before, or after a reconnection
    if (event.number > 0) received_ = event.number;
    if (event.change && event.change->is_object()) {
      changes.push_back(std::move(*event.change));
      continue;
    }
    ++counters_.events_skipped;
    log_.warning("event_unreadable", "change log: event {} can't be read", event.number);
  }
  receiver_.changes_arrived(std::move(changes), more_waits, [this, newest = received_, feed](bool taken) {
    mailbox_.post([this, newest, taken, feed] { slice_ended(newest, taken, *feed); });
  });
}

// Guards against a change that is lost because the receiver failed half way (no memory, say): the connection
// is made anew from the last event taken in, and all behind it comes again. Being told twice changes nothing.
void ChangeLog::slice_ended(long long newest, bool taken, Feed& feed) {
  slice_out_ = false;
  if (taken) last_ = std::max(last_, newest);
  if (!taken) received_ = last_;
  feed.slice_ended(taken);
}

}  // namespace hareramp::routing
