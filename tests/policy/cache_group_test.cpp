// The groups into which a zone's caches are divided where the zone has many times the usual number.
#include "policy/cache_group.hpp"

#include <random>
#include <set>

#include "helpers.hpp"

using namespace hareramp;

namespace {

ZoneStatistics busy_zone(int caches) {
  ZoneStatistics zone;
  zone.caches = caches;
  zone.capacity = 8.0 * caches;
  zone.directors = 100;
  zone.demand = 0.5;
  zone.traffic_is_known = true;
  zone.requests_per_idle_time = 750;
  return zone;
}

std::string cache_names(int count) {
  std::string names;
  for (int i = 0; i < count; ++i) names += "c" + std::to_string(i) + " ";
  return names;
}

struct UsedNodes {
  std::set<std::string> caches;
  std::vector<std::string> parents;  // in the order of the requests
};

// The nodes that a director uses for 2,000 objects, with that many caches in its own zone.
UsedNodes used_nodes(int caches) {
  DirectorFixture fixture;
  fixture.list(ListCompleteness::kFull, cache_names(caches) + "P1 P2 P3 O");
  UsedNodes used;
  for (int object = 0; object < 2000; ++object) {
    const std::string id = "r" + std::to_string(object);
    fixture.request(id, static_cast<std::uint64_t>(object), 0, 1);
    used.caches.insert(fixture.node_of[id][0]);
    used.parents.push_back(fixture.source_of[id]);
    fixture.end_attempt(id, 0, Result::kCompleted, AnswerDetail::kHit, 0.001);
  }
  return used;
}

}  // namespace

TEST_CASE("a director uses one group of a large zone's caches, all of a usual zone's, and the same parents") {
  const UsedNodes usual = used_nodes(200), large = used_nodes(640);
  CHECK(usual.caches.size() == 200);
  CHECK(large.caches.size() >= 25);
  CHECK(large.caches.size() <= 72);
  CHECK(large.parents == usual.parents);
}

TEST_CASE("groups have 36 to 72 caches on average, and zones of up to 200 are not divided") {
  for (int caches = 1; caches <= 3200; ++caches) {
    const int groups = choose_group_count(busy_zone(caches), 1);
    if (caches <= 200) {
      CHECK(groups == 1);
    } else {
      CHECK(caches >= 36 * groups);
      CHECK(caches < 72 * groups);
    }
  }
}

TEST_CASE("a zone is divided no further than its directors' load allows") {
  ZoneStatistics zone = busy_zone(640);
  CHECK(choose_group_count(zone, 1) == 16);
  zone.directors = 1;  // the capacity of 5,120 transfers is all for one director
  zone.demand = 80;
  CHECK(choose_group_count(zone, 1) == 16);
  zone.demand = 200;  // 4 times the demand fits into a quarter of the zone, not into an eighth
  CHECK(choose_group_count(zone, 1) == 4);
  zone.demand = 2000;
  CHECK(choose_group_count(zone, 1) == 1);
}

TEST_CASE("a director with few requests uses the whole zone, once that is known") {
  ZoneStatistics zone = busy_zone(640);
  zone.requests_per_idle_time = 20;
  CHECK(choose_group_count(zone, 16) == 1);
  zone.traffic_is_known = false;
  CHECK(choose_group_count(zone, 1) == 16);
}

TEST_CASE("a zone whose size varies around a bound keeps its division") {
  CHECK(choose_group_count(busy_zone(575), 1) == 8);
  CHECK(choose_group_count(busy_zone(576), 8) == 16);
  CHECK(choose_group_count(busy_zone(575), 16) == 16);
  CHECK(choose_group_count(busy_zone(431), 16) == 8);
  CHECK(choose_group_count(busy_zone(199), 4) == 4);
  CHECK(choose_group_count(busy_zone(150), 4) == 1);
}

TEST_CASE("each cache is in one group, and half of a group stays when the groups are divided") {
  std::mt19937_64 random(1);
  for (int i = 0; i < 1000; ++i) {
    const std::uint64_t cache = random(), director = random();
    int groups_with_it = 0;
    for (std::uint64_t group = 0; group < 16; ++group) groups_with_it += in_group(cache, group << 32, 16);
    CHECK(groups_with_it == 1);
    CHECK((!in_group(cache, director, 16) || in_group(cache, director, 8)));
    CHECK(in_group(cache, director, 1));
  }
}

TEST_CASE("all directors of a zone together use its caches evenly, within bounds") {
  constexpr int kDirectors = 1600, kGroups = 16, kMean = kDirectors / kGroups;
  std::mt19937_64 random(1);
  std::vector<std::uint64_t> directors(kDirectors);
  for (std::uint64_t& director : directors) director = random();
  for (std::uint64_t group = 0; group < kGroups; ++group) {
    int sharers = 0;
    for (const std::uint64_t director : directors) sharers += in_group(group << 32, director, kGroups);
    CHECK(sharers >= kMean / 2);
    CHECK(sharers <= directors_of_group(kDirectors, kGroups));
  }
  CHECK(directors_of_group(100, 1) == 100);
  CHECK(directors_of_group(1, 16) == 1);
}
