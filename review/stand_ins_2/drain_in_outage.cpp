// Case: a cache node begins to drain just after the change log has gone down.
#include "kit.hpp"

using namespace kit;

namespace {
constexpr double kBreakAt = 3.0;           // s after the first request
constexpr double kDownFor = 8.0;           // s
constexpr double kDrainAfterBreak = 0.05;  // s
constexpr double kToldAtLatest = 7.0;      // s after an event is in the change log, whether or not it arrived
constexpr double kSlack = 0.05;            // s: each time limit on sockets is that much longer
constexpr double kRunFor = 14.0;           // s
constexpr double kDeadline = 2.5;          // s
constexpr int kClients = 4;
}  // namespace

int main(int count, char** words) {
  Case the_case(count, words);
  Settings settings;
  settings.drain_grace_s = 0.25;
  std::atomic<double> drained_at = 0;
  std::atomic<int> late = 0, after_two_seconds = 0, at_draining = 0;
  std::atomic<double> broke_at = 0;
  const auto serve = [&](const Command& command, bool draining) {
    const double since = command.came_at - drained_at;
    const bool names_it = draining || command.field("next") == "cache-2";
    the_case.record.line(std::string(draining ? "cache-2" : "node") + " got " + command.id + " " +
                         command.key() + " next=" + command.field("next"));
    if (drained_at > 0 && names_it) {
      ++at_draining;
      // With a change log that works, an event counts as told once it is there.
      if (since > (trouble() ? kToldAtLatest : 0) + settings.drain_grace_s + kSlack) {
        ++late;
        the_case.record.line("DRAINING " + command.id + " came " + std::to_string(since) +
                             " s after the drain");
      }
      if (trouble() && command.came_at > broke_at + 2 + settings.drain_grace_s + kSlack) ++after_two_seconds;
    }
    sleep_for(0.03);
    command.answer("ACK", "sum=a,t0=" + unix_ms(unix_seconds()) + ",why=mem", "bytes of " + command.key());
  };
  const auto other = [&](int descriptor) {
    read_commands(descriptor, [&](const Command& c) { serve(c, false); });
  };
  Server cache_1(other), origin(other);
  Server cache_2(
      [&](int descriptor) { read_commands(descriptor, [&](const Command& c) { serve(c, true); }); });
  ChangeLog log;
  log.add(R"("fleet":{"version":1,"full":true,"servers":[)" +
          list_entry("cache-1", cache_1.port(), "edge", "cache", 0, "active", 30, "0") + "," +
          list_entry("cache-2", cache_2.port(), "edge", "cache", 0, "active", 30, "0") + "," +
          list_entry("origin", origin.port(), "hub", "origin", 0, "active", 100, "0") + "]}");
  const std::string config =
      the_case.write_file("config.json", config_text(settings, log.port(), 1, log.event(1)));
  Director director(the_case.run, "d1", free_port(), config, the_case.scratch + "/director.log");
  director.wait_until_ready();
  sleep_for(0.5);

  std::atomic<bool> stop = false;
  std::atomic<int> asked = 0, served = 0;
  std::vector<std::thread> threads;
  for (int client = 0; client < kClients; ++client)
    threads.emplace_back([&, client] {
      std::mt19937_64 random(client);
      int descriptor = -1;
      std::string in;
      while (!stop) {
        if (descriptor < 0) descriptor = connect_to(director.port()), in.clear();
        const double at = unix_seconds();
        const std::string id = new_id(random);
        ++asked;
        send_all(descriptor, request_text(id, "/invoke/rules/" + std::to_string(1000 + random() % 500),
                                          kDeadline * 1000, "X-Family: 1\r\nX-Need-Kb: 150\r\n"));
        const Answer answer = read_answer(descriptor, in, at + kDeadline + 0.55);
        if (answer.status == 200) ++served;
        if (answer.status == 0) ::close(descriptor), descriptor = -1;
        sleep_until(at + 0.07);
      }
      if (descriptor >= 0) ::close(descriptor);
    });

  log.on_follow = [&](int) { the_case.record.line("the change log is asked for changes"); };
  log.on_sent = [&](long long number) {
    the_case.record.line("the change log has sent event " + std::to_string(number));
  };
  sleep_for(kBreakAt);
  if (trouble()) {
    the_case.record.line("the change log breaks off and is down");
    log.go_down();
  }
  broke_at = unix_seconds();
  sleep_for(kDrainAfterBreak);
  drained_at = unix_seconds();
  log.add(R"("fleet":{"version":2,"full":false,"servers":[)" +
          list_entry("cache-2", cache_2.port(), "edge", "cache", 0, "leaving", 30, "0") + "]}");
  the_case.record.line("cache-2 drains");
  sleep_until(broke_at + kDownFor);
  if (trouble()) {
    the_case.record.line("the change log is back");
    log.come_back();
  }
  sleep_until(broke_at + kRunFor - kBreakAt);
  stop = true;
  for (std::thread& thread : threads) thread.join();
  const bool ended = director.has_ended();
  if (ended || served < 100)
    the_case.finish(director, kCannotRun, "the director ended, or too little was served");
  std::ostringstream result;
  result << "asked " << asked << ", served " << served << ", at or from the draining cache later than "
         << (trouble() ? "7.3" : "0.3") << " s after its drain was in the change log: " << late;
  if (trouble()) result << " (later than 2.3 s after the break: " << after_two_seconds << ")";
  the_case.finish(director, late > 0 ? kBroken : kHeld, result.str());
}
