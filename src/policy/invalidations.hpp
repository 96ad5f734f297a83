// Keeps the purges that still bound the age of copies. Independent of clock and sockets. Purges of objects
// are kept individually up to a limit. Past it they go into Bloom filters, which may treat an object as
// purged that was not, but never miss one that was: an age bound can only become stricter by this. Memory is
// thus bounded for any backlog, and no purge is lost.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "policy.hpp"

namespace hareramp::policy {

// Largest number of purges kept individually. An entry takes about 64 bytes: 2 MB for the objects.
constexpr std::size_t kExactObjectPurges = 32'768;
// The protocol has 256 groups; the limit only guards against a change stream that names more.
constexpr std::size_t kExactGroupPurges = 1'024;

// A set of keys with false positives (0.7% of other keys when it holds 360,000) but no false negatives. It
// takes no memory while it is empty, and 512 KB otherwise.
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
  // lifetime: seconds after which every node has dropped the copies that a purge names.
  explicit Invalidations(Seconds lifetime) : lifetime_(lifetime) {}

  // Records a purge that was issued `age` seconds before now. One older than the lifetime is ignored.
  void object_purged(Seconds now, ObjectId object, Seconds age);
  void group_purged(Seconds now, GroupId group, Seconds age);

  // Time at which the latest purge was issued that applies to the object, or may apply to it.
  std::optional<Seconds> latest_purge(ObjectId object, GroupId group) const;

  // Removes purges older than the lifetime.
  void expire(Seconds now);

  std::size_t exact_objects() const { return objects_.size(); }
  bool overflowed() const { return generations_[0].used || generations_[1].used; }

 private:
  // The purges of one span of time, combined: all of them count as issued at the time of the latest.
  struct Generation {
    bool used = false;
    Seconds opened_at = 0;
    Seconds latest = 0;
    BloomFilter keys;
  };

  void add_to_overflow(Seconds now, std::uint64_t key, Seconds issued_at);
  void rotate(Seconds now);

  Seconds lifetime_;
  std::map<std::uint64_t, Seconds> objects_;  // time at which the latest purge of each was issued
  std::map<std::int64_t, Seconds> groups_;
  std::array<Generation, 2> generations_;  // the one that receives new keys, and the one before it
};

}  // namespace hareramp::policy
