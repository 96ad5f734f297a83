#include "policy/invalidations.hpp"

#include <algorithm>
#include <utility>

namespace hareramp::policy {

namespace {

constexpr std::size_t kFilterBits = std::size_t{1} << 22;  // 512 KB
constexpr std::size_t kWordBits = 64;
constexpr int kFilterHashes = 4;
constexpr std::uint64_t kGroupSalt = 0x67726f7570;  // keeps groups apart from objects of the same number

std::uint64_t mix(std::uint64_t value) {
  value += 0x9e3779b97f4a7c15U;
  value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
  value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
  return value ^ (value >> 31U);
}

// Visits the bits of a key. Their positions are an arithmetic sequence from two hashes, which is as good as
// independent hashes.
template <class Visit>
void visit_bits(std::uint64_t key, Visit visit) {
  std::uint64_t hash = mix(key);
  const std::uint64_t step = mix(hash) | 1U;
  for (int i = 0; i < kFilterHashes; ++i) {
    const std::uint64_t bit = hash % kFilterBits;
    visit(bit / kWordBits, std::uint64_t{1} << (bit % kWordBits));
    hash += step;
  }
}

std::uint64_t key_of(ObjectId object) { return object.value; }
std::uint64_t key_of(GroupId group) { return mix(static_cast<std::uint64_t>(group.value) ^ kGroupSalt); }

// Returns false if the key is new and the table is full.
template <class Table, class Key>
bool record_latest(Table& table, const Key& key, std::size_t max_entries, Seconds issued_at) {
  const auto found = table.find(key);
  if (found != table.end()) {
    found->second = std::max(found->second, issued_at);
    return true;
  }
  if (table.size() >= max_entries) return false;
  table.emplace(key, issued_at);
  return true;
}

}  // namespace

void BloomFilter::add(std::uint64_t key) {
  if (words_.empty()) words_.resize(kFilterBits / kWordBits);
  visit_bits(key, [this](std::size_t word, std::uint64_t mask) { words_[word] |= mask; });
}

bool BloomFilter::may_hold(std::uint64_t key) const {
  if (words_.empty()) return false;
  bool all = true;
  visit_bits(key, [&](std::size_t word, std::uint64_t mask) { all = all && (words_[word] & mask) != 0; });
  return all;
}

void BloomFilter::clear() { words_ = {}; }

void Invalidations::object_purged(Seconds now, ObjectId object, Seconds age) {
  if (age > lifetime_) return;
  if (!record_latest(objects_, object.value, kExactObjectPurges, now - age))
    add_to_overflow(now, key_of(object), now - age);
}

void Invalidations::group_purged(Seconds now, GroupId group, Seconds age) {
  if (age > lifetime_) return;
  if (!record_latest(groups_, group.value, kExactGroupPurges, now - age))
    add_to_overflow(now, key_of(group), now - age);
}

void Invalidations::add_to_overflow(Seconds now, std::uint64_t key, Seconds issued_at) {
  rotate(now);
  Generation& current = generations_[0];
  if (!current.used) {
    current.used = true;
    current.opened_at = now;
    current.latest = issued_at;
  }
  current.latest = std::max(current.latest, issued_at);
  current.keys.add(key);
}

// A generation receives keys for one lifetime. By then all purges of the generation before it are older than
// the lifetime.
void Invalidations::rotate(Seconds now) {
  if (!generations_[0].used || now - generations_[0].opened_at <= lifetime_) return;
  generations_[1] = std::exchange(generations_[0], Generation());
}

std::optional<Seconds> Invalidations::latest_purge(ObjectId object, GroupId group) const {
  std::optional<Seconds> latest;
  const auto consider = [&](Seconds issued_at) { latest = std::max(latest.value_or(issued_at), issued_at); };
  const auto by_object = objects_.find(object.value);
  if (by_object != objects_.end()) consider(by_object->second);
  const auto by_group = groups_.find(group.value);
  if (by_group != groups_.end()) consider(by_group->second);
  for (const Generation& generation : generations_) {
    if (!generation.used) continue;
    if (generation.keys.may_hold(key_of(object)) || generation.keys.may_hold(key_of(group)))
      consider(generation.latest);
  }
  return latest;
}

void Invalidations::expire(Seconds now) {
  const auto expired = [&](const auto& entry) { return now - entry.second > lifetime_; };
  std::erase_if(objects_, expired);
  std::erase_if(groups_, expired);
  for (Generation& generation : generations_)
    if (generation.used && now - generation.latest > lifetime_) generation = Generation();
}

}  // namespace hareramp::policy
