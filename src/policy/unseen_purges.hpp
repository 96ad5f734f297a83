// Decides how old copies may be while the change stream is lost. Independent of clock and sockets.
//
// While the stream is lost, purges are issued that this director does not receive. After some time they count
// as notified all the same, and no copy from before such a purge may be served any more. Which object was
// purged is not known, so the bound applies to all of them.
//
// The price: copies from before the bound are fetched again from parents and the origin. Two things limit it.
// The bound begins only when purges count as notified, so that a short loss costs nothing. And it does not
// move while the stream stays lost: each copy is fetched again once, and the bound ends when every node has
// dropped the copies that such a purge names, even if the stream never returns.
//
// When a purge counts as notified (the operators' protocol):
//   - when it arrives; a stream that is followed again has delivered all that was missed;
//   - 2 s after the stream's connection broke off, 4 s after the stream stopped while it stayed open, and 4 s
//     after a new configuration named another source: every purge issued by then;
//   - otherwise 7 s after it was issued.
#pragma once

#include <optional>
#include <vector>

#include "policy.hpp"

namespace hareramp::policy {

class UnseenPurges {
 public:
  // lifetime: seconds after which every node has dropped the copies that a purge names.
  explicit UnseenPurges(Seconds lifetime) : lifetime_(lifetime) {}

  // The stream was lost, or was lost already and is so in one more way. last_received: when the stream last
  // delivered anything; before every time: never.
  // Returns when purges begin to count as notified by this loss; empty if it changes nothing.
  std::optional<Seconds> stream_lost(StreamLoss loss, Seconds lost_at, Seconds last_received);
  // The stream is followed: every purge issued so far has arrived.
  void stream_followed() { loss_.reset(); }

  // The latest time at which a purge may have been issued that counts as notified and has not arrived. Empty:
  // there is no such purge, or every node has dropped the copies that it names.
  std::optional<Seconds> latest_purge(Seconds now) const;

 private:
  struct Loss {
    Seconds complete_until;  // every purge issued before this has arrived
    bool broken = false;     // a connection of the stream has ended
    // Every purge issued by one of these times counts as notified from that time on; ascending.
    std::vector<Seconds> notified_at;
  };

  Seconds lifetime_;
  std::optional<Loss> loss_;
};

}  // namespace hareramp::policy
