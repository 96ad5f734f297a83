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
constexpr Seconds kBatchPollInterval = 0.001;     // s; a batch usually takes the receiver less
constexpr std::size_t kMaxEventsPerBatch = 4096;  // more events in one read: not a change stream
constexpr int kMaxBackoffDoublings = 10;          // of the delay between attempts
// s: the longest wait for the head of a response. By then all that a silent stream misses counts as notified.
constexpr Seconds kMaxAnswerTimeout = 4;
}  // namespace

// Connects to the endpoints in turn, one connection at a time, until stop() is called.
class Subscription::Connection : public std::enable_shared_from_this<Connection>,
                                 private protocol::HttpHandler,
                                 private protocol::SseHandler {
 public:
  explicit Connection(Subscription& owner)
      : owner_(owner), event_parser_(owner.limits_.max_event), batch_done_(owner.scheduler_) {}

  void start() { owner_.scheduler_.spawn(run(shared_from_this())); }
  // Called when the receiver has processed the last batch, or has failed to.
  void finish_batch(bool accepted) {
    broken_ = broken_ || !accepted;
    batch_done_.notify();
  }
  void stop() {
    stopped_ = true;
    socket_.close();
  }

 private:
  static Task<> run(std::shared_ptr<Connection> self) {
    Subscription& owner = self->owner_;
    for (int failures = 0; !self->stopped_;) {
      self->stream_started_ = false;
      try {
        co_await self->run_connection();
      } catch (const std::exception& error) {  // such as out of memory: the subscription must continue
        owner.report_failure(error.what());
      }
      if (self->stopped_) co_return;
      if (self->stream_started_) owner.report_loss(StreamLoss::kBroken);
      failures = self->stream_started_ ? 0 : failures + 1;
      if (self->stream_started_) self->unanswered_ = 0;
      owner.endpoint_index_ = (owner.endpoint_index_ + 1) % owner.endpoints_.size();
      co_await owner.scheduler_.sleep_until(Scheduler::now() + owner.retry_delay(failures));
    }
  }
  Task<> run_connection();
  Task<> deliver_batch(bool more_available);

  void start_line(std::string_view status, std::string_view) override {
    status_ok_ = status == "200";
    broken_ = !status_ok_;
    if (broken_) return owner_.report_failure("answered with status " + std::string(status));
    stream_started_ = true;
    if (!std::exchange(owner_.last_failure_, "").empty())
      owner_.log_.info("change_log_followed", "change stream: connected again, continuing after event {}",
                       owner_.last_accepted_);
  }
  void header(std::string_view name, std::string_view value) override {
    if (protocol::equal_ignoring_case(name, "content-encoding") && value == "gzip")
      decoder_ = std::make_unique<protocol::GzipDecoder>();
  }
  void body(std::string_view chunk) override {
    if (!status_ok_ || broken_) return;
    const auto parse = [this](std::string_view decoded) {
      return event_parser_.parse(decoded, *this) && batch_.size() <= kMaxEventsPerBatch;
    };
    has_body_ = true;
    broken_ = decoder_ ? !decoder_->decode(chunk, parse) : !parse(chunk);
    if (broken_) owner_.report_failure("the response body is not a valid change stream");
  }
  void event(std::string_view id, std::string_view data) override {
    auto change = protocol::Json::parse(data);
    long long number = 0;
    std::from_chars(id.data(), id.data() + id.size(), number);
    if (change && (*change)["seq"].integer()) number = *(*change)["seq"].integer();
    batch_.push_back({number, std::move(change)});
  }

  Subscription& owner_;
  transport::Socket socket_;
  protocol::SseParser event_parser_;
  std::unique_ptr<protocol::GzipDecoder> decoder_;  // null: the stream is not compressed
  std::vector<Event> batch_;                        // read, not yet passed to the receiver
  transport::Signal batch_done_;
  int unanswered_ = 0;           // connections in a row on which no response began in time
  bool is_first_batch_ = false;  // the next batch is the first of this connection
  bool stream_started_ = false;  // this connection's response had status 200
  bool has_body_ = false;        // this connection has delivered something after its response's head
  bool status_ok_ = false, broken_ = false, stopped_ = false;
};

// Guards against reading faster than the receiver processes: a large backlog would fill the memory and block
// the event loop. While this waits nothing is read, so that unread data stays in the kernel's socket buffers
// and then at the source.
Task<> Subscription::Connection::deliver_batch(bool more_available) {
  owner_.batch_in_flight_ = true;
  owner_.mailbox_.post([&owner = owner_, events = std::exchange(batch_, {}),
                        first = std::exchange(is_first_batch_, false), more_available,
                        self = shared_from_this()]() mutable {
    owner.handle_batch(std::move(events), first, more_available, self);
  });
  while (owner_.batch_in_flight_) co_await batch_done_.wait();
}

// Runs one connection until it ends or the silence timeout passes; the next connection continues after the
// last event that the receiver processed. The time that the receiver takes for a batch does not count as
// silence of the source: each read starts the timeout again.
Task<> Subscription::Connection::run_connection() {
  const Limits& limits = owner_.limits_;
  // A batch of the previous connection may still be with the receiver. Its outcome decides which event the
  // new connection continues after, so wait for it.
  while (owner_.batch_in_flight_ && !stopped_)
    co_await owner_.scheduler_.sleep_until(Scheduler::now() + kBatchPollInterval);
  if (stopped_) co_return;
  const Endpoint endpoint = owner_.endpoints_[owner_.endpoint_index_];
  const Seconds deadline = Scheduler::now() + owner_.effective_silence_timeout();
  transport::ConnectResult connected =
      co_await transport::connect(owner_.scheduler_, endpoint.address, deadline);
  if (stopped_) co_return;
  if (connected.status != transport::ConnectStatus::kConnected) {
    owner_.report_failure("connection failed");
    co_return;
  }
  ++owner_.counters_.log_connected;
  socket_ = std::move(connected.socket);
  const std::string request = "GET /changes HTTP/1.1\r\nHost: " + endpoint.host +
                              "\r\nAccept: text/event-stream\r\n" +
                              (owner_.options_.compressed ? "Accept-Encoding: gzip\r\n" : "") +
                              "Last-Event-ID: " + std::to_string(owner_.last_accepted_) + "\r\n\r\n";
  const Seconds answer_due = std::max(deadline, Scheduler::now() + owner_.answer_timeout(unanswered_));
  const Seconds asked_at = Scheduler::now();
  const IoResult sent = co_await socket_.write(request, deadline);
  if (!sent.ok()) co_return;
  protocol::HttpParser parser(protocol::HttpParser::Message::kResponse,
                              {limits.max_head, std::numeric_limits<std::size_t>::max()});
  event_parser_ = protocol::SseParser(limits.max_event);
  decoder_.reset();
  batch_.clear();
  status_ok_ = broken_ = has_body_ = false;
  is_first_batch_ = true;
  transport::Buffer in(limits.change_stream_read_size);
  for (;;) {
    const IoResult io = co_await socket_.read(
        in, limits.change_stream_read_size,
        stream_started_ ? Scheduler::now() + owner_.effective_silence_timeout() : answer_due);
    if (stopped_) co_return;
    if (io.status == IoStatus::kTimedOut) {
      if (!stream_started_) ++unanswered_;
      ++owner_.counters_.log_silent;
      owner_.report_failure("no data within the silence timeout");
    }
    if (!io.ok()) co_return;
    owner_.last_received_at_ = Scheduler::now();
    auto step = protocol::HttpParser::Step::kHead;
    while (step == protocol::HttpParser::Step::kHead) {
      std::size_t used = 0;
      step = parser.parse(in.view(), used, *this);
      in.consume(used);
    }
    const bool more_available = io.bytes >= limits.change_stream_read_size;
    if (!batch_.empty()) co_await deliver_batch(more_available);
    if (step != protocol::HttpParser::Step::kMore || broken_ || stopped_) co_return;
    if (has_body_ && !more_available && event_parser_.between_events()) owner_.report_followed(asked_at);
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
      last_accepted_(last),
      last_posted_(last),
      receiver_(receiver),
      options_(options),
      random_(options.seed),
      mailbox_(scheduler) {}

Subscription::~Subscription() = default;

void Subscription::start(const std::vector<protocol::Json>& known) {
  for (const protocol::Json& change : known)
    mailbox_.post([this, change] { receiver_.known_change_arrived(change); });
  report_loss(StreamLoss::kNotConnected);
  scheduler_.spawn(run_mailbox(*this));
  reconnect();
}

void Subscription::set_endpoints(std::vector<Endpoint> endpoints) {
  mailbox_.post([this, endpoints = std::move(endpoints)]() mutable {
    if (endpoints == endpoints_) return;
    const Endpoint current = endpoints_[endpoint_index_];
    endpoints_ = std::move(endpoints);
    const auto unchanged = std::find(endpoints_.begin(), endpoints_.end(), current);
    endpoint_index_ =
        unchanged == endpoints_.end() ? 0 : static_cast<std::size_t>(unchanged - endpoints_.begin());
    if (unchanged != endpoints_.end()) return;
    log_.info("change_log_moved", "change stream: switched to {}, continuing after event {}",
              endpoints_[0].host, last_accepted_);
    report_loss(StreamLoss::kMoved);
    reconnect();
  });
}

// Guards against an old source that keeps its connection open but sends nothing: the connection is closed at
// once, not when the source ends it. Events that the old source had sent and that were not read yet are sent
// again by the new one. Events that both have sent are processed once.
void Subscription::reconnect() {
  if (connection_) connection_->stop();
  connection_ = std::make_shared<Connection>(*this);
  connection_->start();
}

Seconds Subscription::effective_silence_timeout() const {
  return options_.silence_timeout > 0 ? options_.silence_timeout : limits_.change_stream_silence_timeout;
}

// Guards against a source that is slow to answer: it would never be followed if each connection were given up
// as early as one that falls silent. The cost: up to kMaxAnswerTimeout on a connection that is dead.
Seconds Subscription::answer_timeout(int unanswered) const {
  const Seconds silence = effective_silence_timeout();
  const double longer = silence * std::exp2(std::min(unanswered, kMaxBackoffDoublings));
  return std::min(longer, std::max(silence, kMaxAnswerTimeout));
}

// Guards against thousands of subscribers that reconnect in the same moment: each draws its own random delay,
// and the delays grow with the number of consecutive failures.
Seconds Subscription::retry_delay(int failures) {
  if (options_.retry_longest <= 0) return limits_.change_stream_retry_delay;
  const double backoff =
      limits_.change_stream_retry_delay * std::exp2(std::min(failures, kMaxBackoffDoublings));
  const Seconds max_delay = std::min(backoff, options_.retry_longest);
  return std::uniform_real_distribution<double>(max_delay / 2, max_delay)(random_);
}

Task<> Subscription::run_mailbox(Subscription& self) { co_await self.mailbox_.serve(); }

// Attempts are repeated several times a second, so a failure is logged only if its reason differs from the
// last.
void Subscription::report_failure(const std::string& reason) {
  if (last_failure_ == reason) return;
  last_failure_ = reason;
  log_.warning("change_log_lost", "change stream: {}; retrying after event {}", reason, last_accepted_);
}

// A loss that is noticed in a late turn of the loop may have happened as much earlier.
void Subscription::report_loss(StreamLoss loss) {
  if (std::exchange(followed_, false)) ++counters_.log_lost;
  receiver_.stream_lost(loss, Scheduler::now() - scheduler_.lateness(), last_received_at_);
}

void Subscription::report_followed(Seconds asked_at) {
  if (!std::exchange(followed_, true)) receiver_.stream_followed(asked_at);
}

void Subscription::handle_batch(std::vector<Event> events, bool first_of_connection, bool more_available,
                                const std::shared_ptr<Connection>& connection) {
  const Event& first = events.front();
  if (options_.restarts_followed && first_of_connection && first.number > 0 && first.number <= last_posted_ &&
      first.change && (*first.change)["fleet"]["full"].boolean()) {
    log_.warning("change_log_restarted", "change stream: the source restarted at event {}, after event {}",
                 first.number, last_accepted_);
    last_accepted_ = last_posted_ = first.number - 1;
  }
  std::vector<NumberedChange> changes;
  for (Event& event : events) {
    ++counters_.events;
    // Already received, in this connection or before a reconnection.
    if (event.number > 0 && event.number <= last_posted_) continue;
    if (event.number > 0) last_posted_ = event.number;
    if (event.change && event.change->is_object()) {
      changes.push_back({event.number, std::move(*event.change)});
      continue;
    }
    ++counters_.events_skipped;
    log_.warning("event_unreadable", "change stream: event {} is not a valid change", event.number);
  }
  receiver_.changes_arrived(
      std::move(changes), more_available, [this, last_number = last_posted_, connection](bool accepted) {
        mailbox_.post(
            [this, last_number, accepted, connection] { finish_batch(last_number, accepted, *connection); });
      });
}

// Guards against losing a change because the receiver failed partway (out of memory, for example): the
// subscription reconnects after the last processed event and receives all later ones again. Processing a
// change twice has no further effect.
void Subscription::finish_batch(long long last_number, bool accepted, Connection& connection) {
  batch_in_flight_ = false;
  if (accepted) last_accepted_ = std::max(last_accepted_, last_number);
  if (!accepted) last_posted_ = last_accepted_;
  connection.finish_batch(accepted);
}

}  // namespace hareramp::distribution
