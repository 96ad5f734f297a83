// Case: the change log was down for some seconds; when it is back, it writes a comment first, and what was
// missed a little later.
#include "cache.hpp"

using namespace kit;

namespace {
constexpr int kObjects = 240;
constexpr double kBreakAt = 4.0;          // s after the first request
constexpr double kPurgeAfterBreak = 0.5;  // s
constexpr double kDownFor = 4.6;          // s
constexpr double kSlowFor = 1.6;  // s between the first comment and the missed events; a comment after half
constexpr double kPurgeSlack = 0.55;  // s: PurgeSlackS, and the 50 ms of the sockets
constexpr double kPurgeDone = 5.9;    // s: within PurgeDoneS (6 s) the nodes drop the copies by themselves
constexpr double kRunFor = 12.0;      // s
constexpr double kDeadline = 2.5;     // s
}  // namespace

int main(int count, char** words) {
  Case the_case(count, words);
  std::atomic<double> purged_at = 0, told_at = 0;
  std::atomic<int> old_copies = 0;
  Cache cache(the_case, purged_at, kPurgeDone);
  cache.judge = [&](const Command& command, double copy) {
    if (told_at <= 0 || command.came_at <= told_at + kPurgeSlack || copy >= purged_at) return;
    ++old_copies;
    the_case.record.line("OLD COPY for " + command.id + ", sent " +
                         std::to_string(command.came_at - told_at) + " s after the purge counted as told");
  };
  Server cache_server(
      [&](int descriptor) { read_commands(descriptor, [&](const Command& c) { cache.serve(c); }); });
  Server origin([&](int descriptor) {
    read_commands(descriptor, [&](const Command& command) {
      const std::string now = unix_ms(unix_seconds());
      command.answer("ACK", "sum=v" + now + ",t0=" + now + ",why=mem", now);
    });
  });
  ChangeLog log;
  log.add(R"("fleet":{"version":1,"full":true,"servers":[)" +
          list_entry("cache-1", cache_server.port(), "edge", "cache", 0, "active", 30, "0") + "," +
          list_entry("origin", origin.port(), "hub", "origin", 0, "active", 100, "0") + "]}");
  const std::string config =
      the_case.write_file("config.json", config_text(Settings(), log.port(), 1, log.event(1)));
  Director director(the_case.run, "d1", free_port(), config, the_case.scratch + "/director.log");
  director.wait_until_ready();
  sleep_for(0.5);

  std::atomic<int> asked = 0, answered = 0;
  const double start = unix_seconds();
  std::thread client([&] {
    std::mt19937_64 random(5);
    std::vector<int> objects(kObjects);
    for (int i = 0; i < kObjects; ++i) objects[static_cast<std::size_t>(i)] = i;
    int descriptor = -1;
    std::string in;
    for (int number = 0; unix_seconds() < start + kRunFor; ++number) {
      // Each object once, in an order of chance, then each a second time, and so on.
      if (number % kObjects == 0) std::shuffle(objects.begin(), objects.end(), random);
      const int object = objects[static_cast<std::size_t>(number % kObjects)];
      if (descriptor < 0) descriptor = connect_to(director.port()), in.clear();
      const std::string id = new_id(random);
      const double sent_at = unix_seconds();
      ++asked;
      send_all(descriptor,
               request_text(id, "/invoke/rules/" + std::to_string(1000 + object), kDeadline * 1000,
                            "X-Family: " + std::to_string(object % 4) + "\r\nX-Need-Kb: 300\r\n"));
      const Answer answer = read_answer(descriptor, in, sent_at + kDeadline);
      the_case.record.line("client got " + std::to_string(answer.status) + " for " + id + ", copy of " +
                           answer.body);
      if (answer.status == 200) ++answered;
      if (answer.status == 0) ::close(descriptor), descriptor = -1;
      // The first round is quick, so that the cache holds everything; then 30 requests a second.
      sleep_until(number < kObjects ? sent_at + 0.012 : sent_at + 0.033);
    }
    if (descriptor >= 0) ::close(descriptor);
  });

  const double broke_at = start + kBreakAt;
  log.on_follow = [&](int descriptor) {
    the_case.record.line("the change log is asked for changes");
    if (!trouble()) return;
    // From now on the purge counts as told at the latest; 2 s after the break are over long since.
    if (purged_at > 0 && told_at <= 0) told_at = unix_seconds();
    send_all(descriptor, ": welcome\n\n");
    sleep_for(kSlowFor / 2);
    send_all(descriptor, ": still here\n\n");
    sleep_for(kSlowFor / 2);
  };
  log.on_sent = [&](long long number) {
    the_case.record.line("the change log has sent event " + std::to_string(number));
  };
  sleep_until(broke_at);
  if (trouble()) {
    the_case.record.line("the change log breaks off and is down");
    log.go_down();
  }
  sleep_until(broke_at + kPurgeAfterBreak);
  purged_at = unix_seconds();
  for (int group = 0; group < 4; ++group)
    log.add(R"("invalidate":{"bucket":)" + std::to_string(group) + R"(,"time":)" + unix_ms(purged_at) + "}");
  the_case.record.line("all groups are purged");
  // With a change log that works, an event counts as told once it is there.
  if (!trouble()) told_at = purged_at.load();
  sleep_until(broke_at + kDownFor);
  if (trouble()) {
    the_case.record.line("the change log is back");
    log.come_back();
  }
  client.join();
  if (told_at <= 0) the_case.finish(director, kCannotRun, "the director never asked again");
  const bool ended = director.has_ended();
  if (ended || answered < 100)
    the_case.finish(director, kCannotRun, "the director ended, or too few answers");
  the_case.finish(director, old_copies > 0 ? kBroken : kHeld,
                  "asked " + std::to_string(asked) + ", served " + std::to_string(answered) +
                      ", from a copy older than the purge " + std::to_string(old_copies));
}
