// The measurements of the capacity experiment. Each starts its own processes, runs its sizes one after
// another and returns one row per size.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "capacity/children.hpp"
#include "capacity/table.hpp"

namespace hareramp::capacity {

struct Measurement {
  std::string name, description;
  std::vector<double> sizes;  // the defaults
  std::function<Table(const Setup&)> run;
};
const std::vector<Measurement>& measurements();

}  // namespace hareramp::capacity
