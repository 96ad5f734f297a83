// Stand-ins for cache nodes and the origin, on a thread of their own. They answer reads with as many bytes as
// the request class has, and record every request that ran.
#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "client_floods/requests.hpp"
#include "rig/commands.hpp"
#include "rig/world.hpp"
#include "transport/scheduler.hpp"
#include "transport/socket.hpp"

namespace hareramp::client_floods {

struct NodePlan {
  int caches = 3;
  double delay = 0.005;     // s from a command to its answer
  double silent_share = 0;  // of the requests that are never answered
  std::uint64_t seed = 1;
};

class Nodes {
 public:
  Nodes(NodePlan plan, Journal& journal);
  ~Nodes();
  Nodes(const Nodes&) = delete;
  Nodes& operator=(const Nodes&) = delete;

  // By index: the caches, then the origin.
  std::string address(std::size_t index) const { return addresses_[index]; }
  std::string change_stream() const { return change_stream_address_; }

 private:
  static transport::Task<> accept_connections(Nodes& self, transport::Listener& listener);
  static transport::Task<> serve_connection(Nodes& self, std::shared_ptr<transport::Socket> socket);
  static transport::Task<> write_answer(Nodes& self, std::shared_ptr<transport::Socket> socket,
                                        std::string text);
  void serve(const std::shared_ptr<transport::Socket>& socket, const rig::Command& command);

  NodePlan plan_;
  Journal& journal_;
  transport::Scheduler scheduler_;
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<transport::Listener>> listeners_;
  std::vector<std::string> addresses_;
  rig::IdleChangeStream changes_;
  std::string change_stream_address_;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace hareramp::client_floods
