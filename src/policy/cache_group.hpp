// Chooses which caches of its own zone a director uses, where a zone has many times the usual number. A
// connection to each of hundreds of caches would cost descriptors, and the set-up of a new connection for
// each request: the more caches share the same traffic, the longer each connection stays idle, until it
// is closed.
//
// The zone's caches are divided into groups by the hash of their ids, and a director uses one group, drawn by
// its seed. This is subsetting as in the SRE book (B. Beyer et al., Site Reliability Engineering, chapter
// 20), with two differences. Directors don't know a number of their own, so groups are drawn at random
// instead of assigned in turn. And all directors of a group use the same caches, so that they still share the
// copies there; a separate subset for each director would store an object once per director. The number of
// groups is a power of two: when it doubles or halves, half of a director's caches stay the same.
#pragma once

#include <cstdint>

namespace hareramp {

// What a director knows about its own zone and its own traffic.
struct ZoneStatistics {
  int caches = 0;                     // listed in the zone
  double capacity = 0;                // of all these caches together, in transfers at the full rate
  double directors = 1;               // that share the caches
  double demand = 0;                  // mean number of this director's transfers in progress
  bool traffic_is_known = false;      // whether the next value is measured
  double requests_per_idle_time = 0;  // requests of this director within the idle time-out of a connection
};

// Number of groups into which the zone's caches are divided for this director. 1 uses all caches, as in every
// fleet of the usual size. `current` is the previous result: it is kept near the bounds, so that a list or
// traffic that varies a little does not move objects back and forth.
int choose_group_count(const ZoneStatistics& zone, int current);

// Whether a cache is in the director's group. Both hashes use all 64 bits.
bool in_group(std::uint64_t cache_hash, std::uint64_t director_hash, int groups);

// Upper bound on the number of directors that use a cache of a group, exceeded only by rare chance.
double directors_of_group(double directors_of_zone, int groups);

}  // namespace hareramp
