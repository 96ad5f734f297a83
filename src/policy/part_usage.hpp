// Remembers which parts of objects were requested recently, and how much of each. Independent of clock and
// sockets.
//
// The number of parts is bounded. A part requested only once gives way before one that was requested
// repeatedly, so that requests under ever new names do not displace what is known of popular parts (a
// segmented LRU list). The price: a part that was displaced counts as never requested.
#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>

#include "policy.hpp"

namespace hareramp::policy {

class PartUsage {
 public:
  struct Use {
    std::optional<Seconds> previous_request_at;  // empty: none is remembered
    double recent_kb = 0;                        // including this request; decays with the span
  };

  // span: time constant, in seconds, of the amount that counts as recent.
  PartUsage(std::size_t max_parts, Seconds span) : max_parts_(max_parts), span_(span) {}

  // Records a request of size_kb KB for a part.
  Use record(Seconds now, std::uint64_t part_key, double size_kb);
  // Forgets the parts whose last request was before this time.
  void expire(Seconds before);
  std::size_t size() const { return parts_.size(); }

 private:
  struct Part {
    std::uint64_t key = 0;
    double recent_kb = 0;
    Seconds last_request_at = 0;
    bool repeated = false;
  };
  using Parts = std::list<Part>;  // the most recent request first
  Parts& list_of(const Part& part) { return part.repeated ? repeated_ : requested_once_; }
  void make_room();
  void forget_last(Parts& parts);

  std::size_t max_parts_;
  Seconds span_;
  Parts requested_once_, repeated_;
  std::unordered_map<std::uint64_t, Parts::iterator> parts_;
};

}  // namespace hareramp::policy
