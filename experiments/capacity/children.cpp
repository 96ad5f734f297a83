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

constexpr double kLookEvery = 0.01;   // s
constexpr double kLongestWait = 300;  // s: only bounds what never comes
constexpr double kAfterSecond = 0.3;  // of a second: signals sent then meet the same whole second
constexpr double kUntilBegun = 2;     // s from the signal
constexpr int kDirectorsEach = 10;    // fewer than that are not shared out

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

std::size_t occurrences(const std::string& text, const std::string& words) {
  std::size_t found = 0;
  for (auto at = text.find(words); at != std::string::npos; at = text.find(words, at + 1)) ++found;
  return found;
}

// One more report of a child process of this program.
nlohmann::json next_report(Process& process) {
  const std::size_t before = occurrences(process.printed(), "}\n");
  process.send(SIGUSR2);
  wait_until("a report", [&] { return occurrences(process.printed(), "}\n") > before; });
  const std::string text = process.printed();
  const auto begin = text.rfind('{');
  return nlohmann::json::parse(text.substr(begin, text.rfind('}') - begin + 1));
}

// One more line of counters of a process of hareramp.
PrintedCounters next_counters(Process& process) {
  const std::size_t before = occurrences(process.printed(), "counters ");
  process.send(SIGUSR1);
  wait_until("counters", [&] {
    const std::string text = process.printed();
    return occurrences(text, "counters ") > before && text.ends_with('\n');
  });
  return process.counters();
}

}  // namespace

void pause(double seconds) { usleep(static_cast<useconds_t>(seconds * 1e6)); }

void wait_until(const std::string& what, const std::function<bool()>& holds) {
  const double most = Scheduler::now() + kLongestWait;
  while (!holds()) {
    if (Scheduler::now() > most) throw std::runtime_error("waited too long for " + what);
    pause(kLookEvery);
  }
}

Folder::Folder() {
  path_ = std::filesystem::temp_directory_path() / "hareramp-capacity-XXXXXX";
  if (!mkdtemp(path_.data())) throw std::runtime_error("no folder for the experiment");
}
Folder::~Folder() { std::filesystem::remove_all(path_); }

std::string Folder::write(const std::string& name, const std::string& text) const {
  std::string path = path_ + "/" + name;
  std::ofstream(path) << text;
  return path;
}

std::string own_address(int place) {
  return fmt::format("127.{}.{}.{}:7301", 1 + getpid() / 250 % 250, getpid() % 250, place + 1);
}

Source::Source(const Setup& setup, const SourceOptions& options)
    : process_(setup.self,
               [&] {
                 std::vector<std::string> words = {"source",
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
                 if (options.backlog_later) words.push_back("--backlog-later");
                 return words;
               }()),
      address_(word_behind(process_, "listening ")) {}

nlohmann::json Source::report() { return next_report(process_); }

RelayProcess::RelayProcess(const Setup& setup, const Folder& folder, const RelayOptions& options)
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
                  options.listen, sources, options.compressed, options.window_kb, options.subscribers_most));
  process_ = std::make_unique<Process>(setup.program, std::vector<std::string>{"relay", "--operator", file});
  wait_until("a relay that serves", [&] { return process_->has_printed("serving the change stream"); });
}

PrintedCounters RelayProcess::counters() { return next_counters(*process_); }

RealDirector::RealDirector(const Setup& setup, const Folder& folder, DirectorPlan plan, int place)
    : folder_(folder), plan_(std::move(plan)), file_name_(fmt::format("director-{}.json", place)) {
  plan_.listen = fmt::format("127.201.{}.{}:7000", getpid() % 250 + 1, place + 1);
  const std::string file = folder.write(file_name_, director_configuration(plan_));
  began_ = Scheduler::now();
  process_ = std::make_unique<Process>(setup.program, std::vector<std::string>{"serve", "--config", file});
  wait_until("a director that serves", [&] { return process_->has_printed("serving"); });
}

double RealDirector::age() const { return Scheduler::now() - began_; }

void RealDirector::follow(const std::string& change_stream) {
  plan_.change_stream = change_stream;
  folder_.write(file_name_, director_configuration(plan_));
  process_->send(SIGHUP);
}

PrintedCounters RealDirector::counters_so_far() {
  process_->send(SIGUSR1);
  return process_->counters();
}
PrintedCounters RealDirector::counters() { return next_counters(*process_); }

SimulatedDirectors::SimulatedDirectors(const Setup& setup, const std::string& source,
                                       const DirectorsOptions& options) {
  const int processes = std::clamp(setup.processes, 1, std::max(1, options.count / kDirectorsEach));
  for (int place = 0; place < processes; ++place) {
    const int here = options.count / processes + (place < options.count % processes ? 1 : 0);
    std::vector<std::string> words = {"directors",
                                      "--count",
                                      std::to_string(here),
                                      "--source",
                                      source,
                                      "--rate",
                                      fmt::format("{}", setup.rate),
                                      "--until",
                                      std::to_string(options.until),
                                      "--spread",
                                      fmt::format("{}", options.spread_s)};
    if (options.compressed) words.push_back("--compressed");
    processes_.push_back(std::make_unique<Process>(setup.self, words));
  }
}

double SimulatedDirectors::wait_ready() {
  double slowest = 0;
  for (const auto& process : processes_)
    slowest = std::max(slowest, std::stod(word_behind(*process, "ready ")));
  return slowest;
}

void SimulatedDirectors::send(int signal) {
  for (const auto& process : processes_) process->send(signal);
}

double SimulatedDirectors::processor_s() const {
  double all = 0;
  for (const auto& process : processes_) all += usage_of(process->id()).processor_s;
  return all;
}
double SimulatedDirectors::resident_mb() const {
  double all = 0;
  for (const auto& process : processes_) all += usage_of(process->id()).resident_mb;
  return all;
}
double SimulatedDirectors::peak_mb() const {
  double all = 0;
  for (const auto& process : processes_) all += usage_of(process->id()).peak_mb;
  return all;
}
std::vector<nlohmann::json> SimulatedDirectors::reports() {
  std::vector<nlohmann::json> all;
  for (const auto& process : processes_) all.push_back(next_report(*process));
  return all;
}

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

void begin_purges(Source& source, SimulatedDirectors& directors) {
  wait_for_signal_time();
  directors.send(SIGUSR1);
  source.process().send(SIGUSR1);
  pause(kUntilBegun);
}

}  // namespace hareramp::capacity
