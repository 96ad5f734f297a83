// Case: a cache node has just started, while a bad client sends requests whose figure of the size is out of
// range.
#include "kit.hpp"

using namespace kit;

namespace {
constexpr double kJoinAt = 6.0;         // s: the new cache node starts
constexpr double kRunFor = 16.0;        // s
constexpr double kMeanSendTime = 0.06;  // s of the class `rules` (33 to 89 ms by the briefs)
constexpr double kKbPerS = 4600;        // StreamKbPerS
constexpr double kNewWeight = 4;        // cores of the new cache node (4 to 7 by the briefs)
constexpr int kUsual = 6, kBad = 6;     // connections
constexpr double kUsualPause = 0.06;    // s
constexpr double kDeadline = 2.5;       // s
}  // namespace

int main(int count, char** words) {
  Case the_case(count, words);
  std::atomic<bool> stop = false;
  Settings settings;
  settings.cold_s = 15;
  std::mutex mutex;
  std::vector<double> came;  // at the new cache node
  const auto serve = [&](const Command& command, bool is_new) {
    const bool known = command.field("name").rfind("bad", 0) != 0;
    the_case.record.line(std::string(is_new ? "new cache" : "node") + " got " + command.id + " " +
                         command.key());
    if (is_new) {
      const std::lock_guard lock(mutex);
      came.push_back(command.came_at);
    }
    if (!known) {
      sleep_for(0.002);
      return command.answer("EIO", "why=absent");
    }
    sleep_for(kMeanSendTime);
    command.answer("ACK", "sum=a,t0=" + unix_ms(unix_seconds()) + ",why=mem", "bytes of " + command.key());
  };
  const auto old_node = [&](int descriptor) {
    read_commands(descriptor, [&](const Command& c) { serve(c, false); });
  };
  Server cache_1(old_node), origin(old_node);
  Server cache_2(
      [&](int descriptor) { read_commands(descriptor, [&](const Command& c) { serve(c, true); }); });
  ChangeLog log;
  log.add(R"("fleet":{"version":1,"full":true,"servers":[)" +
          list_entry("cache-1", cache_1.port(), "edge", "cache", 0, "active", 7, "0") + "," +
          list_entry("origin", origin.port(), "hub", "origin", 0, "active", 100, "0") + "]}");
  const std::string config =
      the_case.write_file("config.json", config_text(settings, log.port(), 1, log.event(1)));
  Director director(the_case.run, "d1", free_port(), config, the_case.scratch + "/director.log");
  director.wait_until_ready();

  std::atomic<int> usual = 0, bad = 0;
  std::vector<std::thread> threads;
  const auto client = [&](int number, bool is_bad) {
    std::mt19937_64 random(number);
    int descriptor = -1;
    std::string in;
    while (!stop) {
      if (descriptor < 0) descriptor = connect_to(director.port()), in.clear();
      const double size =
          -kMeanSendTime * kKbPerS * std::log(std::uniform_real_distribution<double>(0.001, 1)(random));
      const std::string object =
          is_bad ? "bad" + new_id(random).substr(3) : std::to_string(1000 + random() % 500);
      const double at = unix_seconds();
      ++(is_bad ? bad : usual);
      send_all(
          descriptor,
          request_text(new_id(random), "/invoke/rules/" + object, kDeadline * 1000,
                       "X-Family: 1\r\nX-Need-Kb: " +
                           (is_bad ? std::string("0.001") : std::to_string(std::max(1.0, size))) + "\r\n"));
      const Answer answer = read_answer(descriptor, in, at + kDeadline + 0.55);
      if (answer.status == 0) ::close(descriptor), descriptor = -1;
      if (!is_bad) sleep_until(at + kUsualPause);
    }
    if (descriptor >= 0) ::close(descriptor);
  };
  for (int i = 0; i < kUsual; ++i) threads.emplace_back(client, i, false);
  if (trouble())
    for (int i = 0; i < kBad; ++i) threads.emplace_back(client, 100 + i, true);

  sleep_for(kJoinAt);
  const double started = unix_seconds();
  log.add(R"("fleet":{"version":2,"full":false,"servers":[)" +
          list_entry("cache-2", cache_2.port(), "edge", "cache", 0, "active", kNewWeight, unix_ms(started)) +
          "]}");
  the_case.record.line("cache-2 has started");
  sleep_for(kRunFor - kJoinAt);
  stop = true;
  for (std::thread& thread : threads) thread.join();
  const bool ended = director.has_ended();

  // In any span of FallS: at most N + 2 x root of N + 2 requests (N under 30: N + 3 x root of N + 3), N by
  // what the node can do at the span's end, if it gains in a line.
  double worst = 0, worst_limit = 0, worst_at = 0;
  const std::lock_guard lock(mutex);
  for (std::size_t last = 0; last < came.size(); ++last) {
    const auto first =
        std::lower_bound(came.begin(), came.end(), came[last] - settings.fall_s) - came.begin();
    const double since = std::clamp((came[last] - started) / settings.cold_s, 0.0, 1.0);
    if (since >= 1) break;
    const double capacity = kNewWeight * (settings.start_capacity + (1 - settings.start_capacity) * since);
    const double n = settings.fall_multiple * capacity * settings.fall_s / kMeanSendTime;
    const double limit = n < 30 ? n + 3 * std::sqrt(n) + 3 : n + 2 * std::sqrt(n) + 2;
    const double requests = static_cast<double>(last) - static_cast<double>(first) + 1;
    if (worst_limit == 0 || requests / limit > worst / worst_limit)
      worst = requests, worst_limit = limit, worst_at = came[last] - started;
  }
  if (ended || usual < 100 || came.empty())
    the_case.finish(director, kCannotRun, "the director ended, or too little");
  std::ostringstream result;
  result << "usual " << usual << ", bad " << bad << ", at the new cache node " << came.size() << "; most in "
         << settings.fall_s << " s: " << worst << " where it falls above " << worst_limit << ", " << worst_at
         << " s after its start";
  the_case.finish(director, worst > worst_limit ? kBroken : kHeld, result.str());
}
