// One pair's connections on loopback, with faults put between: what goes there and what comes back are
// delayed, throttled, held or reset each on its own. TCP loses nothing: a cut direction holds its bytes until
// it heals or the connection ends, and a connection set up during a cut comes up and stays silent, which is
// harder to tell than one that never comes up.
#pragma once

#include <list>
#include <memory>

#include "transport/scheduler.hpp"
#include "transport/socket.hpp"

namespace hareramp::rig {

struct Way {
  double delay = 0;        // s
  double bytes_per_s = 0;  // 0: as fast as it goes
  bool cut = false;
};

class Relay {
 public:
  Relay(transport::Scheduler& scheduler, transport::Address to);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;
  transport::Address address() const { return address_; }
  void moved(transport::Address to) { to_ = to; }  // for connections that come from now on
  void reset();                                    // all that are open
  std::size_t taken() const { return taken_; }     // connections so far

  Way to_target, from_target;

 private:
  struct Pair {
    transport::Socket near, far;
  };
  static transport::Task<> take(Relay& self);
  static transport::Task<> join(Relay& self, std::shared_ptr<Pair> pair);
  static transport::Task<> pump(Relay& self, std::shared_ptr<Pair> pair, bool forth);

  transport::Scheduler& scheduler_;
  transport::Address to_;
  transport::Listener listener_;
  transport::Address address_;
  std::list<std::weak_ptr<Pair>> pairs_;
  std::size_t taken_ = 0;
};

}  // namespace hareramp::rig
