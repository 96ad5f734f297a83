// A director without its listener for clients: the subscription to the change stream on a real socket, the
// table of nodes with one actor each, the decision module with its timers, and the counters. Many of them run
// on one scheduler.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "base/counters.hpp"
#include "base/log.hpp"
#include "capacity/recorder.hpp"
#include "distribution/subscription.hpp"
#include "program/config.hpp"
#include "routing/director_actor.hpp"
#include "transport/scheduler.hpp"

namespace hareramp::capacity {

// The configuration values that vary between experiments.
struct DirectorParameters {
  std::string change_stream = {};          // address and port
  std::string listen = "127.0.0.1:1";      // unused by simulated directors
  int directors = 4500;                    // number of directors in the settings
  int memory_mb = 64, descriptors = 1024;  // limits of the platform
  std::string known = {};                  // comma-separated entries of the nodes known at the start
};
// Returns the configuration file of a director.
std::string director_configuration(const DirectorParameters& parameters);

class SimulatedDirector {
 public:
  // The configuration and the log are shared by all directors and must outlive them. endpoints: servers of
  // the change stream.
  SimulatedDirector(transport::Scheduler& scheduler, const program::Config& config, Log& log,
                    std::uint64_t seed, std::vector<distribution::Endpoint> endpoints,
                    distribution::SubscriptionOptions options = {});
  void start();
  const PurgeRecord& record() const { return recorder_.record(); }
  const Counters& counters() const { return counters_; }
  long long last_event() const { return changes_.last(); }

 private:
  const program::Config& config_;
  Counters counters_;
  routing::DirectorActor module_;
  Recorder recorder_;
  distribution::Subscription changes_;
};

}  // namespace hareramp::capacity
