// The emulated world: caches, parents, the origin, links, clients and directors in virtual time, from one
// seed. The same plan, policy and seed give the same day to the bit. It emulates; no figure of it is of real
// servers.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "lab/world/auditor.hpp"
#include "lab/world/plan.hpp"

namespace hareramp::lab {

// A director broken on purpose, to show that the auditor sees it.
enum class Mutant {
  kNone,
  kAnswersTwice,
  kSwallows,
  kResendsBinding,
  kIgnoresDrain,
  kIgnoresCold,
  kIgnoresPurge,
  kMiscounts
};

struct Sample {
  Seconds at = 0;
  double utility = 0;  // earned of what could be, by the requests that ended since the sample before
  std::uint64_t ended = 0, completed = 0, bounced = 0, forfeited = 0, attempts = 0, origin = 0;
};

struct Day {
  Findings findings;
  double utility = 0;                   // earned of what could be
  std::vector<double> request_classes;  // the same by service grade
  double attempts_per_request = 0, origin_share = 0;
  double p50 = 0, p99 = 0;  // seconds to the answers completed
  std::uint64_t events = 0;
  std::vector<Sample> samples;
  std::uint64_t fingerprint = 0;  // of everything that was decided and answered
};

Day play(const Plan& plan, const std::string& policy, std::uint64_t seed, Mutant mutant = Mutant::kNone);

}  // namespace hareramp::lab
