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
constexpr std::size_t kMaxNotifications = 32;
// Guards against a source that breaks off each connection soon after it has answered.
constexpr int kMaxTimesFollowed = 8;
}  // namespace

bool UnseenPurges::is_over(Seconds now) const {
  return loss_ && loss_->asked_at && now - *loss_->asked_at > lifetime_;
}

void UnseenPurges::add(const Notification& notification) {
  auto& notifications = loss_->notifications;
  if (notifications.size() == kMaxNotifications) notifications.erase(notifications.begin());
  notifications.push_back(notification);
}

std::optional<Seconds> UnseenPurges::stream_lost(StreamLoss loss, Seconds lost_at, Seconds last_received) {
  if (is_over(lost_at)) loss_.reset();
  if (!loss_) loss_ = Loss{.complete_until = last_received, .asked_at = {}, .notifications = {}};
  loss_->asked_at.reset();
  if (loss == StreamLoss::kNotConnected) return std::nullopt;
  const bool moved = loss == StreamLoss::kMoved;
  // A source that breaks off each connection breaks off in the same event: the first break counts.
  if (!moved && std::exchange(loss_->broken, true)) return std::nullopt;
  const Seconds notified_at =
      moved ? lost_at + kNotifiedAfterMove
            : std::min(lost_at + kNotifiedAfterBreak, last_received + kNotifiedAfterSilence);
  add({.issued_until = notified_at, .from = notified_at, .after_move = moved});
  return notified_at;
}

std::optional<Seconds> UnseenPurges::stream_followed(Seconds asked_at) {
  if (!loss_) return std::nullopt;
  loss_->asked_at = asked_at;
  // What is issued after the source was asked is not missed: it arrives like any other change.
  auto& notifications = loss_->notifications;
  std::erase_if(notifications, [&](const Notification& notification) {
    return !notification.after_move && notification.issued_until > asked_at;
  });
  for (Notification& notification : notifications)
    notification.issued_until = std::min(notification.issued_until, asked_at);
  if (!std::exchange(loss_->broken, false) || ++loss_->times_followed > kMaxTimesFollowed)
    return std::nullopt;
  add({.issued_until = asked_at, .from = asked_at + arrival_grace_});
  return asked_at + arrival_grace_;
}

std::optional<Seconds> UnseenPurges::latest_purge(Seconds now) const {
  if (!loss_) return std::nullopt;
  Seconds latest = now - kNotifiedAtLatest;
  if (loss_->asked_at) latest = std::min(latest, *loss_->asked_at);
  for (const Notification& notification : loss_->notifications)
    if (notification.from <= now) latest = std::max(latest, notification.issued_until);
  if (latest < loss_->complete_until || now - latest > lifetime_) return std::nullopt;
  return latest;
}

}  // namespace hareramp::policy
