// One day of one director in front of a fleet of a given size, and what the director needed for it.
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

struct DayPlan {
  std::string name, program;  // program: the director's
  int nodes = kUsualNodes;
  Growth growth = Growth::kMoreDirectors;
  double seconds = 20;
  double seconds_per_node_change = 200;  // for each node
  TrafficPlan traffic;
};

// The most that the director needed, since its start.
struct Needs {
  double cpu_s = 0;
  double peak_memory_mb = 0;
  double descriptors = 0;
  double connections = 0;  // made to nodes
  double list_kb = 0;      // told by the change source
  double share_served = 0;
};

class Day {
 public:
  // Starts the director; throws std::runtime_error if it does not serve.
  Day(transport::Scheduler& scheduler, DayPlan plan);
  ~Day();

  void start();
  bool over() const { return over_; }
  const DayPlan& plan() const { return plan_; }
  const Needs& needs() const { return needs_; }
  std::string details() const;  // counts beside the needs, for a person

 private:
  static transport::Task<> live(Day& self);
  static transport::Task<> change_nodes(Day& self);
  static transport::Task<> watch_descriptors(Day& self);
  void take_needs();

  transport::Scheduler& scheduler_;
  DayPlan plan_;
  Site site_;
  NodeStandIns nodes_;
  ChangeSource changes_;
  std::string config_path_;
  transport::Address listen_;
  std::unique_ptr<rig::Process> director_;
  std::unique_ptr<Traffic> traffic_;
  Needs needs_;
  bool traffic_over_ = false, over_ = false;
};

}  // namespace hareramp::fleet_size
