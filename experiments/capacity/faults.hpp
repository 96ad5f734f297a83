// Injects faults between a source, two relays with different windows and many simulated directors, and checks
// the delivery of purges independently of the directors' decisions: for each director it is recorded which
// purges arrived, how often, in which order and how late.
#pragma once

#include <vector>

#include "capacity/children.hpp"
#include "capacity/table.hpp"

namespace hareramp::capacity {

enum class Fault {
  kNone = 0,
  kRelayKilled = 1,         // and restarted at the same address
  kRelayStopped = 2,        // SIGSTOP for 10 s
  kOneSidedCut = 3,         // data from a relay to its directors does not arrive for 8 s
  kSourceRestarted = 4,     // its event numbers start from 1 again
  kSilentSubscribers = 5,   // subscribers that never read
  kRelaysKilledInTurn = 6,  // directors switch between the two windows repeatedly
  kRegionCut = 7            // 346 directors cut off from both relays while 360,000 purges are issued
};
std::vector<double> all_faults();
// One row per fault. missing: purges that did not arrive at a director, summed over all directors, without
// those whose lifetime had ended when the director reconnected. bounds_broken: how many of the checks listed
// in docs/CAPACITY.md failed.
Table relay_faults(const Setup& setup);

}  // namespace hareramp::capacity
