#include "routing/change_log.hpp"

#include <charconv>
#include <exception>
#include <limits>
#include <utility>

namespace hareramp::routing {

using transport::Io;
using transport::IoEnd;
using transport::Scheduler;
using transport::Task;

ChangeLog::ChangeLog(Scheduler& scheduler, const Limits& limits, Counters& counters, Log& log,
                     transport::Address address, std::string host, long long last, ModuleActor& module)
    : scheduler_(scheduler),
      limits_(limits),
      counters_(counters),
      log_(log),
      address_(address),
      host_(std::move(host)),
      last_(last),
      module_(module),
      mailbox_(scheduler),
      events_(limits.event_bytes) {}

void ChangeLog::start(const std::vector<protocol::Json>& known) {
  for (const protocol::Json& change : known)
    mailbox_.post([this, change] { module_.change_arrived(change, true); });
  scheduler_.spawn(live(*this));
  scheduler_.spawn(keep_following(*this));
}

Task<> ChangeLog::live(ChangeLog& self) { co_await self.mailbox_.serve(); }

Task<> ChangeLog::keep_following(ChangeLog& self) {
  for (;;) {
    try {
      co_await self.follow();
    } catch (const std::exception& error) {  // no memory, say: the list must be followed all the same
      self.troubled(error.what());
    }
    co_await self.scheduler_.sleep_until(Scheduler::now() + self.limits_.log_again);
  }
}

// One connection, until it ends or falls silent; the next goes on after the last event that was read whole.
Task<> ChangeLog::follow() {
  const Seconds until = Scheduler::now() + limits_.log_silent;
  transport::Connected connected = co_await transport::connect(scheduler_, address_, until);
  if (connected.end != transport::ConnectEnd::kUp) {
    troubled("no connection");
    co_return;
  }
  ++counters_.log_connected;
  transport::Socket socket = std::move(connected.socket);
  const std::string asked = "GET /changes HTTP/1.1\r\nHost: " + host_ +
                            "\r\nAccept: text/event-stream\r\nLast-Event-ID: " + std::to_string(last_) +
                            "\r\n\r\n";
  const Io sent = co_await socket.write(asked, until);
  if (!sent.ok()) co_return;
  protocol::HttpParser parser(protocol::HttpParser::Message::kResponse,
                              {limits_.head_bytes, std::numeric_limits<std::size_t>::max()});
  events_ = protocol::EventParser(limits_.event_bytes);
  usable_ = broken_ = false;
  transport::Buffer in(limits_.buffer_kept);
  for (;;) {
    const Io io = co_await socket.read(in, limits_.read_room, Scheduler::now() + limits_.log_silent);
    if (io.end == IoEnd::kTimedOut) {
      ++counters_.log_silent;
      troubled("silent");
    }
    if (!io.ok()) co_return;
    auto step = protocol::HttpParser::Step::kHead;
    while (step == protocol::HttpParser::Step::kHead) {
      std::size_t used = 0;
      step = parser.feed(in.view(), used, *this);
      in.consume(used);
    }
    if (step != protocol::HttpParser::Step::kMore || broken_) co_return;
  }
}

void ChangeLog::start_line(std::string_view status, std::string_view) {
  usable_ = status == "200";
  broken_ = !usable_;
  if (broken_) return troubled("answered " + std::string(status));
  if (!std::exchange(trouble_, "").empty()) log_.line("change log: followed again, after event {}", last_);
}

// Tries go on several times a second; the log hears of each trouble once.
void ChangeLog::troubled(const std::string& what) {
  if (trouble_ == what) return;
  trouble_ = what;
  log_.line("change log: {}; trying again, after event {}", what, last_);
}

void ChangeLog::header(std::string_view, std::string_view) {}

void ChangeLog::body(std::string_view piece) {
  if (usable_ && !events_.feed(piece, *this)) broken_ = true;
}

void ChangeLog::event(std::string_view id, std::string_view data) {
  auto change = protocol::Json::parse(data);
  long long number = 0;
  std::from_chars(id.data(), id.data() + id.size(), number);
  if (change && (*change)["seq"].whole()) number = *(*change)["seq"].whole();
  mailbox_.post([this, number, change = std::move(change)]() mutable { told(number, std::move(change)); });
}

void ChangeLog::told(long long number, std::optional<protocol::Json> change) {
  ++counters_.events;
  if (number > 0 && number <= last_) return;  // told before, after a reconnection
  if (number > 0) last_ = number;
  if (change && change->is_object()) return module_.change_arrived(std::move(*change), false);
  ++counters_.events_skipped;
  log_.line("change log: event {} can't be read", number);
}

}  // namespace hareramp::routing
