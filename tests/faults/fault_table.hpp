// The table of faults that a test and the program under test share through a mapped file. The test writes the
// rules (FaultControl); the library that is preloaded into the program (fault_shim.cpp) applies them and
// counts calls. A table of zero bytes injects no faults.
#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>

namespace hareramp::faults {

// The environment variable with the path of the mapped file.
inline constexpr const char* kTableVariable = "HARERAMP_FAULTS";

// kEpollWait covers epoll_wait, epoll_pwait and epoll_pwait2; kEpollPwait2 covers only the last of them.
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

// The rule for one kind of call: the first `skip` calls succeed as usual, the next `fail` ones fail with
// `error`. `fail` must be written last, because it activates the rule.
struct FaultRule {
  std::atomic<std::int32_t> error;  // errno
  std::atomic<std::int64_t> skip;   // calls before the first fault, counted down
  std::atomic<std::int64_t> fail;   // calls that fail, counted down
  std::atomic<std::uint64_t>
      max_bytes;  // bytes that one recv, send, read, write or pwrite moves at most; 0: no limit
  std::atomic<std::uint64_t> seen;      // calls so far
  std::atomic<std::uint64_t> injected;  // calls so far that failed by this rule
};

struct FaultTable {
  FaultRule rules[kSystemCalls];
  // Nanoseconds added to the system's clock, but not to the monotonic clock.
  std::atomic<std::int64_t> clock_offset;
};

static_assert(std::atomic<std::int64_t>::is_always_lock_free, "the table is shared between processes");

}  // namespace hareramp::faults
