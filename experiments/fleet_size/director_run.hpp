// One run of one director in front of a fleet of a given size, and the resources that the director used.
#pragma once

#include <memory>
#include <string>

#include "fleet_size/change_source.hpp"
#include "fleet_size/node_stand_ins.hpp"
#include "fleet_size/site.hpp"
#include "fleet_size/traffic.hpp"
#include "rig/process.hpp"
#include "transport/scheduler.hpp"

namespace hareramp::fleet_size {

struct RunPlan {
  std::string name, program;  // program: path of the director
  int nodes = kUsualNodes;
  Growth growth = Growth::kMoreDirectors;
  double seconds = 20;
  double seconds_per_node_change = 200;  // mean time between two changes of one node
  TrafficPlan traffic;
};

// What the director used since its start; descriptors and memory are the highest values.
struct ResourceUse {
  double cpu_s = 0;
  double peak_memory_mb = 0;
  double descriptors = 0;
  double connections = 0;  // opened to nodes
  double list_kb = 0;      // written by the change source
  double share_served = 0;
};

class DirectorRun {
 public:
  // Starts the director; throws std::runtime_error if it does not serve.
  DirectorRun(transport::Scheduler& scheduler, RunPlan plan);
  ~DirectorRun();

  void start();
  bool finished() const { return finished_; }
  const RunPlan& plan() const { return plan_; }
  const ResourceUse& resource_use() const { return resource_use_; }
  std::string details() const;  // further counts, for the log

 private:
  static transport::Task<> run_traffic(DirectorRun& self);
  static transport::Task<> publish_node_changes(DirectorRun& self);
  static transport::Task<> sample_descriptors(DirectorRun& self);
  void record_resource_use();

  transport::Scheduler& scheduler_;
  RunPlan plan_;
  Site site_;
  NodeStandIns nodes_;
  ChangeSource changes_;
  std::string config_path_;
  transport::Address listen_;
  std::unique_ptr<rig::Process> director_;
  std::unique_ptr<Traffic> traffic_;
  ResourceUse resource_use_;
  bool traffic_ended_ = false, finished_ = false;
};

}  // namespace hareramp::fleet_size
