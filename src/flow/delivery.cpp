#include "flow/delivery.hpp"

#include <algorithm>
#include <limits>

namespace hareramp::flow {

namespace {
// A backlog of up to this size, such as one export of a busy second, is sent without the replay rate limit.
constexpr std::uint64_t kReplayThreshold = 64;  // messages
// The retry delay is reset only after this many messages: over UDP a refusal is reported after the message
// was sent, and over TCP a collector may accept connections and then close them.
constexpr std::uint32_t kHealthyAfterMessages = 16;  // messages
}  // namespace

Delivery::Delivery(const DeliveryTimes& times, std::size_t collectors, std::uint64_t seed)
    : times_(times), collectors_(collectors), random_(seed) {}

std::optional<std::size_t> Delivery::choose_collector(Seconds now) {
  const std::size_t candidates = current_.value_or(collectors_.size());
  for (std::size_t i = 0; i < candidates; ++i) {
    if (collectors_[i].retry_at > now) continue;
    if (current_)
      collectors_[i].retry_at = now + times_.primary_check_interval;  // a failure only delays the next check
    return i;
  }
  return {};
}

Seconds Delivery::next_attempt_at() const {
  Seconds earliest = std::numeric_limits<Seconds>::infinity();
  const std::size_t candidates = current_.value_or(collectors_.size());
  for (std::size_t i = 0; i < candidates; ++i) earliest = std::min(earliest, collectors_[i].retry_at);
  return earliest;
}

void Delivery::connected(Seconds, std::size_t collector) {
  current_ = collector;
  collectors_[collector].messages_sent = 0;
  templates_sent_once_ = false;
}

// Exponential backoff with jitter keeps many directors from reconnecting to a collector at the same moment.
// The cost: after a long outage a director may reconnect late by up to the maximum delay.
void Delivery::failed(Seconds now, std::size_t collector_index) {
  Collector& collector = collectors_[collector_index];
  const bool was_current = current_ == collector_index;
  if (was_current) current_.reset();
  collector.retry_delay = collector.retry_delay == 0
                              ? times_.initial_retry_delay
                              : std::min(2 * collector.retry_delay, times_.max_retry_delay);
  const double jitter = std::uniform_real_distribution<double>(0.5, 1)(random_);
  collector.retry_at = std::max(collector.retry_at, now + collector.retry_delay * jitter);
}

bool Delivery::templates_due(Seconds now) const {
  return !templates_sent_once_ || now >= templates_sent_at_ + times_.template_interval ||
         messages_since_templates_ >= times_.template_message_limit;
}

void Delivery::templates_sent(Seconds now) {
  templates_sent_once_ = true;
  templates_sent_at_ = now;
  messages_since_templates_ = 0;
}

void Delivery::message_sent(Seconds now, std::uint64_t behind) {
  ++messages_since_templates_;
  if (current_ && ++collectors_[*current_].messages_sent == kHealthyAfterMessages)
    collectors_[*current_].retry_delay = 0;
  if (behind > kReplayThreshold)
    replay_next_at_ = std::max(replay_next_at_, now - 0.1) + 1 / times_.replay_per_s;
}

Seconds Delivery::next_send_at(std::uint64_t behind) const {
  return behind > kReplayThreshold ? replay_next_at_ : 0;
}

}  // namespace hareramp::flow
