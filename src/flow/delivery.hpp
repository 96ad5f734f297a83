// Decides how one receiver of a stream is reached: which of its collectors, when again after a failure, how
// fast it may catch up, when templates are due. Pure: time is an argument, chance comes from the generator
// given. A receiver is one collector that gets everything (mode duplicate), or all those of the mode
// failover, in the order of the file, of which one at a time gets it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <vector>

#include "flow/backlog.hpp"

namespace hareramp::flow {

using Seconds = double;

struct DeliveryTimes {
  Seconds first_pause = 0, longest_pause = 0;  // after a failure, doubling from one to the other
  Seconds come_home = 0;                       // between looks whether an earlier collector is back
  Seconds template_again = 0;
  std::size_t template_after = 0;  // messages
  double replay_per_s = 0;         // messages a second while more than a little is behind
};

class Delivery {
 public:
  Delivery(const DeliveryTimes& times, std::size_t collectors, std::uint64_t seed);

  void set_times(const DeliveryTimes& times) { times_ = times; }
  // The collector to be tried now, or nothing: wait until next_try(). While one is up: an earlier one whose
  // turn to be tried again has come.
  std::optional<std::size_t> choose(Seconds now);
  Seconds next_try() const;
  std::optional<std::size_t> current() const { return current_; }

  void came_up(Seconds now, std::size_t collector);
  void failed(Seconds now, std::size_t collector);
  // Templates are due before the next message (for those without a session that would keep them).
  bool templates_due(Seconds now) const;
  void templates_sent(Seconds now);
  void message_sent(Seconds now, std::uint64_t behind);
  // When the next message may go: at once, or, far behind, at the pace of a replay.
  Seconds may_send_at(std::uint64_t behind) const;

 private:
  struct Collector {
    Seconds again_at = 0, pause = 0;
    std::uint32_t sent = 0;  // messages since it came up
  };
  DeliveryTimes times_;
  std::vector<Collector> collectors_;
  std::optional<std::size_t> current_;
  Seconds templates_at_ = 0, paced_until_ = 0;
  std::size_t since_templates_ = 0;
  bool templates_ever_ = false;
  std::knuth_b chance_;
};

}  // namespace hareramp::flow
