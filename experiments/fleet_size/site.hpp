// The site of the fleet-size experiment: its nodes, their addresses and the director's configuration.
#pragma once

#include <netinet/in.h>

#include <optional>
#include <string>
#include <vector>

#include "transport/socket.hpp"

namespace hareramp::fleet_size {

inline constexpr int kZones = 5;            // zones with caches; the director is in the first
inline constexpr int kNodesPerParent = 50;  // one parent for this many nodes
inline constexpr int kUsualNodes = 200;     // the size that larger fleets are compared with
// Transfers at the full rate that a cache of the usual fleet can carry.
inline constexpr double kUsualWeight = 8.0;
inline constexpr double kStreamKbPerS = 4600.0;
inline constexpr double kObjectKb = 46.0;

// How a larger fleet keeps the total cache capacity for each director unchanged.
enum class Growth {
  kMoreDirectors,  // directors grow with the nodes; each node has the same capacity
  kSmallerNodes    // same number of directors; each node has proportionally less capacity
};

enum class NodeKind { kCache, kParent, kOrigin };

struct SiteNode {
  std::string id, zone;
  NodeKind kind = NodeKind::kCache;
  double weight = 0;
};

// The nodes of a fleet. Node 0 is the origin, then come the parents, then the caches, assigned to the zones
// in turn.
class Site {
 public:
  Site(int nodes, Growth growth);

  const std::vector<SiteNode>& nodes() const { return nodes_; }
  int caches_in_own_zone() const { return own_zone_caches_; }
  // The address of a node; one listener accepts the connections of all nodes at this port.
  static std::string address_of(int node, std::uint16_t port);
  // The node with this address; none if the address belongs to no node.
  static std::optional<int> node_at(const transport::Address& address);
  // The node's entry of the node list in the format of the change stream. state: active or leaving.
  std::string entry(int node, std::uint16_t port, std::string_view state) const;
  // The director's configuration with the full node list.
  std::string configuration(const std::string& listen, const std::string& change_source,
                            std::uint16_t port) const;

 private:
  std::vector<SiteNode> nodes_;
  int own_zone_caches_ = 0;
  int growth_factor_;  // of the number of directors
};

}  // namespace hareramp::fleet_size
