#include "distribution/subscribers.hpp"

namespace hareramp::distribution {

using transport::Seconds;

Subscriber& Subscribers::add(SubscriberId id, long long cursor, bool compressed, Seconds now) {
  Subscriber& subscriber = all_[id];
  subscriber.cursor = cursor;
  subscriber.compressed = compressed;
  subscriber.last_sent_at = now;
  return subscriber;
}

Subscriber* Subscribers::find(SubscriberId id) {
  const auto found = all_.find(id);
  return found == all_.end() ? nullptr : &found->second;
}

std::vector<SubscriberId> Subscribers::stalled(Seconds now, Seconds timeout) const {
  std::vector<SubscriberId> stalled_ids;
  for (const auto& [id, subscriber] : all_)
    if (subscriber.write_pending && now - subscriber.last_sent_at > timeout) stalled_ids.push_back(id);
  return stalled_ids;
}

}  // namespace hareramp::distribution
