// The simulated world: caches, parents, the origin, links, clients and directors in virtual time, driven by
// one seed. The same plan, policy and seed give bit-identical results. All figures are simulated; none is a
// measurement of real servers.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "lab/world/invariant_checker.hpp"
#include "lab/world/plan.hpp"

namespace hareramp::lab {

// A defect injected on purpose, to show that the invariant checker detects it.
enum class InjectedDefect {
  kNone,
  kAnswersTwice,
  kDropsAnswers,
  kRepeatsBindingRequests,
  kIgnoresDrain,
  kIgnoresWarmUp,
  kIgnoresPurge,
  kIgnoresStreamLoss,
  kMiscountsOpenRequests
};

// The counts of one sample interval.
struct Sample {
  Seconds at = 0;
  double utility = 0;  // mean utility of the requests that ended since the previous sample
  std::uint64_t ended = 0, completed = 0, bounced = 0, forfeited = 0, attempts = 0, origin = 0;
};

// The result of one simulation run.
struct RunResult {
  Findings findings;
  double utility = 0;                    // utility earned, as a share of the attainable utility
  std::vector<double> utility_by_class;  // the same for each request class
  double attempts_per_request = 0, origin_share = 0;
  double p50 = 0, p99 = 0;  // latency of completed requests in seconds
  std::uint64_t events = 0;
  std::vector<Sample> samples;
  std::uint64_t fingerprint = 0;  // hash of all decisions and answers
};

// Simulates a plan with one policy and seed. Throws std::runtime_error for an unknown policy.
RunResult simulate(const Plan& plan, const std::string& policy, std::uint64_t seed,
                   InjectedDefect defect = InjectedDefect::kNone);

}  // namespace hareramp::lab
