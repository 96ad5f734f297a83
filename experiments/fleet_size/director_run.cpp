#include "fleet_size/director_run.hpp"

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
constexpr double kStartTimeout = 20.0;       // s
constexpr double kPollInterval = 0.05;       // s
constexpr double kDrainDuration = 2.0;       // s for which a node is listed as leaving
constexpr double kLastAnswersTimeout = 6.0;  // s after the last request
constexpr double kBytesPerKb = 1024.0;

// Each director listens at its own address in 127/8, so that no other socket holds its port.
transport::Address next_listen_address() {
  static int addresses_used = 0;
  const int process = getpid();
  const std::string text =
      fmt::format("127.{}.{}.{}:7000", 100 + process / 250 % 100, process % 250, ++addresses_used);
  return *transport::Address::parse(text);
}

std::string temporary_file() {
  std::string path = std::filesystem::temp_directory_path() / "hareramp-fleet-size-XXXXXX";
  const int file = mkstemp(path.data());
  if (file < 0) throw std::runtime_error("can't create a temporary file for the configuration");
  ::close(file);
  return path;
}

double open_descriptors(pid_t process) {
  std::error_code error;
  const std::filesystem::directory_iterator entries(fmt::format("/proc/{}/fd", process), error);
  return error ? 0 : static_cast<double>(std::distance(begin(entries), end(entries)));
}

}  // namespace

DirectorRun::DirectorRun(Scheduler& scheduler, RunPlan plan)
    : scheduler_(scheduler),
      plan_(std::move(plan)),
      site_(plan_.nodes, plan_.growth),
      nodes_(scheduler, site_),
      changes_(scheduler),
      config_path_(temporary_file()),
      listen_(next_listen_address()) {
  std::ofstream(config_path_) << site_.configuration(listen_.text(), changes_.address(), nodes_.port());
  const std::vector<std::string> arguments = {"serve", "--config", config_path_};
  director_ = std::make_unique<rig::Process>(plan_.program, arguments, std::map<std::string, std::string>{},
                                             kDirectorDescriptors);
  const double until = Scheduler::now() + kStartTimeout;
  while (!director_->has_printed("serving")) {
    if (director_->ended() || Scheduler::now() > until)
      throw std::runtime_error("the director did not start serving: " + director_->printed());
    usleep(static_cast<useconds_t>(kPollInterval * 1e6));
  }
}

DirectorRun::~DirectorRun() {
  director_.reset();
  std::filesystem::remove(config_path_);
}

void DirectorRun::start() {
  traffic_ = std::make_unique<Traffic>(scheduler_, listen_, plan_.traffic);
  traffic_->start(Scheduler::now() + plan_.seconds);
  scheduler_.spawn(run_traffic(*this));
  scheduler_.spawn(publish_node_changes(*this));
  scheduler_.spawn(sample_descriptors(*this));
}

Task<> DirectorRun::run_traffic(DirectorRun& self) {
  co_await self.scheduler_.sleep_until(Scheduler::now() + self.plan_.seconds);
  self.traffic_ended_ = true;
  const double until = Scheduler::now() + kLastAnswersTimeout;
  while (self.traffic_->open() > 0 && Scheduler::now() < until)
    co_await self.scheduler_.sleep_until(Scheduler::now() + kPollInterval);
  self.record_resource_use();
  self.finished_ = true;
}

// The nodes of the whole fleet leave and return one after another. Their start time stays the same, so that
// directors do not take them for restarted.
Task<> DirectorRun::publish_node_changes(DirectorRun& self) {
  const int count = static_cast<int>(self.site_.nodes().size());
  const double pause = self.plan_.seconds_per_node_change / count;
  constexpr int kStride = 7;  // so that successive changes are in different zones
  for (int change = 1; !self.traffic_ended_; ++change) {
    co_await self.scheduler_.sleep_until(Scheduler::now() + pause);
    const int node = 1 + change * kStride % (count - 1);
    self.changes_.append_node_change(self.site_.entry(node, self.nodes_.port(), "leaving"));
    self.scheduler_.at(Scheduler::now() + kDrainDuration, [&self, node] {
      self.changes_.append_node_change(self.site_.entry(node, self.nodes_.port(), "active"));
    });
  }
}

Task<> DirectorRun::sample_descriptors(DirectorRun& self) {
  while (!self.finished_) {
    self.resource_use_.descriptors =
        std::max(self.resource_use_.descriptors, open_descriptors(self.director_->id()));
    co_await self.scheduler_.sleep_until(Scheduler::now() + kPollInterval);
  }
}

void DirectorRun::record_resource_use() {
  const capacity::ProcessUsage usage = capacity::usage_of(director_->id());
  const TrafficCounts& counts = traffic_->counts();
  resource_use_.cpu_s = usage.processor_s;
  resource_use_.peak_memory_mb = usage.peak_mb;
  resource_use_.connections = static_cast<double>(nodes_.use().connections);
  resource_use_.list_kb = static_cast<double>(changes_.bytes_written()) / kBytesPerKb;
  resource_use_.share_served =
      counts.offered > 0 ? static_cast<double>(counts.served) / static_cast<double>(counts.offered) : 0;
}

std::string DirectorRun::details() const {
  const TrafficCounts& counts = traffic_->counts();
  const NodeUse& use = nodes_.use();
  return fmt::format(
      "{}: {} nodes, {} caches in the own zone; offered {}, served {}, rejected {}, failed {}, no answer {}, "
      "not started {}; hits {}, fills {}, by the origin {}, lookups without the object {}; nodes connected "
      "{}",
      plan_.name, plan_.nodes, site_.caches_in_own_zone(), counts.offered, counts.served, counts.rejected,
      counts.failed, counts.no_answer, counts.not_started, use.hits, use.fills, use.origin_fetches,
      use.lookup_misses, nodes_.nodes_connected());
}

}  // namespace hareramp::fleet_size
