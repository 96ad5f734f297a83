// TCP and UDP sockets for coroutines, over IPv4 and IPv6. Every wait has a time at which it ends.
#pragma once

#include <netinet/in.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "transport/buffer.hpp"
#include "transport/scheduler.hpp"
#include "transport/task.hpp"

namespace hareramp::transport {

// An address with its port, as in 127.0.0.1:80 or [::1]:80.
class Address {
 public:
  static std::optional<Address> parse(std::string_view text);
  // As the system tells it of a socket's own side or of the other one; none if it has neither.
  static std::optional<Address> own(int descriptor);
  static std::optional<Address> peer(int descriptor);

  static Address of(const sockaddr* raw, socklen_t size);

  int family() const { return raw_.v4.sin_family; }
  const sockaddr* raw() const { return reinterpret_cast<const sockaddr*>(&raw_); }
  socklen_t size() const { return family() == AF_INET6 ? sizeof raw_.v6 : sizeof raw_.v4; }
  std::uint16_t port() const { return ntohs(family() == AF_INET6 ? raw_.v6.sin6_port : raw_.v4.sin_port); }
  // 4 or 16 bytes, in network order.
  std::span<const std::uint8_t> bytes() const;
  std::string text() const;
  bool operator==(const Address& other) const;

 private:
  using Asked = int (*)(int, sockaddr*, socklen_t*);
  static std::optional<Address> ask(Asked asked, int descriptor);
  union Raw {
    sockaddr_in v4;
    sockaddr_in6 v6;
  };
  Raw raw_{};
};

// Told of what a socket moves, where somebody counts it. Lives with the socket.
class SocketObserver {
 public:
  virtual ~SocketObserver() = default;
  virtual void on_read(std::size_t bytes) = 0;
  virtual void on_written(std::size_t bytes) = 0;
  // The descriptor is still open: the last look at what the kernel counted.
  virtual void on_closing(int descriptor) = 0;
};

enum class IoStatus { kOk, kEndOfStream, kBroken, kTimedOut, kClosed };

struct IoResult {
  IoStatus status = IoStatus::kOk;
  std::size_t bytes = 0;  // how many moved, also where it did not end well
  bool ok() const { return status == IoStatus::kOk; }
};

class Socket {
 public:
  Socket() = default;
  Socket(Scheduler& scheduler, int descriptor);  // takes the descriptor over
  Socket(Socket&& other) noexcept;
  Socket& operator=(Socket&& other) noexcept;
  ~Socket();

  bool open() const { return descriptor_ >= 0; }
  int descriptor() const { return descriptor_; }
  void observe(std::unique_ptr<SocketObserver> observer) { observer_ = std::move(observer); }
  SocketObserver* observer() const { return observer_.get(); }
  // At most about so many bytes wait in the kernel to be sent; more makes a write wait.
  void limit_send_buffer(std::size_t bytes);
  // Bytes written that the other side's kernel has not acknowledged.
  std::size_t unacknowledged() const;
  // One read, of whatever is there, behind what the buffer holds.
  Task<IoResult> read(Buffer& into, std::size_t least_room, Seconds until);
  // All of it, unless the connection ends or the time comes.
  Task<IoResult> write(std::string_view bytes, Seconds until);
  // As much as goes without waiting; kTimedOut says that the rest must wait for writable(), also where the
  // kernel had no memory for it (ENOBUFS, ENOMEM): the connection stands.
  IoResult write_now(std::string_view bytes);
  Watch::Wait writable(Seconds until);
  // The other side has closed or reset it: bytes written now would be lost.
  bool closed_by_peer() const;
  // Calls once, as soon as the other side has closed its sending side or has reset the connection, also while
  // bytes that it sent before are unread. Called from within the scheduler's wait, before any coroutine that
  // the same wait woke; may close this socket.
  void on_peer_closed(Callback what) { watch_->on_peer_closed(std::move(what)); }
  // Nothing more will be written; what was is still delivered.
  void shutdown_write();
  // Bytes that come no more are thrown away, and whoever waits is woken.
  void close();
  // The other side is told by a reset that what it got is not whole.
  void abort();

 private:
  friend class Listener;
  friend class DatagramSocket;
  friend Task<struct ConnectResult> connect(Scheduler& scheduler, Address to, Seconds until,
                                            const Address* from);
  int descriptor_ = -1;
  std::unique_ptr<Watch> watch_;
  std::unique_ptr<SocketObserver> observer_;
  bool send_lacked_memory_ = false;  // the last send did
};

// kReset: it came up, and the other side ended it at once.
// kLocalFailure: our own side could not even ask (no descriptor, no memory, no port, no network); this says
// nothing of the other side.
enum class ConnectStatus { kConnected, kRefused, kReset, kTimedOut, kLocalFailure };

struct ConnectResult {
  ConnectStatus status = ConnectStatus::kRefused;
  int error = 0;  // errno of the call that failed; 0 where none did
  Socket socket;
};
// from, where it is given, is the address of our own side; port 0 takes any.
Task<ConnectResult> connect(Scheduler& scheduler, Address to, Seconds until, const Address* from = nullptr);

class Listener {
 public:
  Listener(Scheduler& scheduler, const Address& at, int backlog);  // throws std::system_error
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  // kDescriptorLimit: this process has no descriptor left, which closing one of its own mends.
  // kTransientFailure: the system could not for now (its table is full, no memory, the network is down); the
  // caller tries again after a pause.
  enum class Status { kAccepted, kDescriptorLimit, kTransientFailure, kClosed };
  struct AcceptResult {
    Status status = Status::kClosed;
    int error = 0;  // errno, where it was not taken
    Socket socket;
  };
  Task<AcceptResult> accept();
  Address address() const;
  void close();

 private:
  AcceptResult watch_unwatched();

  Scheduler& scheduler_;
  Socket socket_;
  int unwatched_ = -1;  // a connection that is accepted and not yet watched; the next accept tries again
};

// A UDP socket: one that sends to a single address, or one that takes what comes to its own.
class DatagramSocket {
 public:
  // Throw std::system_error.
  static DatagramSocket connected_to(Scheduler& scheduler, const Address& address);
  static DatagramSocket bound_to(Scheduler& scheduler, const Address& address);

  enum class SendStatus { kSent, kWouldBlock, kRefused, kTooLong, kFailed };
  // One datagram, or none of it. kRefused: nobody listens there, told of one sent before.
  SendStatus send_now(std::string_view bytes);
  struct ReceiveResult {
    bool ok = false;
    std::size_t bytes = 0;
    Address from;
  };
  // The next datagram; what does not fit into the room is cut off and lost.
  Task<ReceiveResult> receive(std::span<char> room, Seconds until);
  Address address() const { return *Address::own(socket_.descriptor()); }
  bool open() const { return socket_.open(); }
  void close() { socket_.close(); }

 private:
  explicit DatagramSocket(Socket socket) : socket_(std::move(socket)) {}
  Socket socket_;
};

}  // namespace hareramp::transport
