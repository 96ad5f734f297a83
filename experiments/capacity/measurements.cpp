#include "capacity/measurements.hpp"

#include <fmt/format.h>
#include <signal.h>
#include <stdlib.h>
#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>

#include "capacity/cold_quota.hpp"
#include "capacity/simulated_director.hpp"
#include "capacity/stream_source.hpp"
#include "capacity/usage.hpp"
#include "rig/process.hpp"
#include "rig/world.hpp"
#include "transport/scheduler.hpp"

namespace hareramp::capacity {

using rig::Process;
using transport::Scheduler;

namespace {

constexpr double kLookEvery = 0.01;   // s
constexpr double kLongestWait = 300;  // s: only bounds what never comes
constexpr double kLongestAnswer = 5;  // s
constexpr double kSettle = 1.5;       // s, for what a start leaves behind
constexpr double kKb = 1024, kMb = kKb * kKb;
constexpr int kNoisyBeside = 20;      // simulated directors beside a real one
constexpr double kAfterSecond = 0.3;  // of a second: signals sent then meet the same whole second
constexpr int kNodeChangesInBacklog = 24;
constexpr double kObjectKb = 193;  // mean body of a request

void pause(double seconds) { usleep(static_cast<useconds_t>(seconds * 1e6)); }

void wait_until(const std::string& what, const std::function<bool()>& holds) {
  for (double waited = 0; !holds(); waited += kLookEvery) {
    if (waited > kLongestWait) throw std::runtime_error("waited too long for " + what);
    pause(kLookEvery);
  }
}

void wait_for_signal_time() {
  const double now = Scheduler::now(), fraction = now - std::floor(now);
  pause(fraction <= kAfterSecond ? kAfterSecond - fraction : 1 + kAfterSecond - fraction);
}

// The word behind the first mark in what a process has printed; waits for it.
std::string word_behind(const Process& process, const std::string& mark) {
  std::string word;
  wait_until(mark, [&] {
    const std::string text = process.printed();
    const auto at = text.find(mark);
    if (at == std::string::npos || text.find('\n', at) == std::string::npos) return false;
    std::istringstream(text.substr(at + mark.size())) >> word;
    return true;
  });
  return word;
}

// One more report of a child process.
nlohmann::json report(Process& process) {
  const auto count = [&] {
    const std::string text = process.printed();
    return std::count(text.begin(), text.end(), '}');
  };
  const auto before = count();
  process.send(SIGUSR2);
  wait_until("a report", [&] { return count() > before; });
  const std::string text = process.printed();
  const auto begin = text.rfind('{');
  return nlohmann::json::parse(text.substr(begin, text.rfind('}') - begin + 1));
}

class Folder {
 public:
  Folder() {
    path_ = std::filesystem::temp_directory_path() / "hareramp-capacity-XXXXXX";
    if (!mkdtemp(path_.data())) throw std::runtime_error("no folder for the experiment");
  }
  ~Folder() { std::filesystem::remove_all(path_); }
  std::string write(const std::string& name, const std::string& text) const {
    const std::string path = path_ + "/" + name;
    std::ofstream(path) << text;
    return path;
  }

 private:
  std::string path_;
};

struct SourceOptions {
  int nodes = 460;
  double rate = 0;
  long long backlog = 0;
  int node_changes = 0;
  std::string list = {};
};
class Source {
 public:
  Source(const Setup& setup, const SourceOptions& options)
      : process_(setup.self,
                 {"source", "--nodes", std::to_string(options.nodes), "--rate",
                  fmt::format("{}", options.rate), "--backlog", std::to_string(options.backlog),
                  "--node-changes", std::to_string(options.node_changes), "--list", options.list}),
        address_(word_behind(process_, "listening ")) {}
  const std::string& address() const { return address_; }
  Process& process() { return process_; }
  ProcessUsage usage() const { return usage_of(process_.id()); }

 private:
  Process process_;
  std::string address_;
};

// A real director, with the counters that it prints.
class RealDirector {
 public:
  RealDirector(const Setup& setup, const Folder& folder, DirectorPlan plan, int place)
      : folder_(folder),
        plan_(std::move(plan)),
        file_name_(fmt::format("director-{}.json", place)),
        listen_(fmt::format("127.201.{}.{}:7000", getpid() % 250 + 1, place + 1)) {
    plan_.listen = listen_;
    const std::string file = folder.write(file_name_, director_configuration(plan_));
    began_ = Scheduler::now();
    process_ = std::make_unique<Process>(setup.program, std::vector<std::string>{"serve", "--config", file});
    wait_until("a director that serves", [&] { return process_->has_printed("serving"); });
    ready_s_ = Scheduler::now() - began_;
  }
  transport::Address address() const { return *transport::Address::parse(listen_); }
  double ready_s() const { return ready_s_; }
  double age() const { return Scheduler::now() - began_; }
  ProcessUsage usage() const { return usage_of(process_->id()); }
  pid_t id() const { return process_->id(); }
  // Another change stream, by a new configuration and SIGHUP.
  void follow(const std::string& change_stream) {
    plan_.change_stream = change_stream;
    folder_.write(file_name_, director_configuration(plan_));
    process_->send(SIGHUP);
  }
  // Asks for the counters and returns those printed before, without waiting.
  std::map<std::string, std::uint64_t> counters_so_far() {
    process_->send(SIGUSR1);
    return process_->counters();
  }
  std::map<std::string, std::uint64_t> counters() {
    const auto count = [&] {
      const std::string text = process_->printed();
      std::size_t found = 0;
      for (auto at = text.find("counters "); at != std::string::npos; at = text.find("counters ", at + 1))
        ++found;
      return found;
    };
    const std::size_t before = count();
    process_->send(SIGUSR1);
    wait_until("counters", [&] { return count() > before; });
    pause(kLookEvery);  // the rest of the line
    return process_->counters();
  }

 private:
  const Folder& folder_;
  DirectorPlan plan_;
  std::string file_name_, listen_;
  double began_ = 0, ready_s_ = 0;
  std::unique_ptr<Process> process_;
};

// Simulated directors, shared out among processes.
class SimulatedDirectors {
 public:
  SimulatedDirectors(const Setup& setup, const std::string& source, int count, long long until = 1) {
    const int processes = std::clamp(setup.processes, 1, std::max(1, count / 10));
    for (int place = 0; place < processes; ++place) {
      const int here = count / processes + (place < count % processes ? 1 : 0);
      processes_.push_back(std::make_unique<Process>(
          setup.self,
          std::vector<std::string>{"directors", "--count", std::to_string(here), "--source", source, "--rate",
                                   fmt::format("{}", setup.rate), "--until", std::to_string(until)}));
    }
    count_ = count;
  }
  // Seconds until the last was ready.
  double wait_ready() {
    double slowest = 0;
    for (const auto& process : processes_)
      slowest = std::max(slowest, std::stod(word_behind(*process, "ready ")));
    return slowest;
  }
  void send(int signal) {
    for (const auto& process : processes_) process->send(signal);
  }
  double processor_s() const {
    double all = 0;
    for (const auto& process : processes_) all += usage_of(process->id()).processor_s;
    return all;
  }
  double resident_mb() const {
    double all = 0;
    for (const auto& process : processes_) all += usage_of(process->id()).resident_mb;
    return all;
  }
  double peak_mb() const {
    double all = 0;
    for (const auto& process : processes_) all += usage_of(process->id()).peak_mb;
    return all;
  }
  int count() const { return count_; }
  std::vector<nlohmann::json> reports() {
    std::vector<nlohmann::json> all;
    for (const auto& process : processes_) all.push_back(report(*process));
    return all;
  }

 private:
  int count_ = 0;
  std::vector<std::unique_ptr<Process>> processes_;
};

double largest(const std::vector<nlohmann::json>& reports, const char* name) {
  double most = 0;
  for (const auto& one : reports) most = std::max(most, one.at(name).get<double>());
  return most;
}
double sum(const std::vector<nlohmann::json>& reports, const char* name) {
  double all = 0;
  for (const auto& one : reports) all += one.at(name).get<double>();
  return all;
}

// Begins the purges at the source, and the watch for them.
void begin(Source& source, SimulatedDirectors& directors) {
  wait_for_signal_time();
  directors.send(SIGUSR1);
  source.process().send(SIGUSR1);
  pause(2);
}

// --- one director ---

Table director_nodes(const Setup& setup) {
  Table table(setup.command, {"nodes", "real_mb", "real_ready_s", "real_start_processor_s", "stream_kb",
                              "simulated_mb", "simulated_start_processor_s"});
  for (const double nodes : setup.sizes) {
    const Folder folder;
    Source source(setup, {.nodes = static_cast<int>(nodes)});
    RealDirector real(setup, folder, {.change_stream = source.address()}, 0);
    wait_until("the list",
               [&] { return real.counters()["nodes"] >= nodes || real.counters()["events"] >= 1; });
    const double ready = real.age();
    pause(kSettle);
    const ProcessUsage usage = real.usage();
    const double bytes = report(source.process())["bytes"].get<double>();
    Setup one_process = setup;
    one_process.processes = 1;
    const SimulatedDirectors none_here(one_process, source.address(), 0);
    SimulatedDirectors some(one_process, source.address(), kNoisyBeside);
    some.wait_ready();
    pause(kSettle);
    table.add({nodes, usage.resident_mb, ready, usage.processor_s, bytes / kKb,
               (some.resident_mb() - none_here.resident_mb()) / kNoisyBeside,
               (some.processor_s() - none_here.processor_s()) / kNoisyBeside});
  }
  return table;
}

Table director_purges(const Setup& setup) {
  Table table(setup.command, {"purges_per_s", "real_processor", "real_kb_per_s", "real_mb",
                              "simulated_processor", "simulated_mb"});
  for (const double rate : setup.sizes) {
    const Folder folder;
    Setup here = setup;
    here.processes = 1, here.rate = std::max(rate, 1.0);
    Source source(here, {.nodes = setup.nodes, .rate = rate});
    RealDirector real(here, folder, {.change_stream = source.address()}, 0);
    SimulatedDirectors some(here, source.address(), kNoisyBeside);
    some.wait_ready();
    begin(source, some);
    pause(setup.seconds);  // purges are kept for some seconds: until as many are dropped as come
    const double simulated = some.processor_s(), began = Scheduler::now();
    const ProcessUsage before = real.usage();
    const double bytes = report(source.process())["bytes"].get<double>();
    pause(setup.seconds);
    const double span = Scheduler::now() - began;
    const ProcessUsage after = real.usage();
    table.add({rate, (after.processor_s - before.processor_s) / span,
               (report(source.process())["bytes"].get<double>() - bytes) / span / (kNoisyBeside + 1) / kKb,
               after.resident_mb, (some.processor_s() - simulated) / span / kNoisyBeside,
               some.resident_mb() / kNoisyBeside});
  }
  return table;
}

// --- the source ---

struct Load {
  double directors = 0, rate = 0;
};
std::vector<double> play_stream(const Setup& setup, const Load& load) {
  Setup here = setup;
  here.rate = load.rate;
  Source source(here, {.nodes = setup.nodes, .rate = load.rate});
  SimulatedDirectors directors(here, source.address(), static_cast<int>(load.directors));
  const double ready = directors.wait_ready();
  const double start_processor = source.usage().processor_s;
  const double start_mb = report(source.process())["bytes"].get<double>() / kMb;
  begin(source, directors);
  const auto at_begin = report(source.process());
  const double processor = source.usage().processor_s, theirs = directors.processor_s();
  const double began = Scheduler::now();
  pause(setup.seconds);
  const double span = Scheduler::now() - began;
  const double spent = source.usage().processor_s - processor;
  const double their_processor = (directors.processor_s() - theirs) / span / load.directors;
  const auto at_end = report(source.process());
  const auto reports = directors.reports();
  const double issued = load.rate * span * load.directors;
  const double delivered = sum(reports, "measured");
  return {load.directors,
          load.rate,
          ready,
          start_processor,
          start_mb,
          spent / span,
          (at_end["writes"].get<double>() - at_begin["writes"].get<double>()) / span,
          (at_end["bytes"].get<double>() - at_begin["bytes"].get<double>()) / span / kKb,
          std::min(1.0, delivered / issued),
          largest(reports, "p50_s"),
          largest(reports, "p99_s"),
          largest(reports, "most_s"),
          their_processor,
          source.usage().resident_mb,
          directors.resident_mb() / load.directors};
}
const std::vector<std::string> kStreamColumns = {"subscribers",
                                                 "purges_per_s",
                                                 "ready_s",
                                                 "start_source_processor_s",
                                                 "start_mb",
                                                 "source_processor",
                                                 "writes_per_s",
                                                 "kb_per_s",
                                                 "delivered_share",
                                                 "p50_s",
                                                 "p99_s",
                                                 "most_s",
                                                 "director_processor",
                                                 "source_mb",
                                                 "director_mb"};

Table source_subscribers(const Setup& setup) {
  Table table(setup.command, kStreamColumns);
  for (const double directors : setup.sizes) table.add(play_stream(setup, {directors, setup.rate}));
  return table;
}
Table source_rate(const Setup& setup) {
  Table table(setup.command, kStreamColumns);
  for (const double rate : setup.sizes) table.add(play_stream(setup, {300, rate}));
  return table;
}

// --- catch-up ---

// Stand-in caches and clients with a steady load on one director, for latencies meanwhile.
class SteadyLoad {
 public:
  SteadyLoad(Scheduler& scheduler, transport::Address director, double rate, int clients)
      : scheduler_(scheduler), rate_(rate) {
    const auto from = *transport::Address::parse("127.0.0.1:0");
    for (int number = 0; number < clients; ++number)
      clients_.push_back(std::make_unique<rig::Client>(scheduler, director, from, "segment", false,
                                                       rig::Reading{}, static_cast<std::uint64_t>(number)));
  }
  // Plays until something holds or the time is over; returns the latencies in that time, sorted.
  std::vector<double> play(double seconds, const std::function<bool()>& over = {}) {
    for (auto& client : clients_) client->latencies().clear();
    scheduler_.spawn(arrivals(*this, Scheduler::now() + seconds, over));
    scheduler_.run();
    std::vector<double> all;
    for (auto& client : clients_)
      all.insert(all.end(), client->latencies().begin(), client->latencies().end());
    std::sort(all.begin(), all.end());
    return all;
  }
  std::uint64_t not_asked() const { return not_asked_; }

 private:
  static transport::Task<> arrivals(SteadyLoad& self, double until, std::function<bool()> over) {
    double due = Scheduler::now();
    while (due < until && !(over && over())) {
      due += 1 / self.rate_;
      co_await self.scheduler_.sleep_until(due);
      const auto free = std::find_if(self.clients_.begin(), self.clients_.end(),
                                     [](const auto& client) { return !client->busy(); });
      if (free == self.clients_.end())
        ++self.not_asked_;
      else
        (*free)->pull(due);
    }
    const double most = Scheduler::now() + kLongestAnswer;
    const auto busy = [](const auto& client) { return client->busy(); };
    while (Scheduler::now() < most && std::any_of(self.clients_.begin(), self.clients_.end(), busy))
      co_await self.scheduler_.sleep_until(Scheduler::now() + kLookEvery);
    self.scheduler_.stop();
  }
  Scheduler& scheduler_;
  double rate_;
  std::uint64_t not_asked_ = 0;
  std::vector<std::unique_ptr<rig::Client>> clients_;
};

double percentile(const std::vector<double>& sorted, double share) {
  if (sorted.empty()) return 0;
  return sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))];
}

// Nodes that answer, as entries of the list.
struct LiveNodes {
  LiveNodes(Scheduler& scheduler, std::size_t body_bytes) {
    for (int number = 0; number < 4; ++number)
      nodes.push_back(std::make_unique<rig::Node>(
          scheduler, std::map<std::string, std::size_t>{{"segment", body_bytes}, {"note", 100}},
          rig::NodeWays{}, number + 1));
    for (std::size_t number = 0; number < nodes.size(); ++number)
      entries += fmt::format(
          R"({}{{"id":"live-{}","addr":"{}","zone":"edge","kind":"{}","cell":0,"state":"active","weight":200,"started_ms":0}})",
          number > 0 ? "," : "", number, nodes[number]->address().text(), number == 0 ? "origin" : "cache");
  }
  std::vector<std::unique_ptr<rig::Node>> nodes;
  std::string entries;
};

Table catch_up(const Setup& setup) {
  Table table(setup.command,
              {"purges", "stream_kb", "caught_up_s", "director_processor_s", "rest_mb", "peak_mb",
               "over_rest_mb", "source_peak_mb", "late_turns", "p99_rest_s", "p99_meanwhile_s"});
  constexpr double kRequestsPerSecond = 400;
  for (const double purges : setup.sizes) {
    const Folder folder;
    Scheduler scheduler;
    LiveNodes live(scheduler, 4096);
    const std::string list = folder.write(
        "list", live.entries + "," + node_entries(setup.nodes - static_cast<int>(live.nodes.size())));
    // A source without the backlog for the rest, then one with it: the director goes on behind the list.
    Source quiet(setup, {.nodes = setup.nodes, .list = list});
    RealDirector real(setup, folder, {.change_stream = quiet.address()}, 0);
    SteadyLoad load(scheduler, real.address(), kRequestsPerSecond, 200);
    load.play(2);
    const auto at_rest = load.play(setup.seconds);
    const ProcessUsage rest = real.usage();
    Source full(setup, {.nodes = setup.nodes,
                        .backlog = static_cast<long long>(purges),
                        .node_changes = kNodeChangesInBacklog,
                        .list = list});
    const double events = report(full.process())["last"].get<double>();
    reset_peak(real.id());
    const double began = Scheduler::now();
    double caught_up = 0;
    real.follow(full.address());
    double looked = 0;
    const auto meanwhile = load.play(kLongestWait, [&] {
      if (Scheduler::now() - looked < kLookEvery) return false;
      looked = Scheduler::now();
      if (static_cast<double>(real.counters_so_far()["events"]) < events) return false;
      caught_up = Scheduler::now() - began;
      return true;
    });
    const ProcessUsage after = real.usage();
    table.add({purges, report(full.process())["bytes"].get<double>() / kKb, caught_up,
               after.processor_s - rest.processor_s, rest.resident_mb, after.peak_mb,
               after.peak_mb - rest.resident_mb, full.usage().peak_mb,
               static_cast<double>(real.counters()["late_turns"]), percentile(at_rest, 0.99),
               percentile(meanwhile, 0.99)});
  }
  return table;
}

// A region's directors together, from a cursor at the start.
Table catch_up_region(const Setup& setup) {
  Table table(setup.command, {"purges", "directors", "caught_up_s", "source_processor_s", "stream_mb",
                              "director_processor_s", "director_peak_mb"});
  constexpr int kRegion = 346;  // of 4,500 directors in 13 regions
  for (const double purges : setup.sizes) {
    Source source(setup, {.nodes = setup.nodes, .backlog = static_cast<long long>(purges)});
    SimulatedDirectors directors(setup, source.address(), kRegion, static_cast<long long>(purges) + 1);
    const double ready = directors.wait_ready();
    table.add({purges, kRegion, ready, source.usage().processor_s,
               report(source.process())["bytes"].get<double>() / kMb, directors.processor_s() / kRegion,
               directors.peak_mb() / kRegion});
  }
  return table;
}

// --- requests ---

Table requests(const Setup& setup) {
  Table table(setup.command, {"requests_per_s", "body_kb", "answered_per_s", "director_processor", "p50_s",
                              "p99_s", "director_mb", "not_asked"});
  for (const double body_kb : {1.0, kObjectKb})
    for (const double rate : setup.sizes) {
      const Folder folder;
      Scheduler scheduler;
      LiveNodes live(scheduler, static_cast<std::size_t>(body_kb * kKb));
      const std::string list = folder.write(
          "list", live.entries + "," + node_entries(setup.nodes - static_cast<int>(live.nodes.size())));
      Source source(setup, {.nodes = setup.nodes, .list = list});
      RealDirector real(setup, folder, {.change_stream = source.address(), .memory_mb = 192}, 0);
      SteadyLoad load(scheduler, real.address(), rate, 300);
      load.play(2);
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
  static const std::vector<Measurement> kMeasurements = {
      {"director_nodes", "a director by the nodes it knows", {10, 100, 460, 1000, 2000}, director_nodes},
      {"director_purges", "a director by purges/s", {0, 50, 100, 250, 500, 1000}, director_purges},
      {"source_subscribers",
       "the source by subscribers",
       {1, 100, 300, 1000, 2000, 4500},
       source_subscribers},
      {"source_rate", "the source by purges/s, 300 subscribers", {10, 25, 50, 100, 200}, source_rate},
      {"catch_up", "one director behind by so many purges", {22500, 45000, 90000, 180000, 360000}, catch_up},
      {"catch_up_region",
       "346 directors behind by so many purges",
       {2000, 4000, 8000, 16000},
       catch_up_region},
      {"requests", "one director by requests/s", {195, 389, 778, 1556, 2334}, requests},
      {"cold_quota", "what an even split leaves a director", {4, 30, 300, 1000, 4500}, cold_quota}};
  return kMeasurements;
}

}  // namespace hareramp::capacity
