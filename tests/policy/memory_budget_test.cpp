// How much memory requests and answers may take together.
#include "policy/memory_budget.hpp"

#include <doctest/doctest.h>

#include <vector>

using namespace hareramp::policy;

namespace {
constexpr std::size_t kMb = 1 << 20;

// Charges pieces of 48,000 bytes while they fit; returns the bytes charged.
std::size_t fill(MemoryBudget& budget, MemoryUse use, std::vector<MemoryCharge>& charges) {
  for (;;) {
    charges.emplace_back(budget, use);
    if (!charges.back().try_resize(48000)) return budget.charged(use);
  }
}
}  // namespace

TEST_CASE("requests, answers and the rest of the process together stay below nine tenths of each limit") {
  for (const std::size_t limit : {32 * kMb, 48 * kMb, 192 * kMb, 2048 * kMb}) {
    for (const std::size_t rest : {5 * kMb, 15 * kMb}) {
      std::vector<MemoryCharge> charges;
      MemoryBudget budget(limit, [&] { return rest; });
      const std::size_t requests = fill(budget, MemoryUse::kRequests, charges);
      const std::size_t answers = fill(budget, MemoryUse::kAnswers, charges);
      CHECK(rest + requests + answers <= limit / 10 * 9);
      CHECK(requests > answers);  // the first may take more than half, and leaves the other a part
      CHECK(answers > budget.budget() / 4);
      charges.clear();
      CHECK(budget.charged(MemoryUse::kRequests) + budget.charged(MemoryUse::kAnswers) == 0);
    }
  }
}

TEST_CASE("the budget follows what the rest of the process uses, and never becomes nothing") {
  std::size_t in_use = 6 * kMb;
  MemoryBudget budget(32 * kMb, [&] { return in_use; });
  const std::size_t at_start = budget.budget();
  in_use = 16 * kMb;
  budget.measure();
  CHECK(budget.budget() == at_start - 10 * kMb);
  in_use = 40 * kMb;
  budget.measure();
  CHECK(budget.budget() == 2 * kMb);
  CHECK(budget.fits(MemoryUse::kAnswers, kMb));
  in_use = 1 * kMb;  // less than at the start: charged bytes may not be in use yet
  budget.measure();
  CHECK(budget.budget() == at_start);
}

TEST_CASE("no limit: everything fits; a charge that is moved is released once") {
  MemoryBudget budget(0);
  MemoryCharge first(budget, MemoryUse::kAnswers);
  CHECK(first.try_resize(1000 * kMb));
  MemoryCharge second = std::move(first);
  first = {budget, MemoryUse::kAnswers};
  CHECK(budget.charged(MemoryUse::kAnswers) == 1000 * kMb);
  second = MemoryCharge();
  CHECK(budget.charged(MemoryUse::kAnswers) == 0);
}

TEST_CASE("one answer is always read, also one that is larger than the budget") {
  MemoryBudget budget(kMb, [] { return 5 * kMb; });
  MemoryCharge first(budget, MemoryUse::kAnswers), second(budget, MemoryUse::kAnswers);
  first.resize(16000);
  CHECK(first.try_resize(240000));
  CHECK_FALSE(second.try_resize(240000));
  first.resize(0);
  CHECK(second.try_resize(240000));
}
