#include "lab/experiment.hpp"

#include <fmt/format.h>
#include <hdf5.h>
#include <hdf5_hl.h>

#include <algorithm>
#include <atomic>
#include <cmath>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <thread>

#include "base/schema.hpp"
#include "lab/experiment_schema.hpp"

namespace hareramp::lab {

using nlohmann::json;

namespace {

template <class Value>
void take(const json& object, const char* key, Value& to) {
  if (object.contains(key)) to = object[key].get<Value>();
}

void read_node(const json& object, const char* key, NodePlan& to) {
  if (!object.contains(key)) return;
  take(object[key], "slots", to.slots);
  take(object[key], "units", to.units);
  take(object[key], "waiting", to.waiting);
}

WorldPlan read_world(const json& object) {
  WorldPlan w;
  w.parent = {30, 20000, 4};
  w.origin = {20, 1, 4};
  take(object, "locations", w.locations), take(object, "hubs", w.hubs),
      take(object, "directors", w.directors);
  take(object, "caches", w.caches), take(object, "parents", w.parents);
  read_node(object, "cache", w.cache), read_node(object, "parent", w.parent),
      read_node(object, "origin", w.origin);
  take(object, "flow_kb_per_s", w.flow_kb_per_s);
  take(object, "way_cache_s", w.way_cache), take(object, "way_hub_s", w.way_hub),
      take(object, "way_origin_s", w.way_origin);
  take(object, "list_lag_s", w.list_lag), take(object, "purge_lag_s", w.purge_lag),
      take(object, "warms_s", w.warms);
  take(object, "start_share", w.start_share), take(object, "fall_multiple", w.fall_multiple);
  take(object, "fall_span_s", w.fall_span), take(object, "restarts_in_s", w.restarts_in);
  take(object, "joins", w.joins), take(object, "direct", w.direct), take(object, "siblings", w.siblings);
  return w;
}

LoadPlan read_load(const json& object) {
  LoadPlan load;
  take(object, "rate", load.rate), take(object, "objects", load.objects), take(object, "zipf", load.zipf);
  take(object, "life_s", load.life), take(object, "groups", load.groups),
      take(object, "retries", load.retries);
  take(object, "once", load.once);
  for (const json& one : object["grades"]) {
    RequestClassPlan request_class;
    take(one, "name", request_class.name), take(one, "contract_s", request_class.contract),
        take(one, "stop_s", request_class.stop);
    take(one, "stretch", request_class.stretch), take(one, "share", request_class.share),
        take(one, "size_kb", request_class.size_kb);
    take(one, "spread", request_class.spread), take(one, "write", request_class.write),
        take(one, "fresh_s", request_class.fresh);
    take(one, "grace_s", request_class.grace);
    const std::string effect = one.value("effect", "retriable");
    request_class.effect = effect == "binding"         ? Effect::kBinding
                           : effect == "fingerprinted" ? Effect::kFingerprinted
                                                       : Effect::kRetriable;
    load.request_classes.push_back(request_class);
  }
  return load;
}

}  // namespace

Experiment read_experiment(const std::string& text, const std::string& file, bool quick) {
  json document;
  try {
    document = json::parse(text);
  } catch (const json::parse_error& error) {
    throw BadExperiment(fmt::format("{}: not JSON: {}", file, error.what()));
  }
  if (const auto slip = first_violation(json::parse(kExperimentSchema), document))
    throw BadExperiment(slip->line(file));
  if (quick && document.contains("quick")) document.merge_patch(document["quick"]);
  Experiment experiment;
  take(document, "title", experiment.title);
  experiment.plan.world = read_world(document.value("world", json::object()));
  experiment.plan.load = read_load(document["load"]);
  take(document, "lasts_s", experiment.plan.lasts), take(document, "sample_s", experiment.plan.sample),
      take(document, "settles_s", experiment.plan.settles);
  for (const json& one : document.value("faults", json::array())) {
    FaultPlan fault;
    take(one, "kind", fault.kind), take(one, "at_s", fault.at), take(one, "lasts_s", fault.lasts);
    take(one, "nodes", fault.nodes), take(one, "first", fault.first), take(one, "count", fault.count);
    take(one, "factor", fault.factor), take(one, "rate", fault.rate);
    experiment.plan.faults.push_back(fault);
  }
  experiment.policies = document.value("policies", std::vector<std::string>{"design"});
  experiment.seeds = document.value("seeds", std::vector<std::uint64_t>{1});
  for (const json& one : document["bounds"]) {
    Bound bound;
    take(one, "policy", bound.policy), take(one, "metric", bound.metric);
    take(one, "least", bound.least), take(one, "most", bound.most);
    if (bound.policy.empty()) bound.policy = experiment.policies.front();
    experiment.bounds.push_back(bound);
  }
  return experiment;
}

std::map<std::string, double> metrics(const Plan& plan, const Day& day) {
  const Findings& f = day.findings;
  const auto taken = static_cast<double>(std::max<std::uint64_t>(1, f.taken));
  std::map<std::string, double> all = {{"utility", day.utility},
                                       {"taken", static_cast<double>(f.taken)},
                                       {"completed", static_cast<double>(f.completed) / taken},
                                       {"bounced", static_cast<double>(f.bounced) / taken},
                                       {"forfeited", static_cast<double>(f.forfeited) / taken},
                                       {"attempts", day.attempts_per_request},
                                       {"origin", day.origin_share},
                                       {"p50", day.p50},
                                       {"p99", day.p99},
                                       {"answered_twice", static_cast<double>(f.answered_twice)},
                                       {"unanswered", static_cast<double>(f.unanswered)},
                                       {"double_effects", static_cast<double>(f.double_effects)},
                                       {"after_drain", static_cast<double>(f.after_drain)},
                                       {"cold_worst", f.cold_worst},
                                       {"fallen", static_cast<double>(f.fallen)},
                                       {"stale", static_cast<double>(f.stale)},
                                       {"answers_checked", static_cast<double>(f.answers_checked)},
                                       {"out_of_balance", static_cast<double>(f.out_of_balance)}};
  double broken = 0;
  for (const char* rule :
       {"answered_twice", "unanswered", "double_effects", "after_drain", "fallen", "stale", "out_of_balance"})
    broken += all[rule] > 0;
  all["broken_rules"] = broken + (f.cold_worst > 1);
  // From the end of the last fault until utility is back at nine tenths of what it was before the first.
  Seconds first = plan.lasts, last = 0;
  for (const FaultPlan& fault : plan.faults)
    first = std::min(first, fault.at), last = std::max(last, fault.at + fault.lasts);
  double before = 0, samples = 0;
  for (const Sample& sample : day.samples)
    if (sample.at <= first && sample.at > first / 2) before += sample.utility, ++samples;
  double recovery = plan.faults.empty() ? 0 : plan.lasts - last;
  for (const Sample& sample : day.samples) {
    if (plan.faults.empty() || sample.at <= last || samples == 0 || sample.utility < 0.9 * before / samples)
      continue;
    recovery = sample.at - last;
    break;
  }
  all["recovery"] = std::max(0.0, recovery);
  return all;
}

std::vector<Played> play_all(const Experiment& experiment, unsigned threads,
                             const std::function<bool(std::size_t, std::size_t)>& progress) {
  std::vector<Played> all;
  for (const std::string& policy : experiment.policies)
    for (const std::uint64_t seed : experiment.seeds) all.push_back({policy, seed, {}, {}});
  std::atomic<std::size_t> next = 0;
  std::atomic<bool> going = true;
  std::size_t done = 0;
  std::mutex mutex;
  std::exception_ptr failure;
  const auto work = [&] {
    for (std::size_t i = next++; i < all.size() && going; i = next++) {
      try {
        all[i].day = play(experiment.plan, all[i].policy, all[i].seed);
        all[i].figures = metrics(experiment.plan, all[i].day);
      } catch (...) {
        const std::lock_guard lock(mutex);
        failure = std::current_exception();
        going = false;
      }
      const std::lock_guard lock(mutex);
      if (!progress(++done, all.size())) going = false;
    }
  };
  {
    std::vector<std::jthread> pool;
    for (unsigned i = 0; i < std::max(1u, threads); ++i) pool.emplace_back(work);
  }
  if (failure) std::rethrow_exception(failure);
  return all;
}

Difference compare(const std::vector<double>& a, const std::vector<double>& b) {
  std::vector<double> each;
  for (std::size_t i = 0; i < std::min(a.size(), b.size()); ++i) each.push_back(b[i] - a[i]);
  Difference difference;
  if (each.empty()) return difference;
  const auto mean = [](const std::vector<double>& values) {
    double sum = 0;
    for (const double value : values) sum += value;
    return sum / static_cast<double>(values.size());
  };
  difference.mean = mean(each);
  constexpr int kDraws = 2000;
  std::mt19937_64 chance(1);
  std::vector<double> means;
  for (int i = 0; i < kDraws; ++i) {
    std::vector<double> drawn;
    for (std::size_t k = 0; k < each.size(); ++k)
      drawn.push_back(each[std::uniform_int_distribution<std::size_t>(0, each.size() - 1)(chance)]);
    means.push_back(mean(drawn));
  }
  std::sort(means.begin(), means.end());
  difference.low = means[static_cast<std::size_t>(0.025 * kDraws)];
  difference.high = means[static_cast<std::size_t>(0.975 * kDraws)];
  return difference;
}

std::string Difference::verdict(const std::string& a, const std::string& b, const std::string& metric) const {
  if (low <= 0 && high >= 0)
    return fmt::format("no difference seen in {} between {} and {}: {:+.4f}, 95% from {:+.4f} to {:+.4f}",
                       metric, a, b, mean, low, high);
  return fmt::format("{} is {} with {} than with {}: {:+.4f}, 95% from {:+.4f} to {:+.4f}", metric,
                     mean > 0 ? "higher" : "lower", b, a, mean, low, high);
}

void write_columns(const std::string& path, const std::vector<Played>& played) {
  const hid_t file = H5Fcreate(path.c_str(), H5F_ACC_TRUNC, H5P_DEFAULT, H5P_DEFAULT);
  if (file < 0) throw std::runtime_error("can't write " + path);
  for (const Played& one : played) {
    const hid_t policy = H5Lexists(file, one.policy.c_str(), H5P_DEFAULT) > 0
                             ? H5Gopen2(file, one.policy.c_str(), H5P_DEFAULT)
                             : H5Gcreate2(file, one.policy.c_str(), H5P_DEFAULT, H5P_DEFAULT, H5P_DEFAULT);
    const hid_t group =
        H5Gcreate2(policy, fmt::format("seed-{}", one.seed).c_str(), H5P_DEFAULT, H5P_DEFAULT, H5P_DEFAULT);
    const auto column = [&](const char* name, const auto& value_of) {
      std::vector<double> values;
      for (const Sample& sample : one.day.samples) values.push_back(static_cast<double>(value_of(sample)));
      const hsize_t size = values.size();
      if (size > 0) H5LTmake_dataset_double(group, name, 1, &size, values.data());
    };
    column("at", [](const Sample& s) { return s.at; });
    column("utility", [](const Sample& s) { return s.utility; });
    column("ended", [](const Sample& s) { return s.ended; });
    column("completed", [](const Sample& s) { return s.completed; });
    column("bounced", [](const Sample& s) { return s.bounced; });
    column("forfeited", [](const Sample& s) { return s.forfeited; });
    column("attempts", [](const Sample& s) { return s.attempts; });
    column("origin", [](const Sample& s) { return s.origin; });
    for (const auto& [name, value] : one.figures)
      H5LTset_attribute_double(group, ".", name.c_str(), &value, 1);
    H5Gclose(group);
    H5Gclose(policy);
  }
  H5Fclose(file);
}

}  // namespace hareramp::lab
