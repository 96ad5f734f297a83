#include "transport/socket.hpp"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <charconv>
#include <system_error>
#include <utility>

namespace hareramp::transport {

namespace {
bool would_block(int error) { return error == EAGAIN || error == EWOULDBLOCK; }
}  // namespace

std::optional<Address> Address::parse(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) return {};
  Address address;
  const std::string_view digits = text.substr(colon + 1);
  unsigned short port = 0;
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (error != std::errc() || end != digits.data() + digits.size()) return {};
  address.raw_.sin_family = AF_INET;
  address.raw_.sin_port = htons(port);
  if (inet_pton(AF_INET, std::string(text.substr(0, colon)).c_str(), &address.raw_.sin_addr) != 1) return {};
  return address;
}

std::string Address::text() const {
  char host[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &raw_.sin_addr, host, sizeof host);
  return std::string(host) + ":" + std::to_string(ntohs(raw_.sin_port));
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
    : descriptor_(std::exchange(other.descriptor_, -1)), watch_(std::move(other.watch_)) {}

Socket& Socket::operator=(Socket&& other) noexcept {
  std::swap(descriptor_, other.descriptor_);
  std::swap(watch_, other.watch_);
  return *this;
}

Socket::~Socket() { close(); }

void Socket::close() {
  if (descriptor_ < 0) return;
  watch_->close();  // stays until the waiters have run
  ::close(std::exchange(descriptor_, -1));
}

bool Socket::ended() const {
  char byte;
  const ssize_t count = descriptor_ < 0 ? 0 : ::recv(descriptor_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count == 0 || (count < 0 && !would_block(errno) && errno != EINTR);
}

void Socket::finish() {
  if (descriptor_ >= 0) ::shutdown(descriptor_, SHUT_WR);
}

void Socket::abort() {
  if (descriptor_ < 0) return;
  const linger at_once{1, 0};
  setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
  close();
}

Task<Io> Socket::read(Buffer& into, std::size_t least_room, Seconds until) {
  for (;;) {
    if (descriptor_ < 0) co_return Io{IoEnd::kClosed, 0};
    const auto room = into.room(least_room);
    const ssize_t count = ::recv(descriptor_, room.data(), room.size(), 0);
    if (count > 0) {
      into.filled(static_cast<std::size_t>(count));
      co_return Io{IoEnd::kDone, static_cast<std::size_t>(count)};
    }
    if (count == 0) co_return Io{IoEnd::kEnded, 0};
    if (errno == EINTR) continue;
    if (!would_block(errno)) co_return Io{IoEnd::kBroken, 0};
    into.release();
    const Wake wake = co_await watch_->readable(until);
    if (wake == Wake::kTimedOut) co_return Io{IoEnd::kTimedOut, 0};
    if (wake == Wake::kClosed) co_return Io{IoEnd::kClosed, 0};
  }
}

Io Socket::write_now(std::string_view bytes) {
  Io io;
  while (io.bytes < bytes.size()) {
    if (descriptor_ < 0) return {IoEnd::kClosed, io.bytes};
    const ssize_t count = ::send(descriptor_, bytes.data() + io.bytes, bytes.size() - io.bytes, MSG_NOSIGNAL);
    if (count >= 0) {
      io.bytes += static_cast<std::size_t>(count);
    } else if (errno != EINTR) {
      return {would_block(errno) ? IoEnd::kTimedOut : IoEnd::kBroken, io.bytes};
    }
  }
  return io;
}

Task<Io> Socket::write(std::string_view bytes, Seconds until) {
  std::size_t written = 0;
  for (;;) {
    const Io io = write_now(bytes.substr(written));
    written += io.bytes;
    if (io.end != IoEnd::kTimedOut) co_return Io{io.end, written};
    const Wake wake = co_await watch_->writable(until);
    if (wake == Wake::kTimedOut) co_return Io{IoEnd::kTimedOut, written};
    if (wake == Wake::kClosed) co_return Io{IoEnd::kClosed, written};
  }
}

Task<Connected> connect(Scheduler& scheduler, Address to, Seconds until) {
  Connected connected;
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  connected.end = ConnectEnd::kNoDescriptor;
  if (descriptor < 0) co_return connected;
  try {
    connected.socket = Socket(scheduler, descriptor);
  } catch (const std::system_error&) {
    co_return connected;
  }
  connected.end = ConnectEnd::kRefused;
  const int on = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  const auto* raw = reinterpret_cast<const sockaddr*>(&to.raw());
  if (::connect(descriptor, raw, sizeof to.raw()) == 0) {
    connected.end = ConnectEnd::kUp;
    co_return connected;
  }
  if (errno != EINPROGRESS && errno != EINTR) co_return connected;
  for (;;) {
    const Wake wake = co_await connected.socket.watch_->writable(until);
    if (wake == Wake::kTimedOut) connected.end = ConnectEnd::kTimedOut;
    if (wake != Wake::kReady) co_return connected;
    int error = 0;
    socklen_t size = sizeof error;
    getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error == ECONNRESET) connected.end = ConnectEnd::kReset;
    if (error != 0) co_return connected;
    sockaddr_in peer{};
    size = sizeof peer;
    if (getpeername(descriptor, reinterpret_cast<sockaddr*>(&peer), &size) == 0) break;
  }
  connected.end = ConnectEnd::kUp;
  co_return connected;
}

Listener::Listener(Scheduler& scheduler, const Address& at, int backlog) : scheduler_(scheduler) {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor < 0) throw std::system_error(errno, std::generic_category(), "socket");
  socket_ = Socket(scheduler, descriptor);
  const int on = 1;
  setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (::bind(descriptor, reinterpret_cast<const sockaddr*>(&at.raw()), sizeof at.raw()) != 0)
    throw std::system_error(errno, std::generic_category(), "can't listen at " + at.text());
  if (::listen(descriptor, backlog) != 0)
    throw std::system_error(errno, std::generic_category(), "can't listen at " + at.text());
}

Task<Listener::Accepted> Listener::accept() {
  Accepted accepted;
  for (;;) {
    if (!socket_.open()) co_return accepted;
    const int descriptor = ::accept4(socket_.descriptor_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (descriptor >= 0) {
      const int on = 1;
      setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      try {
        accepted.socket = Socket(scheduler_, descriptor);
        accepted.end = End::kTaken;
      } catch (const std::system_error&) {  // it can't be watched: as if there were no descriptor
        accepted.end = End::kNoDescriptor;
      }
      co_return accepted;
    }
    if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM) {
      accepted.end = End::kNoDescriptor;
      co_return accepted;
    }
    if (!would_block(errno)) continue;  // that one client went away before it was taken
    const Wake wake = co_await socket_.watch_->readable(kNever);
    if (wake == Wake::kClosed) co_return accepted;
  }
}

Address Listener::address() const {
  Address address;
  socklen_t size = sizeof address.raw_;
  getsockname(socket_.descriptor_, reinterpret_cast<sockaddr*>(&address.raw_), &size);
  return address;
}

}  // namespace hareramp::transport
