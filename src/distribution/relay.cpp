#include "distribution/relay.hpp"

#include <algorithm>

#include "distribution/epoch.hpp"

namespace hareramp::distribution {

using transport::Seconds;

namespace {
constexpr long long kEpochsAhead = 1024;  // a cursor further ahead is none of a relay's
// Events that another relay may be ahead by: some seconds. More is a cursor of an earlier life of the source.
constexpr long long kAheadMost = 1000;
// Between epochs that subscribers bring: each costs all of them a snapshot, and a broken one must not ask for
// many.
constexpr Seconds kAdoptEvery = 10;

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
      comment_(encode_piece(":\n\n", 0)) {}

std::vector<RelayEffect> Relay::step(Seconds now, const RelayEvent& event) {
  Effects effects;
  std::visit(Overloaded{[&](const ChangesArrived& arrived) { take(now, arrived); },
                        [&](const SubscriberArrived& arrived) { admit(now, arrived, effects); },
                        [&](const PieceTaken& taken) {
                          Subscriber* subscriber = subscribers_.find(taken.id);
                          if (!subscriber) return;
                          subscriber->busy = false;
                          if (subscriber->joined) give_next(now, taken.id, *subscriber, effects);
                        },
                        [&](const SubscriberLeft& left) { subscribers_.remove(left.id); },
                        [&](const Ticked& ticked) { tick(now, ticked.source_alive, effects); }},
             event);
  return effects;
}

// A source that begins anew counts from 1 again: from there on the numbers are of the next epoch.
long long Relay::number_of(long long source_number) {
  epoch_ = std::max(epoch_, epoch_of(source_number));
  if (numbered(epoch_, source_number) <= last_) {
    ++epoch_;
    ++counts_.restarts;
  }
  return numbered(epoch_, source_number);
}

void Relay::take(Seconds now, const ChangesArrived& arrived) {
  behind_ = arrived.more_waits;
  for (const auto& [source_number, change] : arrived.changes) {
    if (source_number <= 0) continue;  // not of the stream: nobody could go on behind it
    const Change read = read_change(change);
    last_ = number_of(source_number);
    snapshot_.add(now, last_, read);
    window_.add(last_, encode_event(last_, read.members));
    ++counts_.changes;
  }
  whole_snapshot_ = {};
}

void Relay::admit(Seconds now, const SubscriberArrived& arrived, Effects& effects) {
  const auto refuse = [&](Refusal why) {
    ++counts_.refused;
    effects.push_back(Refuse{arrived.id, why});
  };
  if (subscribers_.count() >= settings_.subscribers_most) return refuse(Refusal::kFull);
  if (!snapshot_.has_list()) return refuse(Refusal::kNoListYet);
  if (!source_alive_) return refuse(Refusal::kSourceLost);
  if (arrived.cursor < 0 || epoch_of(arrived.cursor) > epoch_ + kEpochsAhead)
    return refuse(Refusal::kBadCursor);
  const bool is_ahead = epoch_of(arrived.cursor) == epoch_ && arrived.cursor > last_ + kAheadMost;
  if (is_ahead && behind_) return refuse(Refusal::kBehind);
  const long long wanted = is_ahead ? epoch_ + 1 : epoch_of(arrived.cursor);
  if (wanted > epoch_ && !adopt_epoch(now, wanted)) return refuse(Refusal::kBadCursor);
  subscribers_.add(arrived.id, arrived.cursor, arrived.compressed, now);
  effects.push_back(Accept{arrived.id});
}

// Another relay has seen the source begin anew more often than this one, or was asked by such: its count
// holds from now on for both, or a subscriber that changes between them would take what is new for told. The
// same where a cursor is ahead of all that the source has: it is of an earlier life, whose end nobody here
// saw.
bool Relay::adopt_epoch(Seconds now, long long epoch) {
  if (now - adopted_at_ < kAdoptEvery) return false;
  adopted_at_ = now;
  snapshot_.move_epoch(epoch_, epoch);
  last_ = numbered(epoch, last_);
  epoch_ = epoch;
  window_.restart(last_);
  whole_snapshot_ = {};
  return true;
}

void Relay::tick(Seconds now, bool source_alive, Effects& effects) {
  source_alive_ = source_alive;
  snapshot_.expire(now);
  if (window_.batch_waits()) {
    window_.close_batch();
    ++counts_.batches;
  }
  joins_left_ = settings_.joins_per_tick;
  for (const SubscriberId id : subscribers_.stalled(now, settings_.stalled)) {
    ++counts_.stalled;
    subscribers_.remove(id);
    effects.push_back(Close{id});
  }
  for (auto& [id, subscriber] : subscribers_.all()) {
    if (subscriber.busy || give_next(now, id, subscriber, effects)) continue;
    if (source_alive_ && now - subscriber.given_at >= settings_.comment_every) {
      EncodedPiece comment = comment_;
      comment.last = subscriber.cursor;
      give(now, id, subscriber, comment, effects);
    }
  }
}

// The next piece for a subscriber that has taken the last one; false: there is none now.
bool Relay::give_next(Seconds now, SubscriberId id, Subscriber& subscriber, Effects& effects) {
  // Guards against a region that comes back at once: what is made for one subscriber alone is spread over
  // ticks.
  const bool reached = window_.reaches(subscriber.cursor);
  if (!reached || !subscriber.joined) {
    if (joins_left_ == 0) return false;
    --joins_left_;
  }
  if (!reached) {
    ++counts_.snapshots;
    subscriber.joined = true;  // the snapshot ends where a batch does
    give(now, id, subscriber, snapshot_after(subscriber.cursor), effects);
    return true;
  }
  subscriber.joined = true;
  const Window::Next next = window_.next(subscriber.cursor);
  if (!next.piece.plain) return false;
  give(now, id, subscriber, next.piece, effects);
  return true;
}

void Relay::give(Seconds now, SubscriberId id, Subscriber& subscriber, const EncodedPiece& piece,
                 Effects& effects) {
  subscriber.cursor = std::max(subscriber.cursor, piece.last);
  subscriber.busy = true;
  subscriber.given_at = now;
  effects.push_back(Give{id, subscriber.compressed ? piece.compressed : piece.plain});
}

// What is not yet in a closed batch is in the snapshot all the same: the cursor moves to the last closed
// batch only, and the director drops what it then hears twice.
EncodedPiece Relay::snapshot_after(long long cursor) {
  const bool whole = cursor < snapshot_.oldest();
  if (whole && whole_snapshot_.plain) return whole_snapshot_;
  EncodedPiece piece = snapshot_.after(cursor, window_.last());
  if (whole) whole_snapshot_ = piece;
  return piece;
}

}  // namespace hareramp::distribution
