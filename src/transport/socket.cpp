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
constexpr int kGoneInARow = 64;  // connections that ended before they were accepted, taken in one turn

constexpr Seconds kMemoryRetry = 0.01;  // to the next try of a call for which the kernel had no memory

bool would_block(int error) { return error == EAGAIN || error == EWOULDBLOCK; }

// The kernel had no memory for the call; the connection stands.
bool lacks_memory(int error) { return error == ENOBUFS || error == ENOMEM; }

// Errors that accept4 passes on from the one connection that it would have taken (accept(2), "Error
// handling"), a firewall's refusal of it, and signals: the next connection may be taken at once.
bool is_of_one_connection(int error) {
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

// Errors of a connect that arise on this machine, before anything could reach the other side (connect(2)).
bool is_local(int error) {
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

std::optional<Address> Address::ask(Asked asked, int descriptor) {
  Address address;
  socklen_t size = sizeof address.raw_;
  if (asked(descriptor, reinterpret_cast<sockaddr*>(&address.raw_), &size) != 0) return {};
  return address;
}
std::optional<Address> Address::own(int descriptor) { return ask(::getsockname, descriptor); }
std::optional<Address> Address::peer(int descriptor) { return ask(::getpeername, descriptor); }

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
      send_lacked_memory_(other.send_lacked_memory_) {}

Socket& Socket::operator=(Socket&& other) noexcept {
  std::swap(descriptor_, other.descriptor_);
  std::swap(watch_, other.watch_);
  std::swap(observer_, other.observer_);
  std::swap(send_lacked_memory_, other.send_lacked_memory_);
  return *this;
}

Socket::~Socket() { close(); }

void Socket::close() {
  if (descriptor_ < 0) return;
  if (observer_) observer_->on_closing(descriptor_);
  observer_.reset();
  watch_->close();  // stays until the waiters have run
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
  int waiting = 0;
  if (descriptor_ < 0 || ioctl(descriptor_, SIOCOUTQ, &waiting) != 0 || waiting < 0) return 0;
  return static_cast<std::size_t>(waiting);
}

void Socket::shutdown_write() {
  if (descriptor_ >= 0) ::shutdown(descriptor_, SHUT_WR);
}

void Socket::abort() {
  if (descriptor_ < 0) return;
  const linger at_once{1, 0};
  setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
  close();
}

Task<IoResult> Socket::read(Buffer& into, std::size_t least_room, Seconds until) {
  for (;;) {
    if (descriptor_ < 0) co_return IoResult{IoStatus::kClosed, 0};
    const auto room = into.prepare(least_room);
    const ssize_t count = ::recv(descriptor_, room.data(), room.size(), 0);
    if (count > 0) {
      into.commit(static_cast<std::size_t>(count));
      if (observer_) observer_->on_read(static_cast<std::size_t>(count));
      co_return IoResult{IoStatus::kOk, static_cast<std::size_t>(count)};
    }
    if (count == 0) co_return IoResult{IoStatus::kEndOfStream, 0};
    if (errno == EINTR) continue;
    const Seconds retry_at = lacks_memory(errno) ? Scheduler::now() + kMemoryRetry : kNever;
    if (!would_block(errno) && retry_at == kNever) co_return IoResult{IoStatus::kBroken, 0};
    into.release();
    const WaitResult wake =
        co_await (retry_at < until ? watch_->readable_by(retry_at) : watch_->readable(until));
    if (wake == WaitResult::kTimedOut) co_return IoResult{IoStatus::kTimedOut, 0};
    if (wake == WaitResult::kClosed) co_return IoResult{IoStatus::kClosed, 0};
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
  const Seconds retry_at = Scheduler::now() + kMemoryRetry;
  return send_lacked_memory_ && retry_at < until ? watch_->writable_by(retry_at) : watch_->writable(until);
}

Task<IoResult> Socket::write(std::string_view bytes, Seconds until) {
  std::size_t written = 0;
  for (;;) {
    const IoResult io = write_now(bytes.substr(written));
    written += io.bytes;
    if (io.status != IoStatus::kTimedOut) co_return IoResult{io.status, written};
    const WaitResult wake = co_await writable(until);
    if (wake == WaitResult::kTimedOut) co_return IoResult{IoStatus::kTimedOut, written};
    if (wake == WaitResult::kClosed) co_return IoResult{IoStatus::kClosed, written};
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
    connected.status = is_local(errno) ? ConnectStatus::kLocalFailure : ConnectStatus::kRefused;
    co_return connected;
  }
  connected.status = ConnectStatus::kRefused;
  for (;;) {
    const WaitResult wake = co_await connected.socket.watch_->writable(until);
    if (wake == WaitResult::kTimedOut) connected.status = ConnectStatus::kTimedOut;
    if (wake != WaitResult::kReady) co_return connected;
    int error = 0;
    socklen_t size = sizeof error;
    getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
    connected.error = error;
    if (error == ECONNRESET) connected.status = ConnectStatus::kReset;
    if (is_local(error)) connected.status = ConnectStatus::kLocalFailure;
    if (error != 0) co_return connected;
    if (Address::peer(descriptor)) break;
  }
  connected.status = ConnectStatus::kConnected;
  co_return connected;
}

Listener::Listener(Scheduler& scheduler, const Address& at, int backlog) : scheduler_(scheduler) {
  const int descriptor = ::socket(at.family(), SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor < 0) throw std::system_error(errno, std::generic_category(), "socket");
  socket_ = Socket(scheduler, descriptor);
  const int on = 1;
  setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (::bind(descriptor, at.raw(), at.size()) != 0)
    throw std::system_error(errno, std::generic_category(), "can't listen at " + at.text());
  if (::listen(descriptor, backlog) != 0)
    throw std::system_error(errno, std::generic_category(), "can't listen at " + at.text());
}

Task<Listener::AcceptResult> Listener::accept() {
  AcceptResult accepted;
  for (int gone = 0;;) {
    if (!socket_.open()) co_return accepted;
    if (unwatched_ < 0)
      unwatched_ = ::accept4(socket_.descriptor_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (unwatched_ >= 0) co_return watch_unwatched();
    if (is_of_one_connection(errno) && ++gone < kGoneInARow) continue;  // what persists must not spin
    if (!would_block(errno)) {
      accepted.error = errno;
      accepted.status = errno == EMFILE ? Status::kDescriptorLimit : Status::kTransientFailure;
      co_return accepted;
    }
    const WaitResult wake = co_await socket_.watch_->readable(kNever);
    if (wake == WaitResult::kClosed) co_return accepted;
  }
}

// Guards against a kernel that has no room for another watch (ENOMEM, ENOSPC): closed here, the connection's
// client would be lost. Those behind it wait in the backlog until it can be watched.
Listener::AcceptResult Listener::watch_unwatched() {
  AcceptResult accepted;
  try {
    accepted.socket.watch_ = std::make_unique<Watch>(scheduler_, unwatched_);
  } catch (const std::system_error& error) {
    accepted.status = Status::kTransientFailure;
    accepted.error = error.code().value();
    return accepted;
  }
  accepted.socket.descriptor_ = std::exchange(unwatched_, -1);
  accepted.status = Status::kAccepted;
  const int on = 1;
  setsockopt(accepted.socket.descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return accepted;
}

void Listener::close() {
  socket_.close();
  if (unwatched_ >= 0) ::close(std::exchange(unwatched_, -1));
}

Listener::~Listener() { close(); }

Address Listener::address() const { return *Address::own(socket_.descriptor_); }

namespace {
Socket datagram_socket(Scheduler& scheduler, const Address& address,
                       int (*use)(int, const sockaddr*, socklen_t), const char* what) {
  const int descriptor = ::socket(address.family(), SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor < 0) throw std::system_error(errno, std::generic_category(), "socket");
  Socket socket(scheduler, descriptor);
  if (use(descriptor, address.raw(), address.size()) != 0)
    throw std::system_error(errno, std::generic_category(), what + address.text());
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

Task<DatagramSocket::ReceiveResult> DatagramSocket::receive(std::span<char> room, Seconds until) {
  for (;;) {
    ReceiveResult got;
    if (!socket_.open()) co_return got;
    sockaddr_storage from{};
    socklen_t size = sizeof from;
    const ssize_t count = ::recvfrom(socket_.descriptor_, room.data(), room.size(), 0,
                                     reinterpret_cast<sockaddr*>(&from), &size);
    if (count >= 0) {
      got.ok = true;
      got.bytes = static_cast<std::size_t>(count);
      got.from = Address::of(reinterpret_cast<const sockaddr*>(&from), size);
      co_return got;
    }
    if (errno == EINTR) continue;
    if (!would_block(errno)) co_return got;
    if (co_await socket_.watch_->readable(until) != WaitResult::kReady) co_return got;
  }
}

}  // namespace hareramp::transport
