#include "policy/origin_budget.hpp"

#include <algorithm>
#include <utility>

namespace hareramp::policy {

void OriginBudget::start(Seconds now, double saved_fraction) {
  refilled_at_ = now;
  start_fraction_ = saved_fraction;
  is_starting_ = true;
}

void OriginBudget::refill(Seconds now, double share, Seconds span) {
  most_saved_ = share * span;
  if (std::exchange(is_starting_, false)) saved_ = start_fraction_ * most_saved_;
  saved_ = std::min(most_saved_, saved_ + share * (now - refilled_at_));
  refilled_at_ = now;
}

bool OriginBudget::allows(double work) const { return saved_ >= std::min(work, most_saved_); }

}  // namespace hareramp::policy
