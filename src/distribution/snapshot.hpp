// The state that the whole change stream adds up to: the list of nodes, and the purges whose lifetime has not
// ended. A subscriber whose cursor is older than the window receives this snapshot instead of all events that
// it missed. No I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "distribution/change.hpp"
#include "distribution/window.hpp"
#include "transport/scheduler.hpp"

namespace hareramp::distribution {

class Snapshot {
 public:
  // A purge is kept for its lifetime, counted from its arrival here. Its timestamp comes from the issuer's
  // clock. Either clock may be stepped, so a timestamp is never compared with the local time. In a backlog a
  // purge is dropped earlier if later timestamps of the source alone show that its lifetime has ended. This
  // holds as long as each timestamp is close to the previous one, because then there was no clock step
  // between them.
  Snapshot(transport::Seconds purge_lifetime, std::size_t max_purges);

  // Of two purges with the same target the later event wins, whatever their timestamps are.
  void add(transport::Seconds now, long long number, const Change& change);
  void expire(transport::Seconds now);
  bool has_list() const { return has_list_; }
  // True if no further purge can be added until one expires. Repeated purges of one target count separately,
  // because each stays until its own lifetime has ended.
  bool full() const { return expiries_.size() >= max_purges_; }
  std::size_t purge_count() const { return purges_.size(); }

  // Encodes the events after the cursor that still apply, in order and under their original numbers. The
  // complete node list has the number of the last node change. last: the number that becomes the
  // subscriber's cursor, so that the cursor also passes the events left out.
  EncodedChunk encode_after(long long cursor, long long last) const;
  // The smallest number in the snapshot: every cursor below it gets the same snapshot.
  long long oldest_number() const;
  // Moves all events numbered in one epoch to another epoch (see Relay::adopt_epoch).
  void renumber_epoch(long long from, long long to);

 private:
  struct LivePurge {
    long long number = 0;
    std::string json_members;
  };
  struct Expiry {
    transport::Seconds expires_at = 0;
    PurgeTarget target;
    long long number = 0;
    transport::Seconds issued_at = 0;  // by the purge's timestamp
    std::uint64_t timestamp_run = 0;
  };

  void record_timestamp(transport::Seconds issued_at);
  bool has_expired(const Expiry& expiry, transport::Seconds now) const;

  transport::Seconds purge_lifetime_;
  std::size_t max_purges_;
  bool has_list_ = false;
  long long list_number_ = 0;
  std::string list_version_;
  std::map<std::string, std::string> nodes_;  // JSON entries by node id
  std::map<PurgeTarget, LivePurge> purges_;
  std::deque<Expiry> expiries_;  // in order of arrival
  transport::Seconds last_issued_at_ = 0;
  std::uint64_t timestamp_run_ = 0;  // identifies a run of timestamps, each close to the previous one
};

}  // namespace hareramp::distribution
