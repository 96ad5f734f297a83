// The DirectorActor during shutdown, on loopback with a node that never answers.
#include "helpers.hpp"
#include "program/config.hpp"
#include "routing/client_listener.hpp"
#include "routing/director_actor.hpp"

using namespace hareramp;
using namespace hareramp::routing;
using transport::Scheduler;

namespace {

// A director whose only node is the origin O, which never answers.
class LoopbackFixture {
 public:
  LoopbackFixture() {
    const auto empty_configuration = *protocol::Json::parse("{}");
    limits = program::fill_limits(empty_configuration, empty_configuration);
    limits.deadline_guard_delay = 60;  // so that only the Director's own end of requests takes effect
    limits.max_change_backlog_hold = 60;
    Settings settings = DirectorFixture::usual_settings();
    settings["FamilyInfo.Direct"] = "true";
    const ConfiguredNames names{
        {"video", "docs", "write"}, {"z0", "z1", "z2"}, {"cache", "parent", "origin"}, {false, false, true}};
    actor.emplace(scheduler, limits, counters, log, names, settings, 7);
    actor->start();
    actor->known_change_arrived(*protocol::Json::parse(
        R"({"seq":5,"fleet":{"full":true,"servers":[{"id":"O","addr":")" + origin.address.text() +
        R"(","zone":"z1","kind":"origin","cell":1,"state":"active","weight":60,"started_ms":0}]}})"));
    listener.emplace(scheduler, limits, counters, *transport::Address::parse("127.0.0.1:0"), names, *actor);
    listener->start();
  }
  ~LoopbackFixture() { std::fclose(log_file); }
  std::shared_ptr<TestConnection> put(const std::string& id) {
    const auto client = dial(scheduler, listener->address());
    client->send("PUT /invoke/write/8/block-0 HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: " + id +
                 "\r\nX-Deadline-Ms: 50000\r\nContent-Length: 2\r\n\r\nab");
    return client;
  }
  void expect_received(const TestConnection& connection, const std::string& expected) {
    CHECK_MESSAGE(run_until(scheduler, [&] { return connection.has_received(expected); }),
                  expected << " in " << connection.received);
  }

  Scheduler scheduler;
  Limits limits;
  Counters counters;
  std::FILE* log_file = std::tmpfile();
  Log log{fileno(log_file)};
  StandInServer origin{scheduler};
  std::optional<DirectorActor> actor;
  std::optional<ClientListener> listener;
};

const std::string kId1 = "0000000000000001", kId2 = "0000000000000002";

}  // namespace

TEST_CASE("shutdown: an open request fails, a later one that never ran is rejected") {
  LoopbackFixture fixture;
  const auto open = fixture.put(kId1);
  CHECK(run_until(fixture.scheduler, [&] { return fixture.origin.has_received("serve " + kId1); }));
  fixture.actor->cap_deadlines(Scheduler::now() + 0.05);
  fixture.expect_received(*open, "HTTP/1.1 500");
  const auto late = fixture.put(kId2);
  fixture.expect_received(*late, "HTTP/1.1 503");
  CHECK(fixture.counters.overdue == 0);
  CHECK_FALSE(fixture.origin.has_received("serve " + kId2));
}

TEST_CASE("shutdown: no request is held past the end after a late turn, nor for a backlog of changes") {
  for (const bool backlog : {false, true}) {
    LoopbackFixture fixture;
    bool applied = false;
    fixture.actor->changes_arrived({}, backlog, [&](bool) { applied = true; });
    CHECK(run_until(fixture.scheduler, [&] { return applied; }));
    fixture.actor->woke_late(Scheduler::now() + (backlog ? 0 : 60));
    const auto held = fixture.put(kId1);
    CHECK(run_until(fixture.scheduler, [&] { return fixture.counters.taken == 1; }));
    fixture.actor->cap_deadlines(Scheduler::now() + 0.05);
    fixture.expect_received(*held, "HTTP/1.1 503");
    CHECK(fixture.counters.bounced == 1);
  }
}
