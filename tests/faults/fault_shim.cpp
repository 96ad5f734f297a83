// A library for LD_PRELOAD: takes the place of the C library's wrappers of some system calls in the program
// under test, and makes them fail as the mapped table says (fault_table.hpp). What does not fail goes to the
// kernel by syscall(2), so nothing has to be looked up and it works the same under ASan. Without the variable
// that names the table it injects nothing.
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

constexpr std::size_t kSignalSetBytes = 8;  // as the kernel has it, not the C library
constexpr std::int64_t kNanoseconds = 1'000'000'000;

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

// Takes one off what is left; false if nothing is.
bool take_one(std::atomic<std::int64_t>& left) {
  std::int64_t now = left;
  while (now > 0 && !left.compare_exchange_weak(now, now - 1)) {
  }
  return now > 0;
}

// Counts one call; the errno that it has to fail with, if it has to.
std::optional<int> fault(SystemCall call) {
  FaultRule& followed = rule(call);
  ++followed.seen;
  if (followed.fail <= 0 || take_one(followed.skip) || !take_one(followed.fail)) return {};
  ++followed.injected;
  return followed.error.load();
}

std::size_t bounded(SystemCall call, std::size_t bytes) {
  const std::uint64_t most = rule(call).most;
  return most == 0 ? bytes : std::min<std::size_t>(bytes, most);
}

int fail_with(int error) {
  errno = error;
  return -1;
}

template <class... Arguments>
int call_kernel(SystemCall call, long number, Arguments... arguments) {
  if (const auto error = fault(call)) return fail_with(*error);
  return static_cast<int>(syscall(number, arguments...));
}

// Errors after which the kernel holds a connection for over; some of them are told only once.
bool ends_connection(int error) {
  return error == ECONNRESET || error == EPIPE || error == ETIMEDOUT || error == EHOSTUNREACH;
}

// recv and send. What struck the connection has ended it: later calls and events show that as well.
template <class Pointer, class... Arguments>
ssize_t move_on_connection(SystemCall call, long number, int descriptor, Pointer bytes, std::size_t length,
                           Arguments... arguments) {
  if (const auto error = fault(call)) {
    if (ends_connection(*error)) syscall(SYS_shutdown, descriptor, SHUT_RDWR);
    return fail_with(*error);
  }
  return syscall(number, descriptor, bytes, bounded(call, length), arguments...);
}

// For files; an offset may follow the length.
template <class Pointer, class... Arguments>
ssize_t move_bytes(SystemCall call, long number, int descriptor, Pointer bytes, std::size_t length,
                   Arguments... arguments) {
  if (const auto error = fault(call)) return fail_with(*error);
  return syscall(number, descriptor, bytes, bounded(call, length), arguments...);
}

void add_offset(timespec& time) {
  const std::int64_t offset = table().clock_offset;
  if (offset == 0) return;
  const std::int64_t all = time.tv_sec * kNanoseconds + time.tv_nsec + offset;
  time.tv_sec = all / kNanoseconds;
  time.tv_nsec = all % kNanoseconds;
}

}  // namespace

extern "C" {

int socket(int domain, int type, int protocol) noexcept {
  return call_kernel(SystemCall::kSocket, SYS_socket, domain, type, protocol);
}

// A connect that a signal interrupts goes on in the kernel (connect(2)); so the call is made all the same.
int connect(int descriptor, const sockaddr* address, socklen_t size) {
  const auto error = fault(SystemCall::kConnect);
  if (error && *error != EINTR) return fail_with(*error);
  const long result = syscall(SYS_connect, descriptor, address, size);
  if (error) return fail_with(*error);
  return static_cast<int>(result);
}

int accept4(int descriptor, sockaddr* address, socklen_t* size, int flags) {
  return call_kernel(SystemCall::kAccept4, SYS_accept4, descriptor, address, size, flags);
}

ssize_t recv(int descriptor, void* bytes, std::size_t length, int flags) {
  return move_on_connection(SystemCall::kRecv, SYS_recvfrom, descriptor, bytes, length, flags, nullptr,
                            nullptr);
}
ssize_t __recv_chk(int descriptor, void* bytes, std::size_t length, std::size_t /*room*/, int flags) {
  return recv(descriptor, bytes, length, flags);
}

ssize_t send(int descriptor, const void* bytes, std::size_t length, int flags) {
  return move_on_connection(SystemCall::kSend, SYS_sendto, descriptor, bytes, length, flags, nullptr, 0);
}

int epoll_ctl(int epoll, int operation, int descriptor, epoll_event* event) noexcept {
  if (operation == EPOLL_CTL_DEL)  // it needs no memory, and never fails where it is used rightly
    return static_cast<int>(syscall(SYS_epoll_ctl, epoll, operation, descriptor, event));
  return call_kernel(SystemCall::kEpollCtl, SYS_epoll_ctl, epoll, operation, descriptor, event);
}

int epoll_pwait(int epoll, epoll_event* events, int most, int milliseconds, const sigset_t* signals) {
  return call_kernel(SystemCall::kEpollWait, SYS_epoll_pwait, epoll, events, most, milliseconds, signals,
                     kSignalSetBytes);
}
int epoll_wait(int epoll, epoll_event* events, int most, int milliseconds) {
  return epoll_pwait(epoll, events, most, milliseconds, nullptr);
}
int epoll_pwait2(int epoll, epoll_event* events, int most, const timespec* wait, const sigset_t* signals) {
  if (const auto error = fault(SystemCall::kEpollPwait2)) return fail_with(*error);
  return call_kernel(SystemCall::kEpollWait, SYS_epoll_pwait2, epoll, events, most, wait, signals,
                     kSignalSetBytes);
}

int getsockopt(int descriptor, int level, int option, void* value, socklen_t* size) noexcept {
  return call_kernel(SystemCall::kGetsockopt, SYS_getsockopt, descriptor, level, option, value, size);
}

ssize_t read(int descriptor, void* bytes, std::size_t length) {
  return move_bytes(SystemCall::kRead, SYS_read, descriptor, bytes, length);
}
ssize_t __read_chk(int descriptor, void* bytes, std::size_t length, std::size_t /*room*/) {
  return read(descriptor, bytes, length);
}

ssize_t write(int descriptor, const void* bytes, std::size_t length) {
  return move_bytes(SystemCall::kWrite, SYS_write, descriptor, bytes, length);
}

ssize_t pwrite(int descriptor, const void* bytes, std::size_t length, off_t offset) {
  return move_bytes(SystemCall::kPwrite, SYS_pwrite64, descriptor, bytes, length, offset);
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
