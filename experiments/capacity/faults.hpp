// Faults between a source, two relays with different windows and many simulated directors, and what an
// auditor outside found: each director's own record of which purges it was told, how often, in which order
// and how late.
#pragma once

#include <vector>

#include "capacity/children.hpp"
#include "capacity/table.hpp"

namespace hareramp::capacity {

enum class Fault {
  kNone = 0,
  kRelayKilled = 1,         // and started again at its address
  kRelayStopped = 2,        // SIGSTOP for 10 s
  kOneSidedCut = 3,         // what a relay sends to its directors does not arrive, for 8 s
  kSourceRestarted = 4,     // it counts from 1 again
  kSilentSubscribers = 5,   // that never read
  kRelaysKilledInTurn = 6,  // so that directors change between the two windows again and again
  kRegionCut = 7            // from both relays, over 360,000 purges, with 346 directors
};
std::vector<double> all_faults();
// A row a fault. missing: purges that a director was not told, each counted, but for those whose lifetime was
// over when it was connected again; bounds_broken: of the checks that the page names.
Table relay_faults(const Setup& setup);

}  // namespace hareramp::capacity
