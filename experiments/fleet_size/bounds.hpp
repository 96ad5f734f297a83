// How far a director's needs may grow with its fleet: bounds on what it needs in front of many nodes, from
// what it needed for the same day in front of the usual fleet.
#pragma once

#include <string>
#include <vector>

#include "fleet_size/day.hpp"

namespace hareramp::fleet_size {

struct Finding {
  std::string name;
  double value = 0, bound = 0;
  bool at_most = true;  // else at least
  bool holds() const { return at_most ? value <= bound : value >= bound; }
};

// nodes: of the larger fleet.
std::vector<Finding> hold_against(const Needs& usual, const Needs& large, int nodes);

}  // namespace hareramp::fleet_size
