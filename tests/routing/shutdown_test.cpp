// The module's actor at the director's end, on loopback with a silent node.
#include "helpers.hpp"
#include "program/config.hpp"
#include "routing/client_listener.hpp"
#include "routing/director_actor.hpp"

using namespace hareramp;
using namespace hareramp::routing;
using transport::Scheduler;

namespace {

// A director with the origin O alone, which never answers.
class Site {
 public:
  Site() {
    const auto nothing = *protocol::Json::parse("{}");
    limits = program::fill_limits(nothing, nothing);
    limits.deadline_guard_delay = 60;  // only the module's own end counts here
    limits.max_change_backlog_hold = 60;
    Settings settings = DirectorFixture::usual_settings();
    settings["FamilyInfo.Direct"] = "true";
    const ConfiguredNames names{
        {"video", "docs", "write"}, {"z0", "z1", "z2"}, {"cache", "parent", "origin"}, {false, false, true}};
    module.emplace(scheduler, limits, counters, log, names, settings, 7);
    module->start();
    module->known_change_arrived(*protocol::Json::parse(
        R"({"seq":5,"fleet":{"full":true,"servers":[{"id":"O","addr":")" + origin.address.text() +
        R"(","zone":"z1","kind":"origin","cell":1,"state":"active","weight":60,"started_ms":0}]}})"));
    front.emplace(scheduler, limits, counters, *transport::Address::parse("127.0.0.1:0"), names, *module);
    front->start();
  }
  ~Site() { std::fclose(sink); }
  std::shared_ptr<TestConnection> put(const std::string& id) {
    const auto client = dial(scheduler, front->address());
    client->send("PUT /invoke/write/8/block-0 HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: " + id +
                 "\r\nX-Deadline-Ms: 50000\r\nContent-Length: 2\r\n\r\nab");
    return client;
  }
  void hears(const TestConnection& end, const std::string& words) {
    CHECK_MESSAGE(run_until(scheduler, [&] { return end.has_received(words); }),
                  words << " in " << end.heard);
  }

  Scheduler scheduler;
  Limits limits;
  Counters counters;
  std::FILE* sink = std::tmpfile();
  Log log{fileno(sink)};
  StandInServer origin{scheduler};
  std::optional<DirectorActor> module;
  std::optional<ClientListener> front;
};

const std::string kId1 = "0000000000000001", kId2 = "0000000000000002";

}  // namespace

TEST_CASE("the director's end: an open request is ended, a later one that never ran is rejected") {
  Site site;
  const auto open = site.put(kId1);
  CHECK(run_until(site.scheduler, [&] { return site.origin.has_received("serve " + kId1); }));
  site.module->cap_deadlines(Scheduler::now() + 0.05);
  site.hears(*open, "HTTP/1.1 500");
  const auto late = site.put(kId2);
  site.hears(*late, "HTTP/1.1 503");
  CHECK(site.counters.overdue == 0);
  CHECK_FALSE(site.origin.has_received("serve " + kId2));
}

TEST_CASE("the director's end: nothing is held past it after a late turn, nor for a backlog of changes") {
  for (const bool backlog : {false, true}) {
    Site site;
    bool taken = false;
    site.module->changes_arrived({}, backlog, [&](bool) { taken = true; });
    CHECK(run_until(site.scheduler, [&] { return taken; }));
    site.module->woke_late(Scheduler::now() + (backlog ? 0 : 60));
    const auto held = site.put(kId1);
    CHECK(run_until(site.scheduler, [&] { return site.counters.taken == 1; }));
    site.module->cap_deadlines(Scheduler::now() + 0.05);
    site.hears(*held, "HTTP/1.1 503");
    CHECK(site.counters.bounced == 1);
  }
}
