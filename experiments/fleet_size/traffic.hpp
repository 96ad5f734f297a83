// The clients of one director: an open-loop load with Poisson arrivals at a given rate, objects drawn by
// Zipf's law and persistent connections. A late answer does not delay later requests.
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
  std::uint64_t offered = 0;
  std::uint64_t served = 0;       // 200
  std::uint64_t rejected = 0;     // 503
  std::uint64_t failed = 0;       // 500 and other answers
  std::uint64_t no_answer = 0;    // no answer in time, or no connection
  std::uint64_t not_started = 0;  // too many requests were open
};

class Traffic {
 public:
  Traffic(transport::Scheduler& scheduler, transport::Address director, TrafficPlan plan);
  // Starts requests now and ends them at `until`, a time of the scheduler's clock.
  void start(double until);
  const TrafficCounts& counts() const { return counts_; }
  int open() const { return open_; }  // requests in progress

 private:
  // A persistent connection with the bytes that were read and not yet parsed.
  struct Connection {
    transport::Socket socket;
    transport::Buffer received;
  };
  static transport::Task<> generate_arrivals(Traffic& self, double until);
  static transport::Task<> request(Traffic& self, int object);
  // Returns the status of the answer; 0 without an answer.
  transport::Task<int> send_request(Connection& connection, std::string text);
  int draw_object();

  transport::Scheduler& scheduler_;
  transport::Address director_;
  TrafficPlan plan_;
  std::mt19937_64 random_;
  std::vector<double> cumulative_;  // cumulative popularity, by object
  std::vector<Connection> idle_;
  TrafficCounts counts_;
  std::uint64_t numbers_ = 0;
  int open_ = 0;
};

}  // namespace hareramp::fleet_size
