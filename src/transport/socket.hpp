// TCP and UDP sockets for coroutines, over IPv4 and IPv6. Every wait has a deadline.
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

// An IP address with a port, as in 127.0.0.1:80 or [::1]:80.
class Address {
 public:
  static std::optional<Address> parse(std::string_view text);
  // The local and the remote address of a socket (getsockname, getpeername); nothing if it has none.
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
  using AddressQuery = int (*)(int, sockaddr*, socklen_t*);
  static std::optional<Address> query(AddressQuery call, int descriptor);
  union Raw {
    sockaddr_in v4;
    sockaddr_in6 v6;
  };
  Raw raw_{};
};

// Is notified of the bytes that a socket reads and writes, for counting. The socket owns it.
class SocketObserver {
 public:
  virtual ~SocketObserver() = default;
  virtual void on_read(std::size_t bytes) = 0;
  virtual void on_written(std::size_t bytes) = 0;
  // Called before the socket closes its descriptor: the last chance to read the kernel's counters.
  virtual void on_closing(int descriptor) = 0;
};

// kEndOfStream: the peer has closed its sending side. kBroken: the connection failed. kClosed: this side has
// closed the socket.
enum class IoStatus { kOk, kEndOfStream, kBroken, kTimedOut, kClosed };

struct IoResult {
  IoStatus status = IoStatus::kOk;
  std::size_t bytes = 0;  // bytes read or written, also if the status is not kOk
  bool ok() const { return status == IoStatus::kOk; }
};

class Socket {
 public:
  Socket() = default;
  Socket(Scheduler& scheduler, int descriptor);  // takes ownership of the descriptor
  Socket(Socket&& other) noexcept;
  Socket& operator=(Socket&& other) noexcept;
  ~Socket();

  bool open() const { return descriptor_ >= 0; }
  int descriptor() const { return descriptor_; }
  void observe(std::unique_ptr<SocketObserver> observer) { observer_ = std::move(observer); }
  SocketObserver* observer() const { return observer_.get(); }
  // Limits the bytes queued in the kernel for sending to about this many; a write of more than that waits.
  void limit_send_buffer(std::size_t bytes);
  // Bytes written that the peer's kernel has not acknowledged.
  std::size_t unacknowledged() const;
  // Bytes that have arrived and not been read; 0 where the system does not report it.
  std::size_t unread() const;
  // One read of the data available, appended to the buffer; it provides space for min_space bytes. After some
  // reads in a row that did not have to wait, the next one waits for the next turn of the loop, so that a
  // peer that sends at full speed does not hold up the others.
  Task<IoResult> read(Buffer& buffer, std::size_t min_space, Seconds until);
  // Writes all bytes, unless the connection ends or the deadline passes.
  Task<IoResult> write(std::string_view bytes, Seconds until);
  // Writes as much as possible without waiting. kTimedOut: await writable() before writing the rest; also if
  // the kernel had no memory (ENOBUFS, ENOMEM), as the connection is still intact.
  IoResult write_now(std::string_view bytes);
  Watch::Wait writable(Seconds until);
  // True if the peer has closed or reset the connection: bytes written now would be lost.
  bool closed_by_peer() const;
  // Calls the callback once, as soon as the peer has closed its sending side or reset the connection, also
  // while bytes that it sent before are unread. The call comes from the scheduler's wait for sockets, before
  // any coroutine that the same wait woke; it may close this socket.
  void on_peer_closed(Callback callback) { watch_->on_peer_closed(std::move(callback)); }
  // Closes the sending side; bytes already written are still delivered.
  void shutdown_write();
  // Closes the connection and wakes the waiting coroutines with kClosed. Data that arrives later is
  // discarded.
  void close();
  // Closes the connection with a reset, so that the peer knows that the data it received is incomplete.
  void abort();

 private:
  friend class Listener;
  friend class DatagramSocket;
  friend Task<struct ConnectResult> connect(Scheduler& scheduler, Address to, Seconds until,
                                            const Address* from);
  int descriptor_ = -1;
  std::unique_ptr<Watch> watch_;
  std::unique_ptr<SocketObserver> observer_;
  int reads_without_wait_ = 0;       // in a row
  bool send_lacked_memory_ = false;  // the last send failed with ENOBUFS or ENOMEM
};

// kReset: the connection was established and the peer reset it at once.
// kLocalFailure: the attempt failed on this machine (no descriptor, no memory, no port, no network); this
// says nothing about the peer.
enum class ConnectStatus { kConnected, kRefused, kReset, kTimedOut, kLocalFailure };

struct ConnectResult {
  ConnectStatus status = ConnectStatus::kRefused;
  int error = 0;  // errno of the call that failed, or 0
  Socket socket;
};
// `from`, if not null, is the local address to bind to; with port 0 the system chooses the port.
Task<ConnectResult> connect(Scheduler& scheduler, Address to, Seconds until, const Address* from = nullptr);

class Listener {
 public:
  Listener(Scheduler& scheduler, const Address& address, int backlog);  // throws std::system_error
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  // kDescriptorLimit: this process has no file descriptor left; closing one of its own helps.
  // kTransientFailure: the system could not accept for now (its file table is full, no memory, the network is
  // down); the caller retries after a delay.
  enum class Status { kAccepted, kDescriptorLimit, kTransientFailure, kClosed };
  struct AcceptResult {
    Status status = Status::kClosed;
    int error = 0;  // errno, if no connection was accepted
    Socket socket;
  };
  Task<AcceptResult> accept();
  Address address() const;
  void close();

 private:
  AcceptResult watch_pending();

  Scheduler& scheduler_;
  Socket socket_;
  int pending_ = -1;  // an accepted connection that epoll could not watch yet; the next accept() retries
};

// A UDP socket: it either sends to one address or receives at its own.
class DatagramSocket {
 public:
  // Both throw std::system_error.
  static DatagramSocket connected_to(Scheduler& scheduler, const Address& address);
  static DatagramSocket bound_to(Scheduler& scheduler, const Address& address);

  enum class SendStatus { kSent, kWouldBlock, kRefused, kTooLong, kFailed };
  // Sends one datagram whole or not at all. kWouldBlock: the send buffer is full or the kernel has no memory.
  // kRefused: no socket listens at the address; the error belongs to a datagram sent before.
  SendStatus send_now(std::string_view bytes);
  struct ReceiveResult {
    bool ok = false;
    std::size_t bytes = 0;
    Address from;
  };
  // The next datagram; what does not fit into the buffer is discarded.
  Task<ReceiveResult> receive(std::span<char> buffer, Seconds until);
  Address address() const { return *Address::own(socket_.descriptor()); }
  bool open() const { return socket_.open(); }
  void close() { socket_.close(); }

 private:
  explicit DatagramSocket(Socket socket) : socket_(std::move(socket)) {}
  Socket socket_;
};

}  // namespace hareramp::transport
