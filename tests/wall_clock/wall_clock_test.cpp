// A director on loopback whose machine's wall clock is stepped while it runs.
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

// A director with one cache c1 and the origin O, each a stand-in, and the wall clock back in its place at the
// end.
class Site {
 public:
  Site() {
    const auto nothing = *protocol::Json::parse("{}");
    limits = program::fill_limits(nothing, nothing);
    Settings settings = DirectorFixture::usual_settings();
    settings["FamilyInfo.Direct"] = "true";
    const ConfiguredNames names{
        {"video", "docs", "write"}, {"z0", "z1", "z2"}, {"cache", "parent", "origin"}, {false, false, true}};
    module.emplace(scheduler, limits, counters, log, names, settings, 7);
    module->start();
    module->known_change_arrived(
        *protocol::Json::parse(fleet(true, {entry("c1", cache, "z2", "cache", Clock::unix_now() - kHour),
                                            entry("O", origin, "z1", "origin", Clock::unix_now() - kHour)})));
    front.emplace(scheduler, limits, counters, *transport::Address::parse("127.0.0.1:0"), names, *module);
    front->start();
  }
  ~Site() {
    step_wall_clock(0);
    std::fclose(sink);
  }
  static std::string entry(const std::string& id, const StandInServer& node, const std::string& zone,
                           const std::string& kind, Seconds started) {
    return R"({"id":")" + id + R"(","addr":")" + node.address.text() + R"(","zone":")" + zone +
           R"(","kind":")" + kind + R"(","cell":1,"state":"active","weight":60,"started_ms":)" +
           std::to_string(static_cast<long long>(started * 1000)) + "}";
  }
  static std::string fleet(bool whole, const std::vector<std::string>& entries) {
    std::string list;
    for (const auto& one : entries) list += (list.empty() ? "" : ",") + one;
    return std::string(R"({"seq":5,"fleet":{"full":)") + (whole ? "true" : "false") + ",\"servers\":[" +
           list + "]}}";
  }
  static std::string purge(const std::string& object, Seconds issued) {
    return R"({"seq":6,"invalidate":{"object":")" + object + R"(","time":)" +
           std::to_string(static_cast<long long>(issued * 1000)) + "}}";
  }
  void tell(const std::string& change) {
    bool taken = false;
    module->changes_arrived({{0, *protocol::Json::parse(change)}}, false, [&](bool) { taken = true; });
    REQUIRE(run_until(scheduler, [&] { return taken; }));
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
  void hears(StandInServer& node, const std::string& words) {
    CHECK_MESSAGE(run_until(scheduler, [&] { return node.has_received(words); }),
                  words << " in " << node.heard());
  }

  Scheduler scheduler;
  Limits limits;
  Counters counters;
  std::FILE* sink = std::tmpfile();
  Log log{fileno(sink)};
  StandInServer cache{scheduler}, origin{scheduler};
  std::optional<DirectorActor> module;
  std::optional<ClientListener> front;
};

// The line of an attempt as a node heard it.
std::string line_of(const StandInServer& node, int number) {
  const std::string heard = node.heard();
  const auto at = heard.find("serve " + Site::id_of(number));
  return at == std::string::npos ? "" : heard.substr(at, heard.find('\n', at) - at);
}

std::size_t attempts_at(const StandInServer& node) {
  std::size_t found = 0;
  for (const auto& end : node.connections)
    for (auto at = end->heard.find("serve "); at != std::string::npos; at = end->heard.find("serve ", at + 1))
      ++found;
  return found;
}

}  // namespace

TEST_CASE("a purge is kept whatever the director's clock and the issuer's clock say of its age") {
  for (const Seconds step : {-kHour, -5.0, 0.0, 5.0, kHour}) {
    for (const Seconds issuer_step : {-kHour, 0.0, kHour}) {
      Site site;
      const Seconds issuer_now = Clock::unix_now() + issuer_step;
      step_wall_clock(step);
      site.tell(Site::purge("1", issuer_now));
      const auto client = dial(site.scheduler, site.front->address());
      client->send(Site::get(1));
      site.hears(site.cache, "serve " + Site::id_of(1));
      CHECK_MESSAGE(line_of(site.cache, 1).find("agelim=") != std::string::npos,
                    "step " << step << ", issuer's step " << issuer_step);
    }
  }
}

TEST_CASE("a cache listed as just started gets little, whatever the clocks say of its start") {
  // The settings let it have 33.6 transfer seconds in 2 s; a request is 4 of them.
  constexpr std::size_t kMost = 9;
  constexpr int kRequests = 40;
  for (const Seconds step : {-kHour, -5.0, 0.0, kHour}) {
    Site site;
    StandInServer fresh(site.scheduler);
    const Seconds started = Clock::unix_now();
    step_wall_clock(step);
    site.tell(Site::fleet(false, {Site::entry("c2", fresh, "z2", "cache", started)}));
    std::vector<std::shared_ptr<TestConnection>> clients;
    for (int number = 1; number <= kRequests; ++number) {
      clients.push_back(dial(site.scheduler, site.front->address()));
      clients.back()->send(Site::get(number, "4000"));
    }
    CHECK(run_until(site.scheduler, [&] { return site.counters.taken == kRequests; }));
    const auto attempts = [&] {
      return attempts_at(fresh) + attempts_at(site.cache) + attempts_at(site.origin);
    };
    CHECK(run_until(site.scheduler, [&] { return attempts() >= kRequests; }));
    CHECK(attempts_at(fresh) > 0);
    CHECK_MESSAGE(attempts_at(fresh) <= kMost, "step " << step);
  }
}

TEST_CASE("300 requests while the wall clock steps back and ahead: none is lost") {
  constexpr int kClients = 30, kRounds = 10;
  const Seconds steps[kRounds] = {0, -5, 0, -kHour, 0, kHour, 0, kHour, -kHour, -5};
  Site site;
  std::vector<std::shared_ptr<TestConnection>> clients;
  for (int place = 0; place < kClients; ++place)
    clients.push_back(dial(site.scheduler, site.front->address()));
  std::map<const TestConnection*, std::size_t> read_to;  // of what each connection to a node has heard
  const auto answer_all = [&] {
    for (StandInServer* node : {&site.cache, &site.origin}) {
      for (const auto& end : node->connections) {
        std::size_t& from = read_to[end.get()];
        for (auto at = end->heard.find("serve ", from);
             at != std::string::npos && at + 22 <= end->heard.size(); at = end->heard.find("serve ", from)) {
          from = at + 22;
          end->send(end->heard.substr(at + 6, 16) + " ACK sum=4be0,t0=1,why=mem 2\r\nok\r\n");
        }
      }
    }
  };
  for (int round = 0; round < kRounds; ++round) {
    const auto asked = site.counters.attempts;
    for (int place = 0; place < kClients; ++place)
      clients[static_cast<std::size_t>(place)]->send(Site::get(round * kClients + place + 1));
    // The step comes while requests are out.
    CHECK(run_until(site.scheduler, [&] { return site.counters.attempts > asked; }));
    step_wall_clock(steps[round]);
    CHECK(run_until(site.scheduler, [&] {
      answer_all();
      return site.counters.completed == static_cast<std::uint64_t>((round + 1) * kClients);
    }));
  }
  CHECK(run_until(site.scheduler, [&] {
    return std::all_of(clients.begin(), clients.end(), [](const auto& client) {
      std::size_t answers = 0;
      for (auto at = client->heard.find("HTTP/1.1 200"); at != std::string::npos;
           at = client->heard.find("HTTP/1.1 200", at + 1))
        ++answers;
      return answers == kRounds;
    });
  }));
  CHECK(site.counters.taken == kClients * kRounds);
  CHECK(site.counters.bounced + site.counters.forfeited + site.counters.left == 0);
}
