// What is measured against the size to design for: each measurement starts its own processes, plays its sizes
// one after another and returns a row a size.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "capacity/children.hpp"
#include "capacity/table.hpp"

namespace hareramp::capacity {

struct Measurement {
  std::string name, what;
  std::vector<double> sizes;  // the usual ones
  std::function<Table(const Setup&)> run;
};
const std::vector<Measurement>& measurements();

}  // namespace hareramp::capacity
