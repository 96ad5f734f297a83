// The real program with faults preloaded, between stand-in nodes and clients on loopback.
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

// What became of a number of requests. Every one of them counts once.
struct Answers {
  int completed = 0;  // 200, with the whole body
  int rejected = 0;   // 503
  int failed = 0;     // 500
  int lost = 0;       // the connection ended, or its time was over, without a whole answer
  int malformed = 0;  // a second answer, or something else behind the first
  bool operator==(const Answers&) const = default;
  int all() const { return completed + rejected + failed + lost + malformed; }
  Answers& operator+=(const Answers& more);
};
std::ostream& operator<<(std::ostream& to, const Answers& answers);

class FaultyProgram {
 public:
  // The scheduler is that of the test; it runs the stand-ins as well.
  explicit FaultyProgram(transport::Scheduler& scheduler);
  ~FaultyProgram();
  FaultyProgram(const FaultyProgram&) = delete;
  FaultyProgram& operator=(const FaultyProgram&) = delete;

  // Waits until the program serves.
  bool serves();
  // Sends so many requests, each on a connection of its own, with so many seconds from one to the next, and
  // waits for what becomes of them.
  Answers answers(int requests, const std::string& request_class = "segment", double spacing = 0);
  // Sends requests by fours until a whole group is completed; false if that takes too long.
  bool recovers();
  bool running() { return !process.ended(); }
  // Asks it to leave, and waits until it has; false if it does not end well.
  bool stops();
  // One of the figures that the program prints when it is asked to.
  std::uint64_t counter(const std::string& name);
  // Requests that came to the nodes, all together.
  std::uint64_t requests_run() const;
  // The system calls of all kinds that it has made.
  std::uint64_t calls() const;

  transport::Scheduler& scheduler;
  FaultControl faults;
  std::vector<std::unique_ptr<rig::Node>> nodes;
  rig::IdleChangeStream change_log;
  transport::Address listen;

 private:
  static std::vector<std::unique_ptr<rig::Node>> make_nodes(transport::Scheduler& scheduler);
  std::string write_configuration() const;
  static transport::Task<> request(FaultyProgram& self, std::string request_class, double at, Answers& into);
  static transport::Task<Answers> ask(FaultyProgram& self, std::string request_class, std::uint64_t number);

  std::string configuration_;
  std::uint64_t requests_made_ = 0;

 public:
  rig::Process process;
};

}  // namespace hareramp::faults
