// Bounds on how far a director's use of resources may grow with its fleet: limits for a large fleet, computed
// from its use with the same traffic in front of the usual fleet.
#pragma once

#include <string>
#include <vector>

#include "fleet_size/director_run.hpp"

namespace hareramp::fleet_size {

struct Finding {
  std::string name;
  double value = 0, bound = 0;
  bool at_most = true;  // false: the bound is a minimum
  bool holds() const { return at_most ? value <= bound : value >= bound; }
};

// nodes: number of nodes of the larger fleet.
std::vector<Finding> compare_with_usual(const ResourceUse& usual, const ResourceUse& large, int nodes);

}  // namespace hareramp::fleet_size
