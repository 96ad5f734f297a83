// Stand-ins for all nodes of a site behind one listener; each node has its own address in 127/8, all at the
// listener's port. A cache answers with the objects that it holds, fills others from the source named in the
// command and keeps them, and gets slower when more transfers are active than its weight allows. The store of
// a real node is not modelled: objects are never evicted.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "fleet_size/site.hpp"
#include "rig/commands.hpp"
#include "transport/scheduler.hpp"
#include "transport/socket.hpp"

namespace hareramp::fleet_size {

// What all nodes together were asked for, since their start.
struct NodeUse {
  std::uint64_t connections = 0;  // accepted
  std::uint64_t hits = 0, fills = 0, origin_fetches = 0;
  std::uint64_t lookup_misses = 0;  // requests without a source for a fill, for an object that was not held
};

class NodeStandIns {
 public:
  NodeStandIns(transport::Scheduler& scheduler, const Site& site);

  std::uint16_t port() const { return port_; }
  const NodeUse& use() const { return use_; }
  std::size_t nodes_connected() const { return connected_.size(); }  // since the start

 private:
  struct State {
    std::unordered_set<std::string> objects;  // by name
    int transfers = 0;                        // in progress
  };
  struct Reply {
    std::string_view word, reason;
    double fill_time = 0;  // s before the transfer to the director
  };
  using SocketPointer = std::shared_ptr<transport::Socket>;

  static transport::Task<> accept_connections(NodeStandIns& self);
  static transport::Task<> serve_connection(NodeStandIns& self, SocketPointer socket, int node);
  static transport::Task<> write_answer(SocketPointer socket, std::string answer);
  void serve(int node, const SocketPointer& socket, const rig::Command& command);
  Reply reply_to(int node, const std::string& fields);
  Reply fill(State& cache, const std::string& source_id, const std::string& object, bool cached_only);

  transport::Scheduler& scheduler_;
  const Site& site_;
  transport::Listener listener_;
  std::uint16_t port_;
  std::vector<State> states_;                     // by node
  std::unordered_map<std::string, int> numbers_;  // of nodes, by id
  std::unordered_set<int> connected_;
  NodeUse use_;
};

}  // namespace hareramp::fleet_size
