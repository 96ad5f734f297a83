// Delivery policy for one receiver of a stream: which of its collectors to use, when to retry after a
// failure, how fast to send a backlog, and when templates are due. Does no I/O: time is an argument, and the
// random generator is seeded by the caller. A receiver is either one collector that gets every message (mode
// duplicate), or all collectors of mode failover, in the order of the file, one of which gets the messages at
// any time.
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
  Seconds initial_retry_delay = 0, max_retry_delay = 0;  // after a failure; doubles up to the maximum
  Seconds primary_check_interval = 0;                    // between attempts to return to an earlier collector
  Seconds template_interval = 0;
  std::size_t template_message_limit = 0;  // messages
  double replay_per_s = 0;                 // messages a second while a large backlog is sent
};

class Delivery {
 public:
  Delivery(const DeliveryTimes& times, std::size_t collectors, std::uint64_t seed);

  void set_times(const DeliveryTimes& times) { times_ = times; }
  // The collector to connect to now, if any; otherwise the caller waits until next_attempt_at(). While a
  // collector is in use, only collectors earlier in the order are returned, once their retry time has come.
  std::optional<std::size_t> choose_collector(Seconds now);
  Seconds next_attempt_at() const;
  std::optional<std::size_t> current_collector() const { return current_; }

  void connected(Seconds now, std::size_t collector);
  void failed(Seconds now, std::size_t collector);
  // Whether templates have to be sent before the next message. For transports without a session (UDP), where
  // the collector does not keep templates for the life of a connection.
  bool templates_due(Seconds now) const;
  void templates_sent(Seconds now);
  void message_sent(Seconds now, std::uint64_t behind);
  // When the next message may be sent: at once, or at the replay rate if the receiver is far behind.
  Seconds next_send_at(std::uint64_t behind) const;

 private:
  struct Collector {
    Seconds retry_at = 0, retry_delay = 0;
    std::uint32_t messages_sent = 0;  // since the collector was connected
  };
  DeliveryTimes times_;
  std::vector<Collector> collectors_;
  std::optional<std::size_t> current_;
  Seconds templates_sent_at_ = 0, replay_next_at_ = 0;
  std::size_t messages_since_templates_ = 0;
  bool templates_sent_once_ = false;
  std::knuth_b random_;
};

}  // namespace hareramp::flow
