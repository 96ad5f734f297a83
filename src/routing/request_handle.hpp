// Names one request of this process.
//
// The id alone does not: a client chooses it, so another request may carry the same id, at the same time or
// later. Whatever refers to a request across a mailbox or a timer carries the handle, and the DirectorActor
// compares it with the request that is open under the id.
#pragma once

#include <compare>
#include <cstdint>

#include "policy.hpp"

namespace hareramp::routing {

struct RequestHandle {
  RequestId id;              // as the client stated it; nodes and the log know the request by it
  std::uint64_t serial = 0;  // from 1, new with each request; 0: no request
  auto operator<=>(const RequestHandle&) const = default;
};

}  // namespace hareramp::routing
