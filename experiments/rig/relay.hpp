// TCP relay on loopback that injects network faults between two endpoints. Each direction can be delayed,
// throttled or cut independently; reset() aborts all open connections. TCP loses no data: a cut direction
// keeps its bytes until it heals or the connection ends. A connection opened during a cut is established and
// stays silent, which is harder to detect than a connection that is never established.
#pragma once

#include <list>
#include <memory>

#include "transport/scheduler.hpp"
#include "transport/socket.hpp"

namespace hareramp::rig {

struct Direction {
  double delay = 0;        // s
  double bytes_per_s = 0;  // 0: unlimited
  bool cut = false;
};

class Relay {
 public:
  Relay(transport::Scheduler& scheduler, transport::Address target);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;
  transport::Address address() const { return address_; }
  void set_target(transport::Address target) { target_ = target; }  // for connections accepted from now on
  void reset();                                                     // aborts all open connections
  std::size_t accepted_connections() const { return accepted_connections_; }  // since the start

  Direction to_target, from_target;

 private:
  struct Pair {
    transport::Socket client, target;
  };
  static transport::Task<> accept_connections(Relay& self);
  static transport::Task<> connect_pair(Relay& self, std::shared_ptr<Pair> pair);
  static transport::Task<> pump(Relay& self, std::shared_ptr<Pair> pair, bool towards_target);

  transport::Scheduler& scheduler_;
  transport::Address target_;
  transport::Listener listener_;
  transport::Address address_;
  std::list<std::weak_ptr<Pair>> pairs_;
  std::size_t accepted_connections_ = 0;
};

}  // namespace hareramp::rig
