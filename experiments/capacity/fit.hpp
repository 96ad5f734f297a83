// A straight line through measured points, by least squares.
#pragma once

#include <utility>
#include <vector>

namespace hareramp::capacity {

struct Line {
  double slope = 0, intercept = 0;
  double r_squared = 0;  // share of the variance that the line explains
  double at(double x) const { return intercept + slope * x; }
};
// At least two points with different x.
Line fit(const std::vector<std::pair<double, double>>& points);

}  // namespace hareramp::capacity
