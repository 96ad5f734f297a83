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
  int steps = 0, hits = 0;
};

State& state() {
  static State made;
  return made;
}

std::atomic<bool> in_force{false};

// What is to become of one call.
enum class Verdict { kPass, kFail, kHalf, kDoThenFail };

bool below_folder(const std::string& path) { return path.starts_with(state().script.directory + "/"); }

bool descriptor_below_folder(int descriptor) {
  char path[4096];
  const std::string link = "/proc/self/fd/" + std::to_string(descriptor);
  const ssize_t length = readlink(link.c_str(), path, sizeof path);
  return length > 0 && below_folder(std::string(path, static_cast<std::size_t>(length)));
}

Verdict next_step() {
  State& held = state();
  const std::lock_guard lock(held.mutex);
  const int step = ++held.steps;
  const Script& script = held.script;
  const bool in_script = step >= script.first_step && step <= script.last_step;
  const bool fails_after = step > script.last_step && script.last_step > 0 && step <= script.fails_until;
  if (!in_script && !fails_after) return Verdict::kPass;
  ++held.hits;
  if (fails_after) return Verdict::kFail;
  switch (script.effect) {
    case Effect::kFails:
      return Verdict::kFail;
    case Effect::kWritesHalf:
      return Verdict::kHalf;
    case Effect::kDoneButFails:
      return Verdict::kDoThenFail;
    case Effect::kKills:
      _exit(0);
  }
  return Verdict::kPass;
}

Verdict verdict_on(int descriptor) {
  if (!in_force.load() || !descriptor_below_folder(descriptor)) return Verdict::kPass;
  return next_step();
}

void note_sync() {
  State& held = state();
  const std::lock_guard lock(held.mutex);
  if (!held.script.after_first_sync || held.script.first_step != kNeverReached) return;
  held.script.first_step = held.steps + 1;
  held.script.last_step = held.steps + 1;
}

template <class Result>
Result failed() {
  errno = state().script.error_number;
  return static_cast<Result>(-1);
}

// Runs a call that writes so many bytes, by a function of how many it may write.
template <class Write>
ssize_t write_some(int descriptor, std::size_t bytes, const Write& write) {
  switch (verdict_on(descriptor)) {
    case Verdict::kPass:
      return write(bytes);
    case Verdict::kHalf:
      return bytes < 2 ? failed<ssize_t>() : write(bytes / 2);
    case Verdict::kDoThenFail:
      write(bytes);
      return failed<ssize_t>();
    case Verdict::kFail:
      break;
  }
  return failed<ssize_t>();
}

// Runs a call that is done whole or not at all.
template <class Work>
int do_whole(Verdict verdict, const Work& work) {
  if (verdict == Verdict::kPass) return work();
  if (verdict == Verdict::kDoThenFail) work();
  return failed<int>();
}

template <class Function>
Function* next_of(const char* name) {
  return reinterpret_cast<Function*>(dlsym(RTLD_NEXT, name));
}

}  // namespace

Injection::Injection(const Script& script) {
  State& held = state();
  const std::lock_guard lock(held.mutex);
  held.script = script;
  held.steps = 0;
  held.hits = 0;
  in_force = true;
}

Injection::~Injection() { in_force = false; }

int Injection::steps() const {
  const std::lock_guard lock(state().mutex);
  return state().steps;
}

int Injection::failures() const {
  const std::lock_guard lock(state().mutex);
  return state().hits;
}

}  // namespace disk_faults

using disk_faults::do_whole;
using disk_faults::next_of;
using disk_faults::verdict_on;
using disk_faults::write_some;

// The names of the C library, found first by whatever this program loads.
extern "C" {

ssize_t write(int descriptor, const void* bytes, size_t count) {
  static auto* const next = next_of<ssize_t(int, const void*, size_t)>("write");
  return write_some(descriptor, count, [&](std::size_t some) { return next(descriptor, bytes, some); });
}

ssize_t pwrite(int descriptor, const void* bytes, size_t count, off_t at) {
  static auto* const next = next_of<ssize_t(int, const void*, size_t, off_t)>("pwrite");
  return write_some(descriptor, count, [&](std::size_t some) { return next(descriptor, bytes, some, at); });
}

ssize_t pwrite64(int descriptor, const void* bytes, size_t count, off64_t at) {
  return pwrite(descriptor, bytes, count, at);
}

// Half of a vector of several parts is its first part; of one part, half of that.
ssize_t pwritev(int descriptor, const iovec* parts, int count, off_t at) {
  static auto* const next = next_of<ssize_t(int, const iovec*, int, off_t)>("pwritev");
  std::size_t bytes = 0;
  for (int i = 0; i < count; ++i) bytes += parts[i].iov_len;
  return write_some(descriptor, bytes, [&](std::size_t some) {
    if (some == bytes) return next(descriptor, parts, count, at);
    const iovec less{parts[0].iov_base, std::min(parts[0].iov_len, some)};
    return next(descriptor, &less, 1, at);
  });
}

ssize_t writev(int descriptor, const iovec* parts, int count) {
  static auto* const next = next_of<ssize_t(int, const iovec*, int)>("writev");
  std::size_t bytes = 0;
  for (int i = 0; i < count; ++i) bytes += parts[i].iov_len;
  return write_some(descriptor, bytes, [&](std::size_t some) {
    if (some == bytes) return next(descriptor, parts, count);
    const iovec less{parts[0].iov_base, std::min(parts[0].iov_len, some)};
    return next(descriptor, &less, 1);
  });
}

int ftruncate(int descriptor, off_t length) noexcept {
  static auto* const next = next_of<int(int, off_t)>("ftruncate");
  return do_whole(verdict_on(descriptor), [&] { return next(descriptor, length); });
}

int ftruncate64(int descriptor, off64_t length) noexcept { return ftruncate(descriptor, length); }

int fdatasync(int descriptor) {
  static auto* const next = next_of<int(int)>("fdatasync");
  const auto verdict = verdict_on(descriptor);
  if (disk_faults::in_force.load()) disk_faults::note_sync();
  return do_whole(verdict, [&] { return next(descriptor); });
}

int fsync(int descriptor) {
  static auto* const next = next_of<int(int)>("fsync");
  return do_whole(verdict_on(descriptor), [&] { return next(descriptor); });
}

int msync(void* at, size_t bytes, int flags) {
  static auto* const next = next_of<int(void*, size_t, int)>("msync");
  return next(at, bytes, flags);  // neither library writes through its map: passed on
}

int open(const char* path, int flags, ...) {
  static auto* const next = next_of<int(const char*, int, ...)>("open");
  mode_t mode = 0;
  if (flags & (O_CREAT | O_TMPFILE)) {
    va_list rest;
    va_start(rest, flags);
    mode = va_arg(rest, mode_t);
    va_end(rest);
  }
  const bool counts = disk_faults::in_force.load() && (flags & O_CREAT) && disk_faults::below_folder(path);
  const auto verdict = counts ? disk_faults::next_step() : disk_faults::Verdict::kPass;
  if (verdict != disk_faults::Verdict::kPass) return disk_faults::failed<int>();
  return next(path, flags, mode);
}

int open64(const char* path, int flags, ...) {
  mode_t mode = 0;
  if (flags & (O_CREAT | O_TMPFILE)) {
    va_list rest;
    va_start(rest, flags);
    mode = va_arg(rest, mode_t);
    va_end(rest);
  }
  return open(path, flags | O_LARGEFILE, mode);
}
}
