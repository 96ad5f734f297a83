// Case: a bad client sends requests under the id of a request that is open, and goes at once.
#include "kit.hpp"

using namespace kit;

namespace {
constexpr double kRunFor = 12;         // s
constexpr double kServeTime = 0.35;    // s: an ordinary sending time (280 to 450 ms by the briefs)
constexpr double kDeadline = 3.0;      // s: what the usual clients ask for
constexpr double kLateAllowed = 0.55;  // s after the deadline: half a second, and the 50 ms of the sockets
constexpr int kClients = 8;
constexpr int kBadConnections = 100;      // of one burst
constexpr double kBadGoesWithin = 0.002;  // s after it sent a request
constexpr double kBadPause = 0.15;        // s between bursts
}  // namespace

int main(int count, char** words) {
  Case the_case(count, words);
  std::atomic<bool> stop = false;

  const auto serve = [&](const Command& command) {
    the_case.record.line("node got " + command.id + " " + command.key());
    sleep_for(kServeTime);
    command.answer("ACK", "sum=aa" + command.field("name") + ",t0=" + unix_ms(unix_seconds()) + ",why=mem",
                   "bytes of " + command.key());
  };
  Server cache_1([&](int descriptor) { read_commands(descriptor, serve); });
  Server cache_2([&](int descriptor) { read_commands(descriptor, serve); });
  Server origin([&](int descriptor) { read_commands(descriptor, serve); });
  ChangeLog log;
  log.add(R"("fleet":{"version":1,"full":true,"servers":[)" +
          list_entry("cache-1", cache_1.port(), "edge", "cache", 0, "active", 30, "0") + "," +
          list_entry("cache-2", cache_2.port(), "edge", "cache", 0, "active", 30, "0") + "," +
          list_entry("origin", origin.port(), "hub", "origin", 0, "active", 100, "0") + "]}");
  const std::string config =
      the_case.write_file("config.json", config_text(Settings(), log.port(), 1, log.event(1)));
  Director director(the_case.run, "d1", free_port(), config, the_case.scratch + "/director.log");
  director.wait_until_ready();

  std::mutex mutex;
  std::map<std::string, double> open_ids;  // since when
  std::atomic<int> asked = 0, answered = 0, lost = 0, wrong = 0;

  std::vector<std::thread> threads;
  for (int client = 0; client < kClients; ++client)
    threads.emplace_back([&, client] {
      std::mt19937_64 random(100 + client);
      int descriptor = -1;
      std::string in;
      while (!stop) {
        if (descriptor < 0) descriptor = connect_to(director.port()), in.clear();
        if (descriptor < 0) continue;
        const std::string id = new_id(random), object = new_id(random);
        const double sent_at = unix_seconds();
        the_case.record.line("client " + std::to_string(client) + " asks " + id + " " + object);
        ++asked;
        send_all(descriptor, request_text(id, "/invoke/segment/" + object + "/block-0", kDeadline * 1000,
                                          "X-Family: 3\r\nX-Need-Kb: 1600\r\n"));
        {
          const std::lock_guard lock(mutex);
          open_ids[id] = sent_at;
        }
        const Answer answer = read_answer(descriptor, in, sent_at + kDeadline + kLateAllowed);
        {
          const std::lock_guard lock(mutex);
          open_ids.erase(id);
        }
        the_case.record.line("client " + std::to_string(client) + " got " + std::to_string(answer.status) +
                             " for " + id + " after " + std::to_string(unix_seconds() - sent_at));
        if (answer.status == 0) {
          ++lost;
          the_case.record.line("LOST " + id);
          ::close(descriptor);
          descriptor = -1;
          continue;
        }
        ++answered;
        if (answer.status == 200 && answer.body != "bytes of " + object + "/0") ++wrong;
      }
      if (descriptor >= 0) ::close(descriptor);
    });

  if (trouble())
    threads.emplace_back([&] {
      std::mt19937_64 random(7);
      while (!stop) {
        sleep_for(kBadPause);
        std::string id;
        {
          const std::lock_guard lock(mutex);
          for (const auto& [open_id, since] : open_ids)
            if (unix_seconds() - since > 0.03 && unix_seconds() - since < 0.2) id = open_id;
        }
        if (id.empty()) continue;
        the_case.record.line("bad client sends under " + id + " and goes");
        std::vector<int> connections;
        std::string text;
        for (int i = 0; i < kBadConnections; ++i) connections.push_back(connect_to(director.port()));
        for (const int descriptor : connections)
          send_all(descriptor, request_text(id, "/invoke/segment/" + new_id(random) + "/block-0",
                                            kDeadline * 1000, "X-Family: 3\r\nX-Need-Kb: 1600\r\n"));
        std::shuffle(connections.begin(), connections.end(), random);
        for (const int descriptor : connections) {
          if (descriptor >= 0) ::close(descriptor);
          sleep_for(kBadGoesWithin / kBadConnections);
        }
      }
    });

  sleep_for(kRunFor);
  stop = true;
  for (std::thread& thread : threads) thread.join();
  const bool ended = director.has_ended();
  if (ended || asked < 50) the_case.finish(director, kCannotRun, "the director ended, or too few requests");
  the_case.finish(director, lost + wrong > 0 ? kBroken : kHeld,
                  "asked " + std::to_string(asked) + ", answered " + std::to_string(answered) + ", lost " +
                      std::to_string(lost) + ", wrong bytes " + std::to_string(wrong));
}
