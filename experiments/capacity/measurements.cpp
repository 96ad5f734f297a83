#include "capacity/measurements.hpp"

#include <algorithm>
#include <cmath>
#include <memory>

#include "capacity/cold_quota.hpp"
#include "capacity/faults.hpp"
#include "capacity/load.hpp"
#include "capacity/stream_source.hpp"
#include "transport/scheduler.hpp"

namespace hareramp::capacity {

using transport::Scheduler;

namespace {

constexpr double kPollInterval = 0.01;  // s
constexpr double kSettle = 1.5;         // s after a start until its remaining work is done
constexpr double kWarmUp = 2;           // s of load before the measurement
constexpr double kKb = 1024, kMb = kKb * kKb;
constexpr int kSimulatedCount = 20;    // simulated directors measured along with a real one
constexpr int kRegionDirectors = 346;  // 4,500 directors in 13 regions
constexpr int kSteadySubscribers = 300;
constexpr int kNodeChangesInBacklog = 24;
constexpr double kObjectKb = 193;  // mean size of a response body
constexpr std::size_t kSmallBodyBytes = 4096;

std::string list_entries(const MockNodes& mock_nodes, int nodes) {
  return mock_nodes.entries + "," + node_entries(nodes - static_cast<int>(mock_nodes.nodes.size()));
}

// --- one director ---

Table director_nodes(const Setup& setup) {
  Table table(setup.command, {"nodes", "real_mb", "real_ready_s", "real_start_processor_s", "stream_kb",
                              "simulated_mb", "simulated_start_processor_s"});
  Setup one_process = setup;
  one_process.processes = 1;
  for (const double nodes : setup.sizes) {
    const TemporaryDirectory folder;
    SourceProcess source(setup, {.nodes = static_cast<int>(nodes)});
    RealDirector real_director(setup, folder, {.change_stream = source.address()}, 0);
    wait_until("the node list", [&] { return real_director.counters()["events"] >= 1; });
    const double ready = real_director.uptime();
    pause(kSettle);
    const ProcessUsage usage = real_director.usage();
    const double bytes = source.report()["bytes"].get<double>();
    const SimulatedDirectors no_directors(one_process, source.address(), {.count = 0});
    SimulatedDirectors simulated_directors(one_process, source.address(), {.count = kSimulatedCount});
    simulated_directors.wait_ready();
    pause(kSettle);
    table.add({nodes, usage.resident_mb, ready, usage.processor_s, bytes / kKb,
               (simulated_directors.resident_mb() - no_directors.resident_mb()) / kSimulatedCount,
               (simulated_directors.processor_s() - no_directors.processor_s()) / kSimulatedCount});
  }
  return table;
}

Table director_purges(const Setup& setup) {
  Table table(setup.command, {"purges_per_s", "real_processor", "real_kb_per_s", "real_mb",
                              "simulated_processor", "simulated_mb"});
  for (const double rate : setup.sizes) {
    const TemporaryDirectory folder;
    Setup run_setup = setup;
    run_setup.processes = 1;
    run_setup.rate = std::max(rate, 1.0);
    SourceProcess source(run_setup, {.nodes = setup.nodes, .rate = rate});
    RealDirector real_director(run_setup, folder, {.change_stream = source.address()}, 0);
    SimulatedDirectors simulated_directors(run_setup, source.address(), {.count = kSimulatedCount});
    simulated_directors.wait_ready();
    begin_purges(source, simulated_directors);
    pause(setup.seconds);  // purges are kept for some seconds; afterwards as many expire as arrive
    const double simulated_before = simulated_directors.processor_s(), start_time = Scheduler::now();
    const ProcessUsage before = real_director.usage();
    const double bytes = source.report()["bytes"].get<double>();
    pause(setup.seconds);
    const double span = Scheduler::now() - start_time;
    const ProcessUsage after = real_director.usage();
    table.add({rate, (after.processor_s - before.processor_s) / span,
               (source.report()["bytes"].get<double>() - bytes) / span / (kSimulatedCount + 1) / kKb,
               after.resident_mb,
               (simulated_directors.processor_s() - simulated_before) / span / kSimulatedCount,
               simulated_directors.resident_mb() / kSimulatedCount});
  }
  return table;
}

// --- source or relay, by number of subscribers and by rate of purges ---

struct StreamLoad {
  double directors = 0, rate = 0;
  bool relayed = false;
};

// Cumulative resource usage of a process that serves the change stream.
struct ServerUsage {
  double processor_s = 0, writes = 0, bytes = 0, resident_mb = 0;
};
ServerUsage server_usage_of(SourceProcess& source) {
  const auto report = source.report();
  return {source.usage().processor_s, report["writes"].get<double>(), report["bytes"].get<double>(),
          source.usage().resident_mb};
}
ServerUsage server_usage_of(RelayProcess& relay) {
  auto counters = relay.counters();
  return {relay.usage().processor_s, static_cast<double>(counters["writes"]),
          static_cast<double>(counters["bytes_given"]), relay.usage().resident_mb};
}

const std::vector<std::string> kStreamColumns = {"subscribers",
                                                 "purges_per_s",
                                                 "ready_s",
                                                 "start_server_processor_s",
                                                 "start_mb",
                                                 "server_processor",
                                                 "writes_per_s",
                                                 "kb_per_s",
                                                 "delivered_share",
                                                 "p50_s",
                                                 "p99_s",
                                                 "most_s",
                                                 "director_processor",
                                                 "server_mb",
                                                 "director_mb"};

std::vector<double> measure_stream(const Setup& setup, const StreamLoad& load) {
  Setup run_setup = setup;
  run_setup.rate = load.rate;
  const TemporaryDirectory folder;
  SourceProcess source(run_setup, {.nodes = setup.nodes, .rate = load.rate});
  std::unique_ptr<RelayProcess> relay;
  if (load.relayed) {
    relay = std::make_unique<RelayProcess>(
        run_setup, folder, RelayOptions{.listen = loopback_address(0), .sources = {source.address()}});
    wait_until("the relay's node list", [&] { return relay->counters()["last"] >= 1; });
  }
  const auto current_usage = [&] { return relay ? server_usage_of(*relay) : server_usage_of(source); };
  const ServerUsage at_rest = current_usage();
  SimulatedDirectors directors(run_setup, relay ? relay->address() : source.address(),
                               {.count = static_cast<int>(load.directors), .compressed = load.relayed});
  const double ready = directors.wait_ready();
  const ServerUsage started = current_usage();
  begin_purges(source, directors);
  const ServerUsage before = current_usage();
  const double directors_before = directors.processor_s(), start_time = Scheduler::now();
  pause(setup.seconds);
  const double span = Scheduler::now() - start_time;
  const ServerUsage after = current_usage();
  const double director_processor = (directors.processor_s() - directors_before) / span / load.directors;
  const auto reports = directors.reports();
  const double delivered = sum(reports, "purges");
  const double issued = (source.report()["last"].get<double>() - 1) * load.directors;
  return {load.directors,
          load.rate,
          ready,
          started.processor_s - at_rest.processor_s,
          (started.bytes - at_rest.bytes) / kMb,
          (after.processor_s - before.processor_s) / span,
          (after.writes - before.writes) / span,
          (after.bytes - before.bytes) / span / kKb,
          delivered / issued,
          largest(reports, "p50_s"),
          largest(reports, "p99_s"),
          largest(reports, "most_s"),
          director_processor,
          after.resident_mb,
          directors.resident_mb() / load.directors};
}

Table by_subscribers(const Setup& setup, bool relayed) {
  Table table(setup.command, kStreamColumns);
  for (const double directors : setup.sizes)
    table.add(measure_stream(setup, {directors, setup.rate, relayed}));
  return table;
}
Table by_rate(const Setup& setup, bool relayed) {
  Table table(setup.command, kStreamColumns);
  for (const double rate : setup.sizes) table.add(measure_stream(setup, {kSteadySubscribers, rate, relayed}));
  return table;
}

// --- catch-up ---

// A director under load subscribes to a stream with the given number of purges from the last hour, at the
// source or at a relay.
std::vector<double> measure_catch_up(const Setup& setup, double purges, bool relayed) {
  constexpr double kRequestsPerSecond = 400, kQuietInterval = 0.3, kTimeout = 60;
  constexpr int kClients = 200;
  const TemporaryDirectory folder;
  Scheduler scheduler;
  const MockNodes mock_nodes(scheduler, kSmallBodyBytes);
  const std::string list = folder.write("list", list_entries(mock_nodes, setup.nodes));
  // The first source has no backlog and serves the measurement at rest; the second has one. Both issue the
  // same node list as event 1, so that the director continues after it.
  SourceProcess idle_source(setup, {.nodes = setup.nodes, .list = list});
  RealDirector real_director(setup, folder, {.change_stream = idle_source.address()}, 0);
  OpenLoopLoad load(scheduler, real_director.address(), kRequestsPerSecond, kClients);
  load.run_for(kWarmUp);
  const auto at_rest = load.run_for(setup.seconds);
  SourceProcess loaded_source(setup, {.nodes = setup.nodes,
                                      .backlog = static_cast<long long>(purges),
                                      .node_changes = kNodeChangesInBacklog,
                                      .list = list});
  const auto last = loaded_source.report()["last"].get<std::uint64_t>();
  std::unique_ptr<RelayProcess> relay;
  if (relayed) {
    relay = std::make_unique<RelayProcess>(
        setup, folder, RelayOptions{.listen = loopback_address(0), .sources = {loaded_source.address()}});
    wait_until("the relay's backlog", [&] { return relay->counters()["last"] >= last; });
  }
  const auto current_usage = [&] { return relay ? server_usage_of(*relay) : server_usage_of(loaded_source); };
  const ServerUsage server_before = current_usage();
  const std::uint64_t events_at_rest = real_director.counters()["events"];
  const ProcessUsage usage_at_rest = real_director.usage();
  reset_peak(real_director.id());
  real_director.switch_change_stream(relay ? relay->address() : loaded_source.address());
  const double start_time = Scheduler::now();
  double last_poll = start_time, last_change = start_time;
  std::uint64_t events = events_at_rest;
  const auto during_catch_up = load.run_for(kTimeout, [&] {
    const double now = Scheduler::now();
    if (now - last_poll < kPollInterval) return false;
    last_poll = now;
    const std::uint64_t seen = std::max(events, real_director.last_printed_counters()["events"]);
    if (seen > events) last_change = now;
    events = seen;
    return events > events_at_rest && now - last_change > kQuietInterval;
  });
  const ProcessUsage after = real_director.usage();
  const ServerUsage server_after = current_usage();
  return {purges,
          static_cast<double>(events - events_at_rest),
          (server_after.bytes - server_before.bytes) / kKb,
          last_change - start_time,
          after.processor_s - usage_at_rest.processor_s,
          usage_at_rest.resident_mb,
          after.peak_mb,
          after.peak_mb - usage_at_rest.resident_mb,
          server_after.processor_s - server_before.processor_s,
          relay ? relay->usage().peak_mb : loaded_source.usage().peak_mb,
          static_cast<double>(real_director.counters()["late_turns"]),
          percentile(at_rest, 0.99),
          percentile(during_catch_up, 0.99)};
}

Table catch_up(const Setup& setup, bool relayed) {
  Table table(setup.command, {"purges", "events", "stream_kb", "caught_up_s", "director_processor_s",
                              "rest_mb", "peak_mb", "over_rest_mb", "server_processor_s", "server_peak_mb",
                              "late_turns", "p99_rest_s", "p99_meanwhile_s"});
  for (const double purges : setup.sizes) table.add(measure_catch_up(setup, purges, relayed));
  return table;
}

// All directors of a region catch up at the same time, each from the first event.
Table catch_up_region(const Setup& setup, bool relayed) {
  Table table(setup.command, {"purges", "directors", "caught_up_s", "server_processor_s", "stream_mb",
                              "director_processor_s", "director_peak_mb", "server_peak_mb"});
  for (const double purges : setup.sizes) {
    const TemporaryDirectory folder;
    const auto last = static_cast<std::uint64_t>(purges) + 1;
    SourceProcess source(setup, {.nodes = setup.nodes, .backlog = static_cast<long long>(purges)});
    std::unique_ptr<RelayProcess> relay;
    if (relayed) {
      relay = std::make_unique<RelayProcess>(
          setup, folder, RelayOptions{.listen = loopback_address(0), .sources = {source.address()}});
      wait_until("the relay's backlog", [&] { return relay->counters()["last"] >= last; });
    }
    const ServerUsage before = relay ? server_usage_of(*relay) : server_usage_of(source);
    SimulatedDirectors directors(
        setup, relay ? relay->address() : source.address(),
        {.count = kRegionDirectors, .until = static_cast<long long>(last), .compressed = relayed});
    const double ready = directors.wait_ready();
    const ServerUsage after = relay ? server_usage_of(*relay) : server_usage_of(source);
    table.add({purges, kRegionDirectors, ready, after.processor_s - before.processor_s,
               (after.bytes - before.bytes) / kMb, directors.processor_s() / kRegionDirectors,
               directors.peak_mb() / kRegionDirectors,
               relay ? relay->usage().peak_mb : source.usage().peak_mb});
  }
  return table;
}

// --- requests ---

Table requests(const Setup& setup) {
  constexpr int kClients = 300;
  Table table(setup.command, {"requests_per_s", "body_kb", "answered_per_s", "director_processor", "p50_s",
                              "p99_s", "director_mb", "not_asked"});
  for (const double body_kb : {1.0, kObjectKb})
    for (const double rate : setup.sizes) {
      const TemporaryDirectory folder;
      Scheduler scheduler;
      const MockNodes mock_nodes(scheduler, static_cast<std::size_t>(body_kb * kKb));
      const std::string list = folder.write("list", list_entries(mock_nodes, setup.nodes));
      SourceProcess source(setup, {.nodes = setup.nodes, .list = list});
      RealDirector real_director(setup, folder, {.change_stream = source.address(), .memory_mb = 192}, 0);
      OpenLoopLoad load(scheduler, real_director.address(), rate, kClients);
      load.run_for(kWarmUp);
      const ProcessUsage before = real_director.usage();
      const double start_time = Scheduler::now();
      const auto latencies = load.run_for(setup.seconds);
      const double span = Scheduler::now() - start_time;
      table.add({rate, body_kb, static_cast<double>(latencies.size()) / span,
                 (real_director.usage().processor_s - before.processor_s) / span, percentile(latencies, 0.5),
                 percentile(latencies, 0.99), real_director.usage().resident_mb,
                 static_cast<double>(load.unsent())});
    }
  return table;
}

// --- a node that has just started ---

Table cold_quota(const Setup& setup) {
  Table table(setup.command, {"directors", "attempts_each", "attempts_all", "limit_all"});
  for (const double directors : setup.sizes) {
    const ColdQuota quota = measure_cold_quota(static_cast<int>(directors));
    table.add({directors, quota.attempts_each, quota.attempts_each * directors, quota.limit_all});
  }
  return table;
}

}  // namespace

const std::vector<Measurement>& measurements() {
  static const std::vector<double> kSubscribers = {1, 100, 300, 1000, 2000, 4500};
  static const std::vector<double> kRates = {10, 25, 50, 100, 200};
  static const std::vector<double> kBacklogs = {22500, 45000, 90000, 180000, 360000};
  static const std::vector<double> kRegionBacklogs = {2000, 4000, 8000, 16000};
  const auto direct = [](auto measure) {
    return [measure](const Setup& setup) { return measure(setup, false); };
  };
  const auto relayed = [](auto measure) {
    return [measure](const Setup& setup) { return measure(setup, true); };
  };
  static const std::vector<Measurement> kMeasurements = {
      {"director_nodes",
       "one director, by number of nodes in its list",
       {10, 100, 460, 1000, 2000},
       director_nodes},
      {"director_purges", "one director, by purges/s", {0, 50, 100, 250, 500, 1000}, director_purges},
      {"requests", "one director, by requests/s", {195, 389, 778, 1556, 2334}, requests},
      {"source_subscribers", "the source, by number of subscribers", kSubscribers, direct(by_subscribers)},
      {"source_rate", "the source with 300 subscribers, by purges/s", kRates, direct(by_rate)},
      {"catch_up", "one director catching up at the source, by size of the backlog", kBacklogs,
       direct(catch_up)},
      {"catch_up_region", "346 directors catching up at the source, by size of the backlog", kRegionBacklogs,
       direct(catch_up_region)},
      {"relay_subscribers", "a relay, by number of subscribers", kSubscribers, relayed(by_subscribers)},
      {"relay_rate", "a relay with 300 subscribers, by purges/s", kRates, relayed(by_rate)},
      {"relay_catch_up", "one director catching up at a relay, by size of the backlog", kBacklogs,
       relayed(catch_up)},
      {"relay_catch_up_region", "346 directors catching up at a relay, by size of the backlog", kBacklogs,
       relayed(catch_up_region)},
      {"relay_faults", "two relays and simulated directors, by kind of fault", all_faults(), relay_faults},
      {"cold_quota",
       "share of a starting parent's quota per director under an even split",
       {4, 30, 300, 1000, 4500},
       cold_quota}};
  return kMeasurements;
}

}  // namespace hareramp::capacity
