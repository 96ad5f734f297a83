#include "faults/fault_control.hpp"

#include <stdlib.h>
#include <sys/mman.h>
#include <unistd.h>

#include <cerrno>
#include <cmath>
#include <filesystem>
#include <system_error>

namespace hareramp::faults {

namespace {
[[noreturn]] void fail(const char* what) { throw std::system_error(errno, std::generic_category(), what); }
}  // namespace

FaultControl::FaultControl() {
  path_ = std::filesystem::temp_directory_path() / "hareramp-faults-XXXXXX";
  const int file = mkstemp(path_.data());
  if (file < 0) fail("mkstemp");
  if (ftruncate(file, sizeof(FaultTable)) != 0) fail("ftruncate");
  void* const mapped = mmap(nullptr, sizeof(FaultTable), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
  ::close(file);
  if (mapped == MAP_FAILED) fail("mmap");
  table_ = static_cast<FaultTable*>(mapped);
}

FaultControl::~FaultControl() {
  munmap(table_, sizeof(FaultTable));
  std::filesystem::remove(path_);
}

std::map<std::string, std::string> FaultControl::environment(const std::string& library) const {
  // Under ASan its runtime would refuse to start behind a preloaded library; ours replaces nothing of it.
  const char* const set = getenv("ASAN_OPTIONS");
  const std::string before = set == nullptr ? "" : std::string(set) + ":";
  return {{"LD_PRELOAD", library},
          {kTableVariable, path_},
          {"ASAN_OPTIONS", before + "verify_asan_link_order=0"}};
}

void FaultControl::inject(SystemCall call, int error, std::int64_t skip, std::int64_t fail) {
  FaultRule& changed = rule(call);
  changed.fail = 0;
  changed.error = error;
  changed.skip = skip;
  changed.fail = fail;
}

void FaultControl::bound_bytes(SystemCall call, std::uint64_t most) { rule(call).most = most; }

void FaultControl::clear(SystemCall call) {
  FaultRule& changed = rule(call);
  changed.fail = 0;
  changed.skip = 0;
  changed.most = 0;
}

void FaultControl::clear_all() {
  for (std::size_t i = 0; i < kSystemCalls; ++i) clear(static_cast<SystemCall>(i));
  table_->clock_offset = 0;
}

void FaultControl::set_clock_offset(double seconds) {
  table_->clock_offset = static_cast<std::int64_t>(std::llround(seconds * 1e9));
}

}  // namespace hareramp::faults
