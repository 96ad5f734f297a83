// A director on loopback with stand-in nodes, for tests that move the clocks.
#pragma once

#include <cstdio>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "helpers.hpp"
#include "program/config.hpp"
#include "routing/client_listener.hpp"
#include "routing/director_actor.hpp"
#include "transport/clock.hpp"
#include "wall_clock/wall_clock.hpp"

namespace hareramp {

constexpr Seconds kHour = 3600;

// A director with one cache c1 and the origin O, both stand-in servers. Resets the wall clock at the end.
class LoopbackFixture {
 public:
  explicit LoopbackFixture(const std::function<void(Limits&)>& adjust_limits = {}) {
    const auto empty_configuration = *protocol::Json::parse("{}");
    limits = program::fill_limits(empty_configuration, empty_configuration);
    if (adjust_limits) adjust_limits(limits);
    Settings settings = DirectorFixture::usual_settings();
    settings["FamilyInfo.Direct"] = "true";
    const routing::ConfiguredNames names{
        {"video", "docs", "write"}, {"z0", "z1", "z2"}, {"cache", "parent", "origin"}, {false, false, true}};
    actor.emplace(scheduler, limits, counters, log, names, settings, 7);
    actor->start();
    actor->known_change_arrived(*protocol::Json::parse(
        fleet(true, {entry("c1", cache, "z2", "cache", transport::Clock::unix_now() - kHour),
                     entry("O", origin, "z1", "origin", transport::Clock::unix_now() - kHour)})));
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

  transport::Scheduler scheduler;
  Limits limits;
  Counters counters;
  std::FILE* log_file = std::tmpfile();
  Log log{fileno(log_file)};
  StandInServer cache{scheduler}, origin{scheduler};
  std::optional<routing::DirectorActor> actor;
  std::optional<routing::ClientListener> listener;
};

// The command line of an attempt as the node received it.
inline std::string command_for(const StandInServer& node, int number) {
  const std::string received = node.received();
  const auto at = received.find("serve " + LoopbackFixture::id_of(number));
  return at == std::string::npos ? "" : received.substr(at, received.find('\n', at) - at);
}

}  // namespace hareramp
