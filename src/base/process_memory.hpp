// Memory of this process as the platform counts it.
#pragma once

#include <cstddef>

namespace hareramp {

// The resident memory of this process in bytes, from /proc/self/statm; 0 where that can't be read. Opens a
// descriptor for the length of the call.
std::size_t resident_memory();

// Keeps large allocations, such as answers, apart from the heap, so that each is returned to the system when
// it is freed. To be called once, at the start of the process.
void keep_large_blocks_apart();

// Returns to the system what the allocator keeps and does not use.
void return_free_memory();

// What this process uses without the memory that the allocator keeps for reuse: the next allocations take
// that, and the resident memory does not grow by them.
class ProcessMemory {
 public:
  // What is resident now and not on the heap counts as used from now on.
  ProcessMemory();
  std::size_t in_use() const;  // bytes

 private:
  std::size_t not_on_heap_;
};

}  // namespace hareramp
