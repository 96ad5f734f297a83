#include "base/process_memory.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <cstdlib>

namespace hareramp {

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

}  // namespace hareramp
