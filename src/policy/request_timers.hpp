// The timers of a request. A timer that was set outlives its request, and another request may come under the
// same id meanwhile: the token names the request by a serial number besides, and the timer concerns no other
// one. Independent of clock and sockets.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "policy.hpp"

namespace hareramp::policy {

struct RequestTimer {
  enum class Purpose {
    kResume,      // the pause before the next attempt is over
    kLateAttempt  // an attempt counts as late, if it is still in flight
  };
  Purpose purpose = Purpose::kResume;
  RequestId request;
  std::uint64_t serial = 0;  // of the request, new with each one
  std::size_t attempt = 0;   // index of the attempt; only for kLateAttempt

  TimerToken token() const;
  // No value where the token is of another timer.
  static std::optional<RequestTimer> parse(const TimerToken& token);
};

}  // namespace hareramp::policy
