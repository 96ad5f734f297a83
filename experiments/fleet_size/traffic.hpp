// The clients of one director: requests arrive by chance at a given rate, for objects by Zipf's law, over
// connections that are kept. An open load: what is late does not hold up what comes next.
#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "transport/buffer.hpp"
#include "transport/scheduler.hpp"
#include "transport/socket.hpp"

namespace hareramp::fleet_size {

struct TrafficPlan {
  double rate = 50;  // requests/s
  int objects = 3000;
  double zipf = 0.9;  // exponent
  std::uint64_t seed = 1;
};

struct TrafficCounts {
  std::uint64_t asked = 0;
  std::uint64_t served = 0;       // 200
  std::uint64_t rejected = 0;     // 503
  std::uint64_t failed = 0;       // 500 and other answers
  std::uint64_t no_answer = 0;    // none in time, or no connection
  std::uint64_t not_started = 0;  // too many were open
};

class Traffic {
 public:
  Traffic(transport::Scheduler& scheduler, transport::Address director, TrafficPlan plan);
  // Requests begin now and come until then, a time of the scheduler's clock.
  void start(double until);
  const TrafficCounts& counts() const { return counts_; }
  int open() const { return open_; }  // requests without an end yet

 private:
  // One kept connection, with the bytes read and not yet used.
  struct Connection {
    transport::Socket socket;
    transport::Buffer in;
  };
  static transport::Task<> arrive(Traffic& self, double until);
  static transport::Task<> request(Traffic& self, int object);
  // The status of the answer; 0 without one.
  transport::Task<int> ask(Connection& connection, std::string text);
  int draw_object();

  transport::Scheduler& scheduler_;
  transport::Address director_;
  TrafficPlan plan_;
  std::mt19937_64 random_;
  std::vector<double> cumulative_;  // weights of objects up to each
  std::vector<Connection> idle_;
  TrafficCounts counts_;
  std::uint64_t numbers_ = 0;
  int open_ = 0;
};

}  // namespace hareramp::fleet_size
