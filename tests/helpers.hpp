// What the tests share: a director whose decisions are written down in plain words, the kept traces, and
// stand-ins on loopback for whoever a director talks to.
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

// A director in a small world: caches c1 to c4 in zone 2 (c4's cell differs), r1 in zone 3, parents P1 to P3
// in zones 0 and 1, one origin O. A transfer runs at 1000 KB/s.
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

  // Lists nodes as "c1 c2 P1 O"; the state and start time are the same for all of them.
  void list(ListCompleteness scope, const std::string& names,
            EndpointState endpoint_state = EndpointState::kRunning, Seconds launched = 0) {
    director->list_starts(now, scope);
    std::istringstream words(names);
    for (std::string name; words >> name;) {
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
                           launched);
    }
    director->list_ends(now);
  }
  void request(const std::string& id, std::uint64_t object, int request_class = 0, double size_kb = 400,
               int part = 0) {
    director->request_arrived(now, {id}, {request_class}, {0}, {object}, {part},
                              {static_cast<std::int64_t>(object % 8)}, now + 5, size_kb, false,
                              request_class == 2);
  }
  // The attempt's end; its time is given, the clock moves by it.
  void ends(const std::string& id, int number, Result result, AnswerDetail note = AnswerDetail::kNone,
            Seconds spent = 0.01, bool over = false) {
    now += spent;
    director->attempt_ended(now, {id}, {number}, {node_of[id][number]}, result, note, spent / 4, spent, {},
                            over || result == Result::kCompleted);
  }
  void after(Seconds pause) { now += pause; }
  // Wakes whatever is due by then, in order.
  void run_until(Seconds then) {
    while (!timers.empty() && timers.begin()->first <= then) {
      const auto [at, token] = *timers.begin();
      timers.erase(timers.begin());
      now = std::max(now, at);
      director->timer_fired(now, token);
    }
    now = std::max(now, then);
  }
  std::string taken() { return std::exchange(trace, ""); }
  void say(const std::string& words) { trace += "-- " + words + "\n"; }

  void attempt(const RequestId& request, const NodeId& node, const FillOptions& fill,
               Seconds time_out) override {
    node_of[request.value].push_back(node.value);
    source_of[request.value] = fill.source.value, cached_only_of[request.value] = fill.cached_only;
    std::string line = request.value + ": attempt to " + node.value;
    line += fill.source == node ? ", no fill" : ", fill from " + fill.source.value;
    line += ", rank " + std::to_string(fill.rank);
    if (fill.max_copy_age > 0) line += ", at most " + text(fill.max_copy_age) + " s old";
    if (fill.cached_only) line += ", held only";
    if (fill.join) line += ", may join";
    if (fill.background_refresh) line += ", renew";
    if (time_out > 0) line += ", time-out " + text(time_out) + " s";
    note(line);
  }
  void cancel(const RequestId& request, AttemptNumber number) override {
    note(request.value + ": cancel attempt " + std::to_string(number.value));
  }
  void reject(const RequestId& request, Seconds retry_after) override {
    note(request.value + ": bounce" + (retry_after > 0 ? ", come back" : ""));
  }
  void fail(const RequestId& request) override { note(request.value + ": forfeit"); }
  void set_timer(Seconds at, const TimerToken& token) override { timers.emplace(at, token); }
  void probe(const NodeId& node) override { note("probe " + node.value); }
  void watch_list() override { note("follow the list"); }
  void log(const std::string& words) override { note("log: " + words); }

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
  void note(const std::string& line) { trace += text(now) + " " + line + "\n"; }
};

// Runs the loop until something holds; false if it never does. The time only bounds a test that fails.
inline bool run_until(transport::Scheduler& scheduler, const std::function<bool()>& holds) {
  using transport::Scheduler;
  bool held = false;
  const auto watch = [](Scheduler& s, const std::function<bool()>& wanted, bool& seen) -> transport::Task<> {
    const Seconds most = Scheduler::now() + 20;
    while (!(seen = wanted()) && Scheduler::now() < most) co_await s.sleep_until(Scheduler::now() + 0.001);
    s.stop();
  };
  scheduler.spawn(watch(scheduler, holds, held));
  scheduler.run();
  return held;
}

// One end of a connection, for a test to talk through.
class TestConnection : public std::enable_shared_from_this<TestConnection> {
 public:
  TestConnection(transport::Scheduler& scheduler, transport::Socket socket)
      : scheduler_(scheduler), socket_(std::move(socket)) {}
  void listen() { scheduler_.spawn(read(shared_from_this())); }
  void send(std::string_view bytes) { CHECK(socket_.write_now(bytes).ok()); }
  std::size_t try_send(std::string_view bytes) { return socket_.write_now(bytes).bytes; }
  void reset() { socket_.abort(); }
  void finish() { socket_.shutdown_write(); }
  void close() { socket_.close(); }
  bool has_received(const std::string& words) const { return heard.find(words) != std::string::npos; }

  std::string heard;
  bool ended = false, up = true;

 private:
  static transport::Task<> read(std::shared_ptr<TestConnection> self) {
    transport::Buffer in(1 << 16);
    while ((co_await self->socket_.read(in, 1 << 16, transport::kNever)).ok()) {
      self->heard += in.view();
      in.consume(in.size());
    }
    self->ended = true;
  }
  transport::Scheduler& scheduler_;
  transport::Socket socket_;
};

// A server that does only what the test says: a node, the change log, or one that never reads.
class StandInServer {
 public:
  explicit StandInServer(transport::Scheduler& scheduler, bool reads = true)
      : scheduler_(scheduler),
        reads_(reads),
        listener_(scheduler, *transport::Address::parse("127.0.0.1:0"), 64) {
    address = listener_.address();
    scheduler.spawn(take(*this));
  }
  ~StandInServer() { listener_.close(); }
  bool has_connections(std::size_t count) const { return connections.size() >= count; }
  // What it heard on one connection, with the figures that differ from run to run left out.
  std::string heard(std::size_t place = 0) const {
    if (place >= connections.size()) return "nothing\n";
    static const std::regex kVaries("ttl=[0-9]+");
    std::string text;
    for (const char c : std::regex_replace(connections[place]->heard, kVaries, "ttl=N"))
      if (c != '\r') text += c;
    return text;
  }
  bool has_received(const std::string& words, std::size_t place = 0) const {
    return place < connections.size() && connections[place]->has_received(words);
  }

  transport::Address address;
  std::vector<std::shared_ptr<TestConnection>> connections;

 private:
  static transport::Task<> take(StandInServer& self) {
    for (;;) {
      auto accepted = co_await self.listener_.accept();
      if (accepted.status != transport::Listener::Status::kAccepted) co_return;
      self.connections.push_back(
          std::make_shared<TestConnection>(self.scheduler_, std::move(accepted.socket)));
      if (self.reads_) self.connections.back()->listen();
    }
  }
  transport::Scheduler& scheduler_;
  bool reads_;
  transport::Listener listener_;
};

inline std::shared_ptr<TestConnection> dial(transport::Scheduler& scheduler, transport::Address to,
                                            bool reads = true) {
  std::shared_ptr<TestConnection> end;
  const auto go = [](transport::Scheduler& s, transport::Address at, bool read,
                     std::shared_ptr<TestConnection>& made) -> transport::Task<> {
    auto connected = co_await transport::connect(s, at, transport::Scheduler::now() + 5);
    made = std::make_shared<TestConnection>(s, std::move(connected.socket));
    made->up = connected.status == transport::ConnectStatus::kConnected;
    if (read) made->listen();
  };
  scheduler.spawn(go(scheduler, to, reads, end));
  REQUIRE(run_until(scheduler, [&] { return end != nullptr; }));
  return end;
}

// An address at which nobody listens.
inline transport::Address unused_address(transport::Scheduler& scheduler, const char* at = "127.0.0.1:0") {
  return transport::Listener(scheduler, *transport::Address::parse(at), 1).address();
}

}  // namespace hareramp
