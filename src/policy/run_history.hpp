// Remembers the ids of requests that may have run and must not run again. Independent of clock and sockets.
//
// An id is new with every request, so one that comes again is a fault of its client; where the first request
// may have run, as that of a client that left without waiting for the answer, the second must not be sent.
// The number of ids is bounded, the oldest is forgotten first.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_set>

#include "policy.hpp"

namespace hareramp::policy {

class RunHistory {
 public:
  explicit RunHistory(std::size_t max_ids) : max_ids_(max_ids) {}

  void remember(const RequestId& id);
  bool may_have_run(const RequestId& id) const { return hashes_.contains(hash(id)); }

 private:
  static std::uint64_t hash(const RequestId& id);

  std::size_t max_ids_;
  std::unordered_set<std::uint64_t> hashes_;
  std::deque<std::uint64_t> in_order_;
};

}  // namespace hareramp::policy
