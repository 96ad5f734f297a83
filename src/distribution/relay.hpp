// The core of a relay of the change stream, without clock and sockets: step(now, event) returns the effects
// to execute and has no other side effects. An event is stored and encoded once for all subscribers; a
// subscriber is a cursor into the stream. Memory is bounded by the window, the node list, the live purges,
// and one chunk per subscriber.
//
// Guarantee to a connected subscriber: it gets every change after its cursor, once, in order, under rising
// numbers. If the window no longer covers its cursor it gets instead all of these changes that still apply
// (snapshot.hpp), under numbers above the cursor. Comments are sent only while data arrives from the source,
// so that a subscriber of a relay that is cut off from the source receives nothing and switches to another
// relay.
#pragma once

#include <cstddef>
#include <string>
#include <variant>
#include <vector>

#include "distribution/change_receiver.hpp"
#include "distribution/relay_settings.hpp"
#include "distribution/snapshot.hpp"
#include "distribution/subscribers.hpp"
#include "distribution/window.hpp"

namespace hareramp::distribution {

// --- events ---
struct ChangesArrived {  // from the source, in order
  std::vector<NumberedChange> changes;
  bool more_available = false;  // the source had more data to read at that moment
};
struct SubscriberConnected {
  SubscriberId id = 0;
  long long cursor = 0;
  bool compressed = false;
};
struct WriteCompleted {  // the last chunk has been written completely to the subscriber's socket
  SubscriberId id = 0;
};
struct SubscriberDisconnected {
  SubscriberId id = 0;
};
struct Ticked {
  bool source_alive = false;
};
using RelayEvent =
    std::variant<ChangesArrived, SubscriberConnected, WriteCompleted, SubscriberDisconnected, Ticked>;

// --- effects ---
struct Accept {
  SubscriberId id = 0;
};
enum class Refusal { kNoListYet, kSourceLost, kFull, kBehind, kBadCursor };
struct Refuse {
  SubscriberId id = 0;
  Refusal reason = Refusal::kFull;
};
struct Send {
  SubscriberId id = 0;
  SharedBytes bytes;
};
struct Close {  // it has read nothing for too long
  SubscriberId id = 0;
};
using RelayEffect = std::variant<Accept, Refuse, Send, Close>;

struct RelayCounts {
  std::uint64_t changes = 0;    // received from the source
  std::uint64_t batches = 0;    // encoded for all subscribers
  std::uint64_t snapshots = 0;  // sent
  std::uint64_t restarts = 0;   // of the source, as detected by this relay
  std::uint64_t refused = 0;    // subscribers
  std::uint64_t stalled = 0;    // subscribers closed because they read nothing
};

class Relay {
 public:
  explicit Relay(const RelaySettings& settings);

  std::vector<RelayEffect> step(transport::Seconds now, const RelayEvent& event);

  // If false, reading from the source must pause until live purges have expired.
  bool can_accept_changes() const { return !snapshot_.full(); }
  const RelayCounts& counts() const { return counts_; }
  std::size_t subscribers() const { return subscribers_.count(); }
  long long last() const { return last_; }
  std::size_t window_bytes() const { return window_.bytes(); }
  std::size_t live_purges() const { return snapshot_.purge_count(); }

 private:
  using Effects = std::vector<RelayEffect>;
  void apply_changes(transport::Seconds now, const ChangesArrived& arrived);
  long long assign_number(long long source_number);
  void admit(transport::Seconds now, const SubscriberConnected& connected, Effects& effects);
  void tick(transport::Seconds now, bool source_alive, Effects& effects);
  bool send_next(transport::Seconds now, SubscriberId id, Subscriber& subscriber, Effects& effects);
  void send(transport::Seconds now, SubscriberId id, Subscriber& subscriber, const EncodedChunk& chunk,
            Effects& effects);
  EncodedChunk snapshot_after(long long cursor);
  bool adopt_epoch(transport::Seconds now, long long epoch);

  RelaySettings settings_;
  Window window_;
  Snapshot snapshot_;
  Subscribers subscribers_;
  RelayCounts counts_;
  EncodedChunk comment_;
  EncodedChunk full_snapshot_;  // cached for cursors older than all of its events; empty: not encoded yet
  long long epoch_ = 0;
  long long last_ = 0;  // number of the last event received
  bool source_alive_ = false;
  bool source_has_more_ = false;  // the source had more data to read after the last batch
  transport::Seconds epoch_adopted_at_ = -transport::kNever;
  std::size_t joins_left_ = 0;  // in this tick
};

}  // namespace hareramp::distribution
