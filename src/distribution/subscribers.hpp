// The subscribers of a relay: a cursor each, and whether the last bytes given to it have been taken. Pure.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "transport/scheduler.hpp"

namespace hareramp::distribution {

using SubscriberId = std::uint64_t;

struct Subscriber {
  long long cursor = 0;     // number of the last event given to it
  bool compressed = false;  // asked for gzip
  bool joined = false;      // has been given a first piece, so that its cursor stands between batches
  bool busy = false;        // has not yet taken what it was given last
  transport::Seconds given_at = 0;
};

class Subscribers {
 public:
  Subscriber& add(SubscriberId id, long long cursor, bool compressed, transport::Seconds now);
  void remove(SubscriberId id) { all_.erase(id); }
  Subscriber* find(SubscriberId id);
  std::size_t count() const { return all_.size(); }
  std::map<SubscriberId, Subscriber>& all() { return all_; }
  // Those that have taken nothing for so long.
  std::vector<SubscriberId> stalled(transport::Seconds now, transport::Seconds longest) const;

 private:
  std::map<SubscriberId, Subscriber> all_;
};

}  // namespace hareramp::distribution
