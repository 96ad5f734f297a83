// Tests of the laboratory: the shared link against closed forms, the determinism of the simulation, the
// invariant checker against injected defects, the search for the worst fault schedule, and the reading of
// experiment files.
#include <fmt/format.h>

#include <algorithm>
#include <random>

#include "lab/experiment.hpp"
#include "lab/hunt.hpp"
#include "lab/world/invariant_checker.hpp"
#include "lab/world/link.hpp"
#include "lab/world/world.hpp"
#include "trace.hpp"

using namespace hareramp::lab;

namespace {

Plan small_plan() {
  Plan plan;
  plan.world.locations = 2, plan.world.directors = 2, plan.world.caches = 3, plan.world.parents = 2;
  plan.world.cache = {8, 500, 4}, plan.world.parent = {30, 5000, 4}, plan.world.origin = {20, 1, 4};
  plan.load.rate = 300, plan.load.objects = 2000, plan.load.retries = 1;
  RequestClassPlan read, binding;
  read.name = "read", read.share = 8, read.size_kb = 40, read.target_time = 0.2, read.deadline = 2;
  binding.name = "binding", binding.effect = Effect::kBinding, binding.write = true, binding.size_kb = 10;
  binding.target_time = 0.4, binding.deadline = 3;
  plan.load.request_classes = {read, binding};
  plan.duration = 10;
  return plan;
}

FaultPlan fault(const char* kind, double at, double lasts, const char* nodes, int first, int count) {
  return {kind, at, lasts, nodes, first, count, 1, 0};
}

// A plan whose faults concern each of the rules: crashes, drains, warm-up and purges.
Plan plan_with_faults() {
  Plan plan = small_plan();
  plan.faults = {fault("crash", 2, 1, "cache", 0, 1), fault("drain", 4, 3, "cache", 1, 2),
                 fault("crash", 5, 1, "parent", 0, 1), fault("purge_object", 2, 6, "", 0, 1)};
  plan.faults.back().rate = 30;
  return plan;
}

std::vector<double> end_times(FairLink& link) {
  std::vector<double> ends;
  std::vector<std::uint64_t> ended;
  while (link.transfers() > 0) {
    const double at = link.next_end();
    ended.clear();
    link.remove_ended(at, ended);
    for (std::size_t i = 0; i < ended.size(); ++i) ends.push_back(at);
  }
  return ends;
}

}  // namespace

TEST_CASE("a shared link matches the closed forms") {
  FairLink alone(100, 40);  // limited by its own maximum rate, not by the capacity of the link
  alone.add(0, 1, 80);
  CHECK(end_times(alone) == std::vector<double>{2});
  FairLink equal(100, 100);  // equal transfers end together
  for (std::uint64_t i = 0; i < 5; ++i) equal.add(0, i, 40);
  for (const double end : end_times(equal)) CHECK(end == doctest::Approx(2));
  FairLink two(100,
               100);  // 50 and 150 KB: the short one ends at 1, the long one has the link alone from then
  two.add(0, 1, 50), two.add(0, 2, 150);
  CHECK(end_times(two) == std::vector<double>{1, 2});
  FairLink late(100, 100);  // one starts when another is half done
  late.add(0, 1, 100), late.add(0.5, 2, 100);
  const auto ends = end_times(late);
  CHECK(ends[0] == doctest::Approx(1.5));
  CHECK(ends[1] == doctest::Approx(2));
  FairLink changed(100, 100);  // half the capacity from 0.5 s on
  changed.add(0, 1, 100), changed.set_capacity(0.5, 50);
  CHECK(end_times(changed)[0] == doctest::Approx(1.5));
  FairLink dropped(100, 100);
  dropped.add(0, 1, 100), dropped.add(0, 2, 100), dropped.remove(1, 1);
  CHECK(end_times(dropped)[0] == doctest::Approx(1.5));
}

TEST_CASE("a link conserves work while transfers start and end") {
  std::mt19937 rng(3);
  FairLink link(50, 20);
  double now = 0, total_kb = 0;
  std::vector<std::uint64_t> ended;
  std::size_t added = 0;
  for (std::uint64_t i = 0; i < 2000; ++i) {
    now += 0.05 * (rng() % 10);
    const double kb = 1 + rng() % 30;
    link.add(now, i, kb);
    total_kb += kb, ++added;
    link.remove_ended(now, ended);
  }
  while (link.transfers() > 0) link.remove_ended(now = link.next_end(), ended);
  CHECK(ended.size() == added);
  CHECK(now >= total_kb / 50);  // never faster than the link
}

TEST_CASE("the same seed gives bit-identical results, another seed gives different ones") {
  for (const char* policy : {"design", "random", "textbook", "two"}) {
    const RunResult one = simulate(plan_with_faults(), policy, 7),
                    two = simulate(plan_with_faults(), policy, 7),
                    other = simulate(plan_with_faults(), policy, 8);
    CHECK(one.fingerprint == two.fingerprint);
    CHECK(one.utility == two.utility);
    CHECK(one.events == two.events);
    CHECK(one.fingerprint != other.fingerprint);
  }
}

TEST_CASE("the director keeps the rules under faults, and every request is accounted for") {
  for (const std::uint64_t seed : {1u, 2u, 3u}) {
    const RunResult result = simulate(plan_with_faults(), "design", seed);
    const Findings& findings = result.findings;
    CHECK_MESSAGE(
        findings.all_rules_hold(),
        fmt::format("twice {} unanswered {} effects {} drain {} cold {} fallen {} stale {} balance {}",
                    findings.answered_twice, findings.unanswered, findings.double_effects,
                    findings.after_drain, findings.cold_worst, findings.fallen, findings.stale,
                    findings.out_of_balance));
    CHECK(findings.taken > 2500);
    CHECK(findings.taken == findings.completed + findings.bounced + findings.forfeited + findings.left);
    CHECK(findings.answers_checked > 20);
    CHECK(result.utility > 0.5);
  }
}

// Each defect is detected by the check for it and by no other.
TEST_CASE("the invariant checker detects each injected defect") {
  std::string trace;
  const auto run_with_defect = [&](const char* name, InjectedDefect defect) {
    Plan plan = plan_with_faults();
    if (defect == InjectedDefect::kIgnoresWarmUp)
      plan.world.start_capacity_share = 0.02, plan.world.overload_factor = 0.5;
    const Findings findings = simulate(plan, "design", 5, defect).findings;
    trace +=
        fmt::format("{}:{}{}{}{}{}{}{}\n", name, findings.answered_twice ? " answered twice" : "",
                    findings.unanswered ? " unanswered" : "", findings.double_effects ? " double effect" : "",
                    findings.after_drain ? " after the drain" : "",
                    findings.fallen || findings.cold_worst > 1 ? " warming node overloaded" : "",
                    findings.stale ? " stale" : "", findings.out_of_balance ? " out of balance" : "");
  };
  run_with_defect("none", InjectedDefect::kNone);
  run_with_defect("answers twice", InjectedDefect::kAnswersTwice);
  run_with_defect("drops answers", InjectedDefect::kDropsAnswers);
  run_with_defect("repeats a binding request", InjectedDefect::kRepeatsBindingRequests);
  run_with_defect("ignores drains", InjectedDefect::kIgnoresDrain);
  run_with_defect("ignores warm-up", InjectedDefect::kIgnoresWarmUp);
  run_with_defect("ignores purges", InjectedDefect::kIgnoresPurge);
  run_with_defect("miscounts open requests", InjectedDefect::kMiscountsOpenRequests);
  hareramp::check_trace("lab_mutants", trace);
}

// Guards against copies from before purges that the directors do not receive (issue 56).
TEST_CASE("while the change stream is lost no copy is used that a notified purge forbids") {
  Plan plan = small_plan();
  plan.load.request_classes.resize(1);
  plan.load.object_lifetime = 600, plan.duration = 30;
  const auto run = [&](double lost_for, std::uint64_t seed, InjectedDefect defect) {
    plan.faults = {fault("purge_object", 4, 24, "", 0, 1), fault("stream_lost", 10, lost_for, "", 0, 1)};
    plan.faults.front().rate = 10;
    return simulate(plan, "design", seed, defect);
  };
  for (const std::uint64_t seed : {1u, 2u, 3u}) {
    for (const double lost_for : {8.0, 18.0}) {
      const RunResult result = run(lost_for, seed, InjectedDefect::kNone);
      CHECK(result.findings.answers_checked > 100);
      CHECK(result.findings.all_rules_hold());
      CHECK(run(lost_for, seed, InjectedDefect::kIgnoresStreamLoss).findings.stale > 0);
    }
    // A source that is back soon costs nothing; one that is back just before purges count as notified may
    // still have to deliver what was missed.
    CHECK(run(0.5, seed, InjectedDefect::kNone).utility ==
          run(0.5, seed, InjectedDefect::kIgnoresStreamLoss).utility);
    const RunResult late_return = run(1.9, seed, InjectedDefect::kNone);
    CHECK(late_return.findings.all_rules_hold());
    CHECK(late_return.utility > run(8, seed, InjectedDefect::kNone).utility);
  }
}

// Guards against work for nodes whose drain the directors do not receive (issue 68, review/10): caches, and
// parents as fill sources, that drain, end and start again in an outage of the stream.
TEST_CASE("while the change stream is lost no node is used whose drain counts as notified") {
  Plan plan = small_plan();
  plan.load.request_classes.resize(1);
  plan.duration = 40;
  const auto run = [&](double drains_at, double lost_for, bool direct, std::uint64_t seed,
                       InjectedDefect defect) {
    plan.world.direct = direct;
    plan.faults = {fault("stream_lost", 10, lost_for, "", 0, 1), fault("drain", drains_at, 6, "cache", 1, 1),
                   fault("drain", drains_at + 1, 4, "parent", 0, 1)};
    return simulate(plan, "design", seed, defect);
  };
  for (const std::uint64_t seed : {1u, 2u, 3u})
    for (const bool direct : {false, true})
      for (const double drains_at : {9.6, 10.1, 12.0, 15.0})
        for (const double lost_for : {3.0, 8.0, 18.0}) {
          const RunResult result = run(drains_at, lost_for, direct, seed, InjectedDefect::kNone);
          CHECK(result.findings.all_rules_hold());
          CHECK(result.findings.taken ==
                result.findings.completed + result.findings.bounced + result.findings.forfeited);
          if (lost_for > 3)
            CHECK(run(drains_at, lost_for, direct, seed, InjectedDefect::kIgnoresStreamLoss)
                      .findings.after_drain > 0);
        }
}

TEST_CASE("the schedule search finds the worst faults, shrinks to them, and is repeatable") {
  Plan plan = small_plan();
  // Severe is a schedule with a slow parent and a burst; other faults add little.
  const SeverityFunction severity = [](const Plan& candidate) {
    const auto has = [&](const char* kind, const char* nodes) {
      return std::any_of(candidate.faults.begin(), candidate.faults.end(), [&](const FaultPlan& one) {
        return one.kind == kind && (*nodes == 0 || one.nodes == nodes);
      });
    };
    return 0.1 + 0.5 * has("slow", "parent") * has("burst", "") +
           0.001 * static_cast<double>(candidate.faults.size());
  };
  ScheduleSearchSettings settings;
  settings.runs = 600, settings.threads = 2;
  const WorstSchedule found = find_worst_schedule(plan, settings, severity);
  CHECK(found.severity > 0.6);
  CHECK(found.faults.size() == 2);
  CHECK(found.faults_before_shrinking > 2);
  CHECK(found.runs <= 600);
  const WorstSchedule again = find_worst_schedule(plan, settings, severity);
  REQUIRE(again.faults.size() == 2);
  CHECK(again.faults[0].at == found.faults[0].at);
  for (std::uint64_t seed = 0; seed < 50; ++seed)
    for (const FaultPlan& one : draw_schedule(plan, 6, seed)) {
      CHECK(one.first >= 0);
      CHECK(one.count >= 1);
      CHECK(one.at + one.duration <= plan.duration);
    }
}

TEST_CASE("compare reports a difference only where there is one") {
  const std::vector<double> a = {0.5, 0.6, 0.55, 0.52, 0.58}, b = {0.6, 0.7, 0.66, 0.61, 0.69},
                            c = {0.51, 0.59, 0.56, 0.51, 0.585};
  CHECK(
      compare(a, b).verdict("a", "b", "utility").starts_with("utility is higher with b than with a: +0.10"));
  CHECK(compare(b, a).verdict("b", "a", "utility").starts_with("utility is lower with a"));
  CHECK(compare(a, c).verdict("a", "c", "utility").starts_with("no difference seen"));
}

TEST_CASE("reading an experiment names schema violations, and quick applies the short form") {
  const std::string good =
      R"({"title":"t","load":{"rate":50,"grades":[{"name":"a"}]},"lasts_s":4,"bounds":[{"metric":"utility","least":0}],
    "quick":{"lasts_s":2,"seeds":[3]}})";
  CHECK(read_experiment(good, "F", false).plan.duration == 4);
  CHECK(read_experiment(good, "F", true).plan.duration == 2);
  CHECK(read_experiment(good, "F", true).seeds == std::vector<std::uint64_t>{3});
  std::string trace;
  for (
      const char* bad :
      {"{", R"({"title":"t","load":{"grades":[]},"bounds":[{"metric":"utility"}]})",
       R"({"title":"t","load":{"grades":[{"name":"a","effect":"none"}]},"bounds":[{"metric":"utility"}]})",
       R"({"title":"t","load":{"grades":[{"name":"a"}]},"bounds":[{"metric":"utility"}],"faults":[{"kind":"flood"}]})",
       R"({"title":"t","load":{"grades":[{"name":"a"}]},"bounds":[{"metric":"utility"}],"world":{"caches":0}})",
       R"({"title":"t","load":{"grades":[{"name":"a"}]}})"}) {
    try {
      read_experiment(bad, "F", false);
      trace += "taken\n";
    } catch (const ExperimentError& error) {
      trace += std::string(error.what()) + "\n";
    }
  }
  hareramp::check_trace("lab_slips", trace);
}
