#include "policy/address_owners.hpp"

#include <utility>

namespace hareramp::policy {

std::optional<NodeId> AddressOwners::claim(const std::string& address, const NodeId& node) {
  const auto [found, is_new] = owners_.try_emplace(address, node);
  if (is_new || found->second == node) return {};
  return std::exchange(found->second, node);
}

void AddressOwners::release(const std::string& address, const NodeId& node) {
  const auto found = owners_.find(address);
  if (found != owners_.end() && found->second == node) owners_.erase(found);
}

}  // namespace hareramp::policy
