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
[[noreturn]] void throw_errno(const char* call) {
  throw std::system_error(errno, std::generic_category(), call);
}
}  // namespace

FaultControl::FaultControl() {
  path_ = std::filesystem::temp_directory_path() / "hareramp-faults-XXXXXX";
  const int file = mkstemp(path_.data());
  if (file < 0) throw_errno("mkstemp");
  if (ftruncate(file, sizeof(FaultTable)) != 0) throw_errno("ftruncate");
  void* const mapped = mmap(nullptr, sizeof(FaultTable), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
  ::close(file);
  if (mapped == MAP_FAILED) throw_errno("mmap");
  table_ = static_cast<FaultTable*>(mapped);
}

FaultControl::~FaultControl() {
  munmap(table_, sizeof(FaultTable));
  std::filesystem::remove(path_);
}

std::map<std::string, std::string> FaultControl::environment(const std::string& library) const {
  // ASan's runtime refuses to start if another library is preloaded before it; the fault library replaces
  // none of its functions, so that check is disabled.
  const char* const current = getenv("ASAN_OPTIONS");
  const std::string options = current == nullptr ? "" : std::string(current) + ":";
  return {{"LD_PRELOAD", library},
          {kTableVariable, path_},
          {"ASAN_OPTIONS", options + "verify_asan_link_order=0"}};
}

void FaultControl::inject(SystemCall call, int error, std::int64_t skip, std::int64_t fail) {
  FaultRule& call_rule = rule(call);
  call_rule.fail = 0;
  call_rule.error = error;
  call_rule.skip = skip;
  call_rule.fail = fail;
}

void FaultControl::limit_bytes(SystemCall call, std::uint64_t max_bytes) { rule(call).max_bytes = max_bytes; }

void FaultControl::clear(SystemCall call) {
  FaultRule& call_rule = rule(call);
  call_rule.fail = 0;
  call_rule.skip = 0;
  call_rule.max_bytes = 0;
}

void FaultControl::clear_all() {
  for (std::size_t i = 0; i < kSystemCalls; ++i) clear(static_cast<SystemCall>(i));
  table_->clock_offset = 0;
}

void FaultControl::set_clock_offset(double seconds) {
  table_->clock_offset = static_cast<std::int64_t>(std::llround(seconds * 1e9));
}

}  // namespace hareramp::faults
