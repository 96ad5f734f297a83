#include "distribution/snapshot.hpp"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

#include "distribution/epoch.hpp"

namespace hareramp::distribution {

using transport::Seconds;

namespace {
// s between stamps of consecutive purges: more may be a step of the issuer's clock, or two issuers.
constexpr Seconds kStampGap = 1;
// s beyond a lifetime that stamps must show: some steps too small to be told from a gap.
constexpr Seconds kStampTolerance = 5;
}  // namespace

Snapshot::Snapshot(Seconds purge_lifetime, std::size_t purges_most)
    : purge_lifetime_(purge_lifetime), purges_most_(purges_most) {}

void Snapshot::add(Seconds now, long long number, const Change& change) {
  if (change.nodes) {
    const NodeList& list = *change.nodes;
    if (list.whole) {
      nodes_.clear();
      has_list_ = true;
    }
    for (const NodeEntry& entry : list.entries) {
      if (entry.gone)
        nodes_.erase(entry.id);
      else
        nodes_[entry.id] = entry.text;
    }
    list_number_ = number;
    list_version_ = list.version;
  }
  if (!change.purge) return;
  const Seconds issued = change.purge->unix_ms / 1000;
  note_stamp(issued);
  purges_[change.purge->subject] = {number, change.members};
  expiries_.push_back({now + purge_lifetime_, change.purge->subject, number, issued, stamp_run_});
  expire(now);
}

void Snapshot::note_stamp(Seconds issued) {
  if (std::abs(issued - last_issued_) > kStampGap) ++stamp_run_;
  last_issued_ = issued;
}

bool Snapshot::is_over(const Expiry& expiry, Seconds now) const {
  if (expiry.at <= now) return true;
  return expiry.stamp_run == stamp_run_ && last_issued_ - expiry.issued > purge_lifetime_ + kStampTolerance;
}

void Snapshot::expire(Seconds now) {
  while (!expiries_.empty() && is_over(expiries_.front(), now)) {
    const auto purge = purges_.find(expiries_.front().subject);
    // A later purge of the same subject lives on.
    if (purge != purges_.end() && purge->second.number == expiries_.front().number) purges_.erase(purge);
    expiries_.pop_front();
  }
}

EncodedPiece Snapshot::after(long long cursor, long long last) const {
  std::vector<std::pair<long long, std::string>> events;
  if (list_number_ > cursor) {
    std::vector<std::string> entries;
    for (const auto& [id, text] : nodes_) entries.push_back(text);
    events.emplace_back(list_number_, whole_list_members(list_version_, entries));
  }
  for (const auto& [subject, purge] : purges_)
    if (purge.number > cursor) events.emplace_back(purge.number, purge.members);
  std::sort(events.begin(), events.end());
  std::string plain;
  for (const auto& [number, members] : events) plain += encode_event(number, members);
  return encode_piece(std::move(plain), last);
}

long long Snapshot::oldest() const {
  long long least = list_number_;
  for (const auto& [subject, purge] : purges_) least = std::min(least, purge.number);
  return least;
}

void Snapshot::move_epoch(long long from, long long to) {
  const auto move = [&](long long& number) {
    if (epoch_of(number) == from) number = numbered(to, number);
  };
  move(list_number_);
  for (auto& [subject, purge] : purges_) move(purge.number);
  for (Expiry& expiry : expiries_) move(expiry.number);
}

}  // namespace hareramp::distribution
