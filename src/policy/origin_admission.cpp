#include "policy/origin_admission.hpp"

#include <algorithm>

namespace hareramp::policy {

namespace {
// Factor on the fraction after a failure at the origin.
constexpr double kFailureDecrease = 0.7;
// The same for a late attempt: the request has already queued there for a while, unnoticed.
constexpr double kLateDecrease = 0.5;
// Fraction of the requests added per second while answers of the origin arrive in good time.
constexpr double kIncreasePerSecond = 0.2;
// Seconds without a failure at the origin, after each of which twice as many requests may reach it.
constexpr Seconds kRecoveryInterval = 2.0;
// Multiple of the usual wait for the origin: a longer one shows a queue before the origin rejects requests.
constexpr double kSlowFactor = 5.0;
// Smallest factor that one slow answer applies to the fraction.
constexpr double kMaxSlowDecrease = 0.3;
// Smallest fraction: fewer requests would not show when the origin has recovered.
constexpr double kMinFraction = 0.05;
// Waits measured before a longer one can be told from the usual ones.
constexpr double kMinWaitsMeasured = 2;
}  // namespace

std::optional<Seconds> OriginAdmission::usual_wait() const {
  return usual_wait_.has_data() ? std::optional(usual_wait_.mean()) : std::nullopt;
}

void OriginAdmission::record_answer(Seconds now, Seconds sent_at, Seconds wait) {
  const double factor = wait_factor(now, wait);
  if (factor >= 1)
    increase(now);
  else
    decrease(now, sent_at, factor);
}

void OriginAdmission::record_failure(Seconds now, Seconds sent_at) {
  decrease(now, sent_at, kFailureDecrease);
}

// One late attempt among many in good time is chance: good answers since the last late one soften the
// decrease.
void OriginAdmission::record_late(Seconds now, Seconds sent_at) {
  if (is_noticed_since(sent_at)) return;
  decrease(now, sent_at, 1 - (1 - kLateDecrease) / (1 + good_answers_));
  good_answers_ = 0;
}

// The objects that are let through are soon held in caches; only further objects can show that the origin
// has recovered.
void OriginAdmission::recover(Seconds now) {
  if (now - recovery_step_at_ < kRecoveryInterval) return;
  fraction_ = std::min(1.0, 2 * fraction_);
  recovery_step_at_ = now;
}

// Guards against a queue at the origin that grows for seconds before the first rejection, while every late
// fill is repeated through another parent too. It also reacts to an origin that is merely slow. The cost:
// fewer fills where the waits vary by nature.
double OriginAdmission::wait_factor(Seconds now, Seconds wait) {
  const double longest_usual = kSlowFactor * std::max(usual_wait_.mean(), kMinOriginWait);
  if (wait > 0 && usual_wait_.weight >= kMinWaitsMeasured && wait > longest_usual)
    return std::max(kMaxSlowDecrease, longest_usual / wait);
  if (wait > 0) usual_wait_.add(now, wait, 1);
  return 1;
}

// The fraction grows with time, not with the number of answers: otherwise a director that rarely gets an
// answer from the origin would keep a decrease for many seconds after its cause has gone.
void OriginAdmission::increase(Seconds now) {
  ++good_answers_;
  const Seconds since = std::min(1.0, now - std::max(answered_at_, decreased_at_));
  fraction_ = std::min(1.0, fraction_ + kIncreasePerSecond * since);
  answered_at_ = now;
}

void OriginAdmission::decrease(Seconds now, Seconds sent_at, double factor) {
  if (factor >= 1) return increase(now);
  if (is_noticed_since(sent_at)) return;
  fraction_ = std::max(kMinFraction, factor * fraction_);
  decreased_at_ = recovery_step_at_ = now;
}

}  // namespace hareramp::policy
