// Decides which requests may make a parent fetch from the origin, or reach the origin itself. Guards against
// overload of the origin, whether it answers slowly, rejects requests or is about to stop: as attempts fail
// or are late there, a smaller fraction of the requests is admitted. The other requests get only what the
// caches and the parents hold. Independent of clock and sockets.
#pragma once

#include <optional>

#include "policy.hpp"
#include "policy/average.hpp"

namespace hareramp::policy {

// Seconds: shorter waits are due to the network path, not to a queue at the origin.
constexpr Seconds kMinOriginWait = 0.02;

class OriginAdmission {
 public:
  // draw: of the request, between 0 and 1.
  bool admits(double draw) const { return draw <= fraction_; }
  bool is_reduced() const { return fraction_ < 1; }
  // An attempt that was sent at sent_at says nothing new about an overload that was noticed later than that.
  bool is_noticed_since(Seconds sent_at) const { return sent_at <= decreased_at_; }
  // The usual wait for the origin's first byte, in seconds; empty if none was measured.
  std::optional<Seconds> usual_wait() const;

  // The origin answered an attempt, after this wait; 0 if the wait is not known.
  void record_answer(Seconds now, Seconds sent_at, Seconds wait);
  // The origin failed or rejected an attempt.
  void record_failure(Seconds now, Seconds sent_at);
  // An attempt is late at the origin.
  void record_late(Seconds now, Seconds sent_at);
  // Admits more after a time without a failure. To be called with each request.
  void recover(Seconds now);

 private:
  double wait_factor(Seconds now, Seconds wait);
  void increase(Seconds now);
  void decrease(Seconds now, Seconds sent_at, double factor);

  double fraction_ = 1;
  double good_answers_ = 0;  // since the last late attempt
  Seconds decreased_at_ = -1e9, recovery_step_at_ = -1e9, answered_at_ = -1e9;
  Average usual_wait_;
};

}  // namespace hareramp::policy
