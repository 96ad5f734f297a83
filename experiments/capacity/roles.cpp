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

constexpr double kMaxRetryDelay = 5;           // s, the default of the operator's file
constexpr double kHour = 3600;                 // s
constexpr double kPollInterval = 0.005;        // s between checks for arrived purges
constexpr std::size_t kBucketCount = 120'000;  // of 1 ms each
constexpr double kBucketWidth = 0.001;         // s

double next_begin() { return std::ceil(Scheduler::now()) + 1; }

void print(const std::string& line) {
  std::fputs((line + "\n").c_str(), stdout);
  std::fflush(stdout);
}

// A histogram of latencies with buckets of 1 ms.
class LatencyHistogram {
 public:
  void add(double seconds) {
    const auto index = static_cast<std::size_t>(std::max(0.0, seconds) / kBucketWidth);
    ++counts_[std::min(index, kBucketCount - 1)];
    ++total_;
    maximum_ = std::max(maximum_, seconds);
  }
  // The percentile in seconds: the upper bound of its bucket.
  double percentile(double share) const {
    std::uint64_t seen = 0;
    for (std::size_t index = 0; index < counts_.size(); ++index) {
      seen += counts_[index];
      if (total_ > 0 && static_cast<double>(seen) >= share * static_cast<double>(total_))
        return static_cast<double>(index + 1) * kBucketWidth;
    }
    return 0;
  }
  double maximum() const { return maximum_; }
  std::uint64_t total() const { return total_; }

 private:
  std::vector<std::uint64_t> counts_ = std::vector<std::uint64_t>(kBucketCount);
  std::uint64_t total_ = 0;
  double maximum_ = 0;
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
  const double start_time = transport::Clock::unix_now() - kHour;
  const long long node_change_interval =
      role.node_changes > 0 ? std::max(1LL, role.backlog / role.node_changes) : 0;
  for (long long number = 0; number < role.backlog; ++number) {
    const double issued_at =
        start_time + kHour * static_cast<double>(number) / static_cast<double>(role.backlog);
    if (node_change_interval > 0 && number % node_change_interval == node_change_interval - 1)
      source.append_node_change(
          1 + static_cast<int>(number / node_change_interval) % std::max(1, role.nodes - 1), "active");
    source.append_purge(objects(), std::floor(issued_at * 1000));
  }
}

// Totals of the records of many directors. A purge counts as missing at a director if it did not arrive there
// and its number is not above the newest purge that any of the directors received.
struct PurgeTotals {
  std::uint64_t newest = 0, missing = 0, missing_first = 0, missing_last = 0;
  std::uint64_t duplicates = 0, out_of_order = 0, late = 0;
  double max_latency_s = 0;
};
PurgeTotals total_purges(const std::vector<std::unique_ptr<SimulatedDirector>>& directors) {
  PurgeTotals totals;
  for (const auto& director : directors) totals.newest = std::max(totals.newest, director->record().newest);
  for (const auto& director : directors) {
    const PurgeRecord& record = director->record();
    totals.duplicates += record.duplicates;
    totals.out_of_order += record.out_of_order;
    totals.late += record.late;
    totals.max_latency_s = std::max(totals.max_latency_s, record.max_latency_s);
    for (std::uint64_t purge = 1; purge <= totals.newest; ++purge) {
      if (purge < record.seen.size() && record.seen[purge] > 0) continue;
      ++totals.missing;
      totals.missing_first = totals.missing_first == 0 ? purge : std::min(totals.missing_first, purge);
      totals.missing_last = std::max(totals.missing_last, purge);
    }
  }
  return totals;
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
  const auto handle_signals = [&]() -> Task<> {
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
                        source.stats().subscribers, source.stats().accepted, source.stats().bytes,
                        source.stats().writes, source.last(), source.encoded_bytes()));
      if (signal == SIGTERM) scheduler.stop();
    }
  };
  scheduler.spawn(handle_signals());
  scheduler.run();
  return 0;
}

int run_directors(const DirectorsRole& role) {
  Scheduler scheduler;
  DirectorParameters parameters;
  std::vector<distribution::Endpoint> endpoints;
  std::istringstream addresses(role.source);
  for (std::string address; std::getline(addresses, address, ',');)
    endpoints.push_back({*transport::Address::parse(address), address});
  parameters.change_stream = endpoints.front().host;
  parameters.directors = role.directors;
  const program::Config config = program::parse_config(director_configuration(parameters), "", "");
  std::FILE* null_device = std::fopen("/dev/null", "w");
  Log log(fileno(null_device));
  std::vector<std::unique_ptr<SimulatedDirector>> directors;
  transport::SignalSet signals(scheduler, {SIGUSR1, SIGUSR2, SIGTERM});
  LatencyHistogram latencies;
  std::uint64_t late_turns = 0;
  scheduler.on_late = [&](double) { ++late_turns; };

  const auto options = [&](int number) {
    distribution::SubscriptionOptions subscription_options;
    subscription_options.compressed = role.compressed;
    subscription_options.retry_longest = role.compressed ? kMaxRetryDelay : 0;
    subscription_options.silence_timeout = role.compressed ? distribution::kRelaySilenceTimeout : 0;
    subscription_options.seed = static_cast<std::uint64_t>(number) + 1;
    return subscription_options;
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
      co_await scheduler.sleep_until(Scheduler::now() + 2 * kPollInterval);
    print(fmt::format("ready {:.3f}", Scheduler::now() - begin));
  };
  // Purge n is assumed to be issued at begin + n / rate: the source issues purges evenly.
  const auto measure_latencies = [&](double begin) -> Task<> {
    std::vector<std::uint64_t> before, seen(directors.size());
    for (const auto& director : directors) before.push_back(director->counters().purges);
    for (;;) {
      co_await scheduler.sleep_until(Scheduler::now() + kPollInterval);
      const double now = Scheduler::now();
      for (std::size_t index = 0; index < directors.size(); ++index) {
        const std::uint64_t arrived = directors[index]->counters().purges - before[index];
        for (; seen[index] < arrived; ++seen[index])
          latencies.add(now - begin - static_cast<double>(seen[index]) / role.rate);
      }
    }
  };
  const auto handle_signals = [&]() -> Task<> {
    for (;;) {
      const int signal = co_await signals.next();
      if (signal == SIGUSR1) scheduler.spawn(measure_latencies(next_begin()));
      if (signal == SIGUSR2) {
        std::uint64_t events = 0, purges = 0, minimum = UINT64_MAX, maximum = 0, connected = 0;
        const PurgeTotals totals = total_purges(directors);
        for (const auto& director : directors) {
          events += director->counters().events;
          purges += director->counters().purges;
          connected += director->counters().log_connected;
          minimum = std::min(minimum, director->counters().purges);
          maximum = std::max(maximum, director->counters().purges);
        }
        print(fmt::format(
            R"({{"events":{},"purges":{},"least":{},"most":{},"p50_s":{:.4f},"p99_s":{:.4f},"most_s":{:.4f},"measured":{},"late_turns":{},)"
            R"("connected":{},"newest":{},"missing":{},"missing_first":{},"missing_last":{},"twice":{},"out_of_order":{},"late":{},"latest_s":{:.3f}}})",
            events, purges, minimum, maximum, latencies.percentile(0.5), latencies.percentile(0.99),
            latencies.maximum(), latencies.total(), late_turns, connected, totals.newest, totals.missing,
            totals.missing_first, totals.missing_last, totals.duplicates, totals.out_of_order, totals.late,
            totals.max_latency_s));
      }
      if (signal == SIGTERM) scheduler.stop();
    }
  };
  scheduler.spawn(handle_signals());
  scheduler.spawn(start_all());
  scheduler.run();
  scheduler.clear();
  std::fclose(null_device);
  return 0;
}

}  // namespace hareramp::capacity
