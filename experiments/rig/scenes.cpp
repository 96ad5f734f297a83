#include "rig/scenes.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace hareramp::rig {

namespace {

// The bounds are wider than an idle machine needs: on busy cores clients, nodes and directors are all late.
constexpr double kTolerance = 0.75;        // s, of answers and of attempts after a drain or a deadline
constexpr double kDrainGrace = 1.0;        // s, DrainGraceS of the directors' configuration
constexpr double kMaxRecoveryTime = 15.0;  // s after the end of the fault
constexpr double kRecoveredShare = 0.95;   // of the share served before the fault
constexpr double kWindow = 2.0;            // s

std::vector<Finding> common_findings(Fleet& fleet, double baseline_from, double fault_from,
                                     double fault_until, double end) {
  const History& history = fleet.history();
  const auto breaches = history.breaches(kTolerance, kDrainGrace, fleet.excused());
  for (std::size_t i = 0; i < std::min<std::size_t>(breaches.size(), 5); ++i)
    fmt::print("  breach: {}\n", breaches[i]);
  const auto crashes = fleet.crashes();
  for (const auto& crash : crashes) fmt::print("  crash: {}\n", crash);
  const auto before = history.count(baseline_from, fault_from);
  const double recovered_at =
      history.recovered_at(fault_until, end, kRecoveredShare * before.served_share(), kWindow);
  double highest = 0;  // attempts at nodes per client attempt, in any window from the fault on
  for (double at = fault_from; at + kWindow <= end; at += kWindow / 2) {
    const auto counts = history.count(at, at + kWindow);
    if (counts.client_attempts > 0)
      highest = std::max(highest, static_cast<double>(counts.node_attempts) / counts.client_attempts);
  }
  return {
      {"rules_broken", static_cast<double>(breaches.size()), 0, 0},
      {"crashes", static_cast<double>(crashes.size()), 0, 0},
      {"good_before", before.served_share(), 0.9},
      {"good_meanwhile", history.count(fault_from, fault_until).served_share()},
      {"back_after_s", recovered_at < 0 ? 1e9 : recovered_at - fault_until, 0, kMaxRecoveryTime},
      {"attempts_a_try_over_before",
       highest * before.client_attempts / std::max<double>(1, before.node_attempts)},
      {"tries_a_request_meanwhile", history.count(fault_from, fault_until).client_attempts_per_request()}};
}

std::vector<Finding> origin_stopped(Fleet& fleet) {
  const double rate = fleet.plan().rate;
  fleet.run_until(6);
  fleet.hang_origin(true), fleet.set_rate(1.5 * rate);
  fleet.run_until(9);
  fleet.hang_origin(false), fleet.slow_origin(0.1);
  fleet.run_until(13);
  fleet.slow_origin(1), fleet.set_rate(rate);
  fleet.run_until(23);
  auto findings = common_findings(fleet, 3, 6, 13, 23);
  const auto origin_calls = [&](double from, double to) {
    return fleet.history().count(from, to).origin_calls;
  };
  const double before = std::max<double>(1, origin_calls(3, 6)) / 3;  // a second
  findings.push_back({"origin_calls_while_stopped_over_before", origin_calls(7, 9) / 2 / before});
  findings.push_back(
      {"origin_calls_over_what_it_bears", origin_calls(10, 13) / 3 / (0.1 * fleet.plan().origin_capacity)});
  findings.push_back({"origin_calls_when_back_over_before", origin_calls(13, 15) / 2 / before});
  return findings;
}

std::vector<Finding> cold_return(Fleet& fleet) {
  fleet.run_until(5);
  fleet.stop_node("c0"), fleet.stop_node("p0");
  fleet.run_until(6);
  fleet.start_node("c0"), fleet.start_node("p0");
  fleet.run_until(16);
  auto findings = common_findings(fleet, 3, 5, 6, 16);
  findings.push_back({"cold_limit_used", fleet.highest_warmup_load(), 0, 1});
  findings.push_back({"attempts_within_2_s", static_cast<double>(fleet.history().attempts("c0", 6, 8)), 1});
  return findings;
}

std::vector<Finding> one_sided(Fleet& fleet) {
  fleet.run_until(5);
  for (int director = 0; director < fleet.plan().directors / 2; ++director)
    fleet.node_relay(director, "c0").from_target.cut = true;
  const double cut_at = fleet.now();
  fleet.run_until(11);
  for (int director = 0; director < fleet.plan().directors / 2; ++director)
    fleet.node_relay(director, "c0").from_target.cut = false;
  fleet.run_until(19);
  auto findings = common_findings(fleet, 3, 5, 11, 19);
  // Lowest share served by a director behind the cut, once it has detected the cut, and by one of the others.
  double served_by_affected = 1, served_by_others = 1;
  for (int director = 0; director < fleet.plan().directors; ++director) {
    double& lowest = director < fleet.plan().directors / 2 ? served_by_affected : served_by_others;
    lowest =
        std::min(lowest, fleet.history().count(cut_at + 2, 11, fmt::format("d{}", director)).served_share());
  }
  // The cache is ejected after a few failures. A trial attempt follows after half a second, further ones
  // after intervals that double each time. Without ejection one request in five would go to this cache.
  findings.push_back({"attempts_to_the_cut_cache",
                      static_cast<double>(fleet.history().attempts("c0", cut_at + 2, 11, "d0")), 0, 5});
  findings.push_back({"good_at_the_cut_ones", served_by_affected, 0.85});
  findings.push_back({"good_at_the_others", served_by_others, 0.85});
  return findings;
}

// While the directors are dead and after their restart, all connections to the origin are reset repeatedly,
// during writes that it is about to answer.
std::vector<Finding> third_killed(Fleet& fleet) {
  for (int director = 0; director < fleet.plan().directors; ++director)
    fleet.node_relay(director, "origin").from_target.delay = 0.06;
  const auto play = [&](double until, bool reset_origin) {
    while (fleet.now() < until) {
      fleet.run_until(std::min(until, fleet.now() + 0.15));
      for (int director = 0; reset_origin && director < fleet.plan().directors; ++director)
        fleet.node_relay(director, "origin").reset();
    }
  };
  play(5, false);
  const int killed = (fleet.plan().directors + 2) / 3;
  for (int director = 0; director < killed; ++director) fleet.kill(director);
  play(7, true);
  for (int director = 0; director < killed; ++director) fleet.start(director);
  play(11, true), play(18, false);
  return common_findings(fleet, 3, 5, 11, 18);
}

std::vector<Finding> unlimited_retries(Fleet& fleet) {
  const double rate = fleet.plan().rate;
  fleet.set_retry_behavior(0, 40);
  fleet.run_until(6);
  fleet.set_rate(2.5 * rate);
  fleet.stop_node("p0");
  fleet.run_until(11);
  fleet.set_rate(rate);
  fleet.start_node("p0");
  fleet.run_until(22);
  return common_findings(fleet, 3, 6, 11, 22);
}

std::vector<Finding> paused(Fleet& fleet) {
  fleet.run_until(5);
  fleet.pause(0);
  fleet.run_until(6);
  fleet.drain("c0");
  fleet.run_until(9);
  fleet.resume(0);
  fleet.run_until(16);
  return common_findings(fleet, 3, 5, 9, 16);
}

}  // namespace

const std::vector<Scene>& scenes() {
  static const std::vector<Scene> kScenes = {
      {"origin_stopped", "the origin answers nothing, then a tenth of its capacity, at 1.5 times the load",
       origin_stopped},
      {"cold_return", "a cache and a parent restart with empty caches while all directors send requests",
       cold_return},
      {"one_sided", "answers of one cache do not reach half of the directors", one_sided},
      {"third_killed", "a third of the directors is killed at the same time and restarted", third_killed},
      {"repeats", "clients retry immediately, up to 40 times, while a parent is down", unlimited_retries},
      {"paused", "a director is paused for 4 s, and a cache is drained meanwhile", paused},
  };
  return kScenes;
}

}  // namespace hareramp::rig
