// Load generator: sends requests to one director at a constant rate; nodes that answer its requests.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "rig/world.hpp"
#include "transport/scheduler.hpp"

namespace hareramp::capacity {

// Mock nodes that answer requests, with their entries for the node list: an origin and three caches.
struct MockNodes {
  MockNodes(transport::Scheduler& scheduler, std::size_t body_bytes);
  std::vector<std::unique_ptr<rig::Node>> nodes;
  std::string entries;
};

// Open-loop load: each read is sent at its scheduled time, whether or not earlier ones were answered.
class OpenLoopLoad {
 public:
  OpenLoopLoad(transport::Scheduler& scheduler, transport::Address director, double rate, int clients);
  // Sends requests until the time has passed or `finished` returns true, then waits for outstanding answers.
  // Returns the latencies of this call in seconds, sorted.
  std::vector<double> run_for(double seconds, const std::function<bool()>& finished = {});
  // Requests that were not sent because every client was waiting for an answer when they were due.
  std::uint64_t unsent() const { return unsent_; }

 private:
  static transport::Task<> send_requests(OpenLoopLoad& self, double end_time, std::function<bool()> finished);
  transport::Scheduler& scheduler_;
  double rate_;
  std::uint64_t unsent_ = 0;
  std::vector<std::unique_ptr<rig::Client>> clients_;
};

// The percentile (share: 0 to 1) of sorted values; 0 if there are none.
double percentile(const std::vector<double>& sorted, double share);

}  // namespace hareramp::capacity
