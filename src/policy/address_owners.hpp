// Decides which node an address belongs to: the one that was listed there last. A new node may have the
// address of one that has gone, and its entry may come before the other's removal, or without it; what is
// sent to the other then would reach the new node.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "policy.hpp"

namespace hareramp::policy {

class AddressOwners {
 public:
  // The node is listed at this address. Returns the node that it takes the place of, if there is one.
  std::optional<NodeId> claim(const std::string& address, const NodeId& node);
  // The node is no longer at this address.
  void release(const std::string& address, const NodeId& node);

 private:
  std::map<std::string, NodeId> owners_;
};

}  // namespace hareramp::policy
