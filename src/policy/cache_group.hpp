// Which caches of its own zone a director uses, where a zone has many times the usual number. A connection to
// each of hundreds of caches would cost descriptors, and one that is set up anew for each request: the more
// caches share the same traffic, the longer each connection rests unused, until it is closed.
//
// The zone's caches fall into groups by the hash of their ids, and a director uses one group, drawn by its
// seed. This is subsetting as in the SRE book (B. Beyer et al., Site Reliability Engineering, chapter 20),
// with two differences. Directors know no number of their own, so groups are drawn and not dealt out. And all
// directors of a group use the same caches, so that they still share the copies there; subsets drawn for each
// director alone would hold an object once for each director. The number of groups is a power of two: when it
// doubles or halves, half of a director's caches stay.
#pragma once

#include <cstdint>

namespace hareramp {

// What a director knows of its own zone and of its own traffic.
struct ZoneStatistics {
  int caches = 0;                     // listed in the zone
  double capacity = 0;                // of all of them together, in transfers at full pace
  double directors = 1;               // that share them
  double demand = 0;                  // transfers of this director in progress, in the mean
  bool traffic_is_known = false;      // the next figure is measured
  double requests_per_idle_time = 0;  // of this director, in the time that a connection may rest
};

// Into how many groups the zone's caches fall for this director: 1 uses all of them, as in every fleet of the
// usual size. current: the answer before; it is kept near the bounds, so that a list or traffic that varies a
// little does not move the objects to and fro.
int choose_group_count(const ZoneStatistics& zone, int current);

// Whether a cache is in the director's group. Both hashes are of all 64 bits.
bool in_group(std::uint64_t cache_hash, std::uint64_t director_hash, int groups);

// How many directors use a cache of a group, at most but for rare chance.
double directors_of_group(double directors_of_zone, int groups);

}  // namespace hareramp
