#include "capacity/children.hpp"

#include <fmt/format.h>
#include <signal.h>
#include <stdlib.h>
#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

#include "transport/scheduler.hpp"

namespace hareramp::capacity {

using rig::Process;
using transport::Scheduler;

namespace {

constexpr double kPollInterval = 0.01;  // s
constexpr double kWaitTimeout = 300;    // s; ends a wait for an event that never occurs
// s after a whole second. Child processes begin at a whole second computed from when they receive the signal;
// signals sent at this offset are all received within the same second.
constexpr double kSignalOffset = 0.3;
constexpr double kBeginDelay = 2;  // s from the signal until every child process has begun
constexpr int kMinDirectorsPerProcess = 10;

void wait_for_signal_offset() {
  const double now = Scheduler::now(), fraction = now - std::floor(now);
  pause(fraction <= kSignalOffset ? kSignalOffset - fraction : 1 + kSignalOffset - fraction);
}

// Waits until the process has printed a line with the prefix; returns the word after its first occurrence.
std::string word_after(const Process& process, const std::string& prefix) {
  std::string word;
  wait_until(prefix, [&] {
    const std::string text = process.printed();
    const auto at = text.find(prefix);
    if (at == std::string::npos || text.find('\n', at) == std::string::npos) return false;
    std::istringstream(text.substr(at + prefix.size())) >> word;
    return true;
  });
  return word;
}

std::size_t occurrences(const std::string& text, const std::string& pattern) {
  std::size_t count = 0;
  for (auto at = text.find(pattern); at != std::string::npos; at = text.find(pattern, at + 1)) ++count;
  return count;
}

// Requests a report from a child process of this program and waits for it.
nlohmann::json next_report(Process& process) {
  const std::size_t before = occurrences(process.printed(), "}\n");
  process.send(SIGUSR2);
  wait_until("a report of a child process", [&] { return occurrences(process.printed(), "}\n") > before; });
  const std::string text = process.printed();
  const auto begin = text.rfind('{');
  return nlohmann::json::parse(text.substr(begin, text.rfind('}') - begin + 1));
}

// Requests a line of counters from a hareramp process and waits for it.
PrintedCounters next_counters(Process& process) {
  const std::size_t before = occurrences(process.printed(), "counters ");
  process.send(SIGUSR1);
  wait_until("the counters of a child process", [&] {
    const std::string text = process.printed();
    return occurrences(text, "counters ") > before && text.ends_with('\n');
  });
  return process.counters();
}

}  // namespace

void pause(double seconds) { usleep(static_cast<useconds_t>(seconds * 1e6)); }

void wait_until(const std::string& description, const std::function<bool()>& condition) {
  const double deadline = Scheduler::now() + kWaitTimeout;
  while (!condition()) {
    if (Scheduler::now() > deadline) throw std::runtime_error("timed out waiting for " + description);
    pause(kPollInterval);
  }
}

TemporaryDirectory::TemporaryDirectory() {
  path_ = std::filesystem::temp_directory_path() / "hareramp-capacity-XXXXXX";
  if (!mkdtemp(path_.data()))
    throw std::runtime_error("can't create a temporary directory for the experiment");
}
TemporaryDirectory::~TemporaryDirectory() { std::filesystem::remove_all(path_); }

std::string TemporaryDirectory::write(const std::string& name, const std::string& text) const {
  std::string path = path_ + "/" + name;
  std::ofstream(path) << text;
  return path;
}

std::string loopback_address(int index) {
  return fmt::format("127.{}.{}.{}:7301", 1 + getpid() / 250 % 250, getpid() % 250, index + 1);
}

SourceProcess::SourceProcess(const Setup& setup, const SourceOptions& options)
    : process_(setup.self,
               [&] {
                 std::vector<std::string> arguments = {"source",
                                                       "--nodes",
                                                       std::to_string(options.nodes),
                                                       "--rate",
                                                       fmt::format("{}", options.rate),
                                                       "--backlog",
                                                       std::to_string(options.backlog),
                                                       "--node-changes",
                                                       std::to_string(options.node_changes),
                                                       "--first-purge",
                                                       std::to_string(options.first_purge),
                                                       "--listen",
                                                       options.listen,
                                                       "--list",
                                                       options.list};
                 if (options.backlog_later) arguments.push_back("--backlog-later");
                 return arguments;
               }()),
      address_(word_after(process_, "listening ")) {}

nlohmann::json SourceProcess::report() { return next_report(process_); }

RelayProcess::RelayProcess(const Setup& setup, const TemporaryDirectory& folder, const RelayOptions& options)
    : address_(options.listen) {
  std::string sources;
  for (const std::string& source : options.sources)
    sources += fmt::format("{}\"{}\"", sources.empty() ? "" : ",", source);
  std::string name = "relay-" + options.listen;
  std::replace(name.begin(), name.end(), ':', '-');
  const std::string file = folder.write(
      name,
      fmt::format(R"({{"relay":{{"enabled":true,"listen":"{}","sources":[{}],"compressed":{},"window_kb":{},)"
                  R"("subscribers_most":{}}}}})",
                  options.listen, sources, options.compressed, options.window_kb, options.max_subscribers));
  process_ = std::make_unique<Process>(setup.program, std::vector<std::string>{"relay", "--operator", file});
  wait_until("a relay to start serving", [&] { return process_->has_printed("serving the change stream"); });
}

PrintedCounters RelayProcess::counters() { return next_counters(*process_); }

RealDirector::RealDirector(const Setup& setup, const TemporaryDirectory& folder,
                           DirectorParameters parameters, int index)
    : folder_(folder),
      parameters_(std::move(parameters)),
      file_name_(fmt::format("director-{}.json", index)) {
  parameters_.listen = fmt::format("127.201.{}.{}:7000", getpid() % 250 + 1, index + 1);
  const std::string file = folder.write(file_name_, director_configuration(parameters_));
  started_at_ = Scheduler::now();
  process_ = std::make_unique<Process>(setup.program, std::vector<std::string>{"serve", "--config", file});
  wait_until("a director to start serving", [&] { return process_->has_printed("serving"); });
}

double RealDirector::uptime() const { return Scheduler::now() - started_at_; }

void RealDirector::switch_change_stream(const std::string& change_stream) {
  parameters_.change_stream = change_stream;
  folder_.write(file_name_, director_configuration(parameters_));
  process_->send(SIGHUP);
}

PrintedCounters RealDirector::last_printed_counters() {
  process_->send(SIGUSR1);
  return process_->counters();
}
PrintedCounters RealDirector::counters() { return next_counters(*process_); }

SimulatedDirectors::SimulatedDirectors(const Setup& setup, const std::string& source,
                                       const DirectorsOptions& options) {
  const int processes = std::clamp(setup.processes, 1, std::max(1, options.count / kMinDirectorsPerProcess));
  for (int index = 0; index < processes; ++index) {
    const int director_count = options.count / processes + (index < options.count % processes ? 1 : 0);
    std::vector<std::string> arguments = {"directors",
                                          "--count",
                                          std::to_string(director_count),
                                          "--source",
                                          source,
                                          "--rate",
                                          fmt::format("{}", setup.rate),
                                          "--until",
                                          std::to_string(options.until),
                                          "--spread",
                                          fmt::format("{}", options.spread_s)};
    if (options.compressed) arguments.push_back("--compressed");
    processes_.push_back(std::make_unique<Process>(setup.self, arguments));
  }
}

double SimulatedDirectors::wait_ready() {
  double slowest = 0;
  for (const auto& process : processes_)
    slowest = std::max(slowest, std::stod(word_after(*process, "ready ")));
  return slowest;
}

void SimulatedDirectors::send(int signal) {
  for (const auto& process : processes_) process->send(signal);
}

double SimulatedDirectors::processor_s() const {
  double total = 0;
  for (const auto& process : processes_) total += usage_of(process->id()).processor_s;
  return total;
}
double SimulatedDirectors::resident_mb() const {
  double total = 0;
  for (const auto& process : processes_) total += usage_of(process->id()).resident_mb;
  return total;
}
double SimulatedDirectors::peak_mb() const {
  double total = 0;
  for (const auto& process : processes_) total += usage_of(process->id()).peak_mb;
  return total;
}
std::vector<nlohmann::json> SimulatedDirectors::reports() {
  std::vector<nlohmann::json> all_reports;
  for (const auto& process : processes_) all_reports.push_back(next_report(*process));
  return all_reports;
}

double largest(const std::vector<nlohmann::json>& reports, const char* name) {
  double maximum = 0;
  for (const auto& report : reports) maximum = std::max(maximum, report.at(name).get<double>());
  return maximum;
}
double sum(const std::vector<nlohmann::json>& reports, const char* name) {
  double total = 0;
  for (const auto& report : reports) total += report.at(name).get<double>();
  return total;
}

void begin_purges(SourceProcess& source, SimulatedDirectors& directors) {
  wait_for_signal_offset();
  directors.send(SIGUSR1);
  source.process().send(SIGUSR1);
  pause(kBeginDelay);
}

}  // namespace hareramp::capacity
