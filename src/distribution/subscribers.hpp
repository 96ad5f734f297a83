// The subscribers of a relay: for each its cursor, and whether the last write to it has completed. No I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "transport/scheduler.hpp"

namespace hareramp::distribution {

using SubscriberId = std::uint64_t;

struct Subscriber {
  long long cursor = 0;     // number of the last event sent to it
  bool compressed = false;  // requested gzip
  bool joined = false;      // has received its first chunk, after which its cursor is at the end of a batch
  bool write_pending = false;  // the last chunk is not yet completely written
  transport::Seconds last_sent_at = 0;
};

class Subscribers {
 public:
  Subscriber& add(SubscriberId id, long long cursor, bool compressed, transport::Seconds now);
  void remove(SubscriberId id) { all_.erase(id); }
  Subscriber* find(SubscriberId id);
  std::size_t count() const { return all_.size(); }
  std::map<SubscriberId, Subscriber>& all() { return all_; }
  // Subscribers whose write has been pending for longer than the timeout.
  std::vector<SubscriberId> stalled(transport::Seconds now, transport::Seconds timeout) const;

 private:
  std::map<SubscriberId, Subscriber> all_;
};

}  // namespace hareramp::distribution
