#include "transport/socket.hpp"

#include <arpa/inet.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <system_error>
#include <utility>

namespace hareramp::transport {

namespace {
// Errors of single connections that one call of accept() skips before it returns a failure: an error that
// persists must not keep the loop busy.
constexpr int kMaxConnectionErrors = 64;

// Reads of one connection in one turn of the loop: with 16 KB each, under 0.1 ms of work.
constexpr int kMaxReadsPerTurn = 16;

// Delay before a system call that failed because the kernel had no memory is repeated.
constexpr Seconds kMemoryRetryDelay = 0.01;

bool would_block(int error) { return error == EAGAIN || error == EWOULDBLOCK; }

// The kernel had no memory for the call; the connection is intact.
bool lacks_memory(int error) { return error == ENOBUFS || error == ENOMEM; }

// Errors that accept4 passes on from the one connection that it would have accepted (accept(2), "Error
// handling"), its rejection by a firewall, and interruption by a signal: the next connection may be accepted
// at once.
bool concerns_one_connection(int error) {
  switch (error) {
    case ECONNABORTED:
    case EINTR:
    case EPERM:
    case EPROTO:
    case ENOPROTOOPT:
    case ENETDOWN:
    case ENETUNREACH:
    case ENONET:
    case EHOSTDOWN:
    case EHOSTUNREACH:
    case EOPNOTSUPP:
    case ETIMEDOUT:
      return true;
    default:
      return false;
  }
}

// Errors of connect that occur on this machine, before anything could reach the peer (connect(2)).
bool is_local_error(int error) {
  switch (error) {
    case EADDRNOTAVAIL:  // no local port is free
    case EAGAIN:
    case EACCES:
    case EPERM:  // a local firewall rule
    case ENETUNREACH:
    case ENETDOWN:
    case ENOBUFS:
    case ENOMEM:
    case EMFILE:
    case ENFILE:
      return true;
    default:
      return false;
  }
}
}  // namespace

std::optional<Address> Address::parse(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) return {};
  Address address;
  const std::string_view digits = text.substr(colon + 1);
  std::string host(text.substr(0, colon));
  unsigned short port = 0;
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (error != std::errc() || end != digits.data() + digits.size()) return {};
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    address.raw_.v6.sin6_family = AF_INET6;
    address.raw_.v6.sin6_port = htons(port);
    host = host.substr(1, host.size() - 2);
    if (inet_pton(AF_INET6, host.c_str(), &address.raw_.v6.sin6_addr) != 1) return {};
    return address;
  }
  address.raw_.v4.sin_family = AF_INET;
  address.raw_.v4.sin_port = htons(port);
  if (inet_pton(AF_INET, host.c_str(), &address.raw_.v4.sin_addr) != 1) return {};
  return address;
}

Address Address::of(const sockaddr* raw, socklen_t size) {
  Address address;
  std::memcpy(&address.raw_, raw, std::min<std::size_t>(size, sizeof address.raw_));
  return address;
}

std::optional<Address> Address::query(AddressQuery call, int descriptor) {
  Address address;
  socklen_t size = sizeof address.raw_;
  if (call(descriptor, reinterpret_cast<sockaddr*>(&address.raw_), &size) != 0) return {};
  return address;
}
std::optional<Address> Address::own(int descriptor) { return query(::getsockname, descriptor); }
std::optional<Address> Address::peer(int descriptor) { return query(::getpeername, descriptor); }

std::span<const std::uint8_t> Address::bytes() const {
  if (family() == AF_INET6) return raw_.v6.sin6_addr.s6_addr;
  return {reinterpret_cast<const std::uint8_t*>(&raw_.v4.sin_addr), sizeof raw_.v4.sin_addr};
}

std::string Address::text() const {
  char host[INET6_ADDRSTRLEN] = {};
  inet_ntop(family(), bytes().data(), host, sizeof host);
  const std::string name = family() == AF_INET6 ? "[" + std::string(host) + "]" : host;
  return name + ":" + std::to_string(port());
}

bool Address::operator==(const Address& other) const {
  const auto mine = bytes(), theirs = other.bytes();
  return family() == other.family() && port() == other.port() &&
         std::equal(mine.begin(), mine.end(), theirs.begin(), theirs.end());
}

Socket::Socket(Scheduler& scheduler, int descriptor) : descriptor_(descriptor) {
  try {
    watch_ = std::make_unique<Watch>(scheduler, descriptor);
  } catch (...) {
    ::close(descriptor);
    throw;
  }
}

Socket::Socket(Socket&& other) noexcept
    : descriptor_(std::exchange(other.descriptor_, -1)),
      watch_(std::move(other.watch_)),
      observer_(std::move(other.observer_)),
      reads_without_wait_(other.reads_without_wait_),
      send_lacked_memory_(other.send_lacked_memory_) {}

Socket& Socket::operator=(Socket&& other) noexcept {
  std::swap(descriptor_, other.descriptor_);
  std::swap(watch_, other.watch_);
  std::swap(observer_, other.observer_);
  std::swap(reads_without_wait_, other.reads_without_wait_);
  std::swap(send_lacked_memory_, other.send_lacked_memory_);
  return *this;
}

Socket::~Socket() { close(); }

void Socket::close() {
  if (descriptor_ < 0) return;
  if (observer_) observer_->on_closing(descriptor_);
  observer_.reset();
  watch_->close();  // the watch itself lives on until the waiting coroutines have run
  ::close(std::exchange(descriptor_, -1));
}

bool Socket::closed_by_peer() const {
  char byte;
  const ssize_t count = descriptor_ < 0 ? 0 : ::recv(descriptor_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count == 0 || (count < 0 && !would_block(errno) && !lacks_memory(errno) && errno != EINTR);
}

void Socket::limit_send_buffer(std::size_t bytes) {
  const int size = static_cast<int>(std::min<std::size_t>(bytes, 1 << 24));
  if (descriptor_ >= 0) setsockopt(descriptor_, SOL_SOCKET, SO_SNDBUF, &size, sizeof size);
}

std::size_t Socket::unacknowledged() const {
  int queued = 0;
  if (descriptor_ < 0 || ioctl(descriptor_, SIOCOUTQ, &queued) != 0 || queued < 0) return 0;
  return static_cast<std::size_t>(queued);
}

std::size_t Socket::unread() const {
  int bytes = 0;
  if (descriptor_ < 0 || ioctl(descriptor_, FIONREAD, &bytes) != 0 || bytes < 0) return 0;
  return static_cast<std::size_t>(bytes);
}

void Socket::shutdown_write() {
  if (descriptor_ >= 0) ::shutdown(descriptor_, SHUT_WR);
}

void Socket::abort() {
  if (descriptor_ < 0) return;
  const linger reset_on_close{1, 0};
  setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof reset_on_close);
  close();
}

Task<IoResult> Socket::read(Buffer& buffer, std::size_t min_space, Seconds until) {
  if (++reads_without_wait_ > kMaxReadsPerTurn && descriptor_ >= 0) {
    reads_without_wait_ = 0;
    co_await watch_->scheduler().next_turn();
  }
  for (;;) {
    if (descriptor_ < 0) co_return IoResult{IoStatus::kClosed, 0};
    const auto space = buffer.prepare(min_space);
    const ssize_t count = ::recv(descriptor_, space.data(), space.size(), 0);
    if (count > 0) {
      buffer.commit(static_cast<std::size_t>(count));
      if (observer_) observer_->on_read(static_cast<std::size_t>(count));
      co_return IoResult{IoStatus::kOk, static_cast<std::size_t>(count)};
    }
    if (count == 0) co_return IoResult{IoStatus::kEndOfStream, 0};
    if (errno == EINTR) continue;
    const Seconds retry_at = lacks_memory(errno) ? Scheduler::now() + kMemoryRetryDelay : kNever;
    if (!would_block(errno) && retry_at == kNever) co_return IoResult{IoStatus::kBroken, 0};
    buffer.release();
    reads_without_wait_ = 0;
    const WaitResult result =
        co_await (retry_at < until ? watch_->readable_by(retry_at) : watch_->readable(until));
    if (result == WaitResult::kTimedOut) co_return IoResult{IoStatus::kTimedOut, 0};
    if (result == WaitResult::kClosed) co_return IoResult{IoStatus::kClosed, 0};
  }
}

IoResult Socket::write_now(std::string_view bytes) {
  IoResult io;
  while (io.bytes < bytes.size()) {
    if (descriptor_ < 0) return {IoStatus::kClosed, io.bytes};
    const ssize_t count = ::send(descriptor_, bytes.data() + io.bytes, bytes.size() - io.bytes, MSG_NOSIGNAL);
    send_lacked_memory_ = count < 0 && lacks_memory(errno);
    if (count >= 0) {
      io.bytes += static_cast<std::size_t>(count);
      if (observer_) observer_->on_written(static_cast<std::size_t>(count));
    } else if (errno != EINTR) {
      const bool must_wait = would_block(errno) || send_lacked_memory_;
      return {must_wait ? IoStatus::kTimedOut : IoStatus::kBroken, io.bytes};
    }
  }
  return io;
}

Watch::Wait Socket::writable(Seconds until) {
  const Seconds retry_at = Scheduler::now() + kMemoryRetryDelay;
  return send_lacked_memory_ && retry_at < until ? watch_->writable_by(retry_at) : watch_->writable(until);
}

Task<IoResult> Socket::write(std::string_view bytes, Seconds until) {
  std::size_t written = 0;
  for (;;) {
    const IoResult io = write_now(bytes.substr(written));
    written += io.bytes;
    if (io.status != IoStatus::kTimedOut) co_return IoResult{io.status, written};
    const WaitResult result = co_await writable(until);
    if (result == WaitResult::kTimedOut) co_return IoResult{IoStatus::kTimedOut, written};
    if (result == WaitResult::kClosed) co_return IoResult{IoStatus::kClosed, written};
  }
}

Task<ConnectResult> connect(Scheduler& scheduler, Address to, Seconds until, const Address* from) {
  ConnectResult connected;
  const int descriptor = ::socket(to.family(), SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  connected.status = ConnectStatus::kLocalFailure;
  connected.error = descriptor < 0 ? errno : 0;
  if (descriptor < 0) co_return connected;
  try {
    connected.socket = Socket(scheduler, descriptor);
  } catch (const std::system_error& error) {
    connected.error = error.code().value();
    co_return connected;
  }
  const int on = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (from && ::bind(descriptor, from->raw(), from->size()) != 0) {
    connected.error = errno;
    co_return connected;
  }
  if (::connect(descriptor, to.raw(), to.size()) == 0) {
    connected.status = ConnectStatus::kConnected;
    co_return connected;
  }
  if (errno != EINPROGRESS && errno != EINTR) {
    connected.error = errno;
    connected.status = is_local_error(errno) ? ConnectStatus::kLocalFailure : ConnectStatus::kRefused;
    co_return connected;
  }
  connected.status = ConnectStatus::kRefused;
  for (;;) {
    const WaitResult result = co_await connected.socket.watch_->writable(until);
    if (result == WaitResult::kTimedOut) connected.status = ConnectStatus::kTimedOut;
    if (result != WaitResult::kReady) co_return connected;
    int error = 0;
    socklen_t size = sizeof error;
    getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
    connected.error = error;
    if (error == ECONNRESET) connected.status = ConnectStatus::kReset;
    if (is_local_error(error)) connected.status = ConnectStatus::kLocalFailure;
    if (error != 0) co_return connected;
    if (Address::peer(descriptor)) break;
  }
  connected.status = ConnectStatus::kConnected;
  co_return connected;
}

Listener::Listener(Scheduler& scheduler, const Address& address, int backlog) : scheduler_(scheduler) {
  const int descriptor = ::socket(address.family(), SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor < 0) throw std::system_error(errno, std::generic_category(), "socket");
  socket_ = Socket(scheduler, descriptor);
  const int on = 1;
  setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (::bind(descriptor, address.raw(), address.size()) != 0)
    throw std::system_error(errno, std::generic_category(), "can't listen at " + address.text());
  if (::listen(descriptor, backlog) != 0)
    throw std::system_error(errno, std::generic_category(), "can't listen at " + address.text());
}

Task<Listener::AcceptResult> Listener::accept() {
  AcceptResult accepted;
  for (int connection_errors = 0;;) {
    if (!socket_.open()) co_return accepted;
    if (pending_ < 0)
      pending_ = ::accept4(socket_.descriptor_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (pending_ >= 0) co_return watch_pending();
    if (concerns_one_connection(errno) && ++connection_errors < kMaxConnectionErrors) continue;
    if (!would_block(errno)) {
      accepted.error = errno;
      accepted.status = errno == EMFILE ? Status::kDescriptorLimit : Status::kTransientFailure;
      co_return accepted;
    }
    const WaitResult result = co_await socket_.watch_->readable(kNever);
    if (result == WaitResult::kClosed) co_return accepted;
  }
}

// Keeps an accepted connection if epoll has no memory or no free watch for it (ENOMEM, ENOSPC): closing it
// here would lose its client. The connections behind it wait in the backlog until it can be watched.
Listener::AcceptResult Listener::watch_pending() {
  AcceptResult accepted;
  try {
    accepted.socket.watch_ = std::make_unique<Watch>(scheduler_, pending_);
  } catch (const std::system_error& error) {
    accepted.status = Status::kTransientFailure;
    accepted.error = error.code().value();
    return accepted;
  }
  accepted.socket.descriptor_ = std::exchange(pending_, -1);
  accepted.status = Status::kAccepted;
  const int on = 1;
  setsockopt(accepted.socket.descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return accepted;
}

void Listener::close() {
  socket_.close();
  if (pending_ >= 0) ::close(std::exchange(pending_, -1));
}

Listener::~Listener() { close(); }

Address Listener::address() const { return *Address::own(socket_.descriptor_); }

namespace {
Socket datagram_socket(Scheduler& scheduler, const Address& address,
                       int (*bind_or_connect)(int, const sockaddr*, socklen_t), const char* error_text) {
  const int descriptor = ::socket(address.family(), SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor < 0) throw std::system_error(errno, std::generic_category(), "socket");
  Socket socket(scheduler, descriptor);
  if (bind_or_connect(descriptor, address.raw(), address.size()) != 0)
    throw std::system_error(errno, std::generic_category(), error_text + address.text());
  return socket;
}
}  // namespace

DatagramSocket DatagramSocket::connected_to(Scheduler& scheduler, const Address& address) {
  return DatagramSocket(datagram_socket(scheduler, address, ::connect, "can't send to "));
}
DatagramSocket DatagramSocket::bound_to(Scheduler& scheduler, const Address& address) {
  return DatagramSocket(datagram_socket(scheduler, address, ::bind, "can't listen at "));
}

DatagramSocket::SendStatus DatagramSocket::send_now(std::string_view bytes) {
  for (;;) {
    if (::send(socket_.descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL) >= 0) return SendStatus::kSent;
    if (errno == EINTR) continue;
    if (would_block(errno) || errno == ENOBUFS || errno == ENOMEM) return SendStatus::kWouldBlock;
    if (errno == ECONNREFUSED) return SendStatus::kRefused;
    return errno == EMSGSIZE ? SendStatus::kTooLong : SendStatus::kFailed;
  }
}

Task<DatagramSocket::ReceiveResult> DatagramSocket::receive(std::span<char> buffer, Seconds until) {
  for (;;) {
    ReceiveResult result;
    if (!socket_.open()) co_return result;
    sockaddr_storage from{};
    socklen_t size = sizeof from;
    const ssize_t count = ::recvfrom(socket_.descriptor_, buffer.data(), buffer.size(), 0,
                                     reinterpret_cast<sockaddr*>(&from), &size);
    if (count >= 0) {
      result.ok = true;
      result.bytes = static_cast<std::size_t>(count);
      result.from = Address::of(reinterpret_cast<const sockaddr*>(&from), size);
      co_return result;
    }
    if (errno == EINTR) continue;
    if (!would_block(errno)) co_return result;
    if (co_await socket_.watch_->readable(until) != WaitResult::kReady) co_return result;
  }
}

}  // namespace hareramp::transport
