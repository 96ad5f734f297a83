// TCP sockets for coroutines. Every wait has a time at which it ends.
#pragma once

#include <netinet/in.h>

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "transport/buffer.hpp"
#include "transport/scheduler.hpp"
#include "transport/task.hpp"

namespace hareramp::transport {

// An IPv4 address with its port, as in 127.0.0.1:80.
class Address {
 public:
  static std::optional<Address> parse(std::string_view text);
  const sockaddr_in& raw() const { return raw_; }
  std::string text() const;
  bool operator==(const Address& other) const {
    return raw_.sin_addr.s_addr == other.raw_.sin_addr.s_addr && raw_.sin_port == other.raw_.sin_port;
  }

 private:
  friend class Listener;
  sockaddr_in raw_{};
};

enum class IoEnd { kDone, kEnded, kBroken, kTimedOut, kClosed };

struct Io {
  IoEnd end = IoEnd::kDone;
  std::size_t bytes = 0;  // how many moved, also where it did not end well
  bool ok() const { return end == IoEnd::kDone; }
};

class Socket {
 public:
  Socket() = default;
  Socket(Scheduler& scheduler, int descriptor);  // takes the descriptor over
  Socket(Socket&& other) noexcept;
  Socket& operator=(Socket&& other) noexcept;
  ~Socket();

  bool open() const { return descriptor_ >= 0; }
  // One read, of whatever is there, behind what the buffer holds.
  Task<Io> read(Buffer& into, std::size_t least_room, Seconds until);
  // All of it, unless the connection ends or the time comes.
  Task<Io> write(std::string_view bytes, Seconds until);
  // As much as goes without waiting; kTimedOut says that the rest must wait for writable().
  Io write_now(std::string_view bytes);
  auto writable(Seconds until) { return watch_->writable(until); }
  // The other side has closed or reset it: bytes written now would be lost.
  bool ended() const;
  // Nothing more will be written; what was is still delivered.
  void finish();
  // Bytes that come no more are thrown away, and whoever waits is woken.
  void close();
  // The other side is told by a reset that what it got is not whole.
  void abort();

 private:
  friend class Listener;
  friend Task<struct Connected> connect(Scheduler& scheduler, Address to, Seconds until);
  int descriptor_ = -1;
  std::unique_ptr<Watch> watch_;
};

// kReset: it came up, and the other side ended it at once.
enum class ConnectEnd { kUp, kRefused, kReset, kTimedOut, kNoDescriptor };

struct Connected {
  ConnectEnd end = ConnectEnd::kRefused;
  Socket socket;
};
Task<Connected> connect(Scheduler& scheduler, Address to, Seconds until);

class Listener {
 public:
  Listener(Scheduler& scheduler, const Address& at, int backlog);  // throws std::system_error

  enum class End { kTaken, kNoDescriptor, kClosed };
  struct Accepted {
    End end = End::kClosed;
    Socket socket;
  };
  Task<Accepted> accept();
  Address address() const;
  void close() { socket_.close(); }

 private:
  Scheduler& scheduler_;
  Socket socket_;
};

}  // namespace hareramp::transport
