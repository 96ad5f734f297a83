// The decisions of a relay of the change stream: step(now, event) returns what is to be done, and nothing
// else happens. No clock, no sockets. An event is kept and encoded once; a subscriber is a cursor. Memory is
// bounded by the window, the list of nodes, the live purges, and one piece a subscriber.
//
// Promised to a subscriber while it is connected: every change behind its cursor, once, in order, under
// rising numbers; or, where the window no longer reaches its cursor, all that still matters of them
// (snapshot.hpp) under numbers behind the cursor. Comments are sent only while the source is heard, so that a
// subscriber of a relay that is cut off from the source hears silence and goes to another.
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

// --- what happens ---
struct ChangesArrived {  // from the source, in order
  std::vector<NumberedChange> changes;
  bool more_waits = false;  // the source had more to read just then
};
struct SubscriberArrived {
  SubscriberId id = 0;
  long long cursor = 0;
  bool compressed = false;
};
struct PieceTaken {  // the subscriber's socket has taken all it was given
  SubscriberId id = 0;
};
struct SubscriberLeft {
  SubscriberId id = 0;
};
struct Ticked {
  bool source_alive = false;
};
using RelayEvent = std::variant<ChangesArrived, SubscriberArrived, PieceTaken, SubscriberLeft, Ticked>;

// --- what is to be done ---
struct Accept {
  SubscriberId id = 0;
};
enum class Refusal { kNoListYet, kSourceLost, kFull, kBehind, kBadCursor };
struct Refuse {
  SubscriberId id = 0;
  Refusal why = Refusal::kFull;
};
struct Give {
  SubscriberId id = 0;
  SharedBytes bytes;
};
struct Close {  // it has taken nothing for too long
  SubscriberId id = 0;
};
using RelayEffect = std::variant<Accept, Refuse, Give, Close>;

struct RelayCounts {
  std::uint64_t changes = 0;    // taken in
  std::uint64_t batches = 0;    // encoded
  std::uint64_t snapshots = 0;  // given
  std::uint64_t restarts = 0;   // of the source, as seen here
  std::uint64_t refused = 0;    // subscribers
  std::uint64_t stalled = 0;    // subscribers closed for taking nothing
};

class Relay {
 public:
  explicit Relay(const RelaySettings& settings);

  std::vector<RelayEffect> step(transport::Seconds now, const RelayEvent& event);

  // False: reading from the source must wait, until live purges have expired.
  bool has_room() const { return !snapshot_.full(); }
  const RelayCounts& counts() const { return counts_; }
  std::size_t subscribers() const { return subscribers_.count(); }
  long long last() const { return last_; }
  std::size_t window_bytes() const { return window_.bytes(); }
  std::size_t live_purges() const { return snapshot_.purges(); }

 private:
  using Effects = std::vector<RelayEffect>;
  void take(transport::Seconds now, const ChangesArrived& arrived);
  long long number_of(long long source_number);
  void admit(transport::Seconds now, const SubscriberArrived& arrived, Effects& effects);
  void tick(transport::Seconds now, bool source_alive, Effects& effects);
  bool give_next(transport::Seconds now, SubscriberId id, Subscriber& subscriber, Effects& effects);
  void give(transport::Seconds now, SubscriberId id, Subscriber& subscriber, const EncodedPiece& piece,
            Effects& effects);
  EncodedPiece snapshot_after(long long cursor);
  bool adopt_epoch(transport::Seconds now, long long epoch);

  RelaySettings settings_;
  Window window_;
  Snapshot snapshot_;
  Subscribers subscribers_;
  RelayCounts counts_;
  EncodedPiece comment_;
  EncodedPiece whole_snapshot_;  // for every cursor older than all of it; empty: to be made
  long long epoch_ = 0;
  long long last_ = 0;  // number of the last event taken in
  bool source_alive_ = false;
  bool behind_ = false;  // more waits at the source
  transport::Seconds adopted_at_ = -transport::kNever;
  std::size_t joins_left_ = 0;  // in this tick
};

}  // namespace hareramp::distribution
