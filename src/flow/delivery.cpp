#include "flow/delivery.hpp"

#include <algorithm>
#include <limits>

namespace hareramp::flow {

namespace {
// What is behind by less is no replay but a moment's delay: one export of a busy second.
constexpr std::uint64_t kLittleBehind = 64;  // messages
// A collector is well again only after so many messages: over UDP a refusal is told after the message, and
// over TCP one may take connections and close them.
constexpr std::uint32_t kProven = 16;  // messages
}  // namespace

Delivery::Delivery(const DeliveryTimes& times, std::size_t collectors, std::uint64_t seed)
    : times_(times), collectors_(collectors), chance_(seed) {}

std::optional<std::size_t> Delivery::choose(Seconds now) {
  const std::size_t most = current_.value_or(collectors_.size());
  for (std::size_t i = 0; i < most; ++i) {
    if (collectors_[i].again_at > now) continue;
    if (current_) collectors_[i].again_at = now + times_.come_home;  // a look, not an outage, if it fails
    return i;
  }
  return {};
}

Seconds Delivery::next_try() const {
  Seconds next = std::numeric_limits<Seconds>::infinity();
  const std::size_t most = current_.value_or(collectors_.size());
  for (std::size_t i = 0; i < most; ++i) next = std::min(next, collectors_[i].again_at);
  return next;
}

void Delivery::came_up(Seconds, std::size_t collector) {
  current_ = collector;
  collectors_[collector].sent = 0;
  templates_ever_ = false;
}

// Guards against many directors that come back to a collector at one moment: the pause doubles, and each
// takes another part of it. It hurts by up to the longest pause after a long outage.
void Delivery::failed(Seconds now, std::size_t place) {
  Collector& collector = collectors_[place];
  const bool was_up = current_ == place;
  if (was_up) current_.reset();
  collector.pause =
      collector.pause == 0 ? times_.first_pause : std::min(2 * collector.pause, times_.longest_pause);
  const double part = std::uniform_real_distribution<double>(0.5, 1)(chance_);
  collector.again_at = std::max(collector.again_at, now + collector.pause * part);
}

bool Delivery::templates_due(Seconds now) const {
  return !templates_ever_ || now >= templates_at_ + times_.template_again ||
         since_templates_ >= times_.template_after;
}

void Delivery::templates_sent(Seconds now) {
  templates_ever_ = true;
  templates_at_ = now;
  since_templates_ = 0;
}

void Delivery::message_sent(Seconds now, std::uint64_t behind) {
  ++since_templates_;
  if (current_ && ++collectors_[*current_].sent == kProven) collectors_[*current_].pause = 0;
  if (behind > kLittleBehind) paced_until_ = std::max(paced_until_, now - 0.1) + 1 / times_.replay_per_s;
}

Seconds Delivery::may_send_at(std::uint64_t behind) const {
  return behind > kLittleBehind ? paced_until_ : 0;
}

}  // namespace hareramp::flow
