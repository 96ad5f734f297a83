// What the operator sets for a relay of the change stream. No behaviour.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "distribution/subscription.hpp"
#include "transport/socket.hpp"

namespace hareramp::distribution {

// Silence after which a director leaves a relay: over a comment's second and two ticks, and with the way to
// the next relay within the 2.3 s in which a purge has to be in force.
constexpr transport::Seconds kRelaySilenceTimeout = 1.6;

struct RelaySettings {
  bool enabled = false;
  transport::Address listen;
  std::vector<Endpoint> sources;           // or other relays; tried in order
  bool compressed = false;                 // asks the sources for gzip
  transport::Seconds tick_interval = 0.2;  // between writes to a subscriber
  std::size_t window_bytes = 1 << 20;      // of events kept for subscribers that come back
  transport::Seconds purge_lifetime = 10;  // after which every node has dropped what a purge names
  std::size_t purges_most = 200'000;       // live at once; past it reading pauses
  std::size_t subscribers_most = 2000;     // connections at once
  std::size_t joins_per_tick = 64;         // snapshots and partial batches begun in a tick
  transport::Seconds stalled = 10;         // a subscriber that takes nothing for so long is closed
  transport::Seconds source_silent = 2.2;  // after which subscribers are sent elsewhere
  transport::Seconds comment_every = 1;    // to a subscriber that there is nothing for
};

}  // namespace hareramp::distribution
