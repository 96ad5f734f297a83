// Requests at a steady rate on one director, and nodes that answer them.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "rig/world.hpp"
#include "transport/scheduler.hpp"

namespace hareramp::capacity {

// Stand-in nodes, as entries of the list: an origin and three caches.
struct LiveNodes {
  LiveNodes(transport::Scheduler& scheduler, std::size_t body_bytes);
  std::vector<std::unique_ptr<rig::Node>> nodes;
  std::string entries;
};

// Clients that send reads when they are due, whether or not earlier ones were answered.
class SteadyLoad {
 public:
  SteadyLoad(transport::Scheduler& scheduler, transport::Address director, double rate, int clients);
  // Plays until the time is over or something holds, and until what was asked is answered; returns the
  // latencies in that time in seconds, sorted.
  std::vector<double> play(double seconds, const std::function<bool()>& over = {});
  // Requests that were due while every client waited for an answer.
  std::uint64_t not_asked() const { return not_asked_; }

 private:
  static transport::Task<> arrivals(SteadyLoad& self, double until, std::function<bool()> over);
  transport::Scheduler& scheduler_;
  double rate_;
  std::uint64_t not_asked_ = 0;
  std::vector<std::unique_ptr<rig::Client>> clients_;
};

// Of sorted values; 0 where there are none.
double percentile(const std::vector<double>& sorted, double share);

}  // namespace hareramp::capacity
