// Shared by the tests: a director whose decisions are recorded as text, the kept traces, and stand-ins on
// loopback for the peers of a director.
#pragma once

#include <doctest/doctest.h>

#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <regex>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "base/limits.hpp"
#include "policy.hpp"
#include "trace.hpp"
#include "transport/scheduler.hpp"
#include "transport/socket.hpp"

namespace hareramp {

// A director in a small fleet: caches c1 to c4 in zone 2 (c4 in a different cell), r1 in zone 3, parents P1
// to P3 in zones 0 and 1, and one origin O. A transfer runs at 1000 KB/s.
class DirectorFixture : public Actions {
 public:
  DirectorFixture(const DirectorFixture&) = delete;
  DirectorFixture() : DirectorFixture(Settings()) {}
  explicit DirectorFixture(const Settings& changes) {
    Settings settings = usual_settings();
    for (const auto& [name, value] : changes) settings[name] = value;
    director = std::make_unique<Director>(now, settings, 7, *this);
  }
  static Settings usual_settings() {
    Settings settings = {{"Balancers", "2"},
                         {"Contract.ColdS", "10"},
                         {"Contract.FallMultiple", "2"},
                         {"Contract.FallS", "2"},
                         {"Contract.StartCapacity", "0.2"},
                         {"FamilyInfo.CanJoin", "true"},
                         {"FamilyInfo.GoodForS", "0,8,0,0"},
                         {"FamilyInfo.GoesThrough", "false,false,true,false"},
                         {"FamilyInfo.HubByZone", "0,1,0,1"},
                         {"FamilyInfo.OriginKind", "2"},
                         {"FamilyInfo.ParentColdFrom", "0.1"},
                         {"FamilyInfo.ParentLimitFactor", "2"},
                         {"FamilyInfo.ParentWarmsInS", "20"},
                         {"FamilyInfo.PeersFill", "location"},
                         {"FamilyInfo.PurgeDoneS", "6"},
                         {"FamilyInfo.SeatsByZone", "0,0,1,1"},
                         {"FamilyInfo.ShieldKind", "1"},
                         {"FamilyInfo.StreamKbPerS", "1000"},
                         {"FamilyInfo.Tells", "all"},
                         {"Locality", "2"},
                         {"Permissions.Cancel", "true"},
                         {"Permissions.MaxAttempts", "6"},
                         {"Permissions.MaxRetryAfterS", "2"},
                         {"Permissions.RetryAfter", "true"},
                         {"Permissions.SecondCopies", "true"},
                         {"RequestClasses.count", "4"},
                         {"Weights", "nominal"}};
    const char* effects[] = {"retryable", "retryable", "fragile", "dedup"};
    for (int i = 0; i < 4; ++i) {
      const std::string at = "RequestClasses." + std::to_string(i) + ".";
      settings[at + "PromiseS"] = "0.5", settings[at + "AimStretch"] = "2", settings[at + "DeadlineS"] = "5";
      settings[at + "Effect"] = effects[i], settings[at + "Group"] = "zone", settings[at + "WindowS"] = "2";
    }
    return settings;
  }

  // Lists nodes given as "c1 c2 P1 O"; the state and start time are the same for all of them.
  void list(ListCompleteness completeness, const std::string& names,
            EndpointState endpoint_state = EndpointState::kRunning, Seconds started_at = 0) {
    director->list_starts(now, completeness);
    std::istringstream stream(names);
    for (std::string name; stream >> name;) {
      const bool parent = name[0] == 'P', origin = name[0] == 'O';
      const int zone = name == "P2" || origin ? 1 : parent ? 0 : name[0] == 'r' ? 3 : 2;
      director->list_entry(now, {name}, {zone},
                           {parent   ? 1
                            : origin ? 2
                                     : 0},
                           {name == "c4" ? 2 : 1}, endpoint_state,
                           origin   ? 1
                           : parent ? 20
                                    : 6,
                           started_at);
    }
    director->list_ends(now);
  }
  void request(const std::string& id, std::uint64_t object, int request_class = 0, double size_kb = 400,
               int part = 0) {
    director->request_arrived(now, {id}, {request_class}, {0}, {object}, {part},
                              {static_cast<std::int64_t>(object % 8)}, now + 5, size_kb, false,
                              request_class == 2);
  }
  // Ends an attempt after `elapsed` seconds, by which the clock advances.
  void end_attempt(const std::string& id, int number, Result result,
                   AnswerDetail detail = AnswerDetail::kNone, Seconds elapsed = 0.01,
                   bool request_over = false) {
    now += elapsed;
    director->attempt_ended(now, {id}, {number}, {node_of[id][number]}, result, detail, elapsed / 4, elapsed,
                            {}, request_over || result == Result::kCompleted);
  }
  void advance(Seconds pause) { now += pause; }
  // Fires the timers that are due by then, in order.
  void run_until(Seconds then) {
    while (!timers.empty() && timers.begin()->first <= then) {
      const auto [at, token] = *timers.begin();
      timers.erase(timers.begin());
      now = std::max(now, at);
      director->timer_fired(now, token);
    }
    now = std::max(now, then);
  }
  std::string take_trace() { return std::exchange(trace, ""); }
  void annotate(const std::string& comment) { trace += "-- " + comment + "\n"; }

  void attempt(const RequestId& request, const NodeId& node, const FillOptions& fill,
               Seconds timeout) override {
    node_of[request.value].push_back(node.value);
    source_of[request.value] = fill.source.value, cached_only_of[request.value] = fill.cached_only;
    std::string line = request.value + ": attempt to " + node.value;
    line += fill.source == node ? ", no fill" : ", fill from " + fill.source.value;
    line += ", rank " + std::to_string(fill.rank);
    if (fill.max_copy_age > 0) line += ", at most " + text(fill.max_copy_age) + " s old";
    if (fill.cached_only) line += ", cached only";
    if (fill.join) line += ", may join";
    if (fill.background_refresh) line += ", background refresh";
    if (timeout > 0) line += ", time-out " + text(timeout) + " s";
    append_line(line);
  }
  void cancel(const RequestId& request, AttemptNumber number) override {
    append_line(request.value + ": cancel attempt " + std::to_string(number.value));
  }
  void reject(const RequestId& request, Seconds retry_after) override {
    append_line(request.value + ": reject" + (retry_after > 0 ? ", Retry-After" : ""));
  }
  void fail(const RequestId& request) override { append_line(request.value + ": fail"); }
  void set_timer(Seconds at, const TimerToken& token) override { timers.emplace(at, token); }
  void probe(const NodeId& node) override { append_line("probe " + node.value); }
  void watch_list() override { append_line("watch the list"); }
  void log(const std::string& message) override { append_line("log: " + message); }

  static std::string text(double value) {
    char buffer[32];
    std::snprintf(buffer, sizeof buffer, "%.3f", value);
    return buffer;
  }

  Seconds now = 100;
  std::unique_ptr<Director> director;
  std::map<std::string, std::vector<std::string>> node_of;
  std::map<std::string, std::string> source_of;
  std::map<std::string, bool> cached_only_of;
  std::multimap<Seconds, TimerToken> timers;
  std::string trace;

 private:
  void append_line(const std::string& line) { trace += text(now) + " " + line + "\n"; }
};

// Runs the scheduler until the condition holds; returns false if it does not within the time limit, which
// only bounds a failing test.
inline bool run_until(transport::Scheduler& scheduler, const std::function<bool()>& condition) {
  using transport::Scheduler;
  bool reached = false;
  const auto watch = [](Scheduler& loop, const std::function<bool()>& stop_condition,
                        bool& stopped) -> transport::Task<> {
    const Seconds give_up_at = Scheduler::now() + 20;
    while (!(stopped = stop_condition()) && Scheduler::now() < give_up_at)
      co_await loop.sleep_until(Scheduler::now() + 0.001);
    loop.stop();
  };
  scheduler.spawn(watch(scheduler, condition, reached));
  scheduler.run();
  return reached;
}

// One end of a connection, driven by a test.
class TestConnection : public std::enable_shared_from_this<TestConnection> {
 public:
  TestConnection(transport::Scheduler& scheduler, transport::Socket socket)
      : scheduler_(scheduler), socket_(std::move(socket)) {}
  void start_reading() { scheduler_.spawn(read(shared_from_this())); }
  void send(std::string_view bytes) { CHECK(socket_.write_now(bytes).ok()); }
  std::size_t try_send(std::string_view bytes) { return socket_.write_now(bytes).bytes; }
  void reset() { socket_.abort(); }
  void finish() { socket_.shutdown_write(); }
  void close() { socket_.close(); }
  bool has_received(const std::string& text) const { return received.find(text) != std::string::npos; }

  std::string received;
  bool ended = false, up = true;

 private:
  static transport::Task<> read(std::shared_ptr<TestConnection> self) {
    transport::Buffer in(1 << 16);
    while ((co_await self->socket_.read(in, 1 << 16, transport::kNever)).ok()) {
      self->received += in.view();
      in.consume(in.size());
    }
    self->ended = true;
  }
  transport::Scheduler& scheduler_;
  transport::Socket socket_;
};

// A server that does only what the test tells it to do: a node, the change stream, or a server that never
// reads.
class StandInServer {
 public:
  explicit StandInServer(transport::Scheduler& scheduler, bool reads = true)
      : scheduler_(scheduler),
        reads_(reads),
        listener_(scheduler, *transport::Address::parse("127.0.0.1:0"), 64) {
    address = listener_.address();
    scheduler.spawn(accept_connections(*this));
  }
  ~StandInServer() { listener_.close(); }
  bool has_connections(std::size_t count) const { return connections.size() >= count; }
  // What the server received on one connection, with values that differ from run to run replaced.
  std::string received(std::size_t index = 0) const {
    if (index >= connections.size()) return "nothing\n";
    static const std::regex kVaries("ttl=[0-9]+");
    std::string text;
    for (const char c : std::regex_replace(connections[index]->received, kVaries, "ttl=N"))
      if (c != '\r') text += c;
    return text;
  }
  bool has_received(const std::string& text, std::size_t index = 0) const {
    return index < connections.size() && connections[index]->has_received(text);
  }

  transport::Address address;
  std::vector<std::shared_ptr<TestConnection>> connections;

 private:
  static transport::Task<> accept_connections(StandInServer& self) {
    for (;;) {
      auto accepted = co_await self.listener_.accept();
      if (accepted.status != transport::Listener::Status::kAccepted) co_return;
      self.connections.push_back(
          std::make_shared<TestConnection>(self.scheduler_, std::move(accepted.socket)));
      if (self.reads_) self.connections.back()->start_reading();
    }
  }
  transport::Scheduler& scheduler_;
  bool reads_;
  transport::Listener listener_;
};

// Opens a connection to the address; `up` of the result tells whether it was established.
inline std::shared_ptr<TestConnection> dial(transport::Scheduler& scheduler, transport::Address address,
                                            bool reads = true) {
  std::shared_ptr<TestConnection> connection;
  const auto connect_task = [](transport::Scheduler& loop, transport::Address peer, bool starts_reading,
                               std::shared_ptr<TestConnection>& result) -> transport::Task<> {
    auto connected = co_await transport::connect(loop, peer, transport::Scheduler::now() + 5);
    result = std::make_shared<TestConnection>(loop, std::move(connected.socket));
    result->up = connected.status == transport::ConnectStatus::kConnected;
    if (starts_reading) result->start_reading();
  };
  scheduler.spawn(connect_task(scheduler, address, reads, connection));
  REQUIRE(run_until(scheduler, [&] { return connection != nullptr; }));
  return connection;
}

// An address without a listener.
inline transport::Address unused_address(transport::Scheduler& scheduler, const char* at = "127.0.0.1:0") {
  return transport::Listener(scheduler, *transport::Address::parse(at), 1).address();
}

}  // namespace hareramp
