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
void read_optional(const json& object, const char* key, Value& target) {
  if (object.contains(key)) target = object[key].get<Value>();
}

void read_node(const json& object, const char* key, NodePlan& target) {
  if (!object.contains(key)) return;
  read_optional(object[key], "slots", target.slots);
  read_optional(object[key], "units", target.memory_units);
  read_optional(object[key], "waiting", target.max_attempts_per_slot);
}

WorldPlan read_world(const json& object) {
  WorldPlan world;
  world.parent = {30, 20000, 4};
  world.origin = {20, 1, 4};
  read_optional(object, "locations", world.locations), read_optional(object, "hubs", world.hubs),
      read_optional(object, "directors", world.directors);
  read_optional(object, "caches", world.caches), read_optional(object, "parents", world.parents);
  read_node(object, "cache", world.cache), read_node(object, "parent", world.parent),
      read_node(object, "origin", world.origin);
  read_optional(object, "flow_kb_per_s", world.transfer_kb_per_s);
  read_optional(object, "way_cache_s", world.latency_to_cache),
      read_optional(object, "way_hub_s", world.latency_to_parent),
      read_optional(object, "way_origin_s", world.latency_to_origin);
  read_optional(object, "list_lag_s", world.list_lag), read_optional(object, "purge_lag_s", world.purge_lag),
      read_optional(object, "warms_s", world.warm_up);
  read_optional(object, "start_share", world.start_capacity_share),
      read_optional(object, "fall_multiple", world.overload_factor);
  read_optional(object, "fall_span_s", world.overload_window),
      read_optional(object, "restarts_in_s", world.restart_delay);
  read_optional(object, "joins", world.joins_fills), read_optional(object, "direct", world.direct),
      read_optional(object, "siblings", world.siblings_fill);
  return world;
}

LoadPlan read_load(const json& object) {
  LoadPlan load;
  read_optional(object, "rate", load.rate), read_optional(object, "objects", load.objects),
      read_optional(object, "zipf", load.zipf);
  read_optional(object, "life_s", load.object_lifetime), read_optional(object, "groups", load.groups),
      read_optional(object, "retries", load.retries);
  read_optional(object, "once", load.one_time_share);
  for (const json& entry : object["grades"]) {
    RequestClassPlan request_class;
    read_optional(entry, "name", request_class.name),
        read_optional(entry, "contract_s", request_class.target_time),
        read_optional(entry, "stop_s", request_class.deadline);
    read_optional(entry, "stretch", request_class.stretch),
        read_optional(entry, "share", request_class.share),
        read_optional(entry, "size_kb", request_class.size_kb);
    read_optional(entry, "spread", request_class.size_sigma),
        read_optional(entry, "write", request_class.write),
        read_optional(entry, "fresh_s", request_class.fresh_lifetime);
    read_optional(entry, "grace_s", request_class.stale_lifetime);
    const std::string effect = entry.value("effect", "retriable");
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
    throw ExperimentError(fmt::format("{}: not JSON: {}", file, error.what()));
  }
  if (const auto violation = first_violation(json::parse(kExperimentSchema), document))
    throw ExperimentError(violation->line(file));
  if (quick && document.contains("quick")) document.merge_patch(document["quick"]);
  Experiment experiment;
  read_optional(document, "title", experiment.title);
  experiment.plan.world = read_world(document.value("world", json::object()));
  experiment.plan.load = read_load(document["load"]);
  read_optional(document, "lasts_s", experiment.plan.duration),
      read_optional(document, "sample_s", experiment.plan.sample_interval),
      read_optional(document, "settles_s", experiment.plan.uncounted_start);
  for (const json& entry : document.value("faults", json::array())) {
    FaultPlan fault;
    read_optional(entry, "kind", fault.kind), read_optional(entry, "at_s", fault.at),
        read_optional(entry, "lasts_s", fault.duration);
    read_optional(entry, "nodes", fault.nodes), read_optional(entry, "first", fault.first),
        read_optional(entry, "count", fault.count);
    read_optional(entry, "factor", fault.factor), read_optional(entry, "rate", fault.rate);
    experiment.plan.faults.push_back(fault);
  }
  experiment.policies = document.value("policies", std::vector<std::string>{"design"});
  experiment.seeds = document.value("seeds", std::vector<std::uint64_t>{1});
  for (const json& entry : document["bounds"]) {
    Bound bound;
    read_optional(entry, "policy", bound.policy), read_optional(entry, "metric", bound.metric);
    read_optional(entry, "least", bound.least), read_optional(entry, "most", bound.most);
    if (bound.policy.empty()) bound.policy = experiment.policies.front();
    experiment.bounds.push_back(bound);
  }
  return experiment;
}

std::map<std::string, double> metrics(const Plan& plan, const RunResult& result) {
  const Findings& findings = result.findings;
  const auto taken = static_cast<double>(std::max<std::uint64_t>(1, findings.taken));
  std::map<std::string, double> all = {{"utility", result.utility},
                                       {"taken", static_cast<double>(findings.taken)},
                                       {"completed", static_cast<double>(findings.completed) / taken},
                                       {"bounced", static_cast<double>(findings.bounced) / taken},
                                       {"forfeited", static_cast<double>(findings.forfeited) / taken},
                                       {"attempts", result.attempts_per_request},
                                       {"origin", result.origin_share},
                                       {"p50", result.p50},
                                       {"p99", result.p99},
                                       {"answered_twice", static_cast<double>(findings.answered_twice)},
                                       {"unanswered", static_cast<double>(findings.unanswered)},
                                       {"double_effects", static_cast<double>(findings.double_effects)},
                                       {"after_drain", static_cast<double>(findings.after_drain)},
                                       {"cold_worst", findings.cold_worst},
                                       {"fallen", static_cast<double>(findings.fallen)},
                                       {"stale", static_cast<double>(findings.stale)},
                                       {"answers_checked", static_cast<double>(findings.answers_checked)},
                                       {"out_of_balance", static_cast<double>(findings.out_of_balance)}};
  double broken = 0;
  for (const char* rule :
       {"answered_twice", "unanswered", "double_effects", "after_drain", "fallen", "stale", "out_of_balance"})
    broken += all[rule] > 0;
  all["broken_rules"] = broken + (findings.cold_worst > 1);
  // The most requests that the origin got within one sample interval, per second.
  double origin_peak = 0;
  for (const Sample& sample : result.samples)
    if (sample.at > plan.uncounted_start)
      origin_peak = std::max(origin_peak, static_cast<double>(sample.origin) / plan.sample_interval);
  all["origin_peak"] = origin_peak;
  // Recovery time: from the end of the last fault until utility is back at 90% of its mean before the first
  // fault.
  Seconds first = plan.duration, last = 0;
  for (const FaultPlan& fault : plan.faults)
    first = std::min(first, fault.at), last = std::max(last, fault.at + fault.duration);
  double utility_before = 0, samples = 0;
  for (const Sample& sample : result.samples)
    if (sample.at <= first && sample.at > first / 2) utility_before += sample.utility, ++samples;
  double recovery = plan.faults.empty() ? 0 : plan.duration - last;
  for (const Sample& sample : result.samples) {
    if (plan.faults.empty() || sample.at <= last || samples == 0 ||
        sample.utility < 0.9 * utility_before / samples)
      continue;
    recovery = sample.at - last;
    break;
  }
  all["recovery"] = std::max(0.0, recovery);
  return all;
}

std::vector<ExperimentRun> run_all(const Experiment& experiment, unsigned threads,
                                   const std::function<bool(std::size_t, std::size_t)>& progress) {
  std::vector<ExperimentRun> all;
  for (const std::string& policy : experiment.policies)
    for (const std::uint64_t seed : experiment.seeds) all.push_back({policy, seed, {}, {}});
  std::atomic<std::size_t> next = 0;
  std::atomic<bool> running = true;
  std::size_t done = 0;
  std::mutex mutex;
  std::exception_ptr failure;
  const auto work = [&] {
    for (std::size_t i = next++; i < all.size() && running; i = next++) {
      try {
        all[i].result = simulate(experiment.plan, all[i].policy, all[i].seed);
        all[i].metric_values = metrics(experiment.plan, all[i].result);
      } catch (...) {
        const std::lock_guard lock(mutex);
        failure = std::current_exception();
        running = false;
      }
      const std::lock_guard lock(mutex);
      if (!progress(++done, all.size())) running = false;
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
  std::vector<double> differences;
  for (std::size_t i = 0; i < std::min(a.size(), b.size()); ++i) differences.push_back(b[i] - a[i]);
  Difference difference;
  if (differences.empty()) return difference;
  const auto mean = [](const std::vector<double>& values) {
    double sum = 0;
    for (const double value : values) sum += value;
    return sum / static_cast<double>(values.size());
  };
  difference.mean = mean(differences);
  constexpr int kResamples = 2000;
  std::mt19937_64 rng(1);
  std::vector<double> means;
  for (int i = 0; i < kResamples; ++i) {
    std::vector<double> resample;
    for (std::size_t k = 0; k < differences.size(); ++k)
      resample.push_back(
          differences[std::uniform_int_distribution<std::size_t>(0, differences.size() - 1)(rng)]);
    means.push_back(mean(resample));
  }
  std::sort(means.begin(), means.end());
  difference.low = means[static_cast<std::size_t>(0.025 * kResamples)];
  difference.high = means[static_cast<std::size_t>(0.975 * kResamples)];
  return difference;
}

std::string Difference::verdict(const std::string& a, const std::string& b, const std::string& metric) const {
  if (low <= 0 && high >= 0)
    return fmt::format("no difference seen in {} between {} and {}: {:+.4f}, 95% from {:+.4f} to {:+.4f}",
                       metric, a, b, mean, low, high);
  return fmt::format("{} is {} with {} than with {}: {:+.4f}, 95% from {:+.4f} to {:+.4f}", metric,
                     mean > 0 ? "higher" : "lower", b, a, mean, low, high);
}

void write_columns(const std::string& path, const std::vector<ExperimentRun>& runs) {
  const hid_t file = H5Fcreate(path.c_str(), H5F_ACC_TRUNC, H5P_DEFAULT, H5P_DEFAULT);
  if (file < 0) throw std::runtime_error("can't write " + path);
  for (const ExperimentRun& entry : runs) {
    const hid_t policy = H5Lexists(file, entry.policy.c_str(), H5P_DEFAULT) > 0
                             ? H5Gopen2(file, entry.policy.c_str(), H5P_DEFAULT)
                             : H5Gcreate2(file, entry.policy.c_str(), H5P_DEFAULT, H5P_DEFAULT, H5P_DEFAULT);
    const hid_t group =
        H5Gcreate2(policy, fmt::format("seed-{}", entry.seed).c_str(), H5P_DEFAULT, H5P_DEFAULT, H5P_DEFAULT);
    const auto column = [&](const char* name, const auto& value_of) {
      std::vector<double> values;
      for (const Sample& sample : entry.result.samples)
        values.push_back(static_cast<double>(value_of(sample)));
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
    for (const auto& [name, value] : entry.metric_values)
      H5LTset_attribute_double(group, ".", name.c_str(), &value, 1);
    H5Gclose(group);
    H5Gclose(policy);
  }
  H5Fclose(file);
}

}  // namespace hareramp::lab
