#include "storage/disk_faults.hpp"

#include <dlfcn.h>
#include <fcntl.h>
#include <sys/mman.h>
#include <sys/uio.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <cstdarg>
#include <cstdlib>
#include <mutex>

namespace disk_faults {

namespace {

struct State {
  std::mutex mutex;
  Script script;
  int steps = 0, failures = 0;
};

State& state() {
  static State instance;
  return instance;
}

std::atomic<bool> injection_active{false};

// How one intercepted call is to end.
enum class CallOutcome { kPass, kFail, kHalf, kDoThenFail };

bool is_in_directory(const std::string& path) { return path.starts_with(state().script.directory + "/"); }

bool descriptor_is_in_directory(int descriptor) {
  char path[4096];
  const std::string link = "/proc/self/fd/" + std::to_string(descriptor);
  const ssize_t length = readlink(link.c_str(), path, sizeof path);
  return length > 0 && is_in_directory(std::string(path, static_cast<std::size_t>(length)));
}

CallOutcome count_step() {
  State& shared = state();
  const std::lock_guard lock(shared.mutex);
  const int step = ++shared.steps;
  const Script& script = shared.script;
  const bool in_range = step >= script.first_step && step <= script.last_step;
  const bool fails_after = step > script.last_step && script.last_step > 0 && step <= script.fails_until;
  if (!in_range && !fails_after) return CallOutcome::kPass;
  ++shared.failures;
  if (fails_after) return CallOutcome::kFail;
  switch (script.effect) {
    case Effect::kFails:
      return CallOutcome::kFail;
    case Effect::kWritesHalf:
      return CallOutcome::kHalf;
    case Effect::kDoneButFails:
      return CallOutcome::kDoThenFail;
    case Effect::kKills:
      _exit(0);
  }
  return CallOutcome::kPass;
}

CallOutcome outcome_for(int descriptor) {
  if (!injection_active.load() || !descriptor_is_in_directory(descriptor)) return CallOutcome::kPass;
  return count_step();
}

void record_sync() {
  State& shared = state();
  const std::lock_guard lock(shared.mutex);
  if (!shared.script.after_first_sync || shared.script.first_step != kNeverReached) return;
  shared.script.first_step = shared.steps + 1;
  shared.script.last_step = shared.steps + 1;
}

template <class Result>
Result failed() {
  errno = state().script.error_number;
  return static_cast<Result>(-1);
}

// Runs a call that writes a number of bytes. write performs the call for the number of bytes that is allowed.
template <class Write>
ssize_t run_write(int descriptor, std::size_t bytes, const Write& write) {
  switch (outcome_for(descriptor)) {
    case CallOutcome::kPass:
      return write(bytes);
    case CallOutcome::kHalf:
      return bytes < 2 ? failed<ssize_t>() : write(bytes / 2);
    case CallOutcome::kDoThenFail:
      write(bytes);
      return failed<ssize_t>();
    case CallOutcome::kFail:
      break;
  }
  return failed<ssize_t>();
}

// Runs a call that either takes effect completely or not at all.
template <class Work>
int run_atomic(CallOutcome outcome, const Work& work) {
  if (outcome == CallOutcome::kPass) return work();
  if (outcome == CallOutcome::kDoThenFail) work();
  return failed<int>();
}

template <class Function>
Function* next_definition(const char* name) {
  return reinterpret_cast<Function*>(dlsym(RTLD_NEXT, name));
}

}  // namespace

Injection::Injection(const Script& script) {
  State& shared = state();
  const std::lock_guard lock(shared.mutex);
  shared.script = script;
  shared.steps = 0;
  shared.failures = 0;
  injection_active = true;
}

Injection::~Injection() { injection_active = false; }

int Injection::steps() const {
  const std::lock_guard lock(state().mutex);
  return state().steps;
}

int Injection::failures() const {
  const std::lock_guard lock(state().mutex);
  return state().failures;
}

}  // namespace disk_faults

using disk_faults::next_definition;
using disk_faults::outcome_for;
using disk_faults::run_atomic;
using disk_faults::run_write;

// Definitions under the names of the C library. The dynamic linker resolves the calls of all libraries that
// this program loads to them.
extern "C" {

ssize_t write(int descriptor, const void* bytes, size_t count) {
  static auto* const next = next_definition<ssize_t(int, const void*, size_t)>("write");
  return run_write(descriptor, count, [&](std::size_t allowed) { return next(descriptor, bytes, allowed); });
}

ssize_t pwrite(int descriptor, const void* bytes, size_t count, off_t offset) {
  static auto* const next = next_definition<ssize_t(int, const void*, size_t, off_t)>("pwrite");
  return run_write(descriptor, count,
                   [&](std::size_t allowed) { return next(descriptor, bytes, allowed, offset); });
}

ssize_t pwrite64(int descriptor, const void* bytes, size_t count, off64_t offset) {
  return pwrite(descriptor, bytes, count, offset);
}

// A vector with several parts is halved by writing at most its first part; one with a single part by writing
// half of that part.
ssize_t pwritev(int descriptor, const iovec* parts, int count, off_t offset) {
  static auto* const next = next_definition<ssize_t(int, const iovec*, int, off_t)>("pwritev");
  std::size_t bytes = 0;
  for (int i = 0; i < count; ++i) bytes += parts[i].iov_len;
  return run_write(descriptor, bytes, [&](std::size_t allowed) {
    if (allowed == bytes) return next(descriptor, parts, count, offset);
    const iovec shortened{parts[0].iov_base, std::min(parts[0].iov_len, allowed)};
    return next(descriptor, &shortened, 1, offset);
  });
}

ssize_t writev(int descriptor, const iovec* parts, int count) {
  static auto* const next = next_definition<ssize_t(int, const iovec*, int)>("writev");
  std::size_t bytes = 0;
  for (int i = 0; i < count; ++i) bytes += parts[i].iov_len;
  return run_write(descriptor, bytes, [&](std::size_t allowed) {
    if (allowed == bytes) return next(descriptor, parts, count);
    const iovec shortened{parts[0].iov_base, std::min(parts[0].iov_len, allowed)};
    return next(descriptor, &shortened, 1);
  });
}

int ftruncate(int descriptor, off_t length) noexcept {
  static auto* const next = next_definition<int(int, off_t)>("ftruncate");
  return run_atomic(outcome_for(descriptor), [&] { return next(descriptor, length); });
}

int ftruncate64(int descriptor, off64_t length) noexcept { return ftruncate(descriptor, length); }

int fdatasync(int descriptor) {
  static auto* const next = next_definition<int(int)>("fdatasync");
  const auto outcome = outcome_for(descriptor);
  if (disk_faults::injection_active.load()) disk_faults::record_sync();
  return run_atomic(outcome, [&] { return next(descriptor); });
}

int fsync(int descriptor) {
  static auto* const next = next_definition<int(int)>("fsync");
  return run_atomic(outcome_for(descriptor), [&] { return next(descriptor); });
}

int msync(void* address, size_t bytes, int flags) {
  static auto* const next = next_definition<int(void*, size_t, int)>("msync");
  return next(address, bytes, flags);  // no faults: neither library writes through its memory map
}

int open(const char* path, int flags, ...) {
  static auto* const next = next_definition<int(const char*, int, ...)>("open");
  mode_t mode = 0;
  if (flags & (O_CREAT | O_TMPFILE)) {
    va_list arguments;
    va_start(arguments, flags);
    mode = va_arg(arguments, mode_t);
    va_end(arguments);
  }
  const bool is_counted =
      disk_faults::injection_active.load() && (flags & O_CREAT) && disk_faults::is_in_directory(path);
  const auto outcome = is_counted ? disk_faults::count_step() : disk_faults::CallOutcome::kPass;
  if (outcome != disk_faults::CallOutcome::kPass) return disk_faults::failed<int>();
  return next(path, flags, mode);
}

int open64(const char* path, int flags, ...) {
  mode_t mode = 0;
  if (flags & (O_CREAT | O_TMPFILE)) {
    va_list arguments;
    va_start(arguments, flags);
    mode = va_arg(arguments, mode_t);
    va_end(arguments);
  }
  return open(path, flags | O_LARGEFILE, mode);
}
}
