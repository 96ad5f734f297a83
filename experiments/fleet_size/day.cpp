#include "fleet_size/day.hpp"

#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <utility>

#include "capacity/usage.hpp"

namespace hareramp::fleet_size {

using transport::Scheduler;
using transport::Task;

namespace {

constexpr std::uint64_t kDirectorDescriptors = 512;
constexpr double kStartTimeout = 20.0;  // s
constexpr double kPollEvery = 0.05;     // s
constexpr double kDrainFor = 2.0;       // s that a node is listed as leaving
constexpr double kLastAnswersIn = 6.0;  // s after the last request
constexpr double kBytesPerKb = 1024.0;

// An address of its own in 127/8: no other socket's port can be in the way.
transport::Address free_address() {
  static int made = 0;
  const int process = getpid();
  const std::string text = fmt::format("127.{}.{}.{}:7000", 100 + process / 250 % 100, process % 250, ++made);
  return *transport::Address::parse(text);
}

std::string temporary_file() {
  std::string path = std::filesystem::temp_directory_path() / "hareramp-fleet-size-XXXXXX";
  const int file = mkstemp(path.data());
  if (file < 0) throw std::runtime_error("no file for the configuration");
  ::close(file);
  return path;
}

double open_descriptors(pid_t process) {
  std::error_code gone;
  const std::filesystem::directory_iterator entries(fmt::format("/proc/{}/fd", process), gone);
  return gone ? 0 : static_cast<double>(std::distance(begin(entries), end(entries)));
}

}  // namespace

Day::Day(Scheduler& scheduler, DayPlan plan)
    : scheduler_(scheduler),
      plan_(std::move(plan)),
      site_(plan_.nodes, plan_.growth),
      nodes_(scheduler, site_),
      changes_(scheduler),
      config_path_(temporary_file()),
      listen_(free_address()) {
  std::ofstream(config_path_) << site_.configuration(listen_.text(), changes_.address(), nodes_.port());
  const std::vector<std::string> words = {"serve", "--config", config_path_};
  director_ = std::make_unique<rig::Process>(plan_.program, words, std::map<std::string, std::string>{},
                                             kDirectorDescriptors);
  const double until = Scheduler::now() + kStartTimeout;
  while (!director_->has_printed("serving")) {
    if (director_->ended() || Scheduler::now() > until)
      throw std::runtime_error("the director does not serve: " + director_->printed());
    usleep(static_cast<useconds_t>(kPollEvery * 1e6));
  }
}

Day::~Day() {
  director_.reset();
  std::filesystem::remove(config_path_);
}

void Day::start() {
  traffic_ = std::make_unique<Traffic>(scheduler_, listen_, plan_.traffic);
  traffic_->start(Scheduler::now() + plan_.seconds);
  scheduler_.spawn(live(*this));
  scheduler_.spawn(change_nodes(*this));
  scheduler_.spawn(watch_descriptors(*this));
}

Task<> Day::live(Day& self) {
  co_await self.scheduler_.sleep_until(Scheduler::now() + self.plan_.seconds);
  self.traffic_over_ = true;
  const double until = Scheduler::now() + kLastAnswersIn;
  while (self.traffic_->open() > 0 && Scheduler::now() < until)
    co_await self.scheduler_.sleep_until(Scheduler::now() + kPollEvery);
  self.take_needs();
  self.over_ = true;
}

// Nodes leave and come back, one after the other through the whole fleet; none is told to have restarted.
Task<> Day::change_nodes(Day& self) {
  const int count = static_cast<int>(self.site_.nodes().size());
  const double pause = self.plan_.seconds_per_node_change / count;
  constexpr int kStride = 7;  // so that the zones take turns
  for (int change = 1; !self.traffic_over_; ++change) {
    co_await self.scheduler_.sleep_until(Scheduler::now() + pause);
    const int node = 1 + change * kStride % (count - 1);
    self.changes_.append_node_change(self.site_.entry(node, self.nodes_.port(), "leaving"));
    self.scheduler_.at(Scheduler::now() + kDrainFor, [&self, node] {
      self.changes_.append_node_change(self.site_.entry(node, self.nodes_.port(), "active"));
    });
  }
}

Task<> Day::watch_descriptors(Day& self) {
  while (!self.over_) {
    self.needs_.descriptors = std::max(self.needs_.descriptors, open_descriptors(self.director_->id()));
    co_await self.scheduler_.sleep_until(Scheduler::now() + kPollEvery);
  }
}

void Day::take_needs() {
  const capacity::ProcessUsage usage = capacity::usage_of(director_->id());
  const TrafficCounts& counts = traffic_->counts();
  needs_.cpu_s = usage.processor_s;
  needs_.peak_memory_mb = usage.peak_mb;
  needs_.connections = static_cast<double>(nodes_.use().connections);
  needs_.list_kb = static_cast<double>(changes_.bytes_written()) / kBytesPerKb;
  needs_.share_served =
      counts.asked > 0 ? static_cast<double>(counts.served) / static_cast<double>(counts.asked) : 0;
}

std::string Day::details() const {
  const TrafficCounts& counts = traffic_->counts();
  const NodeUse& use = nodes_.use();
  return fmt::format(
      "{}: {} nodes, {} caches in the own zone; asked {}, served {}, rejected {}, failed {}, no answer {}, "
      "not started {}; hits {}, fills {}, by the origin {}, looks in vain {}; nodes connected {}",
      plan_.name, plan_.nodes, site_.caches_in_own_zone(), counts.asked, counts.served, counts.rejected,
      counts.failed, counts.no_answer, counts.not_started, use.hits, use.fills, use.origin_fetches,
      use.lookups_absent, nodes_.nodes_connected());
}

}  // namespace hareramp::fleet_size
