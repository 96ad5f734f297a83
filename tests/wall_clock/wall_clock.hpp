// A wall clock that a test can step: in a program that links this, CLOCK_REALTIME is shifted by an offset,
// and every other clock is unchanged.
#pragma once

#include "policy.hpp"

namespace hareramp {
void step_wall_clock(Seconds offset);  // relative to the system's time, not to the last step
}
