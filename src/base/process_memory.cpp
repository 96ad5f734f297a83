#include "base/process_memory.hpp"

#include <fcntl.h>
#include <malloc.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdlib>

namespace hareramp {

namespace {
constexpr int kLargeBlockBytes = 128 << 10;

std::size_t heap_in_use() {
  const struct mallinfo2 heap = mallinfo2();
  return heap.uordblks + heap.hblkhd;
}
}  // namespace

std::size_t resident_memory() {
  const int descriptor = ::open("/proc/self/statm", O_RDONLY | O_CLOEXEC);
  if (descriptor < 0) return 0;
  std::array<char, 128> text{};
  const ssize_t count = ::read(descriptor, text.data(), text.size() - 1);
  ::close(descriptor);
  if (count <= 0) return 0;
  char* after_total = nullptr;  // the second of the numbers, which count pages
  std::strtoull(text.data(), &after_total, 10);
  const auto pages = static_cast<std::size_t>(std::strtoull(after_total, nullptr, 10));
  return pages * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

void keep_large_blocks_apart() { mallopt(M_MMAP_THRESHOLD, kLargeBlockBytes); }

void return_free_memory() { malloc_trim(0); }

ProcessMemory::ProcessMemory() {
  const std::size_t resident = resident_memory();
  not_on_heap_ = resident - std::min(resident, heap_in_use());
}

std::size_t ProcessMemory::in_use() const { return not_on_heap_ + heap_in_use(); }

}  // namespace hareramp
