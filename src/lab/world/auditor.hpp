// Checks the five rules from what the world saw, never from what a director says of itself, and that nothing
// is lost from the count. Pure.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "lab/world/plan.hpp"

namespace hareramp::lab {

struct Findings {
  std::uint64_t taken = 0, completed = 0, bounced = 0, forfeited = 0, left = 0;
  // rule 1: one final answer, in time
  std::uint64_t answered_twice = 0, unanswered = 0;
  // rule 2: no double effect
  std::uint64_t double_effects = 0;
  // rule 3: drains kept
  std::uint64_t after_drain = 0;
  // rule 4: cold nodes not pushed over: the largest part of its limit that any was sent, and those that fell
  double cold_worst = 0;
  std::uint64_t fallen = 0;
  // rule 5: purges kept
  std::uint64_t stale = 0;
  std::uint64_t out_of_balance = 0;  // moments at which the count did not add up
  std::uint64_t answers_checked = 0, attempts = 0, origin_fetches = 0;

  bool kept() const {
    return answered_twice + unanswered + double_effects + after_drain + fallen + stale + out_of_balance ==
               0 &&
           cold_worst <= 1;
  }
};

class Auditor {
 public:
  explicit Auditor(const WorldPlan& world) : world_(world) {}

  void taken(std::uint64_t request, Seconds deadline);
  enum class Answer { kCompleted, kBounced, kForfeited, kLeft };
  void answered(Seconds now, std::uint64_t request, Answer how);
  // A request ran at the origin, with the mark of its fingerprint.
  void ran(std::uint64_t request, Effect effect);
  // An attempt came to a node of which its director was told at that time that it drains.
  void came(Seconds now, Seconds told_to_drain);
  // So much work (in seconds of a transfer at full pace) came to a node that started at that time.
  void cold_work(Seconds now, std::size_t node, Seconds launched, double slots, double work);
  void fell() { ++findings_.fallen; }
  // A copy given out by the origin at copy_at was answered, asked for at sent_at by a director that heard of
  // the newest purge of it (made at purged_at) at told_at.
  void copy_used(Seconds sent_at, Seconds copy_at, Seconds purged_at, Seconds told_at);
  // At any moment: what is open by the world's own book must be what is taken and not answered.
  void look(std::uint64_t open);
  // The end: every request whose time is up must have been answered.
  void ends(Seconds now);

  Findings& findings() { return findings_; }

 private:
  struct Request {
    Seconds deadline = 0;
    std::uint32_t answers = 0;
  };
  const WorldPlan& world_;
  Findings findings_;
  std::map<std::uint64_t, Request> requests_;
  std::map<std::uint64_t, std::uint32_t> ran_;
  std::map<std::size_t, std::deque<std::pair<Seconds, double>>> work_;
};

}  // namespace hareramp::lab
