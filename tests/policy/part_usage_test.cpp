// Which parts are remembered as requested before, within a bounded number.
#include "policy/part_usage.hpp"

#include <doctest/doctest.h>

using namespace hareramp;
using hareramp::policy::PartUsage;

TEST_CASE("parts under ever new names do not grow the memory of requested parts") {
  PartUsage usage(1000, 2);
  for (std::uint64_t key = 0; key < 100000; ++key) usage.record(1, key, 10);
  CHECK(usage.size() == 1000);
}

TEST_CASE("a popular part is remembered while ever new names are requested") {
  PartUsage usage(1000, 2);
  for (std::uint64_t key = 1; key <= 100; ++key)
    for (int request = 0; request < 2; ++request) usage.record(1, key, 10);
  for (std::uint64_t key = 1000; key < 100000; ++key) usage.record(2, key, 10);
  for (std::uint64_t key = 1; key <= 100; ++key) CHECK(usage.record(3, key, 10).previous_request_at == 1);
  // And what became popular later is remembered too, in place of what has not been requested for longest.
  for (std::uint64_t key = 200000; key < 202000; ++key)
    for (int request = 0; request < 2; ++request) usage.record(4, key, 10);
  CHECK(usage.size() <= 1000);
  CHECK(usage.record(5, 201999, 10).previous_request_at == 4);
  CHECK_FALSE(usage.record(5, 1, 10).previous_request_at);
}

TEST_CASE("recent use decays, and parts expire by their last request") {
  PartUsage usage(10, 2);
  CHECK_FALSE(usage.record(10, 1, 100).previous_request_at);
  const PartUsage::Use second = usage.record(12, 1, 100);
  CHECK(second.previous_request_at == 10);
  CHECK(second.recent_kb == doctest::Approx(100 + 100 / 2.718281828));
  usage.record(20, 2, 1);
  usage.expire(15);
  CHECK(usage.size() == 1);
  CHECK_FALSE(usage.record(21, 1, 1).previous_request_at);
}
