// A library for LD_PRELOAD that replaces the C library's wrappers of some system calls in the program under
// test and makes them fail as the mapped table specifies (fault_table.hpp). All other calls go to the kernel
// through syscall(2), so no symbol has to be looked up and the library works the same under ASan. Without the
// environment variable that names the table it injects no faults.
#include <fcntl.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <optional>

#include "faults/fault_table.hpp"

namespace {

using hareramp::faults::FaultRule;
using hareramp::faults::FaultTable;
using hareramp::faults::SystemCall;

constexpr std::size_t kSignalSetBytes = 8;  // the kernel's size, not the C library's
constexpr std::int64_t kNanosecondsPerSecond = 1'000'000'000;

FaultTable no_faults;

FaultTable* map_table() {
  const char* const path = getenv(hareramp::faults::kTableVariable);
  if (path == nullptr) return &no_faults;
  const long file = syscall(SYS_openat, AT_FDCWD, path, O_RDWR | O_CLOEXEC, 0);
  if (file < 0) return &no_faults;
  void* const mapped =
      mmap(nullptr, sizeof(FaultTable), PROT_READ | PROT_WRITE, MAP_SHARED, static_cast<int>(file), 0);
  syscall(SYS_close, file);
  return mapped == MAP_FAILED ? &no_faults : static_cast<FaultTable*>(mapped);
}

FaultTable& table() {
  static FaultTable* const mapped = map_table();
  return *mapped;
}

FaultRule& rule(SystemCall call) { return table().rules[static_cast<std::size_t>(call)]; }

// Decrements the counter if it is above 0; returns whether it was.
bool decrement_if_positive(std::atomic<std::int64_t>& counter) {
  std::int64_t value = counter;
  while (value > 0 && !counter.compare_exchange_weak(value, value - 1)) {
  }
  return value > 0;
}

// Counts one call. Returns the errno with which it must fail, or nothing.
std::optional<int> next_fault(SystemCall call) {
  FaultRule& call_rule = rule(call);
  ++call_rule.seen;
  if (call_rule.fail <= 0 || decrement_if_positive(call_rule.skip) || !decrement_if_positive(call_rule.fail))
    return {};
  ++call_rule.injected;
  return call_rule.error.load();
}

std::size_t limited(SystemCall call, std::size_t bytes) {
  const std::uint64_t max_bytes = rule(call).max_bytes;
  return max_bytes == 0 ? bytes : std::min<std::size_t>(bytes, max_bytes);
}

int fail_with(int error) {
  errno = error;
  return -1;
}

template <class... Arguments>
int call_kernel(SystemCall call, long number, Arguments... arguments) {
  if (const auto error = next_fault(call)) return fail_with(*error);
  return static_cast<int>(syscall(number, arguments...));
}

// Errors after which the kernel treats a connection as ended; it reports some of them only once.
bool ends_connection(int error) {
  return error == ECONNRESET || error == EPIPE || error == ETIMEDOUT || error == EHOSTUNREACH;
}

// For recv and send. An error that ends the connection also shuts it down, so that later calls and events
// show it as ended.
template <class Pointer, class... Arguments>
ssize_t transfer_on_connection(SystemCall call, long number, int descriptor, Pointer bytes,
                               std::size_t length, Arguments... arguments) {
  if (const auto error = next_fault(call)) {
    if (ends_connection(*error)) syscall(SYS_shutdown, descriptor, SHUT_RDWR);
    return fail_with(*error);
  }
  return syscall(number, descriptor, bytes, limited(call, length), arguments...);
}

// For files. The arguments may contain an offset.
template <class Pointer, class... Arguments>
ssize_t transfer_bytes(SystemCall call, long number, int descriptor, Pointer bytes, std::size_t length,
                       Arguments... arguments) {
  if (const auto error = next_fault(call)) return fail_with(*error);
  return syscall(number, descriptor, bytes, limited(call, length), arguments...);
}

void add_offset(timespec& time) {
  const std::int64_t offset = table().clock_offset;
  if (offset == 0) return;
  const std::int64_t shifted = time.tv_sec * kNanosecondsPerSecond + time.tv_nsec + offset;
  time.tv_sec = shifted / kNanosecondsPerSecond;
  time.tv_nsec = shifted % kNanosecondsPerSecond;
}

}  // namespace

extern "C" {

int socket(int domain, int type, int protocol) noexcept {
  return call_kernel(SystemCall::kSocket, SYS_socket, domain, type, protocol);
}

// A connect that a signal interrupts continues in the kernel (connect(2)), so with EINTR the call is made as
// well.
int connect(int descriptor, const sockaddr* address, socklen_t size) {
  const auto error = next_fault(SystemCall::kConnect);
  if (error && *error != EINTR) return fail_with(*error);
  const long result = syscall(SYS_connect, descriptor, address, size);
  if (error) return fail_with(*error);
  return static_cast<int>(result);
}

int accept4(int descriptor, sockaddr* address, socklen_t* size, int flags) {
  return call_kernel(SystemCall::kAccept4, SYS_accept4, descriptor, address, size, flags);
}

ssize_t recv(int descriptor, void* bytes, std::size_t length, int flags) {
  return transfer_on_connection(SystemCall::kRecv, SYS_recvfrom, descriptor, bytes, length, flags, nullptr,
                                nullptr);
}
ssize_t __recv_chk(int descriptor, void* bytes, std::size_t length, std::size_t /*buffer_size*/, int flags) {
  return recv(descriptor, bytes, length, flags);
}

ssize_t send(int descriptor, const void* bytes, std::size_t length, int flags) {
  return transfer_on_connection(SystemCall::kSend, SYS_sendto, descriptor, bytes, length, flags, nullptr, 0);
}

int epoll_ctl(int epoll, int operation, int descriptor, epoll_event* event) noexcept {
  if (operation == EPOLL_CTL_DEL)  // needs no memory and fails only if it is misused
    return static_cast<int>(syscall(SYS_epoll_ctl, epoll, operation, descriptor, event));
  return call_kernel(SystemCall::kEpollCtl, SYS_epoll_ctl, epoll, operation, descriptor, event);
}

int epoll_pwait(int epoll, epoll_event* events, int max_events, int milliseconds, const sigset_t* signals) {
  return call_kernel(SystemCall::kEpollWait, SYS_epoll_pwait, epoll, events, max_events, milliseconds,
                     signals, kSignalSetBytes);
}
int epoll_wait(int epoll, epoll_event* events, int max_events, int milliseconds) {
  return epoll_pwait(epoll, events, max_events, milliseconds, nullptr);
}
int epoll_pwait2(int epoll, epoll_event* events, int max_events, const timespec* timeout,
                 const sigset_t* signals) {
  if (const auto error = next_fault(SystemCall::kEpollPwait2)) return fail_with(*error);
  return call_kernel(SystemCall::kEpollWait, SYS_epoll_pwait2, epoll, events, max_events, timeout, signals,
                     kSignalSetBytes);
}

int getsockopt(int descriptor, int level, int option, void* value, socklen_t* size) noexcept {
  return call_kernel(SystemCall::kGetsockopt, SYS_getsockopt, descriptor, level, option, value, size);
}

ssize_t read(int descriptor, void* bytes, std::size_t length) {
  return transfer_bytes(SystemCall::kRead, SYS_read, descriptor, bytes, length);
}
ssize_t __read_chk(int descriptor, void* bytes, std::size_t length, std::size_t /*buffer_size*/) {
  return read(descriptor, bytes, length);
}

ssize_t write(int descriptor, const void* bytes, std::size_t length) {
  return transfer_bytes(SystemCall::kWrite, SYS_write, descriptor, bytes, length);
}

ssize_t pwrite(int descriptor, const void* bytes, std::size_t length, off_t offset) {
  return transfer_bytes(SystemCall::kPwrite, SYS_pwrite64, descriptor, bytes, length, offset);
}
ssize_t pwrite64(int descriptor, const void* bytes, std::size_t length, off64_t offset) {
  return pwrite(descriptor, bytes, length, offset);
}

int fdatasync(int descriptor) { return call_kernel(SystemCall::kFdatasync, SYS_fdatasync, descriptor); }

int ftruncate(int descriptor, off_t length) noexcept {
  return call_kernel(SystemCall::kFtruncate, SYS_ftruncate, descriptor, length);
}
int ftruncate64(int descriptor, off64_t length) noexcept { return ftruncate(descriptor, length); }

int clock_gettime(clockid_t clock, timespec* time) noexcept {
  const long result = syscall(SYS_clock_gettime, clock, time);
  if (result == 0 && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) add_offset(*time);
  return static_cast<int>(result);
}

int gettimeofday(timeval* __restrict time, void* __restrict /*zone*/) noexcept {
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  time->tv_sec = now.tv_sec;
  time->tv_usec = now.tv_nsec / 1000;
  return 0;
}

time_t time(time_t* stored) noexcept {
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  if (stored != nullptr) *stored = now.tv_sec;
  return now.tv_sec;
}

}  // extern "C"
