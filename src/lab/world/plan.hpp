// The plan of a simulation: the world, its load and its faults. Plain values that lab/experiment.cpp reads
// from JSON. Times are in seconds, sizes in KB, rates in requests or KB per second.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace hareramp::lab {

using Seconds = double;

// What a second execution of a request does: nothing, it is recognised by its fingerprint, or a second
// effect.
enum class Effect { kRetriable, kFingerprinted, kBinding };

struct RequestClassPlan {
  std::string name;
  Effect effect = Effect::kRetriable;
  // An answer within the target time earns full utility; after it utility falls linearly to 0 at the
  // deadline.
  Seconds target_time = 0.5, deadline = 3;  // target time of an empty answer
  double stretch = 2;                       // times the bare transfer time, added to the target time
  // Weight among the requests; median and sigma of a lognormal size.
  double share = 1, size_kb = 100, size_sigma = 0.5;
  bool write = false;
  Seconds fresh_lifetime = 0, stale_lifetime = 0;
};

struct NodePlan {
  double slots = 8;                  // transfers at full rate that its link can carry
  double memory_units = 2000;        // copies that its memory holds, one for each object and request class
  double max_attempts_per_slot = 4;  // times slots: concurrent attempts before it rejects more
};

struct WorldPlan {
  // Directors and caches are counted per location, parents per hub.
  int locations = 2, hubs = 1, directors = 2, caches = 4, parents = 2;
  NodePlan cache, parent, origin;
  double transfer_kb_per_s = 4000;  // highest rate of one transfer
  Seconds latency_to_cache = 0.001, latency_to_parent = 0.01, latency_to_origin = 0.04;  // one way
  // Mean delay until a director learns of a change of the node list, or of a purge.
  Seconds list_lag = 0.5, purge_lag = 0.2;
  // The capacity of a starting node rises from start_capacity_share to 1 within warm_up. It crashes when the
  // work sent to it within overload_window exceeds overload_factor times its current capacity over that
  // window. The grace times are the delays after notification that the rules on drains and purges allow.
  Seconds warm_up = 10, overload_window = 3, drain_grace = 1, purge_grace = 0.5;
  double start_capacity_share = 0.2, overload_factor = 2;
  Seconds restart_delay = 2;  // after a crash by overload while warming up
  bool joins_fills = true, direct = true, siblings_fill = false;
};

struct LoadPlan {
  double rate = 500;  // requests a second, all clients together
  double objects = 20000, zipf = 0.9,
         object_lifetime = 120;  // seconds after which an object is replaced by a new one of the same rank
  int groups = 64, retries = 0;  // retries: of a client that was rejected with Retry-After
  double one_time_share = 0;     // share of requests for objects that are requested only once
  std::vector<RequestClassPlan> request_classes;
};

struct FaultPlan {
  std::string kind;  // crash, silent, slow, refuse, drain, roll, list_lag, purge_object, purge_group, burst,
                     // flush, restart_directors, stream_lost
  Seconds at = 0, duration = 1;
  std::string nodes;  // cache, parent, origin
  int first = 0, count = 1;
  double factor = 1, rate = 0;
};

struct Plan {
  WorldPlan world;
  LoadPlan load;
  std::vector<FaultPlan> faults;
  Seconds duration = 20, sample_interval = 1;
  // Requests of the first seconds are simulated and checked, but not counted for utility.
  Seconds uncounted_start = 0;
};

}  // namespace hareramp::lab
