// Six failure scenarios of a small fleet of real director processes, each with one kind of fault, and the
// measured values with their bounds. The tests run each scenario once; fleet_experiment can run them with
// many seeds.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "rig/fleet.hpp"

namespace hareramp::rig {

struct Finding {
  std::string name;
  double value = 0, lower_bound = -1e18, upper_bound = 1e18;
  bool holds() const { return value >= lower_bound && value <= upper_bound; }
};

struct Scene {
  std::string name, description;
  std::vector<Finding> (*run)(Fleet& fleet);
};
const std::vector<Scene>& scenes();

}  // namespace hareramp::rig
