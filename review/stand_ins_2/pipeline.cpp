// Case: a client sends many requests at once on one connection.
#include "kit.hpp"

using namespace kit;

namespace {
constexpr int kRounds = 6;
constexpr int kAtOnce = 12;            // requests of one burst
constexpr double kServeTime = 0.35;    // s: an ordinary sending time (280 to 450 ms by the briefs)
constexpr double kDeadline = 2.5;      // s
constexpr double kLateAllowed = 0.55;  // s after the deadline: half a second, and the 50 ms of the sockets
}  // namespace

int main(int count, char** words) {
  Case the_case(count, words);
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

  std::mt19937_64 random(11);
  int asked = 0, answered = 0, lost = 0;
  double latest = 0;
  for (int round = 0; round < kRounds; ++round) {
    const int descriptor = connect_to(director.port());
    std::string in;
    std::vector<std::string> ids;
    std::vector<double> sent;
    const auto ask = [&](int number) {
      ids.push_back(new_id(random));
      the_case.record.line("client sends " + ids.back() + ", number " + std::to_string(number) +
                           " of the burst");
      sent.push_back(unix_seconds());
      ++asked;
      return request_text(ids.back(), "/invoke/rules/" + new_id(random) + "/block-0", kDeadline * 1000,
                          "X-Family: 3\r\nX-Need-Kb: 400\r\n");
    };
    bool gone = false;
    const auto hear = [&](int number) {
      // A client waits until this request is lost. A close means that the rest has no answer, and the client
      // asks again; those are not counted here.
      const Answer answer =
          gone ? Answer() : read_answer(descriptor, in, std::max(unix_seconds(), sent[number] + 20));
      const double after = unix_seconds() - sent[number];
      if (answer.status == 0) {
        gone = true;
        the_case.record.line("client got no answer for " + ids[number]);
        return;
      }
      ++answered;
      latest = std::max(latest, after);
      the_case.record.line("client got " + std::to_string(answer.status) + " for " + ids[number] + " after " +
                           std::to_string(after) + " s");
      if (after > kDeadline + kLateAllowed) {
        ++lost;
        the_case.record.line("LOST " + ids[number] + ": answered too late");
      }
    };
    if (trouble()) {
      std::string all;
      for (int i = 0; i < kAtOnce; ++i) all += ask(i);
      send_all(descriptor, all);
      for (int i = 0; i < kAtOnce; ++i) hear(i);
    } else {
      for (int i = 0; i < kAtOnce; ++i) {
        send_all(descriptor, ask(i));
        hear(i);
      }
    }
    ::close(descriptor);
  }
  const bool ended = director.has_ended();
  if (ended || answered < kRounds)
    the_case.finish(director, kCannotRun, "the director ended, or too few answers");
  the_case.finish(director, lost > 0 ? kBroken : kHeld,
                  "asked " + std::to_string(asked) + ", answered " + std::to_string(answered) + ", over " +
                      std::to_string(kDeadline + kLateAllowed) + " s " + std::to_string(lost) + ", latest " +
                      std::to_string(latest) + " s");
}
