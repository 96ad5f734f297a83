// The laboratory's world against closed forms, its determinism, and its auditor against directors that are
// broken on purpose.
#include <fmt/format.h>

#include <algorithm>
#include <random>

#include "lab/experiment.hpp"
#include "lab/hunt.hpp"
#include "lab/world/auditor.hpp"
#include "lab/world/link.hpp"
#include "lab/world/world.hpp"
#include "trace.hpp"

using namespace hareramp::lab;

namespace {

Plan small() {
  Plan plan;
  plan.world.locations = 2, plan.world.directors = 2, plan.world.caches = 3, plan.world.parents = 2;
  plan.world.cache = {8, 500, 4}, plan.world.parent = {30, 5000, 4}, plan.world.origin = {20, 1, 4};
  plan.load.rate = 300, plan.load.objects = 2000, plan.load.retries = 1;
  RequestClassPlan read, binding;
  read.name = "read", read.share = 8, read.size_kb = 40, read.contract = 0.2, read.stop = 2;
  binding.name = "binding", binding.effect = Effect::kBinding, binding.write = true, binding.size_kb = 10;
  binding.contract = 0.4, binding.stop = 3;
  plan.load.request_classes = {read, binding};
  plan.lasts = 10;
  return plan;
}

FaultPlan fault(const char* kind, double at, double lasts, const char* nodes, int first, int count) {
  return {kind, at, lasts, nodes, first, count, 1, 0};
}

// A day with something of everything that the rules are about.
Plan rough() {
  Plan plan = small();
  plan.faults = {fault("crash", 2, 1, "cache", 0, 1), fault("drain", 4, 3, "cache", 1, 2),
                 fault("crash", 5, 1, "parent", 0, 1), fault("purge_object", 2, 6, "", 0, 1)};
  plan.faults.back().rate = 30;
  return plan;
}

std::vector<double> ends_of(FairLink& link) {
  std::vector<double> ends;
  std::vector<std::uint64_t> ended;
  while (link.transfers() > 0) {
    const double at = link.next_end();
    ended.clear();
    link.take_ended(at, ended);
    for (std::size_t i = 0; i < ended.size(); ++i) ends.push_back(at);
  }
  return ends;
}

}  // namespace

TEST_CASE("a shared link against its closed forms") {
  FairLink alone(100, 40);  // its own bound holds, not the link's
  alone.add(0, 1, 80);
  CHECK(ends_of(alone) == std::vector<double>{2});
  FairLink equal(100, 100);  // n equal ones end together
  for (std::uint64_t i = 0; i < 5; ++i) equal.add(0, i, 40);
  for (const double end : ends_of(equal)) CHECK(end == doctest::Approx(2));
  FairLink two(100,
               100);  // 50 and 150 KB: the short one ends at 1, the long one has the link alone from then
  two.add(0, 1, 50), two.add(0, 2, 150);
  CHECK(ends_of(two) == std::vector<double>{1, 2});
  FairLink late(100, 100);  // one comes while another is half done
  late.add(0, 1, 100), late.add(0.5, 2, 100);
  const auto ends = ends_of(late);
  CHECK(ends[0] == doctest::Approx(1.5));
  CHECK(ends[1] == doctest::Approx(2));
  FairLink changed(100, 100);  // half the capacity from 0.5 on
  changed.add(0, 1, 100), changed.set_capacity(0.5, 50);
  CHECK(ends_of(changed)[0] == doctest::Approx(1.5));
  FairLink dropped(100, 100);
  dropped.add(0, 1, 100), dropped.add(0, 2, 100), dropped.remove(1, 1);
  CHECK(ends_of(dropped)[0] == doctest::Approx(1.5));
}

TEST_CASE("work is conserved on a link, whatever comes and goes") {
  std::mt19937 chance(3);
  FairLink link(50, 20);
  double now = 0, given = 0;
  std::vector<std::uint64_t> ended;
  std::size_t out = 0;
  for (std::uint64_t i = 0; i < 2000; ++i) {
    now += 0.05 * (chance() % 10);
    const double kb = 1 + chance() % 30;
    link.add(now, i, kb);
    given += kb, ++out;
    link.take_ended(now, ended);
  }
  while (link.transfers() > 0) link.take_ended(now = link.next_end(), ended);
  CHECK(ended.size() == out);
  CHECK(now >= given / 50);  // never faster than the link
}

TEST_CASE("the same seed gives the same day to the bit, another seed another") {
  for (const char* policy : {"design", "random", "textbook", "two"}) {
    const Day one = play(rough(), policy, 7), two = play(rough(), policy, 7),
              other = play(rough(), policy, 8);
    CHECK(one.fingerprint == two.fingerprint);
    CHECK(one.utility == two.utility);
    CHECK(one.events == two.events);
    CHECK(one.fingerprint != other.fingerprint);
  }
}

TEST_CASE("the director keeps the rules in a rough world, and every request is accounted for") {
  for (const std::uint64_t seed : {1u, 2u, 3u}) {
    const Day day = play(rough(), "design", seed);
    const Findings& f = day.findings;
    CHECK_MESSAGE(
        f.kept(),
        fmt::format("twice {} unanswered {} effects {} drain {} cold {} fallen {} stale {} balance {}",
                    f.answered_twice, f.unanswered, f.double_effects, f.after_drain, f.cold_worst, f.fallen,
                    f.stale, f.out_of_balance));
    CHECK(f.taken > 2500);
    CHECK(f.taken == f.completed + f.bounced + f.forfeited + f.left);
    CHECK(f.answers_checked > 20);
    CHECK(day.utility > 0.5);
  }
}

// Each broken in one way, found by its own check and by no other.
TEST_CASE("the auditor sees each director that is broken on purpose") {
  std::string trace;
  const auto see = [&](const char* what, Mutant mutant) {
    Plan plan = rough();
    if (mutant == Mutant::kIgnoresCold) plan.world.start_share = 0.02, plan.world.fall_multiple = 0.5;
    const Findings f = play(plan, "design", 5, mutant).findings;
    trace += fmt::format("{}:{}{}{}{}{}{}{}\n", what, f.answered_twice ? " answered twice" : "",
                         f.unanswered ? " unanswered" : "", f.double_effects ? " double effect" : "",
                         f.after_drain ? " after the drain" : "",
                         f.fallen || f.cold_worst > 1 ? " cold pushed over" : "", f.stale ? " stale" : "",
                         f.out_of_balance ? " out of balance" : "");
  };
  see("none", Mutant::kNone);
  see("answers twice", Mutant::kAnswersTwice);
  see("swallows answers", Mutant::kSwallows);
  see("resends a binding request", Mutant::kResendsBinding);
  see("ignores drains", Mutant::kIgnoresDrain);
  see("ignores that nodes are cold", Mutant::kIgnoresCold);
  see("ignores purges", Mutant::kIgnoresPurge);
  see("miscounts what is open", Mutant::kMiscounts);
  hareramp::check_trace("lab_mutants", trace);
}

TEST_CASE("the hunt finds what is bad, shrinks to it, and finds it again") {
  Plan plan = small();
  // Bad is a slow parent and a burst at one time; everything else is noise.
  const Badness badness = [](const Plan& played) {
    const auto has = [&](const char* kind, const char* nodes) {
      return std::any_of(played.faults.begin(), played.faults.end(), [&](const FaultPlan& one) {
        return one.kind == kind && (*nodes == 0 || one.nodes == nodes);
      });
    };
    return 0.1 + 0.5 * has("slow", "parent") * has("burst", "") +
           0.001 * static_cast<double>(played.faults.size());
  };
  HuntSettings settings;
  settings.days = 600, settings.threads = 2;
  const Hunted found = hunt(plan, settings, badness);
  CHECK(found.badness > 0.6);
  CHECK(found.faults.size() == 2);
  CHECK(found.faults_at_first > 2);
  CHECK(found.days <= 600);
  const Hunted again = hunt(plan, settings, badness);
  REQUIRE(again.faults.size() == 2);
  CHECK(again.faults[0].at == found.faults[0].at);
  for (std::uint64_t seed = 0; seed < 50; ++seed)
    for (const FaultPlan& one : draw_schedule(plan, 6, seed)) {
      CHECK(one.first >= 0);
      CHECK(one.count >= 1);
      CHECK(one.at + one.lasts <= plan.lasts);
    }
}

TEST_CASE("differences: seen where there is one, and not where there is none") {
  const std::vector<double> a = {0.5, 0.6, 0.55, 0.52, 0.58}, b = {0.6, 0.7, 0.66, 0.61, 0.69},
                            c = {0.51, 0.59, 0.56, 0.51, 0.585};
  CHECK(
      compare(a, b).verdict("a", "b", "utility").starts_with("utility is higher with b than with a: +0.10"));
  CHECK(compare(b, a).verdict("b", "a", "utility").starts_with("utility is lower with a"));
  CHECK(compare(a, c).verdict("a", "c", "utility").starts_with("no difference seen"));
}

TEST_CASE("an experiment's file: slips are named, and the short form differs only as it says") {
  const std::string good =
      R"({"title":"t","load":{"rate":50,"grades":[{"name":"a"}]},"lasts_s":4,"bounds":[{"metric":"utility","least":0}],
    "quick":{"lasts_s":2,"seeds":[3]}})";
  CHECK(read_experiment(good, "F", false).plan.lasts == 4);
  CHECK(read_experiment(good, "F", true).plan.lasts == 2);
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
    } catch (const BadExperiment& error) {
      trace += std::string(error.what()) + "\n";
    }
  }
  hareramp::check_trace("lab_slips", trace);
}
