// A director on loopback while the wall clock of its machine is stepped.
#include "wall_clock/wall_clock.hpp"

#include "helpers.hpp"
#include "program/config.hpp"
#include "routing/client_listener.hpp"
#include "routing/director_actor.hpp"
#include "transport/clock.hpp"

using namespace hareramp;
using namespace hareramp::routing;
using transport::Clock;
using transport::Scheduler;

namespace {

constexpr Seconds kHour = 3600;

// A director with one cache c1 and the origin O, both stand-in servers. Resets the wall clock at the end.
class LoopbackFixture {
 public:
  LoopbackFixture() {
    const auto empty_configuration = *protocol::Json::parse("{}");
    limits = program::fill_limits(empty_configuration, empty_configuration);
    Settings settings = DirectorFixture::usual_settings();
    settings["FamilyInfo.Direct"] = "true";
    const ConfiguredNames names{
        {"video", "docs", "write"}, {"z0", "z1", "z2"}, {"cache", "parent", "origin"}, {false, false, true}};
    actor.emplace(scheduler, limits, counters, log, names, settings, 7);
    actor->start();
    actor->known_change_arrived(
        *protocol::Json::parse(fleet(true, {entry("c1", cache, "z2", "cache", Clock::unix_now() - kHour),
                                            entry("O", origin, "z1", "origin", Clock::unix_now() - kHour)})));
    listener.emplace(scheduler, limits, counters, *transport::Address::parse("127.0.0.1:0"), names, *actor);
    listener->start();
  }
  ~LoopbackFixture() {
    step_wall_clock(0);
    std::fclose(log_file);
  }
  static std::string entry(const std::string& id, const StandInServer& node, const std::string& zone,
                           const std::string& kind, Seconds started) {
    return R"({"id":")" + id + R"(","addr":")" + node.address.text() + R"(","zone":")" + zone +
           R"(","kind":")" + kind + R"(","cell":1,"state":"active","weight":60,"started_ms":)" +
           std::to_string(static_cast<long long>(started * 1000)) + "}";
  }
  static std::string fleet(bool full, const std::vector<std::string>& entries) {
    std::string servers;
    for (const auto& server : entries) servers += (servers.empty() ? "" : ",") + server;
    return std::string(R"({"seq":5,"fleet":{"full":)") + (full ? "true" : "false") + ",\"servers\":[" +
           servers + "]}}";
  }
  static std::string purge(const std::string& object, Seconds issued) {
    return R"({"seq":6,"invalidate":{"object":")" + object + R"(","time":)" +
           std::to_string(static_cast<long long>(issued * 1000)) + "}}";
  }
  void send_change(const std::string& change) {
    bool applied = false;
    actor->changes_arrived({{0, *protocol::Json::parse(change)}}, false, [&](bool) { applied = true; });
    REQUIRE(run_until(scheduler, [&] { return applied; }));
  }
  static std::string id_of(int number) {
    const std::string digits = std::to_string(number);
    return std::string(16 - digits.size(), '0') + digits;
  }
  static std::string get(int number, const std::string& size_kb = "412.5") {
    return "GET /invoke/video/" + std::to_string(number) +
           "/block-0 HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: " + id_of(number) +
           "\r\nX-Deadline-Ms: 15000\r\nX-Family: 17\r\nX-Need-Kb: " + size_kb + "\r\n\r\n";
  }
  void expect_received(StandInServer& node, const std::string& expected) {
    CHECK_MESSAGE(run_until(scheduler, [&] { return node.has_received(expected); }),
                  expected << " in " << node.received());
  }

  Scheduler scheduler;
  Limits limits;
  Counters counters;
  std::FILE* log_file = std::tmpfile();
  Log log{fileno(log_file)};
  StandInServer cache{scheduler}, origin{scheduler};
  std::optional<DirectorActor> actor;
  std::optional<ClientListener> listener;
};

// The command line of an attempt as the node received it.
std::string command_for(const StandInServer& node, int number) {
  const std::string received = node.received();
  const auto at = received.find("serve " + LoopbackFixture::id_of(number));
  return at == std::string::npos ? "" : received.substr(at, received.find('\n', at) - at);
}

std::size_t attempts_at(const StandInServer& node) {
  std::size_t found = 0;
  for (const auto& connection : node.connections)
    for (auto at = connection->received.find("serve "); at != std::string::npos;
         at = connection->received.find("serve ", at + 1))
      ++found;
  return found;
}

}  // namespace

TEST_CASE("a purge takes effect whatever age the director's and the issuer's clock give it") {
  for (const Seconds step : {-kHour, -5.0, 0.0, 5.0, kHour}) {
    for (const Seconds issuer_step : {-kHour, 0.0, kHour}) {
      LoopbackFixture fixture;
      const Seconds issuer_now = Clock::unix_now() + issuer_step;
      step_wall_clock(step);
      fixture.send_change(LoopbackFixture::purge("1", issuer_now));
      const auto client = dial(fixture.scheduler, fixture.listener->address());
      client->send(LoopbackFixture::get(1));
      fixture.expect_received(fixture.cache, "serve " + LoopbackFixture::id_of(1));
      CHECK_MESSAGE(command_for(fixture.cache, 1).find("agelim=") != std::string::npos,
                    "step " << step << ", issuer's step " << issuer_step);
    }
  }
}

TEST_CASE("a cache listed as just started gets few requests, whatever the clocks say of its start") {
  // The settings allow the new cache 33.6 transfer seconds in 2 s; a request is 4 of them.
  constexpr std::size_t kMost = 9;
  constexpr int kRequests = 40;
  for (const Seconds step : {-kHour, -5.0, 0.0, kHour}) {
    LoopbackFixture fixture;
    StandInServer new_cache(fixture.scheduler);
    const Seconds started = Clock::unix_now();
    step_wall_clock(step);
    fixture.send_change(
        LoopbackFixture::fleet(false, {LoopbackFixture::entry("c2", new_cache, "z2", "cache", started)}));
    std::vector<std::shared_ptr<TestConnection>> clients;
    for (int number = 1; number <= kRequests; ++number) {
      clients.push_back(dial(fixture.scheduler, fixture.listener->address()));
      clients.back()->send(LoopbackFixture::get(number, "4000"));
    }
    CHECK(run_until(fixture.scheduler, [&] { return fixture.counters.taken == kRequests; }));
    const auto attempts = [&] {
      return attempts_at(new_cache) + attempts_at(fixture.cache) + attempts_at(fixture.origin);
    };
    CHECK(run_until(fixture.scheduler, [&] { return attempts() >= kRequests; }));
    CHECK(attempts_at(new_cache) > 0);
    CHECK_MESSAGE(attempts_at(new_cache) <= kMost, "step " << step);
  }
}

TEST_CASE("300 requests while the wall clock is stepped back and ahead: none is lost") {
  constexpr int kClients = 30, kRounds = 10;
  const Seconds steps[kRounds] = {0, -5, 0, -kHour, 0, kHour, 0, kHour, -kHour, -5};
  LoopbackFixture fixture;
  std::vector<std::shared_ptr<TestConnection>> clients;
  for (int client_index = 0; client_index < kClients; ++client_index)
    clients.push_back(dial(fixture.scheduler, fixture.listener->address()));
  std::map<const TestConnection*, std::size_t>
      parsed_up_to;  // how far answer_all has parsed what each connection to a node received
  const auto answer_all = [&] {
    for (StandInServer* node : {&fixture.cache, &fixture.origin}) {
      for (const auto& connection : node->connections) {
        std::size_t& from = parsed_up_to[connection.get()];
        for (auto at = connection->received.find("serve ", from);
             at != std::string::npos && at + 22 <= connection->received.size();
             at = connection->received.find("serve ", from)) {
          from = at + 22;
          connection->send(connection->received.substr(at + 6, 16) +
                           " ACK sum=4be0,t0=1,why=mem 2\r\nok\r\n");
        }
      }
    }
  };
  for (int round = 0; round < kRounds; ++round) {
    const auto attempts_before = fixture.counters.attempts;
    for (int client_index = 0; client_index < kClients; ++client_index)
      clients[static_cast<std::size_t>(client_index)]->send(
          LoopbackFixture::get(round * kClients + client_index + 1));
    // The clock is stepped while requests are open.
    CHECK(run_until(fixture.scheduler, [&] { return fixture.counters.attempts > attempts_before; }));
    step_wall_clock(steps[round]);
    CHECK(run_until(fixture.scheduler, [&] {
      answer_all();
      return fixture.counters.completed == static_cast<std::uint64_t>((round + 1) * kClients);
    }));
  }
  CHECK(run_until(fixture.scheduler, [&] {
    return std::all_of(clients.begin(), clients.end(), [](const auto& client) {
      std::size_t answers = 0;
      for (auto at = client->received.find("HTTP/1.1 200"); at != std::string::npos;
           at = client->received.find("HTTP/1.1 200", at + 1))
        ++answers;
      return answers == kRounds;
    });
  }));
  CHECK(fixture.counters.taken == kClients * kRounds);
  CHECK(fixture.counters.bounced + fixture.counters.forfeited + fixture.counters.left == 0);
}
