#include "distribution/relay.hpp"

#include <algorithm>

#include "distribution/epoch.hpp"

namespace hareramp::distribution {

using transport::Seconds;

namespace {
constexpr long long kMaxEpochLead = 1024;  // a cursor whose epoch is further ahead was not issued by a relay
// Number of events by which another relay may be ahead: a few seconds of events. A cursor further ahead is
// from before a restart of the source.
constexpr long long kMaxCursorLead = 1000;
// Minimum time between adoptions of an epoch from a subscriber's cursor. Each adoption costs every subscriber
// a snapshot, and a faulty subscriber must not cause many.
constexpr Seconds kEpochAdoptionInterval = 10;

template <class... Handlers>
struct Overloaded : Handlers... {
  using Handlers::operator()...;
};
template <class... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;
}  // namespace

Relay::Relay(const RelaySettings& settings)
    : settings_(settings),
      window_(settings.window_bytes),
      snapshot_(settings.purge_lifetime, settings.purges_most),
      comment_(encode_chunk(":\n\n", 0)) {}

std::vector<RelayEffect> Relay::step(Seconds now, const RelayEvent& event) {
  Effects effects;
  std::visit(
      Overloaded{[&](const ChangesArrived& arrived) { apply_changes(now, arrived); },
                 [&](const SubscriberConnected& connected) { admit(now, connected, effects); },
                 [&](const WriteCompleted& completed) {
                   Subscriber* subscriber = subscribers_.find(completed.id);
                   if (!subscriber) return;
                   subscriber->write_pending = false;
                   if (subscriber->joined) send_next(now, completed.id, *subscriber, effects);
                 },
                 [&](const SubscriberDisconnected& disconnected) { subscribers_.remove(disconnected.id); },
                 [&](const Ticked& ticked) { tick(now, ticked.source_alive, effects); }},
      event);
  return effects;
}

// A restarted source counts from 1 again: its events are then numbered in the next epoch.
long long Relay::assign_number(long long source_number) {
  epoch_ = std::max(epoch_, epoch_of(source_number));
  if (number_in_epoch(epoch_, source_number) <= last_) {
    ++epoch_;
    ++counts_.restarts;
  }
  return number_in_epoch(epoch_, source_number);
}

void Relay::apply_changes(Seconds now, const ChangesArrived& arrived) {
  source_has_more_ = arrived.more_available;
  for (const auto& [source_number, change] : arrived.changes) {
    if (source_number <= 0) continue;  // not an event of the stream: no subscriber could resume after it
    const Change parsed = parse_change(change);
    last_ = assign_number(source_number);
    snapshot_.add(now, last_, parsed);
    window_.add(last_, encode_event(last_, parsed.json_members));
    ++counts_.changes;
  }
  full_snapshot_ = {};
}

void Relay::admit(Seconds now, const SubscriberConnected& connected, Effects& effects) {
  const auto refuse = [&](Refusal reason) {
    ++counts_.refused;
    effects.push_back(Refuse{connected.id, reason});
  };
  if (subscribers_.count() >= settings_.subscribers_most) return refuse(Refusal::kFull);
  if (!snapshot_.has_list()) return refuse(Refusal::kNoListYet);
  if (!source_alive_) return refuse(Refusal::kSourceLost);
  if (connected.cursor < 0 || epoch_of(connected.cursor) > epoch_ + kMaxEpochLead)
    return refuse(Refusal::kBadCursor);
  const bool is_beyond_stream =
      epoch_of(connected.cursor) == epoch_ && connected.cursor > last_ + kMaxCursorLead;
  if (is_beyond_stream && source_has_more_) return refuse(Refusal::kBehind);
  const long long cursor_epoch = is_beyond_stream ? epoch_ + 1 : epoch_of(connected.cursor);
  if (cursor_epoch > epoch_ && !adopt_epoch(now, cursor_epoch)) return refuse(Refusal::kBadCursor);
  subscribers_.add(connected.id, connected.cursor, connected.compressed, now);
  effects.push_back(Accept{connected.id});
}

// Raises this relay's epoch to that of a subscriber's cursor. The relay that issued the cursor has seen more
// restarts of the source, or has adopted the epoch from a subscriber of such a relay. Without this, a
// subscriber that switches from it to this relay would drop new events as already received. The same holds
// for a cursor ahead of all that the source has sent: it is from before a restart of the source that this
// relay did not see.
bool Relay::adopt_epoch(Seconds now, long long epoch) {
  if (now - epoch_adopted_at_ < kEpochAdoptionInterval) return false;
  epoch_adopted_at_ = now;
  snapshot_.renumber_epoch(epoch_, epoch);
  last_ = number_in_epoch(epoch, last_);
  epoch_ = epoch;
  window_.reset(last_);
  full_snapshot_ = {};
  return true;
}

void Relay::tick(Seconds now, bool source_alive, Effects& effects) {
  source_alive_ = source_alive;
  snapshot_.expire(now);
  if (window_.has_open_batch()) {
    window_.close_batch();
    ++counts_.batches;
  }
  joins_left_ = settings_.max_joins_per_tick;
  for (const SubscriberId id : subscribers_.stalled(now, settings_.stall_timeout)) {
    ++counts_.stalled;
    subscribers_.remove(id);
    effects.push_back(Close{id});
  }
  for (auto& [id, subscriber] : subscribers_.all()) {
    if (subscriber.write_pending || send_next(now, id, subscriber, effects)) continue;
    if (source_alive_ && now - subscriber.last_sent_at >= settings_.comment_interval) {
      EncodedChunk comment = comment_;
      comment.last = subscriber.cursor;
      send(now, id, subscriber, comment, effects);
    }
  }
}

// Sends the next chunk to a subscriber whose last write has completed. Returns false if nothing is sent now.
bool Relay::send_next(Seconds now, SubscriberId id, Subscriber& subscriber, Effects& effects) {
  // Guards against all subscribers of a region that reconnect at once: chunks encoded for a single subscriber
  // are limited per tick.
  const bool in_window = window_.covers(subscriber.cursor);
  if (!in_window || !subscriber.joined) {
    if (joins_left_ == 0) return false;
    --joins_left_;
  }
  if (!in_window) {
    ++counts_.snapshots;
    subscriber.joined = true;  // the snapshot moves the cursor to the end of a batch
    send(now, id, subscriber, snapshot_after(subscriber.cursor), effects);
    return true;
  }
  subscriber.joined = true;
  const Window::Next next = window_.next(subscriber.cursor);
  if (!next.chunk.plain) return false;
  send(now, id, subscriber, next.chunk, effects);
  return true;
}

void Relay::send(Seconds now, SubscriberId id, Subscriber& subscriber, const EncodedChunk& chunk,
                 Effects& effects) {
  subscriber.cursor = std::max(subscriber.cursor, chunk.last);
  subscriber.write_pending = true;
  subscriber.last_sent_at = now;
  effects.push_back(Send{id, subscriber.compressed ? chunk.compressed : chunk.plain});
}

// The snapshot also contains events that are not yet in a closed batch, while the cursor moves only to the
// end of the last closed batch. These events are sent twice, and the director drops the duplicates.
EncodedChunk Relay::snapshot_after(long long cursor) {
  const bool needs_full = cursor < snapshot_.oldest_number();
  if (needs_full && full_snapshot_.plain) return full_snapshot_;
  EncodedChunk chunk = snapshot_.encode_after(cursor, window_.last());
  if (needs_full) full_snapshot_ = chunk;
  return chunk;
}

}  // namespace hareramp::distribution
