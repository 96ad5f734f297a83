#include "distribution/subscribers.hpp"

namespace hareramp::distribution {

using transport::Seconds;

Subscriber& Subscribers::add(SubscriberId id, long long cursor, bool compressed, Seconds now) {
  Subscriber& subscriber = all_[id];
  subscriber.cursor = cursor;
  subscriber.compressed = compressed;
  subscriber.given_at = now;
  return subscriber;
}

Subscriber* Subscribers::find(SubscriberId id) {
  const auto found = all_.find(id);
  return found == all_.end() ? nullptr : &found->second;
}

std::vector<SubscriberId> Subscribers::stalled(Seconds now, Seconds longest) const {
  std::vector<SubscriberId> found;
  for (const auto& [id, subscriber] : all_)
    if (subscriber.busy && now - subscriber.given_at > longest) found.push_back(id);
  return found;
}

}  // namespace hareramp::distribution
