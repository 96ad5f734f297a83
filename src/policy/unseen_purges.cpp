#include "policy/unseen_purges.hpp"

#include <algorithm>
#include <utility>

namespace hareramp::policy {

namespace {
constexpr Seconds kNotifiedAfterBreak = 2;
constexpr Seconds kNotifiedAfterSilence = 4;
constexpr Seconds kNotifiedAfterMove = 4;
// A purge counts as notified so long after it was issued, whatever happened to the stream.
constexpr Seconds kNotifiedAtLatest = 7;
// Only configurations in quick succession, none of whose sources is reached, come near this.
constexpr std::size_t kMaxNotificationTimes = 8;
}  // namespace

std::optional<Seconds> UnseenPurges::stream_lost(StreamLoss loss, Seconds lost_at, Seconds last_received) {
  if (!loss_) loss_ = Loss{.complete_until = last_received, .notified_at = {}};
  Seconds notified_at = 0;
  switch (loss) {
    case StreamLoss::kNotConnected:
      return std::nullopt;
    case StreamLoss::kBroken:
      // A source that breaks off each connection breaks off in the same event: the first break counts.
      if (std::exchange(loss_->broken, true)) return std::nullopt;
      notified_at = std::min(lost_at + kNotifiedAfterBreak, last_received + kNotifiedAfterSilence);
      break;
    case StreamLoss::kMoved:
      notified_at = lost_at + kNotifiedAfterMove;
      break;
  }
  auto& times = loss_->notified_at;
  if (times.size() == kMaxNotificationTimes) times.erase(times.begin());
  times.insert(std::upper_bound(times.begin(), times.end(), notified_at), notified_at);
  return notified_at;
}

std::optional<Seconds> UnseenPurges::latest_purge(Seconds now) const {
  if (!loss_) return std::nullopt;
  Seconds latest = now - kNotifiedAtLatest;
  for (const Seconds notified_at : loss_->notified_at)
    if (notified_at <= now) latest = std::max(latest, notified_at);
  if (latest < loss_->complete_until || now - latest > lifetime_) return std::nullopt;
  return latest;
}

}  // namespace hareramp::policy
