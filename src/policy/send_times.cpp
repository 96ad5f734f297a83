#include "policy/send_times.hpp"

#include <algorithm>

namespace hareramp::policy {

namespace {
// Sending time in seconds that is assumed before any answer is known.
constexpr Seconds kDefaultSendTime = 0.3;
// Multiple of an answer's duration: a size that would take longer to send is wrong.
constexpr double kMaxSendTimeFactor = 2.0;
// Multiple of the sending time, beside kMaxLatency: where an answer takes longer, the size is wrong, or the
// duration says nothing about it.
constexpr double kMaxDurationFactor = 4.0;
// Part of an answer's duration, in seconds, that is due to the network path.
constexpr Seconds kMaxLatency = 0.02;
// Fraction of the class's mean: the least charge for a request.
constexpr double kMinChargeFraction = 0.7;
}  // namespace

void SendTimes::request_arrived(Seconds now, std::size_t request_class, Seconds stated) {
  classes_[request_class].arrivals.add(now, 1, 1);
  if (stated > 0) classes_[request_class].stated.add(now, stated, 1);
  arrivals_.add(now, 1, 1);
}

bool SendTimes::fits(Seconds send_time, Seconds elapsed) {
  return send_time <= kMaxSendTimeFactor * elapsed && elapsed <= kMaxDurationFactor * send_time + kMaxLatency;
}

void SendTimes::answered(Seconds now, std::size_t request_class, Seconds send_time, Seconds elapsed) {
  if (fits(send_time, elapsed)) classes_[request_class].answered.add(now, send_time, 1);
}

Seconds SendTimes::mean(std::size_t request_class) const {
  const RequestClass& of_class = classes_[request_class];
  if (of_class.answered.has_data()) return of_class.answered.mean();
  return of_class.stated.has_data() ? std::max(of_class.stated.mean(), kDefaultSendTime) : kDefaultSendTime;
}

std::optional<Seconds> SendTimes::answered_mean(std::size_t request_class) const {
  const Average& answered = classes_[request_class].answered;
  if (!answered.has_data()) return std::nullopt;
  return answered.mean();
}

std::optional<Seconds> SendTimes::overall_mean(Seconds now) const {
  const double rate = arrivals_.weight_per_second(now);
  if (rate <= 0) return std::nullopt;
  return demand(now) / rate;
}

double SendTimes::demand(Seconds now) const {
  double work = 0;
  for (const RequestClass& request_class : classes_) {
    const Average& known = request_class.best_known();
    work +=
        request_class.arrivals.weight_per_second(now) * (known.has_data() ? known.mean() : kDefaultSendTime);
  }
  return work;
}

Seconds SendTimes::charge(std::size_t request_class, Seconds stated) const {
  return std::max(stated, kMinChargeFraction * mean(request_class));
}

}  // namespace hareramp::policy
