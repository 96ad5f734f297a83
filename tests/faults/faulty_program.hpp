// The real program with the fault library preloaded, connected on loopback to simulated nodes and clients.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

#include "faults/fault_control.hpp"
#include "rig/process.hpp"
#include "rig/world.hpp"
#include "transport/scheduler.hpp"
#include "transport/socket.hpp"

namespace hareramp::faults {

// The outcomes of a number of requests. Each request counts once.
struct Answers {
  int completed = 0;  // 200, with the complete body
  int rejected = 0;   // 503
  int failed = 0;     // 500
  int lost = 0;       // the connection ended or timed out without a complete answer
  int malformed = 0;  // a second answer, other data after the first one, or an unexpected answer
  bool operator==(const Answers&) const = default;
  int total() const { return completed + rejected + failed + lost + malformed; }
  Answers& operator+=(const Answers& other);
};
std::ostream& operator<<(std::ostream& stream, const Answers& answers);

class FaultyProgram {
 public:
  // The scheduler is the test's; it also runs the simulated nodes and clients.
  explicit FaultyProgram(transport::Scheduler& scheduler);
  ~FaultyProgram();
  FaultyProgram(const FaultyProgram&) = delete;
  FaultyProgram& operator=(const FaultyProgram&) = delete;

  // Waits until the program serves; false if it does not start.
  bool wait_until_serving();
  // Sends requests, each on its own connection and `spacing` seconds after the one before, and waits for
  // their outcomes.
  Answers send_requests(int count, const std::string& request_class = "segment", double spacing = 0);
  // Sends groups of four requests until all four of a group are completed; false if that takes too long.
  bool wait_until_recovered();
  bool running() { return !process.ended(); }
  // Sends SIGTERM and waits until the program has exited; false if its exit status is not 0.
  bool shut_down();
  // The value of one of the counters that the program prints on SIGUSR1.
  std::uint64_t counter(const std::string& name);
  // The number of requests that all nodes together have received.
  std::uint64_t node_requests() const;
  // The number of system calls of all kinds that the program has made.
  std::uint64_t system_calls() const;

  transport::Scheduler& scheduler;
  FaultControl faults;
  std::vector<std::unique_ptr<rig::Node>> nodes;
  rig::IdleChangeStream change_log;
  transport::Address listen;

 private:
  static std::vector<std::unique_ptr<rig::Node>> make_nodes(transport::Scheduler& scheduler);
  std::string write_configuration() const;
  static transport::Task<> send_request_at(FaultyProgram& self, std::string request_class, double time,
                                           Answers& answers);
  static transport::Task<Answers> send_request(FaultyProgram& self, std::string request_class,
                                               std::uint64_t number);

  std::string configuration_;
  std::uint64_t requests_sent_ = 0;

 public:
  rig::Process process;
};

}  // namespace hareramp::faults
