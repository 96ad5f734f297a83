// Bounds the work that one director sends to the origin while it may use no cache, so that all directors
// together stay below what the origin can do. Each director has an even share, without coordination. What it
// does not use it can save up for a short time only. Independent of clock and sockets.
#pragma once

#include "policy.hpp"

namespace hareramp::policy {

class OriginBudget {
 public:
  // Begins with this much saved up, as a fraction of the most that can be: different in each director, so
  // that not all of them send at once.
  void start(Seconds now, double saved_fraction);
  // share: seconds of sending that this director may cause per second. span: seconds over which its share can
  // be saved up.
  void refill(Seconds now, double share, Seconds span);
  // Whether this much work, in seconds of sending, may be sent now. Where the share of a whole span is less
  // than one attempt, an attempt may be sent when all of that is saved up, and its work is paid off later.
  bool allows(double work) const;
  void charge(double work) { saved_ -= work; }

 private:
  Seconds refilled_at_ = 0;
  double saved_ = 0, most_saved_ = 0;
  double start_fraction_ = 0;
  bool is_starting_ = true;
};

}  // namespace hareramp::policy
