// A director on loopback while the wall clock of its machine is stepped.
#include "wall_clock/wall_clock.hpp"

#include "wall_clock/loopback.hpp"

using namespace hareramp;
using namespace hareramp::routing;
using transport::Clock;
using transport::Scheduler;

namespace {

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
