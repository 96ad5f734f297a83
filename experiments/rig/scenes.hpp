// Six nights of a small fleet, each with one kind of failure put between real processes, and the figures that
// are bounded. The tests play them once, the long form over seeds.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "rig/fleet.hpp"

namespace hareramp::rig {

struct Finding {
  std::string name;
  double value = 0, least = -1e18, most = 1e18;
  bool holds() const { return value >= least && value <= most; }
};

struct Scene {
  std::string name, what;
  std::vector<Finding> (*play)(Fleet& fleet);
};
const std::vector<Scene>& scenes();

}  // namespace hareramp::rig
