// Linear least-squares fit of measured points.
#pragma once

#include <utility>
#include <vector>

namespace hareramp::capacity {

struct Line {
  double slope = 0, intercept = 0;
  double r_squared = 0;  // fraction of the variance explained by the line
  double at(double x) const { return intercept + slope * x; }
};
// At least two points with different x.
Line fit(const std::vector<std::pair<double, double>>& points);

}  // namespace hareramp::capacity
