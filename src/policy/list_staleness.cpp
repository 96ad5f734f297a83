#include "policy/list_staleness.hpp"

#include <algorithm>

namespace hareramp::policy {

namespace {
constexpr Seconds kNotifiedAfterBreak = 2;
constexpr Seconds kNotifiedAfterSilence = 4;
constexpr Seconds kNotifiedAfterMove = 4;
// A change counts as notified so long after it was issued, whatever happened to the stream.
constexpr Seconds kNotifiedAtLatest = 7;
// As long as a stream that delivers nothing takes to be given up as silent.
constexpr Seconds kMinSettleTime = 2.2;
// As long as a stream that has stopped takes until what it misses counts as notified.
constexpr Seconds kMaxSettleTime = 4;
// Of the 2 s after a break, this is left if the source answers within 0.5 s and a retry interval.
constexpr Seconds kPromptLead = 1.3;

Seconds notified_after(StreamLoss loss, Seconds lost_at, Seconds last_received) {
  switch (loss) {
    case StreamLoss::kNotConnected:
      return lost_at + kNotifiedAtLatest;
    case StreamLoss::kMoved:
      return lost_at + kNotifiedAfterMove;
    case StreamLoss::kBroken:
      break;
  }
  return std::min(lost_at + kNotifiedAfterBreak, last_received + kNotifiedAfterSilence);
}
}  // namespace

// When the outage ends if the source stays followed; empty while none is.
std::optional<Seconds> ListStaleness::end_of(const Outage& outage) {
  if (!outage.followed_at) return std::nullopt;
  const Seconds settle_time = std::clamp(*outage.asked_at - outage.began_at, kMinSettleTime, kMaxSettleTime);
  const Seconds settled_at = *outage.followed_at + settle_time;
  const bool prompt =
      *outage.asked_at <= outage.notified_at - kPromptLead && *outage.followed_at <= outage.notified_at;
  return prompt ? std::min(settled_at, outage.notified_at) : settled_at;
}

bool ListStaleness::is_over(Seconds now) const {
  const std::optional<Seconds> end = outage_ ? end_of(*outage_) : std::nullopt;
  return end && now >= *end;
}

void ListStaleness::stream_lost(StreamLoss loss, Seconds lost_at, Seconds last_received) {
  if (is_over(lost_at)) outage_.reset();
  const Seconds notified_at = notified_after(loss, lost_at, last_received);
  if (!outage_) outage_ = Outage{.began_at = lost_at, .notified_at = notified_at};
  outage_->notified_at = std::min(outage_->notified_at, notified_at);
  outage_->followed_at.reset();
  outage_->asked_at.reset();
}

void ListStaleness::stream_followed(Seconds now, Seconds asked_at) {
  if (!outage_) return;
  outage_->followed_at = now;
  outage_->asked_at = asked_at;
}

bool ListStaleness::is_stale(Seconds now) const {
  return outage_ && now >= outage_->notified_at && !is_over(now);
}

std::optional<Seconds> ListStaleness::next_change(Seconds now) const {
  if (!outage_ || is_over(now)) return std::nullopt;
  const std::optional<Seconds> end = end_of(*outage_);
  if (now >= outage_->notified_at) return end;
  return end && *end <= outage_->notified_at ? std::nullopt : std::optional(outage_->notified_at);
}

}  // namespace hareramp::policy
