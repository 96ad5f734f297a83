// The table of faults that a test and the program under test share through a mapped file. The test writes the
// rules (FaultControl); the library that is preloaded into the program (fault_shim.cpp) follows them and
// counts. All zero bytes are a table without faults.
#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>

namespace hareramp::faults {

// The environment variable that names the mapped file.
inline constexpr const char* kTableVariable = "HARERAMP_FAULTS";

// kEpollWait stands for epoll_wait, epoll_pwait and epoll_pwait2, kEpollPwait2 for the last of them alone.
enum class SystemCall : std::uint32_t {
  kSocket,
  kConnect,
  kAccept4,
  kRecv,
  kSend,
  kEpollCtl,
  kEpollWait,
  kGetsockopt,
  kRead,
  kWrite,
  kPwrite,
  kFdatasync,
  kFtruncate,
  kEpollPwait2,
};
inline constexpr std::size_t kSystemCalls = static_cast<std::size_t>(SystemCall::kEpollPwait2) + 1;

// What happens to the calls of one kind. The first `skip` calls pass, the next `fail` ones fail with `error`.
// Whoever sets a rule writes `fail` last.
struct FaultRule {
  std::atomic<std::int32_t> error;      // errno
  std::atomic<std::int64_t> skip;       // calls left that pass before the first fault
  std::atomic<std::int64_t> fail;       // calls left that fail
  std::atomic<std::uint64_t> most;      // bytes that one recv, send, read, write or pwrite moves; 0: no bound
  std::atomic<std::uint64_t> seen;      // calls so far
  std::atomic<std::uint64_t> injected;  // calls so far that failed by this rule
};

struct FaultTable {
  FaultRule rules[kSystemCalls];
  std::atomic<std::int64_t>
      clock_offset;  // nanoseconds added to the system's clock, not to the monotonic one
};

static_assert(std::atomic<std::int64_t>::is_always_lock_free, "the table is shared between processes");

}  // namespace hareramp::faults
