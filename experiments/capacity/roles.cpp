#include "capacity/roles.hpp"

#include <fmt/format.h>
#include <signal.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <fstream>
#include <memory>
#include <random>
#include <sstream>
#include <vector>

#include "capacity/recorder.hpp"
#include "capacity/simulated_director.hpp"
#include "capacity/stream_source.hpp"
#include "distribution/relay_settings.hpp"
#include "transport/clock.hpp"
#include "transport/signals.hpp"

namespace hareramp::capacity {

using transport::Scheduler;
using transport::Task;

namespace {

constexpr double kRetryLongest = 5;        // s, the operator's file's own default
constexpr double kHour = 3600;             // s
constexpr double kPollEvery = 0.005;       // s between looks at what has arrived
constexpr std::size_t kBuckets = 120'000;  // of 1 ms each
constexpr double kBucket = 0.001;          // s

double next_begin() { return std::ceil(Scheduler::now()) + 1; }

void print(const std::string& line) {
  std::fputs((line + "\n").c_str(), stdout);
  std::fflush(stdout);
}

// Counts of latencies, by millisecond.
class LatencyCounts {
 public:
  void add(double seconds) {
    const auto place = static_cast<std::size_t>(std::max(0.0, seconds) / kBucket);
    ++counts_[std::min(place, kBuckets - 1)];
    ++all_;
    most_ = std::max(most_, seconds);
  }
  // Seconds; the upper end of the bucket.
  double percentile(double share) const {
    std::uint64_t seen = 0;
    for (std::size_t place = 0; place < counts_.size(); ++place) {
      seen += counts_[place];
      if (all_ > 0 && static_cast<double>(seen) >= share * static_cast<double>(all_))
        return static_cast<double>(place + 1) * kBucket;
    }
    return 0;
  }
  double most() const { return most_; }
  std::uint64_t all() const { return all_; }

 private:
  std::vector<std::uint64_t> counts_ = std::vector<std::uint64_t>(kBuckets);
  std::uint64_t all_ = 0;
  double most_ = 0;
};

Task<> publish_purges(Scheduler& scheduler, StreamSource& source, const SourceRole& role, double begin,
                      bool& stopped) {
  for (std::uint64_t number = 0; role.rate > 0; ++number) {
    co_await scheduler.sleep_until(begin + static_cast<double>(number) / role.rate);
    if (stopped) co_return;
    source.append_purge(object_of_purge(role.first_purge + number),
                        std::floor(transport::Clock::unix_now() * 1000));
    source.publish();
  }
}

void append_backlog(StreamSource& source, const SourceRole& role) {
  std::mt19937_64 objects(2);
  const double began = transport::Clock::unix_now() - kHour;
  const long long change_every = role.node_changes > 0 ? std::max(1LL, role.backlog / role.node_changes) : 0;
  for (long long number = 0; number < role.backlog; ++number) {
    const double at = began + kHour * static_cast<double>(number) / static_cast<double>(role.backlog);
    if (change_every > 0 && number % change_every == change_every - 1)
      source.append_node_change(1 + static_cast<int>(number / change_every) % std::max(1, role.nodes - 1),
                                "active");
    source.append_purge(objects(), std::floor(at * 1000));
  }
}

// The records of many directors together. What is missing is held against the newest purge that any was told.
struct PurgeAudit {
  std::uint64_t newest = 0, missing = 0, missing_first = 0, missing_last = 0;
  std::uint64_t twice = 0, out_of_order = 0, late = 0;
  double latest_s = 0;
};
PurgeAudit audit_purges(const std::vector<std::unique_ptr<SimulatedDirector>>& directors) {
  PurgeAudit audit;
  for (const auto& director : directors) audit.newest = std::max(audit.newest, director->record().newest);
  for (const auto& director : directors) {
    const PurgeRecord& record = director->record();
    audit.twice += record.twice;
    audit.out_of_order += record.out_of_order;
    audit.late += record.late;
    audit.latest_s = std::max(audit.latest_s, record.latest_s);
    for (std::uint64_t purge = 1; purge <= audit.newest; ++purge) {
      if (purge < record.seen.size() && record.seen[purge] > 0) continue;
      ++audit.missing;
      audit.missing_first = audit.missing_first == 0 ? purge : std::min(audit.missing_first, purge);
      audit.missing_last = std::max(audit.missing_last, purge);
    }
  }
  return audit;
}

}  // namespace

int run_source(const SourceRole& role) {
  Scheduler scheduler;
  std::string entries;
  if (!role.list.empty()) {
    std::ifstream file(role.list);
    std::getline(file, entries);
  }
  StreamSource source(scheduler, role.listen, role.nodes, entries);
  if (!role.backlog_later) append_backlog(source, role);
  bool stopped = false;
  transport::SignalSet signals(scheduler, {SIGUSR1, SIGUSR2, SIGTERM, SIGHUP, SIGALRM});
  print("listening " + source.address().text());
  const auto steer = [&]() -> Task<> {
    for (;;) {
      const int signal = co_await signals.next();
      if (signal == SIGUSR1) scheduler.spawn(publish_purges(scheduler, source, role, next_begin(), stopped));
      if (signal == SIGHUP) stopped = true;
      if (signal == SIGALRM) {
        append_backlog(source, role);
        source.publish();
      }
      if (signal == SIGUSR2)
        print(
            fmt::format(R"({{"subscribers":{},"accepted":{},"bytes":{},"writes":{},"last":{},"encoded":{}}})",
                        source.use().subscribers, source.use().accepted, source.use().bytes,
                        source.use().writes, source.last(), source.encoded_bytes()));
      if (signal == SIGTERM) scheduler.stop();
    }
  };
  scheduler.spawn(steer());
  scheduler.run();
  return 0;
}

int run_directors(const DirectorsRole& role) {
  Scheduler scheduler;
  DirectorPlan plan;
  std::vector<distribution::Endpoint> endpoints;
  std::istringstream addresses(role.source);
  for (std::string address; std::getline(addresses, address, ',');)
    endpoints.push_back({*transport::Address::parse(address), address});
  plan.change_stream = endpoints.front().host;
  plan.directors = role.directors;
  const program::Config config = program::read_config(director_configuration(plan), "", "");
  std::FILE* null = std::fopen("/dev/null", "w");
  Log log(fileno(null));
  std::vector<std::unique_ptr<SimulatedDirector>> directors;
  transport::SignalSet signals(scheduler, {SIGUSR1, SIGUSR2, SIGTERM});
  LatencyCounts latencies;
  std::uint64_t late_turns = 0;
  scheduler.on_late = [&](double) { ++late_turns; };

  const auto options = [&](int number) {
    distribution::SubscriptionOptions chosen;
    chosen.compressed = role.compressed;
    chosen.retry_longest = role.compressed ? kRetryLongest : 0;
    chosen.silence_timeout = role.compressed ? distribution::kRelaySilenceTimeout : 0;
    chosen.seed = static_cast<std::uint64_t>(number) + 1;
    return chosen;
  };
  const auto start_all = [&]() -> Task<> {
    const double begin = Scheduler::now();
    for (int number = 0; number < role.count; ++number) {
      if (role.spread_s > 0) co_await scheduler.sleep_until(begin + role.spread_s * number / role.count);
      directors.push_back(std::make_unique<SimulatedDirector>(scheduler, config, log, number + 1, endpoints,
                                                              options(number)));
      std::rotate(endpoints.begin(), endpoints.begin() + 1, endpoints.end());
      directors.back()->start();
    }
    while (!std::all_of(directors.begin(), directors.end(),
                        [&](const auto& director) { return director->last_event() >= role.until; }))
      co_await scheduler.sleep_until(Scheduler::now() + 2 * kPollEvery);
    print(fmt::format("ready {:.3f}", Scheduler::now() - begin));
  };
  // Each purge counted since the begin is taken for the next one issued: the source issues them evenly.
  const auto watch_arrivals = [&](double begin) -> Task<> {
    std::vector<std::uint64_t> before, seen(directors.size());
    for (const auto& director : directors) before.push_back(director->counters().purges);
    for (;;) {
      co_await scheduler.sleep_until(Scheduler::now() + kPollEvery);
      const double now = Scheduler::now();
      for (std::size_t place = 0; place < directors.size(); ++place) {
        const std::uint64_t arrived = directors[place]->counters().purges - before[place];
        for (; seen[place] < arrived; ++seen[place])
          latencies.add(now - begin - static_cast<double>(seen[place]) / role.rate);
      }
    }
  };
  const auto steer = [&]() -> Task<> {
    for (;;) {
      const int signal = co_await signals.next();
      if (signal == SIGUSR1) scheduler.spawn(watch_arrivals(next_begin()));
      if (signal == SIGUSR2) {
        std::uint64_t events = 0, purges = 0, least = UINT64_MAX, most = 0, connected = 0;
        const PurgeAudit audit = audit_purges(directors);
        for (const auto& director : directors) {
          events += director->counters().events;
          purges += director->counters().purges;
          connected += director->counters().log_connected;
          least = std::min(least, director->counters().purges);
          most = std::max(most, director->counters().purges);
        }
        print(fmt::format(
            R"({{"events":{},"purges":{},"least":{},"most":{},"p50_s":{:.4f},"p99_s":{:.4f},"most_s":{:.4f},"measured":{},"late_turns":{},)"
            R"("connected":{},"newest":{},"missing":{},"missing_first":{},"missing_last":{},"twice":{},"out_of_order":{},"late":{},"latest_s":{:.3f}}})",
            events, purges, least, most, latencies.percentile(0.5), latencies.percentile(0.99),
            latencies.most(), latencies.all(), late_turns, connected, audit.newest, audit.missing,
            audit.missing_first, audit.missing_last, audit.twice, audit.out_of_order, audit.late,
            audit.latest_s));
      }
      if (signal == SIGTERM) scheduler.stop();
    }
  };
  scheduler.spawn(steer());
  scheduler.spawn(start_all());
  scheduler.run();
  scheduler.clear();
  std::fclose(null);
  return 0;
}

}  // namespace hareramp::capacity
