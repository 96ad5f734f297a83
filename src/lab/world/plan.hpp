// What an experiment says of the world, its load and its faults. Plain values; lab/experiment.cpp reads them
// from JSON. Times in seconds, sizes in KB, rates in requests or KB a second.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace hareramp::lab {

using Seconds = double;

enum class Effect { kRetriable, kFingerprinted, kBinding };

struct RequestClassPlan {
  std::string name;
  Effect effect = Effect::kRetriable;
  Seconds contract = 0.5, stop = 3;               // contract time before its stretch, hard stop
  double stretch = 2;                             // x the bare sending time, added to the contract time
  double share = 1, size_kb = 100, spread = 0.5;  // of the requests; median and sigma of a lognormal size
  bool write = false;
  Seconds fresh = 0, grace = 0;
};

struct NodePlan {
  double slots = 8;     // transfers at full pace that its link bears
  double units = 2000;  // held in memory
  double waiting = 4;   // x slots: attempts at once before it turns away
};

struct WorldPlan {
  int locations = 2, hubs = 1, directors = 2, caches = 4,
      parents = 2;  // directors and caches a location, parents a hub
  NodePlan cache, parent, origin;
  double flow_kb_per_s = 4000;                                   // one transfer at full pace
  Seconds way_cache = 0.001, way_hub = 0.01, way_origin = 0.04;  // one way
  Seconds list_lag = 0.5, purge_lag = 0.2;
  Seconds warms = 10, fall_span = 3, drain_grace = 1, purge_grace = 0.5;
  double start_share = 0.2, fall_multiple = 2;
  Seconds restarts_in = 2;  // a node that was pushed over
  bool joins = true, direct = true, siblings = false;
};

struct LoadPlan {
  double rate = 500;  // requests a second, all clients together
  double objects = 20000, zipf = 0.9,
         life = 120;             // life: seconds after which an object gives way to a new one
  int groups = 64, retries = 0;  // retries of a bounced client
  double once = 0;               // share of requests for objects that nobody asks for again
  std::vector<RequestClassPlan> request_classes;
};

struct FaultPlan {
  std::string kind;  // crash, silent, slow, refuse, drain, roll, list_lag, origin_slow, purge_object,
                     // purge_group, burst, flush, restart_directors
  Seconds at = 0, lasts = 1;
  std::string nodes;  // cache, parent, origin
  int first = 0, count = 1;
  double factor = 1, rate = 0;
};

struct Plan {
  WorldPlan world;
  LoadPlan load;
  std::vector<FaultPlan> faults;
  Seconds lasts = 20, sample = 1;
  Seconds settles = 0;  // requests of the first seconds are played and audited, and not counted for utility
};

}  // namespace hareramp::lab
