// A link that its transfers share fairly, each with a bound of its own (processor sharing). Pure. All
// transfers go at one rate, so each ends when the work done for any one of them since the start reaches its
// mark: an event costs the logarithm of the transfers, not their number.
#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace hareramp::lab {

using Seconds = double;

class FairLink {
 public:
  // KB a second: of all together, and of one transfer at most.
  FairLink(double capacity, double bound) : capacity_(capacity), bound_(bound) {}

  void set_capacity(Seconds now, double capacity) {
    advance(now);
    capacity_ = capacity;
  }
  double capacity() const { return capacity_; }
  void add(Seconds now, std::uint64_t transfer, double kb) {
    advance(now);
    marks_.emplace(done_ + kb, transfer);
    mark_of_[transfer] = done_ + kb;
  }
  void remove(Seconds now, std::uint64_t transfer) {
    advance(now);
    const auto found = mark_of_.find(transfer);
    if (found == mark_of_.end()) return;
    marks_.erase({found->second, transfer});
    mark_of_.erase(found);
  }
  // When the next transfer ends if nothing changes.
  Seconds next_end() const {
    if (marks_.empty() || rate() <= 0) return std::numeric_limits<Seconds>::infinity();
    return at_ + (marks_.begin()->first - done_) / rate();
  }
  // Those that have ended by now, in order.
  void take_ended(Seconds now, std::vector<std::uint64_t>& ended) {
    advance(now);
    while (!marks_.empty() && marks_.begin()->first <= done_ + 1e-9 * (1 + done_)) {
      ended.push_back(marks_.begin()->second);
      mark_of_.erase(marks_.begin()->second);
      marks_.erase(marks_.begin());
    }
  }
  std::size_t transfers() const { return marks_.size(); }
  double rate() const {
    return marks_.empty() ? 0 : std::min(bound_, capacity_ / static_cast<double>(marks_.size()));
  }

 private:
  void advance(Seconds now) {
    done_ += rate() * (now - at_);
    at_ = now;
    if (marks_.empty()) done_ = 0;  // keeps the marks exact over a long day
  }
  double capacity_, bound_, done_ = 0;
  Seconds at_ = 0;
  std::set<std::pair<double, std::uint64_t>> marks_;
  std::map<std::uint64_t, double> mark_of_;
};

}  // namespace hareramp::lab
