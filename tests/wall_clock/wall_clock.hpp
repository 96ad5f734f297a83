// A wall clock that a test may step: in the program this is linked into, CLOCK_REALTIME reads shifted by an
// offset, and every other clock as it is.
#pragma once

#include "policy.hpp"

namespace hareramp {
void step_wall_clock(Seconds offset);  // from the system's own time, not from the last step
}
