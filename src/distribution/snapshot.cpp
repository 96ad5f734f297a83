#include "distribution/snapshot.hpp"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

#include "distribution/epoch.hpp"

namespace hareramp::distribution {

using transport::Seconds;

namespace {
// s between the timestamps of consecutive purges. A larger gap may be a step of the issuer's clock, or a
// second issuer.
constexpr Seconds kMaxTimestampGap = 1;
// s by which timestamps must exceed a lifetime. Covers several clock steps that are each too small to be
// distinguished from an ordinary gap.
constexpr Seconds kTimestampMargin = 5;
}  // namespace

Snapshot::Snapshot(Seconds purge_lifetime, std::size_t max_purges)
    : purge_lifetime_(purge_lifetime), max_purges_(max_purges) {}

void Snapshot::add(Seconds now, long long number, const Change& change) {
  if (change.nodes) {
    const NodeList& list = *change.nodes;
    if (list.complete) {
      nodes_.clear();
      has_list_ = true;
    }
    for (const NodeEntry& entry : list.entries) {
      if (entry.removed)
        nodes_.erase(entry.id);
      else
        nodes_[entry.id] = entry.json;
    }
    list_number_ = number;
    list_version_ = list.version;
  }
  if (!change.purge) return;
  const Seconds issued_at = change.purge->unix_ms / 1000;
  record_timestamp(issued_at);
  purges_[change.purge->target] = {number, change.json_members};
  expiries_.push_back({now + purge_lifetime_, change.purge->target, number, issued_at, timestamp_run_});
  expire(now);
}

void Snapshot::record_timestamp(Seconds issued_at) {
  if (std::abs(issued_at - last_issued_at_) > kMaxTimestampGap) ++timestamp_run_;
  last_issued_at_ = issued_at;
}

bool Snapshot::has_expired(const Expiry& expiry, Seconds now) const {
  if (expiry.expires_at <= now) return true;
  return expiry.timestamp_run == timestamp_run_ &&
         last_issued_at_ - expiry.issued_at > purge_lifetime_ + kTimestampMargin;
}

void Snapshot::expire(Seconds now) {
  while (!expiries_.empty() && has_expired(expiries_.front(), now)) {
    const auto purge = purges_.find(expiries_.front().target);
    // A later purge of the same target stays until its own expiry.
    if (purge != purges_.end() && purge->second.number == expiries_.front().number) purges_.erase(purge);
    expiries_.pop_front();
  }
}

EncodedChunk Snapshot::encode_after(long long cursor, long long last) const {
  std::vector<std::pair<long long, std::string>> events;
  if (list_number_ > cursor) {
    std::vector<std::string> entries;
    for (const auto& [id, json] : nodes_) entries.push_back(json);
    events.emplace_back(list_number_, complete_list_members(list_version_, entries));
  }
  for (const auto& [target, purge] : purges_)
    if (purge.number > cursor) events.emplace_back(purge.number, purge.json_members);
  std::sort(events.begin(), events.end());
  std::string plain;
  for (const auto& [number, json_members] : events) plain += encode_event(number, json_members);
  return encode_chunk(std::move(plain), last);
}

long long Snapshot::oldest_number() const {
  long long oldest = list_number_;
  for (const auto& [target, purge] : purges_) oldest = std::min(oldest, purge.number);
  return oldest;
}

void Snapshot::renumber_epoch(long long from, long long to) {
  const auto renumber = [&](long long& number) {
    if (epoch_of(number) == from) number = number_in_epoch(to, number);
  };
  renumber(list_number_);
  for (auto& [target, purge] : purges_) renumber(purge.number);
  for (Expiry& expiry : expiries_) renumber(expiry.number);
}

}  // namespace hareramp::distribution
