// Which purges still bound the age of copies: a decision module of its own, without clock or sockets. Purges
// of objects are kept one by one up to a bound. Past it they go into Bloom filters, which may take an object
// for purged that was not, never the reverse: a bound becomes stricter by that, never laxer. So memory stays
// bounded for any backlog, and no purge is lost.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "policy.hpp"

namespace hareramp::policy {

// Purges kept one by one. An entry takes about 64 bytes: 2 MB for the objects.
constexpr std::size_t kExactObjectPurges = 32'768;
// The protocol has 256 groups; the bound only guards against a change log that names more.
constexpr std::size_t kExactGroupPurges = 1'024;

// A set of keys that may name a key which was never added (0.7% of them with 360,000 keys), and never misses
// one. Takes no memory while it is empty, 512 KB else.
class BloomFilter {
 public:
  void add(std::uint64_t key);
  bool may_hold(std::uint64_t key) const;
  void clear();

 private:
  std::vector<std::uint64_t> words_;
};

class Invalidations {
 public:
  // lifetime: after which every node has dropped the copies that a purge names, in seconds.
  explicit Invalidations(Seconds lifetime) : lifetime_(lifetime) {}

  // A purge that was issued `age` seconds before now. One older than the lifetime bounds nothing.
  void object_purged(Seconds now, ObjectId object, Seconds age);
  void group_purged(Seconds now, GroupId group, Seconds age);

  // When the latest purge that concerns the object, or may concern it, was issued.
  std::optional<Seconds> latest_purge(ObjectId object, GroupId group) const;

  // Forgets what is older than the lifetime.
  void expire(Seconds now);

  std::size_t exact_objects() const { return objects_.size(); }
  bool overflowed() const { return generations_[0].used || generations_[1].used; }

 private:
  // Purges of one span of time, as one: all of them count as issued when the latest was.
  struct Generation {
    bool used = false;
    Seconds opened_at = 0;
    Seconds latest = 0;
    BloomFilter keys;
  };

  void add_to_overflow(Seconds now, std::uint64_t key, Seconds issued_at);
  void rotate(Seconds now);

  Seconds lifetime_;
  std::map<std::uint64_t, Seconds> objects_;  // when the latest purge of each was issued
  std::map<std::int64_t, Seconds> groups_;
  std::array<Generation, 2> generations_;  // the one that takes new keys, and the one before it
};

}  // namespace hareramp::policy
