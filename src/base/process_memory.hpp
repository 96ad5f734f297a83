// Memory of this process as the platform counts it.
#pragma once

#include <cstddef>

namespace hareramp {

// The resident memory of this process in bytes, from /proc/self/statm; 0 where that can't be read. Opens a
// descriptor for the length of the call.
std::size_t resident_memory();

}  // namespace hareramp
