// The operator's settings for a relay of the change stream. No behaviour.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "distribution/subscription.hpp"
#include "transport/socket.hpp"

namespace hareramp::distribution {

// How long a director waits for data from a relay before it switches to the next one. Longer than the comment
// interval of one second plus two ticks, and short enough that, with the time to connect to the next relay, a
// purge still takes effect within the required 2.3 s.
constexpr transport::Seconds kRelaySilenceTimeout = 1.6;

struct RelaySettings {
  bool enabled = false;
  transport::Address listen;
  std::vector<Endpoint> sources;           // sources or other relays, tried in order
  bool compressed = false;                 // requests gzip from the sources
  transport::Seconds tick_interval = 0.2;  // between writes to a subscriber
  std::size_t window_bytes = 1 << 20;      // of events kept for subscribers that reconnect
  transport::Seconds purge_lifetime = 10;  // after which every node has dropped the purged objects
  std::size_t purges_most = 200'000;       // maximum of live purges; at the limit reading pauses
  std::size_t subscribers_most = 2000;     // maximum of concurrent connections
  std::size_t max_joins_per_tick = 64;     // snapshots and partial batches started in one tick
  transport::Seconds stall_timeout = 10;   // a subscriber that reads nothing for this long is closed
  // After this long without data from the source, no comments are sent and new subscribers are refused, so
  // that subscribers switch to another relay.
  transport::Seconds source_silence_timeout = 2.2;
  transport::Seconds comment_interval = 1;  // between comments to a subscriber without new events
};

}  // namespace hareramp::distribution
