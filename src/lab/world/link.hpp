// A link whose capacity is shared equally among its transfers, with a maximum rate for each (processor
// sharing). No side effects. All transfers progress at the same rate, so a transfer ends when the work done
// per transfer reaches its end mark (the work per transfer when it was added, plus its size). An event
// therefore costs time logarithmic in the number of transfers, not linear.
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
  // Both in KB per second: of all transfers together, and at most of one transfer.
  FairLink(double capacity, double max_rate) : capacity_(capacity), max_rate_(max_rate) {}

  void set_capacity(Seconds now, double capacity) {
    advance(now);
    capacity_ = capacity;
  }
  double capacity() const { return capacity_; }
  void add(Seconds now, std::uint64_t transfer, double kb) {
    advance(now);
    end_marks_.emplace(work_per_transfer_ + kb, transfer);
    end_mark_of_[transfer] = work_per_transfer_ + kb;
  }
  void remove(Seconds now, std::uint64_t transfer) {
    advance(now);
    const auto found = end_mark_of_.find(transfer);
    if (found == end_mark_of_.end()) return;
    end_marks_.erase({found->second, transfer});
    end_mark_of_.erase(found);
  }
  // The time at which the next transfer ends if nothing changes; infinity without transfers.
  Seconds next_end() const {
    if (end_marks_.empty() || rate() <= 0) return std::numeric_limits<Seconds>::infinity();
    return updated_at_ + (end_marks_.begin()->first - work_per_transfer_) / rate();
  }
  // Removes the transfers that have ended by now and appends them to `ended` in the order of their ends.
  void remove_ended(Seconds now, std::vector<std::uint64_t>& ended) {
    advance(now);
    while (!end_marks_.empty() &&
           end_marks_.begin()->first <= work_per_transfer_ + 1e-9 * (1 + work_per_transfer_)) {
      ended.push_back(end_marks_.begin()->second);
      end_mark_of_.erase(end_marks_.begin()->second);
      end_marks_.erase(end_marks_.begin());
    }
  }
  std::size_t transfers() const { return end_marks_.size(); }
  double rate() const {
    return end_marks_.empty() ? 0 : std::min(max_rate_, capacity_ / static_cast<double>(end_marks_.size()));
  }

 private:
  void advance(Seconds now) {
    work_per_transfer_ += rate() * (now - updated_at_);
    updated_at_ = now;
    if (end_marks_.empty())
      work_per_transfer_ = 0;  // avoids rounding errors of the end marks in long simulations
  }
  double capacity_, max_rate_, work_per_transfer_ = 0;
  Seconds updated_at_ = 0;
  std::set<std::pair<double, std::uint64_t>> end_marks_;
  std::map<std::uint64_t, double> end_mark_of_;
};

}  // namespace hareramp::lab
