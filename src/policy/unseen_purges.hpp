// Decides how old copies may be after the change stream was lost. Independent of clock and sockets.
//
// While the stream is lost, purges are issued that this director does not receive. After some time they count
// as notified all the same, and no copy from before such a purge may be served any more. Which object was
// purged is not known, so the bound applies to all of them.
//
// Nothing in a stream that is followed again shows that all that was missed has arrived: its source may write
// a comment before it, or a part of it, and the rest later. So the bound is not ended by what arrives. It
// ends when every node has dropped the copies that such a purge names. That time passes whether the stream
// returns or not, and whether or not anything was missed.
//
// The price: copies from before the bound are fetched again from parents and the origin, each once for each
// moment at which purges begin to count as notified. The number of these moments is bounded for each loss, so
// that a stream which never recovers does not keep copies from use for good.
//
// When a purge counts as notified (the operators' protocol):
//   - when it arrives;
//   - 2 s after the stream's connection broke off, and 4 s after the stream stopped while it stayed open:
//     every purge issued by then. If the source is asked again before, and answers: every purge issued before
//     it was asked, from that moment on, and `arrival_grace` later if it has not arrived;
//   - 4 s after a new configuration named another source: every purge issued by then, or by when the new
//     source was asked;
//   - otherwise 7 s after it was issued.
#pragma once

#include <optional>
#include <vector>

#include "policy.hpp"

namespace hareramp::policy {

class UnseenPurges {
 public:
  // lifetime: seconds after which every node has dropped the copies that a purge names. arrival_grace:
  // seconds that purges which a source is asked for have to arrive.
  UnseenPurges(Seconds lifetime, Seconds arrival_grace)
      : lifetime_(lifetime), arrival_grace_(arrival_grace) {}

  // The stream was lost, or was lost already and is so in one more way. last_received: when the stream last
  // delivered anything; before every time: never.
  // Returns when purges begin to count as notified by this loss; empty if it changes nothing.
  std::optional<Seconds> stream_lost(StreamLoss loss, Seconds lost_at, Seconds last_received);
  // The stream is followed: its source answers, and was asked at asked_at for all that was missed.
  // Returns when purges that have not arrived begin to count as notified; empty if it changes nothing.
  std::optional<Seconds> stream_followed(Seconds asked_at);

  // The latest time at which a purge may have been issued that counts as notified and has not arrived. Empty:
  // there is no such purge, or every node has dropped the copies that it names.
  std::optional<Seconds> latest_purge(Seconds now) const;
  // When the bound by latest_purge ends if nothing further happens.
  Seconds ends_at(Seconds latest_purge) const { return latest_purge + lifetime_; }

 private:
  // Every purge issued by one time counts as notified from another on.
  struct Notification {
    Seconds issued_until = 0;
    Seconds from = 0;
    bool after_move = false;
  };
  // From when the stream was lost until all that may have been missed is dropped.
  struct Loss {
    Seconds complete_until;           // every purge issued before this has arrived
    bool broken = false;              // the stream has broken off, and has not been followed since
    int times_followed = 0;           // after a break
    std::optional<Seconds> asked_at;  // of the source that is followed; empty while none is
    std::vector<Notification> notifications;
  };

  bool is_over(Seconds now) const;
  void add(const Notification& notification);

  Seconds lifetime_, arrival_grace_;
  std::optional<Loss> loss_;
};

}  // namespace hareramp::policy
