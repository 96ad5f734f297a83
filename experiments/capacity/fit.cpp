#include "capacity/fit.hpp"

namespace hareramp::capacity {

Line fit(const std::vector<std::pair<double, double>>& points) {
  const auto count = static_cast<double>(points.size());
  double mean_x = 0, mean_y = 0;
  for (const auto& [x, y] : points) {
    mean_x += x / count;
    mean_y += y / count;
  }
  double xx = 0, xy = 0, yy = 0;
  for (const auto& [x, y] : points) {
    xx += (x - mean_x) * (x - mean_x);
    xy += (x - mean_x) * (y - mean_y);
    yy += (y - mean_y) * (y - mean_y);
  }
  Line line;
  line.slope = xx > 0 ? xy / xx : 0;
  line.intercept = mean_y - line.slope * mean_x;
  line.r_squared = yy > 0 && xx > 0 ? xy * xy / (xx * yy) : 1;
  return line;
}

}  // namespace hareramp::capacity
