// Decides whether the list of nodes is too old to choose a node from, because the change stream was lost.
// Independent of clock and sockets.
//
// While the stream is lost, nodes drain, leave and start without this director receiving it. After some time
// these changes count as notified all the same. Which node they concern is not known, so from then on the
// list is stale as a whole: no cache and no parent may be used, neither for attempts nor as a fill source.
// The origin is not affected, since it is never replaced.
//
// When the changes that were missed count as notified (the operators' protocol):
//   - 2 s after the stream's connection broke off;
//   - 4 s after the stream stopped delivering while it stayed open;
//   - 4 s after a new configuration named another source;
//   - otherwise 7 s after their issue, which also bounds the first connection of a director's process.
// Several losses in a row count by the earliest of these.
//
// Nothing in a stream that is followed again shows that all that was missed has arrived (unseen_purges.hpp).
// So the outage ends when its source has been followed without a break for as long as the outage lasted, but
// at least kMinSettleTime and at most kMaxSettleTime. A source that answers soon after the loss was not out
// of service, and has nothing to catch up with: if it was asked by kPromptLead before the changes count as
// notified, the outage ends at that moment, and the list never becomes stale.
//
// What this leaves: a change that a source delivers later than that after its answer is missed in between.
#pragma once

#include <optional>

#include "policy.hpp"

namespace hareramp::policy {

class ListStaleness {
 public:
  // The stream was lost, or was lost already and is so in one more way. last_received: when the stream last
  // delivered anything; before every time: never.
  void stream_lost(StreamLoss loss, Seconds lost_at, Seconds last_received);
  // The stream is followed: its source answers, and was asked at asked_at for all that was missed.
  void stream_followed(Seconds now, Seconds asked_at);

  bool is_stale(Seconds now) const;
  // The next time at which is_stale() changes if nothing further happens; empty if it does not.
  std::optional<Seconds> next_change(Seconds now) const;

 private:
  // From a loss of the stream until everything that was missed is taken to have arrived.
  struct Outage {
    Seconds began_at;
    Seconds notified_at;                                     // when the missed changes count as notified
    std::optional<Seconds> followed_at = {}, asked_at = {};  // of the current source; empty while it is lost
  };

  std::optional<Outage> outage_;

  static std::optional<Seconds> end_of(const Outage& outage);
  bool is_over(Seconds now) const;
};

}  // namespace hareramp::policy
