// Checks the five rules and that every request is accounted for. It uses only the events of the simulated
// world, never a director's own reports. No side effects.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "lab/world/plan.hpp"

namespace hareramp::lab {

// The counts of a run and the violations found. The counters of rejected and failed requests keep the names
// of the exported metrics: bounced and forfeited; left counts requests lost when their director restarted.
struct Findings {
  std::uint64_t taken = 0, completed = 0, bounced = 0, forfeited = 0, left = 0;
  // Rule 1: each request gets exactly one final answer, in time.
  std::uint64_t answered_twice = 0, unanswered = 0;
  // Rule 2: no request that must run once takes effect twice.
  std::uint64_t double_effects = 0;
  // Rule 3: no attempt is sent to a node later than the grace time after its drain was notified.
  std::uint64_t after_drain = 0;
  // Rule 4: nodes that warm up are not overloaded: the highest ratio of work sent to the limit of any such
  // node, and the number of nodes that crashed by it.
  double cold_worst = 0;
  std::uint64_t fallen = 0;
  // Rule 5: no copy older than a purge is used later than the grace time after the purge was notified.
  std::uint64_t stale = 0;
  std::uint64_t out_of_balance = 0;  // checks at which the counts of requests did not add up
  std::uint64_t answers_checked = 0, attempts = 0, origin_fetches = 0;

  bool all_rules_hold() const {
    return answered_twice + unanswered + double_effects + after_drain + fallen + stale + out_of_balance ==
               0 &&
           cold_worst <= 1;
  }
};

class InvariantChecker {
 public:
  explicit InvariantChecker(const WorldPlan& world) : world_(world) {}

  void request_arrived(std::uint64_t request, Seconds deadline);
  enum class Outcome { kCompleted, kRejected, kFailed, kConnectionLost };
  void request_ended(Seconds now, std::uint64_t request, Outcome outcome);
  // A request was executed at the origin; effect says what a repeated execution does.
  void executed_at_origin(std::uint64_t request, Effect effect);
  // An attempt reached a node. now: the time at which it was sent; drain_notified_at: when its director
  // learned that the node drains, 0 if it did not.
  void attempt_arrived(Seconds now, Seconds drain_notified_at);
  // Work, in seconds of a transfer at full rate, arrived at a node that was launched at `launched`.
  void work_at_warming_node(Seconds now, std::size_t node, Seconds launched, double slots, double work);
  void warming_node_crashed() { ++findings_.fallen; }
  // A request was answered with a copy that the origin served at copy_origin_time. The attempt was sent at
  // sent_at by a director that learned at purge_notified_at of the newest purge of the copy, issued at
  // purged_at.
  void copy_answered(Seconds sent_at, Seconds copy_origin_time, Seconds purged_at, Seconds purge_notified_at);
  // At any time the world's own count of open requests must equal the requests that arrived and have not
  // ended.
  void check_balance(std::uint64_t open);
  // At the end of the run every request past its deadline must have been answered.
  void finish(Seconds now);

  Findings& findings() { return findings_; }

 private:
  struct Request {
    Seconds deadline = 0;
    std::uint32_t answers = 0;
  };
  const WorldPlan& world_;
  Findings findings_;
  std::map<std::uint64_t, Request> requests_;
  std::map<std::uint64_t, std::uint32_t> executions_;
  std::map<std::size_t, std::deque<std::pair<Seconds, double>>> recent_work_;
};

}  // namespace hareramp::lab
