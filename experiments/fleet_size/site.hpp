// The site that the fleet-size experiment plays: its nodes, their addresses and the director's configuration.
#pragma once

#include <netinet/in.h>

#include <optional>
#include <string>
#include <vector>

#include "transport/socket.hpp"

namespace hareramp::fleet_size {

inline constexpr int kZones = 5;             // with caches; the director stands in the first
inline constexpr int kNodesPerParent = 50;   // one parent for so many nodes
inline constexpr int kUsualNodes = 200;      // the size that others are held against
inline constexpr double kUsualWeight = 8.0;  // transfers at full pace that a cache bears, in the usual fleet
inline constexpr double kStreamKbPerS = 4600.0;
inline constexpr double kObjectKb = 46.0;

// How a fleet of more nodes keeps the capacity of all its caches for each director.
enum class Growth {
  kMoreDirectors,  // as many times the directors; each node bears what it did
  kSmallerNodes    // the same directors; each node bears as many times less
};

enum class NodeKind { kCache, kParent, kOrigin };

struct SiteNode {
  std::string id, zone;
  NodeKind kind = NodeKind::kCache;
  double weight = 0;
};

// The nodes of a fleet. Number 0 is the origin; the parents follow, then the caches, zone by zone in turn.
class Site {
 public:
  Site(int nodes, Growth growth);

  const std::vector<SiteNode>& nodes() const { return nodes_; }
  int caches_in_own_zone() const { return own_caches_; }
  // The address of a node where one listener takes the connections of all of them at a port.
  static std::string address_of(int node, std::uint16_t port);
  // Which node's address this is; none if it is no node's.
  static std::optional<int> node_at(const transport::Address& address);
  // An entry of the list, as the change stream has it. state: active or leaving.
  std::string entry(int node, std::uint16_t port, std::string_view state) const;
  // The director's configuration with the whole list in it.
  std::string configuration(const std::string& listen, const std::string& change_source,
                            std::uint16_t port) const;

 private:
  std::vector<SiteNode> nodes_;
  int own_caches_ = 0;
  int growth_factor_;  // of the directors
};

}  // namespace hareramp::fleet_size
