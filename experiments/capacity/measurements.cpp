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

constexpr double kLookEvery = 0.01;  // s
constexpr double kSettle = 1.5;      // s, for what a start leaves behind
constexpr double kWarmUp = 2;        // s of load before anything counts
constexpr double kKb = 1024, kMb = kKb * kKb;
constexpr int kSimulatedBeside = 20;  // simulated directors beside a real one
constexpr int kRegion = 346;          // of 4,500 directors in 13 regions
constexpr int kSteadySubscribers = 300;
constexpr int kNodeChangesInBacklog = 24;
constexpr double kObjectKb = 193;  // mean body of a request
constexpr std::size_t kSmallBody = 4096;

std::string list_with(const LiveNodes& live, int nodes) {
  return live.entries + "," + node_entries(nodes - static_cast<int>(live.nodes.size()));
}

// --- one director ---

Table director_nodes(const Setup& setup) {
  Table table(setup.command, {"nodes", "real_mb", "real_ready_s", "real_start_processor_s", "stream_kb",
                              "simulated_mb", "simulated_start_processor_s"});
  Setup one_process = setup;
  one_process.processes = 1;
  for (const double nodes : setup.sizes) {
    const Folder folder;
    Source source(setup, {.nodes = static_cast<int>(nodes)});
    RealDirector real(setup, folder, {.change_stream = source.address()}, 0);
    wait_until("the list", [&] { return real.counters()["events"] >= 1; });
    const double ready = real.age();
    pause(kSettle);
    const ProcessUsage usage = real.usage();
    const double bytes = source.report()["bytes"].get<double>();
    const SimulatedDirectors none(one_process, source.address(), {.count = 0});
    SimulatedDirectors some(one_process, source.address(), {.count = kSimulatedBeside});
    some.wait_ready();
    pause(kSettle);
    table.add({nodes, usage.resident_mb, ready, usage.processor_s, bytes / kKb,
               (some.resident_mb() - none.resident_mb()) / kSimulatedBeside,
               (some.processor_s() - none.processor_s()) / kSimulatedBeside});
  }
  return table;
}

Table director_purges(const Setup& setup) {
  Table table(setup.command, {"purges_per_s", "real_processor", "real_kb_per_s", "real_mb",
                              "simulated_processor", "simulated_mb"});
  for (const double rate : setup.sizes) {
    const Folder folder;
    Setup here = setup;
    here.processes = 1;
    here.rate = std::max(rate, 1.0);
    Source source(here, {.nodes = setup.nodes, .rate = rate});
    RealDirector real(here, folder, {.change_stream = source.address()}, 0);
    SimulatedDirectors some(here, source.address(), {.count = kSimulatedBeside});
    some.wait_ready();
    begin_purges(source, some);
    pause(setup.seconds);  // purges are kept for some seconds: until as many are dropped as come
    const double simulated = some.processor_s(), began = Scheduler::now();
    const ProcessUsage before = real.usage();
    const double bytes = source.report()["bytes"].get<double>();
    pause(setup.seconds);
    const double span = Scheduler::now() - began;
    const ProcessUsage after = real.usage();
    table.add({rate, (after.processor_s - before.processor_s) / span,
               (source.report()["bytes"].get<double>() - bytes) / span / (kSimulatedBeside + 1) / kKb,
               after.resident_mb, (some.processor_s() - simulated) / span / kSimulatedBeside,
               some.resident_mb() / kSimulatedBeside});
  }
  return table;
}

// --- the source, or a relay, by subscribers and by rate ---

struct StreamLoad {
  double directors = 0, rate = 0;
  bool relayed = false;
};

// What a server of the stream has done so far.
struct ServerUse {
  double processor_s = 0, writes = 0, bytes = 0, resident_mb = 0;
};
ServerUse use_of(Source& source) {
  const auto report = source.report();
  return {source.usage().processor_s, report["writes"].get<double>(), report["bytes"].get<double>(),
          source.usage().resident_mb};
}
ServerUse use_of(RelayProcess& relay) {
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

std::vector<double> play_stream(const Setup& setup, const StreamLoad& load) {
  Setup here = setup;
  here.rate = load.rate;
  const Folder folder;
  Source source(here, {.nodes = setup.nodes, .rate = load.rate});
  std::unique_ptr<RelayProcess> relay;
  if (load.relayed) {
    relay = std::make_unique<RelayProcess>(
        here, folder, RelayOptions{.listen = own_address(0), .sources = {source.address()}});
    wait_until("the relay's list", [&] { return relay->counters()["last"] >= 1; });
  }
  const auto use = [&] { return relay ? use_of(*relay) : use_of(source); };
  const ServerUse at_rest = use();
  SimulatedDirectors directors(here, relay ? relay->address() : source.address(),
                               {.count = static_cast<int>(load.directors), .compressed = load.relayed});
  const double ready = directors.wait_ready();
  const ServerUse started = use();
  begin_purges(source, directors);
  const ServerUse before = use();
  const double theirs = directors.processor_s(), began = Scheduler::now();
  pause(setup.seconds);
  const double span = Scheduler::now() - began;
  const ServerUse after = use();
  const double their_processor = (directors.processor_s() - theirs) / span / load.directors;
  const auto reports = directors.reports();
  const double told = sum(reports, "purges");
  const double issued = (source.report()["last"].get<double>() - 1) * load.directors;
  return {load.directors,
          load.rate,
          ready,
          started.processor_s - at_rest.processor_s,
          (started.bytes - at_rest.bytes) / kMb,
          (after.processor_s - before.processor_s) / span,
          (after.writes - before.writes) / span,
          (after.bytes - before.bytes) / span / kKb,
          told / issued,
          largest(reports, "p50_s"),
          largest(reports, "p99_s"),
          largest(reports, "most_s"),
          their_processor,
          after.resident_mb,
          directors.resident_mb() / load.directors};
}

Table by_subscribers(const Setup& setup, bool relayed) {
  Table table(setup.command, kStreamColumns);
  for (const double directors : setup.sizes) table.add(play_stream(setup, {directors, setup.rate, relayed}));
  return table;
}
Table by_rate(const Setup& setup, bool relayed) {
  Table table(setup.command, kStreamColumns);
  for (const double rate : setup.sizes) table.add(play_stream(setup, {kSteadySubscribers, rate, relayed}));
  return table;
}

// --- catch-up ---

// A director under load follows a stream with so many purges of the last hour, straight or by a relay.
std::vector<double> play_catch_up(const Setup& setup, double purges, bool relayed) {
  constexpr double kRequestsPerSecond = 400, kQuiet = 0.3, kLongest = 60;
  constexpr int kClients = 200;
  const Folder folder;
  Scheduler scheduler;
  const LiveNodes live(scheduler, kSmallBody);
  const std::string list = folder.write("list", list_with(live, setup.nodes));
  // A source without the backlog for the rest, then one with it: the director goes on behind the list.
  Source quiet(setup, {.nodes = setup.nodes, .list = list});
  RealDirector real(setup, folder, {.change_stream = quiet.address()}, 0);
  SteadyLoad load(scheduler, real.address(), kRequestsPerSecond, kClients);
  load.play(kWarmUp);
  const auto at_rest = load.play(setup.seconds);
  Source full(setup, {.nodes = setup.nodes,
                      .backlog = static_cast<long long>(purges),
                      .node_changes = kNodeChangesInBacklog,
                      .list = list});
  const auto last = full.report()["last"].get<std::uint64_t>();
  std::unique_ptr<RelayProcess> relay;
  if (relayed) {
    relay = std::make_unique<RelayProcess>(
        setup, folder, RelayOptions{.listen = own_address(0), .sources = {full.address()}});
    wait_until("the relay's backlog", [&] { return relay->counters()["last"] >= last; });
  }
  const auto server_use = [&] { return relay ? use_of(*relay) : use_of(full); };
  const ServerUse server_before = server_use();
  const std::uint64_t events_at_rest = real.counters()["events"];
  const ProcessUsage rest = real.usage();
  reset_peak(real.id());
  real.follow(relay ? relay->address() : full.address());
  const double began = Scheduler::now();
  double looked = began, changed = began;
  std::uint64_t events = events_at_rest;
  const auto meanwhile = load.play(kLongest, [&] {
    const double now = Scheduler::now();
    if (now - looked < kLookEvery) return false;
    looked = now;
    const std::uint64_t seen = std::max(events, real.counters_so_far()["events"]);
    if (seen > events) changed = now;
    events = seen;
    return events > events_at_rest && now - changed > kQuiet;
  });
  const ProcessUsage after = real.usage();
  const ServerUse server_after = server_use();
  return {purges,
          static_cast<double>(events - events_at_rest),
          (server_after.bytes - server_before.bytes) / kKb,
          changed - began,
          after.processor_s - rest.processor_s,
          rest.resident_mb,
          after.peak_mb,
          after.peak_mb - rest.resident_mb,
          server_after.processor_s - server_before.processor_s,
          relay ? relay->usage().peak_mb : full.usage().peak_mb,
          static_cast<double>(real.counters()["late_turns"]),
          percentile(at_rest, 0.99),
          percentile(meanwhile, 0.99)};
}

Table catch_up(const Setup& setup, bool relayed) {
  Table table(setup.command, {"purges", "events", "stream_kb", "caught_up_s", "director_processor_s",
                              "rest_mb", "peak_mb", "over_rest_mb", "server_processor_s", "server_peak_mb",
                              "late_turns", "p99_rest_s", "p99_meanwhile_s"});
  for (const double purges : setup.sizes) table.add(play_catch_up(setup, purges, relayed));
  return table;
}

// A region's directors together, from a cursor at the start.
Table catch_up_region(const Setup& setup, bool relayed) {
  Table table(setup.command, {"purges", "directors", "caught_up_s", "server_processor_s", "stream_mb",
                              "director_processor_s", "director_peak_mb", "server_peak_mb"});
  for (const double purges : setup.sizes) {
    const Folder folder;
    const auto last = static_cast<std::uint64_t>(purges) + 1;
    Source source(setup, {.nodes = setup.nodes, .backlog = static_cast<long long>(purges)});
    std::unique_ptr<RelayProcess> relay;
    if (relayed) {
      relay = std::make_unique<RelayProcess>(
          setup, folder, RelayOptions{.listen = own_address(0), .sources = {source.address()}});
      wait_until("the relay's backlog", [&] { return relay->counters()["last"] >= last; });
    }
    const ServerUse before = relay ? use_of(*relay) : use_of(source);
    SimulatedDirectors directors(
        setup, relay ? relay->address() : source.address(),
        {.count = kRegion, .until = static_cast<long long>(last), .compressed = relayed});
    const double ready = directors.wait_ready();
    const ServerUse after = relay ? use_of(*relay) : use_of(source);
    table.add({purges, kRegion, ready, after.processor_s - before.processor_s,
               (after.bytes - before.bytes) / kMb, directors.processor_s() / kRegion,
               directors.peak_mb() / kRegion, relay ? relay->usage().peak_mb : source.usage().peak_mb});
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
      const Folder folder;
      Scheduler scheduler;
      const LiveNodes live(scheduler, static_cast<std::size_t>(body_kb * kKb));
      const std::string list = folder.write("list", list_with(live, setup.nodes));
      Source source(setup, {.nodes = setup.nodes, .list = list});
      RealDirector real(setup, folder, {.change_stream = source.address(), .memory_mb = 192}, 0);
      SteadyLoad load(scheduler, real.address(), rate, kClients);
      load.play(kWarmUp);
      const ProcessUsage before = real.usage();
      const double began = Scheduler::now();
      const auto latencies = load.play(setup.seconds);
      const double span = Scheduler::now() - began;
      table.add({rate, body_kb, static_cast<double>(latencies.size()) / span,
                 (real.usage().processor_s - before.processor_s) / span, percentile(latencies, 0.5),
                 percentile(latencies, 0.99), real.usage().resident_mb,
                 static_cast<double>(load.not_asked())});
    }
  return table;
}

// --- a cold node ---

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
      {"director_nodes", "a director by the nodes it knows", {10, 100, 460, 1000, 2000}, director_nodes},
      {"director_purges", "a director by purges/s", {0, 50, 100, 250, 500, 1000}, director_purges},
      {"requests", "one director by requests/s", {195, 389, 778, 1556, 2334}, requests},
      {"source_subscribers", "the source by subscribers", kSubscribers, direct(by_subscribers)},
      {"source_rate", "the source by purges/s, 300 subscribers", kRates, direct(by_rate)},
      {"catch_up", "one director behind by so many purges, at the source", kBacklogs, direct(catch_up)},
      {"catch_up_region", "346 directors behind, at the source", kRegionBacklogs, direct(catch_up_region)},
      {"relay_subscribers", "a relay by subscribers", kSubscribers, relayed(by_subscribers)},
      {"relay_rate", "a relay by purges/s, 300 subscribers", kRates, relayed(by_rate)},
      {"relay_catch_up", "one director behind by so many purges, at a relay", kBacklogs, relayed(catch_up)},
      {"relay_catch_up_region", "346 directors behind, at a relay", kBacklogs, relayed(catch_up_region)},
      {"relay_faults", "two relays, simulated directors, a fault between them", all_faults(), relay_faults},
      {"cold_quota", "what an even split leaves a director", {4, 30, 300, 1000, 4500}, cold_quota}};
  return kMeasurements;
}

}  // namespace hareramp::capacity
