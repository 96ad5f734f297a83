// The decision module of hareramp. A protocol adapter calls the methods of Director (policy.hpp); the module
// requests effects through Actions. After every input, the ordered rules in kRules (below) are evaluated for
// each request that the input concerns: the first rule whose condition holds is applied, and evaluation
// starts again from the top, until no condition holds.
//
// The design (docs/design.md): an object has a home cache by hash. Hot objects are spread over the two top
// caches of the hash, which fill from each other. All other fills come from a parent, chosen by a hash over
// all listed parents. Each fill source is kept or excluded by the three-band rule. In addition:
//   1. health      nodes that are silent, break connections or can't be reached are ejected, and reinstated
//                  by trial requests
//   2. lateness    a cache-only lookup before a fill; a further attempt while it can still help, none
//                  without time left for it
//   3. budgets     bounds on the work sent to a node in slow start over any span (caches, parents, sources)
//   4. purges      a bound on the age of copies, never older than the last known purge; stale copies when
//                  all else has failed
//   5. load        concurrency limits of nodes, limits on the fraction of requests that may start a fill or
//                  reach the origin, a retry budget; a request that no node can take gets its final answer
//                  at once
//   6. ranks       copies requested once are dropped before copies requested repeatedly
// Rule 3 bounds all of it: while the change stream is lost for too long, no cache and no parent is used
// (policy/list_staleness.hpp).
#include "policy.hpp"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <optional>
#include <random>
#include <sstream>
#include <unordered_map>
#include <utility>
#include <vector>

#include "policy/average.hpp"
#include "policy/cache_group.hpp"
#include "policy/copy_age.hpp"
#include "policy/list_staleness.hpp"
#include "policy/origin_admission.hpp"
#include "policy/origin_budget.hpp"
#include "policy/part_usage.hpp"
#include "policy/request_timers.hpp"
#include "policy/run_history.hpp"
#include "policy/send_times.hpp"

namespace hareramp {
namespace {

// Constants. The first five, and policy::kAverageSpan, are those of the design (docs/design.md).

// Seconds over which the bytes requested of an object are counted.
constexpr Seconds kHotObjectSpan = 2.0;
// Fraction of its home cache's serving rate: an object requested at a higher rate is spread over two caches.
constexpr double kHotObjectShare = 0.25;
// The low threshold of the three bands, as a fraction of the high one.
constexpr double kLowThresholdFactor = 0.1;
// Between the thresholds, a fill source is kept while more than this share of its fills are hits there.
constexpr double kMinHitShare = 0.06;
// Seconds between trial fills of a source that the bands exclude; also the longest backoff of an ejected
// node.
constexpr Seconds kMaxTrialInterval = 5.0;

// Seconds of sending: shorter fills measure delays, not a transfer rate.
constexpr Seconds kMinMeasurableTransfer = 0.1;
// Delay of the first trial of an ejected node, in seconds; doubles up to kMaxTrialInterval.
constexpr Seconds kFirstTrialDelay = 0.5;
// Attempts in a row without an answer after which a node is ejected: a single one may be chance.
constexpr int kFailuresToEject = 2;
// More failures in a row are required where so many happen by chance more often than this.
constexpr double kFalseEjectionChance = 0.01;
// A node that was ejected for longer may have restarted unnoticed, in seconds.
constexpr Seconds kUnnoticedRestartAfter = 1.0;
// Fixed part of an attempt's duration, in seconds, added to the sending time when durations are compared.
constexpr Seconds kAttemptOverhead = 0.05;
// Multiple of the expected duration after which a trial attempt counts as late.
constexpr double kLateFactor = 1.5;
// Fraction of the configured limit that is used: the true capacity lies below the listed weight.
constexpr double kBudgetFraction = 0.7;
// Shortest time, in seconds, in which a director can learn of a node, end and be running again.
constexpr Seconds kMinRestartTime = 0.2;
// Fraction of one attempt's work: a smaller budget share would postpone trials without end.
constexpr double kMinBudgetShare = 0.01;
// Capacity of a link in transfers where no weight is known; deliberately low.
constexpr double kDefaultCapacity = 2.0;
// The initial limit, in transfers for each transfer that the link carries at the full rate.
constexpr double kInitialConcurrencyFactor = 2.0;
// Transfers in progress for each that fits the link at a fill's rate: at this reported value it is full.
constexpr double kLinkFullReport = 2.5;
// Fraction of the latency target's slack over the bare sending time: a request that takes more of it shows
// overload.
constexpr double kOverloadSlackFraction = 0.6;
// Factor on a node's limit after a request that shows overload.
constexpr double kConcurrencyDecrease = 0.9;
// Transfers added to the limit after a request in good time, at a node near its limit.
constexpr double kConcurrencyIncrease = 0.1;
// The same until the node's first overload: its link's capacity may not be known at all.
constexpr double kInitialConcurrencyIncrease = 0.5;
// Fraction of the limit in use: below it an answer in good time proves nothing.
constexpr double kNearLimitFraction = 0.7;
// Bound on the ratio of the mean sending time to a request's own, and on its inverse.
constexpr double kMaxSizeFactor = 2.5;
// Multiple of a hit's time for the same bytes: fills that take longer show a full link.
constexpr double kFullLinkSlowdown = 2.0;
// Fills behind each estimate of the link.
constexpr int kFillsPerLinkEstimate = 2;
// Smallest factor that one report of a full link applies to the fraction.
constexpr double kMaxLinkDecrease = 0.5;
// Fraction of the requests added by a report of an empty link.
constexpr double kLinkIncrease = 0.2;
// Smallest fraction: fewer requests would leave the caches behind the link cold for good.
constexpr double kMinLinkFraction = 0.05;
// Reports closer together than this many seconds count as one.
constexpr Seconds kMinReportInterval = 0.5;
// Seconds before the next lookup of a copy that is being filled.
constexpr Seconds kLookupRetryDelay = 0.15;
// Lookups of a request: the remaining attempts have to suffice for a fill of its own.
constexpr int kMaxLookups = 3;
// Repeated fills earned by each fill in good time: the most that retries add to the load.
constexpr double kRetryBudgetPerFill = 0.2;
// Repeated fills that can be saved up: enough for the first moments of a failure.
constexpr double kMaxRetryBudget = 5;
// Mean delay in seconds before a write that was rejected is sent to the origin again.
constexpr Seconds kWriteRetryDelay = 0.1;
// Longest Retry-After in seconds; each client's is drawn between half of the maximum and all of it.
constexpr Seconds kMaxRetryAfter = 1.0;
// Fraction of the requests that may start a fill when a stale list is used again; it grows to 1 within
// kFillRampTime seconds.
constexpr double kResumedFillFraction = 0.1;
constexpr Seconds kFillRampTime = 3.0;

// Seconds before the node list is followed again after a failure.
constexpr Seconds kListRetryDelay = 1.0;
// Seconds for which an object counts as requested before, and a node that is gone is remembered.
constexpr Seconds kRetention = 30.0;
// Seconds between sweeps of state that is no longer needed.
constexpr Seconds kSweepInterval = 5.0;
// Caches, in the order of the hash, that a request may go to when others have reached their limit.
constexpr int kMaxCachesPerRequest = 2;

// Delay in seconds after a failure of our own side; doubles each time.
constexpr Seconds kLocalFailureDelay = 0.02;
// Local failures of one request: by then its delays add up to 2.5 s.
constexpr int kMaxLocalFailures = 8;

constexpr int kNoNode = -1;
constexpr Seconds kDistantPast = -1e9;
constexpr Seconds kDistantFuture = 1e18;

using policy::Average;
using policy::kAverageSpan;

std::uint64_t mix(std::uint64_t value) {
  value += 0x9e3779b97f4a7c15u;
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9u;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebu;
  return value ^ (value >> 31);
}

// A number between 0 and 1 that is spread like a random one, but is the same everywhere for the same key.
double hash_to_unit_interval(std::uint64_t key) {
  return (static_cast<double>(mix(key) >> 11) + 0.5) / 9007199254740992.0;
}

// Hash of a node's id (FNV-1a), implemented here so that it is the same in every director and every build.
std::uint64_t hash_text(const std::string& text) {
  std::uint64_t hash = 0xcbf29ce484222325u;
  for (const unsigned char c : text) hash = (hash ^ c) * 0x100000001b3u;
  return mix(hash);
}

// Whether a request may run a second time: always, while the nodes drop repeats of it, or never.
enum class Effect { kRetryable, kDeduplicated, kNotRetryable };

// Settings of a request class.
struct RequestClass {
  Seconds base_latency_target = 0.5, dedup_window = 0;
  policy::CopyLifetimes copies;
  double latency_target_stretch = 0;
  Effect effect = Effect::kNotRetryable;  // an unknown effect is treated as the strictest
  std::string dedup_scope = "all";
  bool goes_to_origin = false;
};

// One attempt of a request. `late_after` counts from `sent_at`; `occupies_node` while it counts towards the
// concurrency limit of its node.
struct Attempt {
  int node = kNoNode, source = kNoNode;
  Seconds sent_at = 0, late_after = 0;
  bool in_flight = true, cancelled = false, is_trial = false, occupies_node = true, marked_late = false;
  // trial_charge: to the budget of a node that may have restarted
  double source_charge = 0, trial_charge = 0;
};

struct Request {
  RequestId id;
  std::uint64_t serial = 0;  // tells it from others that come under the same id
  int request_class = 0;
  std::uint64_t object = 0, part_key = 0;
  std::int64_t group = 0;
  Seconds arrived_at = 0, deadline = 0, resume_at = kDistantPast, first_sent_at = 0;
  double size_kb = 0, admission_draw = 0;  // compared with the fractions of requests that are admitted
  bool write = false, hot = false, requested_before = false, origin_excluded = false, fill_failed = false,
       fill_in_progress = false;
  // closed: the final answer was given, or the client has disconnected. bound_to_attempt: an attempt was
  // reported as started, so no further one is sent and the director gives no answer of its own.
  bool closed = false, bound_to_attempt = false, may_have_run = false, overdue = false, accepts_stale = false;
  bool deadline_capped = false;  // the deadline was shortened to the director's own end
  int first_node = kNoNode, lookups = 0, local_failures = 0;
  std::vector<Attempt> attempts;
  std::vector<int> excluded_nodes, excluded_sources;
  mutable std::vector<int> caches, parents;  // in the order of the hash, for the list version below
  mutable std::uint64_t cache_order_version = 0, parent_order_version = 0;
  int in_flight_count() const {
    return static_cast<int>(std::count_if(attempts.begin(), attempts.end(),
                                          [](const Attempt& attempt) { return attempt.in_flight; }));
  }
};

// Indexes of nodes by their role for this director.
struct SortedNodes {
  std::vector<int> parents;     // of all zones
  std::vector<int> own_caches;  // in this director's zone, and in its cache group where the zone is divided
  int origin = kNoNode;
  int cache_groups = 1;  // number of groups into which the zone's caches are divided (policy/cache_group.hpp)
};

// The rate of this director's requests, sampled periodically.
struct OwnTraffic {
  Seconds known_since = kDistantPast;     // time of the first sample that saw requests
  double max_requests_per_idle_time = 0;  // within the idle time-out of a connection, at the busiest sample
  bool is_known(Seconds now) const { return known_since > kDistantPast && now - known_since >= kAverageSpan; }
  void sample(Seconds now, const Average& arrivals, Seconds connection_idle) {
    if (!arrivals.has_data()) return;
    if (known_since == kDistantPast) known_since = now;
    max_requests_per_idle_time =
        std::max(max_requests_per_idle_time, arrivals.weight_per_second(now) * connection_idle);
  }
};

bool contains(const std::vector<int>& list, int node) {
  return std::find(list.begin(), list.end(), node) != list.end();
}

}  // namespace

struct Director::State {
  struct Rule {
    const char* name;
    bool (State::*condition)(const Request&);
    void (State::*effect)(Request&);
  };
  static const std::vector<Rule> kRules;

  State(Seconds start, Settings initial_settings, std::uint64_t seed, Actions& action_sink,
        const DirectorLimits& limits)
      : settings(std::move(initial_settings)),
        actions(action_sink),
        random_engine(static_cast<std::uint_fast32_t>(mix(seed))),
        director_hash(mix(mix(seed))),
        now(start),
        director_started_at(start),
        part_usage(limits.max_tracked_parts, kHotObjectSpan),
        run_history(limits.max_run_ids) {
    for (int i = 0; i < number_setting("RequestClasses.count", 1); ++i) {
      const std::string at = "RequestClasses." + std::to_string(i) + ".";
      RequestClass request_class;
      request_class.base_latency_target = number_setting(at + "PromiseS", request_class.base_latency_target);
      request_class.latency_target_stretch = number_setting(at + "AimStretch", 0);
      request_class.dedup_window = number_setting(at + "WindowS", 0);
      request_class.dedup_scope = text_setting(at + "Group", "all");
      const std::string effect = text_setting(at + "Effect", "fragile");
      if (effect == "retryable") request_class.effect = Effect::kRetryable;
      if (effect == "dedup") request_class.effect = Effect::kDeduplicated;
      request_class.copies.fresh_for = std::atof(list_item_setting("FamilyInfo.GoodForS", i, "0").c_str());
      request_class.copies.stale_for = std::atof(list_item_setting("FamilyInfo.StaleForS", i, "0").c_str());
      request_class.goes_to_origin = list_item_setting("FamilyInfo.GoesThrough", i, "false") == "true";
      request_classes.push_back(request_class);
    }
    send_times = policy::SendTimes(request_classes.size());
    own_zone = static_cast<int>(number_setting("Locality", 0));
    read_permissions();
    parent_kind = static_cast<int>(number_setting("FamilyInfo.ShieldKind", -1));
    origin_kind = static_cast<int>(number_setting("FamilyInfo.OriginKind", -1));
    transfer_kb_per_s = number_setting("FamilyInfo.StreamKbPerS", 0);
    if (text_setting("MembershipMode", "push") == "ask") actions.watch_list();
    actions.set_timer(now + kSweepInterval, {"sweep"});
  }

  State& advance_to(Seconds time) { return now = time, *this; }

  // --- settings ---
  std::string text_setting(const std::string& name, const std::string& fallback) const {
    const auto found = settings.find(name);
    return found == settings.end() || found->second.empty() ? fallback : found->second;
  }
  double number_setting(const std::string& name, double fallback) const {
    const std::string value = text_setting(name, "");
    return value.empty() ? fallback : std::atof(value.c_str());
  }
  bool flag_setting(const std::string& name) const { return text_setting(name, "false") == "true"; }
  std::string list_item_setting(const std::string& name, int position, const std::string& fallback) const {
    std::istringstream items(text_setting(name, ""));
    std::string found;
    for (; position >= 0; --position)
      if (!std::getline(items, found, ',')) return fallback;
    return found.empty() ? fallback : found;
  }

  // Cached at the start: looking up settings by name for each decision was most of the cost of a request.
  void read_permissions() {
    for (const auto& [name, value] : std::initializer_list<std::pair<const char*, bool*>>{
             {"FamilyInfo.CanJoin", &can_join},
             {"FamilyInfo.Direct", &may_bypass_caches},
             {"Permissions.Cancel", &may_cancel},
             {"Permissions.SecondCopies", &may_send_concurrent_attempts},
             {"Permissions.RetryAfter", &may_send_retry_after}})
      *value = flag_setting(name);
    max_attempts = number_setting("Permissions.MaxAttempts", 1);
    longest_honored_retry_after = number_setting("Permissions.MaxRetryAfterS", 0);
    max_retry_after = std::min(kMaxRetryAfter, longest_honored_retry_after);
    clock_period = number_setting("PeriodS", 0.001);
    copy_age = policy::CopyAge(number_setting("FamilyInfo.PurgeDoneS", 10),
                               number_setting("FamilyInfo.PurgeSlackS", 0));
    parent_warmup_time = number_setting("FamilyInfo.ParentWarmsInS", 20),
    cache_warmup_time = number_setting("Contract.ColdS", 20);
    parent_start_fraction = number_setting("FamilyInfo.ParentColdFrom", 0.05),
    cache_start_fraction = number_setting("Contract.StartCapacity", 0.1);
    budget_span = number_setting("Contract.FallS", 3);
    parent_budget_multiple = number_setting("FamilyInfo.ParentLimitFactor", 2),
    cache_budget_multiple = number_setting("Contract.FallMultiple", 2);
    directors_in_zone =
        std::max(1.0, std::atof(list_item_setting("FamilyInfo.SeatsByZone", own_zone, "2").c_str()));
    directors_per_cache = directors_in_zone;
    connection_idle = number_setting("Permissions.ConnIdleS", 15);
    directors_in_total = std::max(1.0, number_setting("Balancers", 4));
    siblings_fill = text_setting("FamilyInfo.PeersFill", "none") != "none";
    reports_answer_details = text_setting("FamilyInfo.Tells", "none") == "all";
    const std::string weights = text_setting("Weights", "none");
    weights_vary = weights == "live", weights_unknown = weights == "none" || weights_vary;
  }

  // --- nodes ---
  bool is_parent(int node) const { return kind[node] == parent_kind; }
  bool is_origin(int node) const { return kind[node] == origin_kind; }
  int count() const { return static_cast<int>(node_id.size()); }
  bool is_cache_kind(int node) const { return !is_parent(node) && !is_origin(node); }
  bool is_cache(int node) const { return is_cache_kind(node) && zone[node] == own_zone; }
  int origin() const { return sorted_nodes().origin; }
  // Called whenever a node, its kind or its location changes, so that no request has to scan the whole fleet.
  void invalidate_sorted_nodes() {
    ++list_version;
    nodes_are_sorted = false;
  }
  // Sorts lazily, not at each entry: a list of thousands of nodes arrives entry by entry.
  const SortedNodes& sorted_nodes() const {
    if (!std::exchange(nodes_are_sorted, true)) sort_nodes();
    return sorted;
  }
  void sort_nodes() const {
    const int groups = sorted.cache_groups;
    sorted = SortedNodes();
    for (int node = 0; node < count(); ++node) {
      if (is_parent(node)) sorted.parents.push_back(node);
      if (is_cache(node)) sorted.own_caches.push_back(node);
      if (is_origin(node) && sorted.origin == kNoNode) sorted.origin = node;
    }
    sorted.cache_groups = choose_group_count(zone_statistics(), groups);
    directors_per_cache = directors_of_group(directors_in_zone, sorted.cache_groups);
    if (sorted.cache_groups > 1) keep_own_group();
  }
  ZoneStatistics zone_statistics() const {
    ZoneStatistics statistics;
    for (const int node : sorted.own_caches) {
      if (!listed[node]) continue;
      ++statistics.caches;
      statistics.capacity += full_capacity(node);
    }
    statistics.directors = directors_in_zone;
    statistics.demand = send_times.demand(now);
    statistics.traffic_is_known = traffic.is_known(now);
    statistics.requests_per_idle_time = traffic.max_requests_per_idle_time;
    return statistics;
  }
  // Guards against connections to hundreds of caches in fleets of many times the usual size
  // (policy/cache_group.hpp). The cost, where few directors carry a zone's traffic: each object is stored
  // once per group. The hash over the parents is not divided.
  void keep_own_group() const {
    std::erase_if(sorted.own_caches,
                  [&](int node) { return !in_group(node_hash[node], director_hash, sorted.cache_groups); });
  }
  const std::vector<int>& nodes_of_kind(bool parents) const {
    return parents ? sorted_nodes().parents : sorted_nodes().own_caches;
  }
  bool is_ejected(int node) const { return ejected_since[node] > kDistantPast; }
  // Rule 3: whether the list allows new work for the node, as an attempt or as the source of a fill.
  bool is_allowed_by_list(int node) const {
    return running[node] && (is_origin(node) || !list_staleness.is_stale(now));
  }
  bool list_allows(const NodeId& id) const {
    const auto found = node_index.find(id.value);
    return found != node_index.end() && is_allowed_by_list(found->second);
  }

  // Reuses the index of a node that was forgotten (sweep) before the arrays grow.
  int index_of(const NodeId& id) {
    const auto [found, added] = node_index.emplace(id.value, count());
    if (!added) return found->second;
    const int node = found->second =
        static_cast<int>(std::find(node_id.begin(), node_id.end(), NodeId()) - node_id.begin());
    const auto clear = [node](auto value, auto&... columns) {
      (columns.resize(std::max<std::size_t>(columns.size(), node + 1)), ...);
      ((columns[node] = value), ...);
    };
    clear(id, node_id), clear(hash_text(id.value), node_hash), clear(false, running, listed, in_current_list);
    clear(-1, zone, kind, cell), clear(0, consecutive_failures, attempts_at, attempts_from),
        clear(0.0, trial_backoff, work_in_flight, concurrency_limit);
    clear(Average(), fill_rate, hit_share, serve_rate, node_hit_slowdown),
        clear(decltype(budget_charges)::value_type(), budget_charges);
    clear(kDistantPast, started_at, assumed_start, node_reported_start, ejected_since, next_trial,
          answered_at, filled_at, limit_decreased_at),
        clear(1.0, weight);
    return node;
  }

  // Weights that vary with load would move the home of every object, so all nodes then count alike.
  double hash_weight(int node) const { return weights_vary ? 1 : std::max(weight[node], 1e-3); }

  std::vector<int> by_hash(std::uint64_t key, bool parents) const {
    std::vector<std::pair<double, int>> scored;
    for (const int node : nodes_of_kind(parents)) {
      if (!listed[node]) continue;
      scored.emplace_back(-std::log(hash_to_unit_interval(key ^ node_hash[node])) / hash_weight(node), node);
    }
    std::sort(scored.begin(), scored.end());
    std::vector<int> order;
    for (const auto& [score, node] : scored) order.push_back(node);
    return order;
  }
  const std::vector<int>& caches_for(const Request& request) const {
    if (std::exchange(request.cache_order_version, list_version) != list_version)
      request.caches = by_hash(request.part_key, false);
    return request.caches;
  }
  const std::vector<int>& parents_for(const Request& request) const {
    if (std::exchange(request.parent_order_version, list_version) != list_version)
      request.parents = by_hash(mix(request.object), true);
    return request.parents;
  }

  // --- the design: three bands, for siblings and parents alike ---
  Average pooled_mean(const std::vector<Average>& averages, bool parents) const {
    Average pool;
    for (const int node : nodes_of_kind(parents))
      if (averages[node].has_data()) pool.add(0, averages[node].mean(), 1);
    return pool;
  }

  // Whether the three-band rule keeps the node as a fill source.
  bool passes_bands(int node) const {
    const bool parent = is_parent(node);
    const Average peers = pooled_mean(fill_rate, parent);
    const Average upstream = parent ? origin_rate : pooled_mean(fill_rate, true);
    // A node without measurements counts as average. With nothing to compare with, no node is excluded.
    if (!upstream.has_data() || !peers.has_data()) return true;
    const double high = upstream.mean(), low = kLowThresholdFactor * high;
    const double rate = fill_rate[node].has_data() ? fill_rate[node].mean() : peers.mean();
    if (rate < low) return false;
    if (rate > high) return true;
    // Deviation from the design: the hit share says nothing about a node that has just started, because it
    // holds little, or about any node after a large purge. It then counts as average, since otherwise no node
    // would ever be used again.
    const Average peer_shares = pooled_mean(hit_share, parent);
    if (is_warming_up(node) || !hit_share[node].has_data() ||
        (peer_shares.has_data() && peer_shares.mean() <= kMinHitShare))
      return true;
    return hit_share[node].mean() > kMinHitShare;
  }

  // --- budgets: guard against overloading a node that has just started ---
  Seconds warmup_time(int node) const { return is_parent(node) ? parent_warmup_time : cache_warmup_time; }
  bool is_warming_up(int node) const {
    return !is_origin(node) && now - started_at[node] < warmup_time(node);
  }

  // In transfers at the full rate, where the list states it.
  double full_capacity(int node) const { return weights_unknown ? kDefaultCapacity : weight[node]; }
  double present_capacity(int node) const {
    const double full = full_capacity(node);
    const double from = is_parent(node) ? parent_start_fraction : cache_start_fraction;
    const double warmed = std::clamp((now - started_at[node]) / warmup_time(node), 0.0, 1.0);
    return full * (from + (1 - from) * warmed);
  }
  double warmup_fraction(int node) const {
    return is_warming_up(node) ? present_capacity(node) / full_capacity(node) : 1;
  }

  // A node that was ejected for this long may have restarted unnoticed, and when it answers a trial it is
  // treated as just started. Work sent to it until then is charged to its budget, at the capacity of a node
  // that has just started.
  bool may_have_restarted(int node) const {
    return !is_origin(node) && is_ejected(node) && now - ejected_since[node] > kUnnoticedRestartAfter;
  }
  bool is_budget_limited(int node) const { return is_warming_up(node) || may_have_restarted(node); }
  double start_capacity(int node) const {
    return full_capacity(node) * (is_parent(node) ? parent_start_fraction : cache_start_fraction);
  }

  // The work, in seconds of sending, that this director may send to a node of that capacity within any span.
  // All directors of a location share its caches, and all directors together share the parents. Equal shares
  // are safe without coordination between directors. The cost: slower warm-up where one director has most of
  // the traffic.
  double budget_share(int node, double capacity) const {
    const double limit = is_parent(node) ? parent_budget_multiple : cache_budget_multiple;
    return kBudgetFraction * limit * capacity * budget_span / directors_sharing(node);
  }
  // Guards against a director that restarts, has lost the record of what it sent, and sends its share a
  // second time: the share counts as spent for one span after the director's own start. Only a node that
  // started since then, according to the list, can't have received anything from it. The cost: for that span,
  // a new director sends nothing to nodes in slow start.
  bool may_have_spent_share(int node) const {
    const bool start_is_listed = started_at[node] != assumed_start[node];
    const bool started_since =
        start_is_listed && node_reported_start[node] > director_started_at - kMinRestartTime;
    return now < director_started_at + budget_span && !started_since;
  }
  bool has_budget(int node, double work) {
    if (!is_budget_limited(node)) return true;
    if (may_have_spent_share(node)) return false;
    double used = 0;
    std::erase_if(budget_charges[node], [&](const auto& entry) { return entry.first <= now - budget_span; });
    for (const auto& entry : budget_charges[node]) used += entry.second;
    if (!may_have_restarted(node)) return used + work <= budget_share(node, present_capacity(node));
    // Where the share is less than one attempt, the pauses between trials enforce the budget (trial_pause).
    return used <= 0 || used + work <= budget_share(node, start_capacity(node));
  }
  double charge_budget(int node, double work) {
    if (!is_budget_limited(node)) return 0;
    budget_charges[node].emplace_back(now, work);
    return work;
  }
  // Seconds until the next trial of an ejected node. Guards against trials by hundreds of directors that
  // reach a node which has just started: where the share is less than one attempt, each director makes its
  // trial correspondingly less often. The first pause is random, since all directors may have ejected the
  // node at the same moment.
  Seconds trial_pause(int node, bool first) {
    const double attempt_work = send_times.overall_mean(now).value_or(send_times.mean(0));
    const double share = budget_share(node, start_capacity(node));
    if (share >= attempt_work) return trial_backoff[node];
    const Seconds pause = budget_span * attempt_work / std::max(share, kMinBudgetShare * attempt_work);
    const double fraction = first ? std::uniform_real_distribution<double>(0, 1)(random_engine) : 1;
    return std::max(trial_backoff[node], fraction * pause);
  }

  // --- load: guards against overload, which makes every request late ---
  // The concurrency limit of a node: how many transfers this director may have there at once, so that each
  // ends well within its latency target. It starts from the listed weight and then follows the measurements,
  // whatever the cause of a slowdown.
  double initial_concurrency_limit(int node) const {
    return std::max(1.0, kInitialConcurrencyFactor * full_capacity(node) / directors_sharing(node));
  }
  double directors_sharing(int node) const {
    return is_cache_kind(node) ? directors_per_cache : directors_in_total;
  }
  // Every answered request counts the same whatever its size, so small requests get a higher concurrency
  // limit and a lower admission draw.
  double size_factor(const Request& request) {
    const std::optional<Seconds> usual = send_times.overall_mean(now);
    return usual ? std::clamp(*usual / send_time(request), 1 / kMaxSizeFactor, kMaxSizeFactor) : 1;
  }
  bool has_concurrency(const Request& request, int node) {
    return attempts_at[node] <
           std::max(1.0, warmup_fraction(node) * concurrency_limit[node]) * size_factor(request);
  }
  void adjust_concurrency_limit(int node, double in_use, bool overloaded, Seconds sent_at) {
    if (!overloaded && in_use >= kNearLimitFraction * concurrency_limit[node])
      concurrency_limit[node] +=
          limit_decreased_at[node] == kDistantPast ? kInitialConcurrencyIncrease : kConcurrencyIncrease;
    // A request that was in flight at the last decrease shows nothing new.
    if (!overloaded || sent_at <= limit_decreased_at[node]) return;
    concurrency_limit[node] = std::max(1.0, kConcurrencyDecrease * concurrency_limit[node]),
    limit_decreased_at[node] = now;
  }

  // --- health: guards against nodes that are silent, broken or cut off ---
  // Guards against taking a slow phase for silence where a director rarely gets an answer from a node:
  // failures that a later answer refuted show how often such runs happen by chance, and the threshold rises
  // accordingly.
  double failures_to_eject(int node) const {
    const Average& false_failures = is_parent(node) ? false_parent_failures : false_cache_failures;
    const double false_failure_probability =
        false_failures.has_data() ? std::clamp(false_failures.mean(), 1e-6, 0.9) : 0;
    return false_failure_probability > 0
               ? std::max<double>(kFailuresToEject,
                                  std::log(kFalseEjectionChance) / std::log(false_failure_probability))
               : kFailuresToEject;
  }
  void record_failure(int node, int failures) {
    if (is_origin(node)) return;  // no node could replace the origin, and no trial would reinstate it
    consecutive_failures[node] += failures;
    if (is_ejected(node)) {
      trial_backoff[node] = std::min(2 * trial_backoff[node], kMaxTrialInterval);
      next_trial[node] = now + trial_pause(node, false);
    } else if (consecutive_failures[node] >= failures_to_eject(node)) {
      ejected_since[node] = now, trial_backoff[node] = kFirstTrialDelay,
      next_trial[node] = now + trial_pause(node, true);
      actions.log("node ejected: " + node_id[node].value);
    }
  }
  void record_answer(int node) {
    (is_parent(node) ? false_parent_failures : false_cache_failures)
        .add(now, consecutive_failures[node], 1 + consecutive_failures[node]);
    answered_at[node] = now, consecutive_failures[node] = 0;
    if (!is_ejected(node)) return;
    if (now - ejected_since[node] > kUnnoticedRestartAfter) record_start(node, assumed_start[node] = now);
    ejected_since[node] = kDistantPast;
    actions.log("node reinstated: " + node_id[node].value);
  }
  // Discards the measurements of a node's previous process: they say nothing about the one that runs now.
  void record_start(int node, Seconds start) {
    if (start <= started_at[node]) return;
    started_at[node] = start;
    fill_rate[node] = hit_share[node] = serve_rate[node] = node_hit_slowdown[node] = Average();
    // The process that was silent no longer runs.
    if (start > ejected_since[node]) consecutive_failures[node] = 0, ejected_since[node] = kDistantPast;
  }

  // --- estimates for a request ---
  RequestClass& request_class_of(const Request& request) { return request_classes[request.request_class]; }
  double mean_send_time(const Request& request) {
    return send_times.mean(static_cast<std::size_t>(request.request_class));
  }
  double mean_answered_time(const Request& request) {
    return send_times.answered_mean(static_cast<std::size_t>(request.request_class)).value_or(0);
  }
  // The work that a node in slow start is charged for an attempt that reaches it.
  double charged_work(const Request& request, int node) {
    return is_cache_kind(node)
               ? mean_send_time(request)
               : send_times.charge(static_cast<std::size_t>(request.request_class), send_time(request));
  }
  double send_time(const Request& request) {
    return transfer_kb_per_s > 0 && request.size_kb > 0 ? request.size_kb / transfer_kb_per_s
                                                        : mean_send_time(request);
  }
  Seconds expected_duration(const Request& request) {
    return (send_time(request) + kAttemptOverhead) *
           (duration_factor.has_data() ? duration_factor.mean() : 1.5);
  }
  // The same for a request of the class's mean size, if that is larger: a client may state too small a size.
  Seconds usual_duration(const Request& request) {
    return (std::max(send_time(request), mean_answered_time(request)) + kAttemptOverhead) *
           (duration_factor.has_data() ? duration_factor.mean() : 1.5);
  }
  Seconds latency_target(const Request& request) {
    return request_class_of(request).base_latency_target +
           request_class_of(request).latency_target_stretch * send_time(request);
  }
  // A further attempt is made only if the time left exceeds the attempt's expected duration. The first is
  // always made: after a slow phase nothing else would show that the nodes are fast again.
  bool has_time_for_attempt(const Request& request) {
    return request.attempts.empty() || request.deadline - now > expected_duration(request);
  }
  bool shows_overload(const Request& request, Seconds elapsed) {
    return elapsed - send_time(request) >
           kOverloadSlackFraction * (latency_target(request) - send_time(request));
  }
  // An attempt that failed on our own side loads no node. It does not count as an attempt, but has its own
  // limit.
  bool has_attempts_left(const Request& request) const {
    const auto attempts_sent = static_cast<double>(request.attempts.size()) - request.local_failures;
    return attempts_sent < max_attempts && request.local_failures < kMaxLocalFailures;
  }

  // Rule 2: a deduplicated request that may have run stays within the nodes that recognize the repeat, and a
  // further attempt must end, not only begin, within the deduplication window: past it the request would run
  // again.
  Seconds dedup_window_left(const Request& request) {
    return request.first_sent_at + request_class_of(request).dedup_window - now;
  }
  bool would_repeat(const Request& request) { return request.may_have_run || request.in_flight_count() > 0; }
  bool may_send_to(const Request& request, int node) {
    const RequestClass& request_class = request_class_of(request);
    if (request_class.effect == Effect::kRetryable || !would_repeat(request)) return true;
    if (request_class.effect == Effect::kNotRetryable ||
        dedup_window_left(request) <= expected_duration(request))
      return false;
    if (request_class.dedup_scope == "zone") return zone[node] == zone[request.first_node];
    if (request_class.dedup_scope == "cell") return cell[node] == cell[request.first_node];
    return request_class.dedup_scope == "all";
  }

  // The design's spread: an object is hot above a quarter of its home's serving rate. A home without
  // measurements counts as average.
  bool is_hot(const Request& request, double recent_kb) {
    const std::vector<int>& order = caches_for(request);
    if (order.empty()) return false;
    double sum = 0, caches = 0;
    for (const int node : sorted_nodes().own_caches)
      if (serve_rate[node].has_data()) sum += serve_rate[node].sum_per_second(now), ++caches;
    double rate = serve_rate[order[0]].sum_per_second(now);
    if (rate <= 0 && caches > 0) rate = sum / caches;
    return rate > 0 && recent_kb / kHotObjectSpan > kHotObjectShare * rate;
  }

  Seconds max_copy_age(const Request& request) {
    return copy_age.max_age(now, {request.object}, {request.group}, request_class_of(request).copies,
                            request.accepts_stale);
  }

  // --- choices: without side effects, so that a rule can evaluate them before it acts ---
  // The node of an attempt, the source of its fill (the node itself: no fill), and the one of them that is on
  // trial, if any.
  struct Route {
    int node = kNoNode, source = kNoNode, trial_node = kNoNode;
    explicit operator bool() const { return node != kNoNode && source != kNoNode; }
  };
  bool trial_due(const Request& request, int node) {
    return request_class_of(request).effect == Effect::kRetryable && request.attempts.empty() &&
           now >= next_trial[node];
  }

  // The cache for a request: its home, or the next by the hash that can take it. For a hot object, of the top
  // two the one with less of this director's work in flight. An ejected cache gets a request now and then as
  // a trial.
  Route choose_cache(const Request& request) {
    std::vector<int> candidates;
    int considered = 0;
    for (const int node : caches_for(request)) {
      if (considered == kMaxCachesPerRequest) break;
      if (!is_allowed_by_list(node) || contains(request.excluded_nodes, node) ||
          !may_send_to(request, node) || !has_budget(node, charged_work(request, node)))
        continue;
      if (is_ejected(node)) {
        if (trial_due(request, node)) return {node, node, node};
        continue;
      }
      ++considered;
      if (!has_concurrency(request, node)) continue;
      candidates.push_back(node);
      if (!request.hot || candidates.size() == 2) break;
    }
    if (candidates.empty()) return {};
    const auto load = [&](int position) {
      return work_in_flight[candidates[position]] / hash_weight(candidates[position]);
    };
    const int node = candidates.size() == 2 && load(1) < load(0) ? candidates[1] : candidates[0];
    return {node, node, kNoNode};
  }

  bool can_fill_from(const Request& request, int node) {
    // Guards against retries that keep up an overload after its cause has gone: failed fills are repeated
    // only in proportion to the fills that succeed, whatever the number of directors.
    if (request.fill_failed && !is_cache_kind(node) && retry_budget < 1) return false;
    return is_allowed_by_list(node) && !request.origin_excluded &&
           !contains(request.excluded_sources, node) && has_budget(node, charged_work(request, node));
  }
  // Guards against a location's link that all directors fill at once, each within its own concurrency limits:
  // with each report of a full link, a smaller fraction of the requests may start a fill from outside the
  // location.
  bool link_admits(const Request& request) { return request.admission_draw <= link_fraction; }
  // Guards against fills by all directors at once when a stale list is used again: no copy was fetched
  // meanwhile, and purges that were missed may make copies from before unusable. The fraction of the requests
  // that may start a fill grows with time.
  bool fill_is_postponed(const Request& request) const {
    const double growth = (now - list_usable_since) / kFillRampTime;
    return request.admission_draw > kResumedFillFraction + (1 - kResumedFillFraction) * growth;
  }
  // Whether the origin stands in for the caches, so that its load is that of all directors together.
  bool origin_replaces_caches(const Request& request) const {
    return list_staleness.is_stale(now) || fill_is_postponed(request);
  }
  bool origin_admits(const Request& request) {
    return is_write(request) || origin_admission.admits(request.admission_draw);
  }
  // Most requests that name a fill source never need it: of those in flight, the usual fraction counts.
  double source_load(int node) {
    return (is_cache_kind(node) ? 0 : attempts_at[node]) +
           attempts_from[node] * (fill_ratio.has_data() ? fill_ratio.mean() : 1);
  }
  bool source_has_concurrency(const Request& request, int node) {
    return source_load(node) < concurrency_limit[node] * size_factor(request);
  }

  // Part of the design: a hot object is filled from the other one of the hash's top two caches. So is any
  // other object while its home cache has just started, because its previous home, the next by the hash, may
  // still hold it. Guards against a release that fills a location's link with copies which are there already.
  // The cost, where the other cache lacks the object: a moment and an attempt.
  Route sibling_route(const Request& request) {
    const std::vector<int>& order = caches_for(request);
    const bool cache_took_over =
        !order.empty() && is_warming_up(order[0]) && !request.fill_failed && request.lookups == 0;
    if ((!request.hot && !cache_took_over) || !siblings_fill) return {};
    const Route route = choose_cache(request);
    if (!route || route.trial_node != kNoNode || (!request.hot && !is_warming_up(route.node))) return {};
    for (std::size_t i = 0; i < std::min<std::size_t>(2, order.size()); ++i) {
      const int node = order[i];
      if (node == route.node || !can_fill_from(request, node) || is_ejected(node)) continue;
      if (passes_bands(node)) return {route.node, node, kNoNode};
      if (trial_due(request, node)) return {route.node, node, node};
    }
    return {};
  }

  // All other fills, and retries after a sibling miss: the object's first kept parent by the hash.
  int choose_parent(const Request& request, int& trial_node) {
    if (!is_write(request) && (!link_admits(request) || fill_is_postponed(request))) return kNoNode;
    for (const int node : parents_for(request)) {
      if (!can_fill_from(request, node)) continue;
      if (!is_ejected(node) && passes_bands(node)) {
        if (source_has_concurrency(request, node)) return node;
        continue;
      }
      if (trial_node == kNoNode && trial_due(request, node)) return trial_node = node;
    }
    return kNoNode;
  }
  // The origin is used only when no parent is kept. A parent that is kept but at its limit, or that has just
  // rejected a request, still counts as kept: otherwise the overload would only move to the origin, which all
  // parents need.
  bool any_parent_eligible(const Request& request) {
    for (const int node : sorted_nodes().parents)
      if (is_allowed_by_list(node) && !is_ejected(node) && passes_bands(node) &&
          has_budget(node, charged_work(request, node)))
        return true;
    return false;
  }
  Route parent_route(const Request& request) {
    Route route = choose_cache(request);
    if (!route) return {};
    route.source = choose_parent(request, route.trial_node);
    return route;
  }
  int choose_origin(const Request& request) {
    if (!is_write(request) && (!link_admits(request) || !origin_admits(request))) return kNoNode;
    const int node = origin();
    return node != kNoNode && can_fill_from(request, node) &&
                   (is_write(request) ||
                    (source_has_concurrency(request, node) && has_origin_budget(request, node)))
               ? node
               : kNoNode;
  }
  bool has_origin_budget(const Request& request, int node) {
    if (!origin_replaces_caches(request)) return true;
    origin_budget.refill(now, kBudgetFraction * full_capacity(node) / directors_in_total, budget_span);
    return origin_budget.allows(charged_work(request, node));
  }
  Route origin_route(const Request& request) {
    if (any_parent_eligible(request) || fill_is_postponed(request)) return {};
    Route route = choose_cache(request);
    route.source = choose_origin(request);
    return route;
  }
  // While no source can take a fill, the home cache is still asked for a copy it holds: one may have arrived
  // since the last lookup.
  Route cached_route(const Request& request) {
    return !request.attempts.empty() && request.attempts.back().source == request.attempts.back().node
               ? Route()
               : choose_cache(request);
  }
  // Guards against a second fill of an object that is being filled, where a request can't join the first
  // fill: the home cache is first asked for a copy it holds, which costs a millisecond, and asked again after
  // a short delay while the fill is in progress.
  Route lookup_route(const Request& request) {
    if (request.hot || request.fill_failed || request.lookups >= kMaxLookups) return {};
    if (can_join) {
      const std::vector<int>& parents = parents_for(request);
      if (parents.empty() || !is_warming_up(parents[0])) return {};
    }
    if (request.lookups > 0 && !request.fill_in_progress) return {};
    const Route route = choose_cache(request);
    return route && route.trial_node == kNoNode && !is_warming_up(route.node) ? route : Route();
  }
  // Bypasses the caches where the settings allow it, and only when no cache is up and warm enough to be used,
  // or when the request may not start a fill yet.
  Route direct_route(const Request& request) {
    if (!may_bypass_caches || (choose_cache(request) && !fill_is_postponed(request))) return {};
    Route route;
    route.node = choose_parent(request, route.trial_node);
    if (route.node == kNoNode) route.node = choose_origin(request);
    route.source = route.node;
    if (route.node == kNoNode || !may_send_to(request, route.node)) return {};
    if (is_parent(route.node) && origin() != kNoNode && can_fill_from(request, origin()))
      route.source = origin();
    return route;
  }
  // A write is never stored, so no cache hierarchy can serve it: it takes the route with the fewest nodes
  // that can fail.
  Route write_route(const Request& request) {
    const int origin = choose_origin(request);
    if (origin != kNoNode && may_bypass_caches && may_send_to(request, origin))
      return {origin, origin, kNoNode};
    Route route = choose_cache(request);
    route.source = origin;
    return route ? route : parent_route(request);
  }
  // A copy past its fresh time, where the request class allows one and all else has failed.
  Route stale_route(const Request& request) {
    if (request.accepts_stale || request_class_of(request).copies.stale_for <= 0) return {};
    return choose_cache(request);
  }

  // Logged as the bound begins and as it ends, not each time that a further loss moves it.
  void log_age_bound() {
    const std::optional<Seconds> latest_purge = copy_age.unseen_purges().latest_purge(now);
    if (latest_purge) set_unseen_purges_timer(copy_age.unseen_purges().ends_at(*latest_purge) + clock_period);
    if (std::exchange(age_bound_logged, latest_purge.has_value()) == latest_purge.has_value()) return;
    actions.log(latest_purge ? "change stream lost: copies from before are fetched again"
                             : "change stream: copies are used again whatever their age");
  }
  void set_unseen_purges_timer(std::optional<Seconds> at) {
    if (at) actions.set_timer(std::max(now, *at), {"unseen-purges"});
  }
  void set_list_staleness_timer() {
    if (const auto at = list_staleness.next_change(now))
      actions.set_timer(std::max(now, *at), {"list-staleness"});
  }
  void handle_list_staleness() {
    set_list_staleness_timer();
    const bool stale = list_staleness.is_stale(now);
    if (std::exchange(staleness_logged, stale) == stale) return;
    actions.log(stale ? "change stream lost: node list stale, caches and parents are not used"
                      : "change stream: node list in use again");
    if (stale)
      origin_budget.start(now, std::uniform_real_distribution<double>(0, 1)(random_engine));
    else
      list_usable_since = now;
  }

  void send_attempt(Request& request, const Route& route) {
    Attempt new_attempt;
    new_attempt.node = route.node, new_attempt.source = route.source, new_attempt.sent_at = now,
    new_attempt.is_trial = route.trial_node != kNoNode;
    const double node_charge = charge_budget(route.node, charged_work(request, route.node));
    if (!is_warming_up(route.node)) new_attempt.trial_charge = node_charge;
    if (route.source != route.node)
      new_attempt.source_charge = charge_budget(route.source, charged_work(request, route.source));
    if (new_attempt.is_trial)
      next_trial[route.trial_node] =
          now + (is_ejected(route.trial_node) ? trial_pause(route.trial_node, false) : kMaxTrialInterval);
    if (request.fill_failed && route.source != route.node && !is_cache_kind(route.source)) retry_budget -= 1;
    const Seconds expected_time = expected_duration(request),
                  slack = latency_target(request) - (now - request.arrived_at) - expected_time;
    // The attempt counts as late when a further attempt could no longer meet the latency target. Earlier for
    // a trial, and earlier where lateness alone abandons nothing (handle_late_attempt).
    new_attempt.late_after = new_attempt.is_trial || !may_send_concurrent_attempts
                                 ? kLateFactor * expected_time
                                 : std::max(kLateFactor * expected_time, slack);
    // At the origin itself the usual wait is added; a longer one shows a queue.
    if (const auto usual_wait = origin_admission.usual_wait(); usual_wait && is_origin(route.node))
      new_attempt.late_after = expected_time + std::max(*usual_wait, policy::kMinOriginWait);
    const int rank = is_write(request) ? 0 : request.hot ? 3 : request.requested_before ? 2 : 1;
    const FillOptions fill = {.source = node_id[route.source],
                              .rank = rank,
                              .max_copy_age = max_copy_age(request),
                              .join = can_join,
                              .cached_only = is_parent(route.source) && !origin_admits(request),
                              .background_refresh = request_class_of(request).copies.fresh_for > 0};
    const bool repeatable = request_class_of(request).effect == Effect::kRetryable;
    const bool acts_when_late = may_send_concurrent_attempts || may_cancel;
    const Seconds dedup_window =
        request_class_of(request).effect == Effect::kDeduplicated && would_repeat(request)
            ? dedup_window_left(request)
            : 0;
    if (!would_repeat(request)) request.first_node = route.node, request.first_sent_at = now;
    request.attempts.push_back(new_attempt);
    request.overdue = false;
    work_in_flight[route.node] += send_time(request);
    ++attempts_at[route.node], ++attempts_from[route.source];
    if (is_origin(route.node) && origin_replaces_caches(request))
      origin_budget.charge(charged_work(request, route.node));
    actions.attempt(request.id, node_id[route.node], fill,
                    repeatable && !acts_when_late ? new_attempt.late_after : dedup_window);
    if ((repeatable && acts_when_late) || is_origin(new_attempt.node))
      set_late_timer(request, request.attempts.size() - 1, new_attempt.late_after);
  }

  void cap_deadline(Request& request) {
    if (request.deadline <= deadline_cap) return;
    request.deadline = deadline_cap;
    request.deadline_capped = true;
  }
  void reconsider_all() {
    for (const auto& [id, request] : requests) touched.push_back(id);
  }

  // --- the rules: conditions and effects ---
  bool is_unanswered(const Request& request) { return !request.closed && !request.bound_to_attempt; }
  bool is_idle(const Request& request) {
    return is_unanswered(request) && request.in_flight_count() == 0 && now >= request.resume_at;
  }
  bool can_send_attempt(const Request& request) {
    if (!is_unanswered(request) || !has_attempts_left(request) || !has_time_for_attempt(request))
      return false;
    return is_idle(request) ||
           (request.overdue && request.in_flight_count() == 1 && may_send_concurrent_attempts);
  }
  bool is_write(const Request& request) { return request.write || request_class_of(request).goes_to_origin; }

  bool is_finished(const Request& request) { return request.closed && request.in_flight_count() == 0; }
  void erase_request(Request& request) {
    if (request.may_have_run && request_class_of(request).effect != Effect::kRetryable)
      run_history.remember(request.id);
    requests.erase(RequestId(request.id));
  }

  bool has_open_attempts(const Request& request) {
    if (!request.closed || !may_cancel) return false;
    return std::any_of(request.attempts.begin(), request.attempts.end(),
                       [](const Attempt& attempt) { return attempt.in_flight && !attempt.cancelled; });
  }
  void cancel_attempts(Request& request) {
    for (std::size_t i = 0; i < request.attempts.size(); ++i) {
      if (!request.attempts[i].in_flight || request.attempts[i].cancelled) continue;
      request.attempts[i].cancelled = true;
      actions.cancel(request.id, {static_cast<int>(i)});
    }
  }

  // An answer now would not be late by the client's own deadline, so the request is rejected like one that no
  // node can take.
  bool is_past_capped_deadline(const Request& request) {
    return request.deadline_capped && is_past_deadline(request);
  }
  bool is_past_deadline(const Request& request) {
    return is_unanswered(request) && now >= request.deadline - clock_period;
  }
  void fail(Request& request) { request.closed = true, actions.fail(request.id); }

  // Rule 2: a request that is not retryable and may have run gets no further attempt, and the client is not
  // told to retry. The same holds for a deduplicated one whose first run may be forgotten before its repeat,
  // or the client's, has ended.
  bool has_no_attempt_left(const Request& request) {
    const RequestClass& request_class = request_class_of(request);
    const bool not_retryable = request_class.effect == Effect::kNotRetryable;
    const bool window_too_short = request_class.effect == Effect::kDeduplicated &&
                                  dedup_window_left(request) <= expected_duration(request);
    const bool must_not_repeat = request.may_have_run && (not_retryable || window_too_short);
    return is_idle(request) &&
           (must_not_repeat || !has_attempts_left(request) || !has_time_for_attempt(request));
  }
  void reject_or_fail(Request& request) {
    const RequestClass& request_class = request_class_of(request);
    const bool safe_to_retry =
        request_class.effect == Effect::kRetryable ||
        (!request.may_have_run && request.in_flight_count() == 0) ||
        (request_class.effect == Effect::kDeduplicated && request_class.dedup_scope == "all" &&
         dedup_window_left(request) > max_retry_after + expected_duration(request));
    if (!safe_to_retry) return fail(request);
    request.closed = true;
    actions.reject(request.id, may_send_retry_after ? retry_delay(request) : 0);
  }
  // While the list is stale clients are sent away for as long as they honour, spread evenly: a time that
  // depended on the end of the outage would bring them back all at once. A repeat that must fit into the
  // deduplication window is not postponed.
  Seconds retry_delay(const Request& request) {
    const double draw = std::uniform_real_distribution<double>(0.5, 1)(random_engine);
    const bool spread_out = !request.may_have_run && list_staleness.is_stale(now);
    return draw * (spread_out ? longest_honored_retry_after : max_retry_after);
  }

  template <Route (State::*route)(const Request&)>
  bool has_route(const Request& request) {
    return can_send_attempt(request) && !is_write(request) && (this->*route)(request);
  }
  template <Route (State::*route)(const Request&)>
  void send_on_route(Request& request) {
    send_attempt(request, (this->*route)(request));
  }
  bool has_write_route(const Request& request) {
    return can_send_attempt(request) && is_write(request) && write_route(request);
  }
  template <Route (State::*route)(const Request&)>
  void send_lookup(Request& request) {
    send_on_route<route>(request), ++request.lookups, request.fill_in_progress = false;
  }
  void send_on_stale_route(Request& request) {
    const Route route = stale_route(request);
    request.accepts_stale = true;
    send_attempt(request, route);
  }

  void resume_after(Request& request, Seconds pause) {
    request.resume_at = now + pause;
    const policy::RequestTimer timer = {
        .purpose = policy::RequestTimer::Purpose::kResume, .request = request.id, .serial = request.serial};
    actions.set_timer(request.resume_at, timer.token());
  }
  bool is_overdue(const Request& request) { return is_unanswered(request) && request.overdue; }
  void keep_waiting(Request& request) { request.overdue = false; }

  void apply_rules() {
    for (std::size_t i = 0; i < touched.size(); ++i) {
      for (Request* request = find_request(touched[i]); request; request = find_request(touched[i])) {
        const auto applies = [&](const Rule& rule) { return (this->*rule.condition)(*request); };
        const auto rule = std::find_if(kRules.begin(), kRules.end(), applies);
        if (rule == kRules.end()) break;
        (this->*rule->effect)(*request);
      }
    }
    touched.clear();
  }

  // --- learning from outcomes ---
  void record_outcome(Request& request, Attempt& attempt, Result result, AnswerDetail detail,
                      Seconds source_wait, Seconds elapsed, bool has_content) {
    const int cache = attempt.node, source_node = attempt.source;
    const bool has_source = source_node != cache;
    const bool source_lost = detail == AnswerDetail::kSourceLost;
    if (result == Result::kCompleted || result == Result::kError || result == Result::kAbsent ||
        result == Result::kRejected)
      record_answer(cache);
    if (result == Result::kCompleted && has_content && transfer_kb_per_s > 0 && request.size_kb > 0)
      send_times.answered(now, static_cast<std::size_t>(request.request_class), send_time(request),
                          elapsed - source_wait);
    switch (result) {
      case Result::kCompleted: {
        const bool filled = detail == AnswerDetail::kFilled || detail == AnswerDetail::kFilledByOrigin;
        const bool measurable =
            request.size_kb > 0 && send_time(request) >= kMinMeasurableTransfer && elapsed > 0;
        const bool overloaded = shows_overload(request, elapsed);
        if (has_source) fill_ratio.add(now, filled ? 1 : 0, 1);
        if (elapsed > 0) duration_factor.add(now, elapsed, send_time(request) + kAttemptOverhead);
        serve_rate[cache].add(now, request.size_kb, 1);
        if (measurable && !filled)
          adjust_concurrency_limit(cache, attempts_at[cache] + 1, overloaded, attempt.sent_at);
        if (measurable && detail == AnswerDetail::kHit)
          hit_slowdown.add(now, elapsed, send_time(request)),
              node_hit_slowdown[cache].add(now, elapsed, send_time(request));
        // A fill that did not take place is refunded to the source's budget with the time of its charge: a
        // later entry would outlive the charge, and more than the budget would be let through. Only an
        // answer's detail shows this, and a copy that is refreshed in the background uses the source all the
        // same.
        if ((detail == AnswerDetail::kHit || detail == AnswerDetail::kJoined) &&
            request_class_of(request).copies.fresh_for <= 0 && attempt.source_charge > 0)
          budget_charges[source_node].emplace_back(attempt.sent_at, -attempt.source_charge);
        if (!has_source || !filled) break;
        const bool by_origin =
            is_origin(source_node) || (is_parent(source_node) && detail == AnswerDetail::kFilledByOrigin);
        record_answer(source_node), filled_at[source_node] = now;
        if (!overloaded) retry_budget = std::min(kMaxRetryBudget, retry_budget + kRetryBudgetPerFill);
        if (measurable) {
          adjust_concurrency_limit(source_node, (attempts_from[source_node] + 1) * fill_ratio.mean(),
                                   overloaded, attempt.sent_at);
          fill_rate[source_node].add(now, request.size_kb, elapsed);
          if (!is_cache_kind(source_node) && hit_slowdown.has_data())
            measure_link(
                elapsed - source_wait,
                send_time(request) *
                    (node_hit_slowdown[cache].has_data() ? node_hit_slowdown[cache] : hit_slowdown).mean());
          if (by_origin) origin_rate.add(now, request.size_kb, elapsed);
        }
        if (by_origin) origin_admission.record_answer(now, attempt.sent_at, source_wait);
        // Only complete answer details show whether a parent held the object; a sibling serves nothing but
        // what it holds.
        if (is_cache_kind(source_node) || reports_answer_details)
          hit_share[source_node].add(now, detail == AnswerDetail::kFilled ? 1 : 0, 1);
        break;
      }
      case Result::kAbsent:
        if (!has_source && detail == AnswerDetail::kJoined && !can_join && request.lookups < kMaxLookups &&
            request.deadline - now > kLookupRetryDelay + expected_duration(request))
          request.fill_in_progress = true, resume_after(request, kLookupRetryDelay);
        if (!has_source) break;
        if (is_cache_kind(source_node)) record_answer(source_node), hit_share[source_node].add(now, 0, 1);
        if (is_parent(source_node))
          record_answer(source_node), request.origin_excluded = true;  // it was asked only for what it holds
        request.excluded_sources.push_back(source_node);
        break;
      case Result::kRejected:
      case Result::kError:
        if (has_source && (source_lost || detail == AnswerDetail::kSourceRejected ||
                           detail == AnswerDetail::kOriginFailed)) {
          request.excluded_sources.push_back(source_node), request.fill_failed = true;
          // A fill that the origin failed behind one parent fails behind the next, and a retry would only add
          // to its load.
          if (detail == AnswerDetail::kOriginFailed) request.origin_excluded = true;
          if (!is_cache_kind(source_node) && !source_lost)
            origin_admission.record_failure(now, attempt.sent_at);
          adjust_concurrency_limit(source_node, 0, true, attempt.sent_at);
          if (source_lost)
            record_failure(source_node, 1),
                fill_rate[source_node].add(now, 0, std::max(source_wait, kMinMeasurableTransfer));
        } else if (result == Result::kRejected && is_origin(cache)) {
          // A single failure may be due to the connection; the next attempt uses another one.
          if (request.attempts.size() > 1) origin_admission.record_failure(now, attempt.sent_at);
          if (request.deadline - now > 2 * kWriteRetryDelay)
            resume_after(request,
                         kWriteRetryDelay * std::uniform_real_distribution<double>(0.5, 1.5)(random_engine));
        } else if (result == Result::kRejected) {
          request.excluded_nodes.push_back(cache);
        }
        break;
      case Result::kUnreachable:
      case Result::kBroken:
        // A trial that could not connect is refunded: it reached no node that has just started.
        if (result == Result::kUnreachable && attempt.trial_charge > 0)
          budget_charges[cache].emplace_back(attempt.sent_at, -attempt.trial_charge);
        // A single broken attempt may be chance, and the home is still the best choice. A node that has died
        // breaks all its connections and can't be reached afterwards.
        record_failure(cache, result == Result::kBroken ? 1 : kFailuresToEject);
        if (is_ejected(cache) || is_origin(cache)) request.excluded_nodes.push_back(cache);
        break;
      case Result::kLocalFailure:
        retry_after_local_failure(request);
        break;
      default:
        if (result == Result::kTimedOut && !is_cut_short(request, attempt))
          attribute_lateness(request, attempt);
    }
  }
  // Guards against a short shortage of local ports, descriptors or routes, during which a request would use
  // up all its attempts at once. It says nothing about the node, which remains the best choice.
  void retry_after_local_failure(Request& request) {
    const Seconds pause = kLocalFailureDelay * (1 << request.local_failures);
    ++request.local_failures;
    if (has_attempts_left(request) && request.deadline - now > pause + expected_duration(request))
      resume_after(request, pause);
  }
  void record_load_report(const NodeId& id, const LoadReport& report) {
    const auto node = node_index.find(id.value);
    const auto link = report.find("x1");
    if (node == node_index.end() || link == report.end() || !is_cache(node->second)) return;
    link_is_reported = true;
    adjust_link_fraction(link->second / kLinkFullReport);
  }
  void adjust_link_fraction(double fullness) {
    if (now - link_updated_at < kMinReportInterval) return;
    link_updated_at = now;
    // Changes in proportion to the excess or the spare capacity: steps of a fixed size oscillated between
    // closed and open.
    link_fraction = fullness > 1
                        ? std::max(kMinLinkFraction, link_fraction * std::max(kMaxLinkDecrease, 1 / fullness))
                        : std::min(1.0, link_fraction + kLinkIncrease * (1 - fullness));
  }
  // Replaces the report where no node reports how full the location's link is: over that link, fills are no
  // slower than hits until the link is full, whichever source they come from. The wait for the source is not
  // counted. It also reacts to a link that is slow for all sources. The cost: fewer fills where overload at
  // one parent slows most of them.
  void measure_link(Seconds sending_time, double unloaded_time) {
    fill_slowdown.first += sending_time, fill_slowdown.second += unloaded_time;
    if (link_is_reported || now - link_updated_at < kMinReportInterval ||
        ++fills_measured < kFillsPerLinkEstimate)
      return;
    adjust_link_fraction(fill_slowdown.first / fill_slowdown.second / kFullLinkSlowdown);
    fill_slowdown = {}, fills_measured = 0;
  }

  // Guards against clients that state deadlines too short for any node: an attempt that ends with one says
  // nothing about the node.
  bool is_cut_short(const Request& request, const Attempt& attempt) {
    return now >= request.deadline - clock_period && now - attempt.sent_at < usual_duration(request);
  }
  // Decides which node is responsible for a late attempt: the cache if it has not answered since, otherwise
  // the source if no fill from it has arrived since. If both have, they are slow, and no other node would be
  // faster.
  bool attribute_lateness(Request& request, const Attempt& attempt) {
    if (answered_at[attempt.node] < attempt.sent_at) {
      record_failure(attempt.node, 1);
      request.excluded_nodes.push_back(attempt.node);
      return true;
    }
    const bool has_source = attempt.source != attempt.node;
    // The attempt is late whichever node is responsible, but it shows no overload while most of its slack is
    // left or the node is far from its limit.
    const int node = has_source ? attempt.source : attempt.node;
    const bool near_limit =
        (has_source ? source_load(node) : attempts_at[node]) >= kNearLimitFraction * concurrency_limit[node];
    adjust_concurrency_limit(node, 0, near_limit && shows_overload(request, now - attempt.sent_at),
                             attempt.sent_at);
    if (!has_source || filled_at[attempt.source] >= attempt.sent_at) return false;
    record_failure(attempt.source, 1);
    request.excluded_sources.push_back(attempt.source), request.fill_failed = true;
    return true;
  }
  Request* find_request(const RequestId& id) {
    const auto found = requests.find(id);
    return found == requests.end() ? nullptr : &found->second;
  }
  // Guards against a queue at the origin that only shows in answers which have waited in it: when the cache
  // and the parent have answered other requests since, but this fill is missing, the origin is late. It
  // reacts to a slow and to an overloaded origin. The cost, where a parent's link is slow at that moment:
  // fewer requests reach the origin until its fraction has grown again. A fill that takes long to send may be
  // late for that reason alone.
  bool is_late_at_origin(const Request& request, const Attempt& attempt) {
    if (is_origin(attempt.node)) return true;
    if (send_time(request) >= kMinMeasurableTransfer) return false;
    if (now - attempt.sent_at < expected_duration(request) + origin_admission.usual_wait().value_or(0))
      return false;
    // Silence points to a node only where an answer would have been due by now. A director with few requests
    // gets no answer from any node in that time: past the latency target, a known problem of the origin is
    // then the more likely cause.
    const bool past_target =
        origin_admission.is_reduced() && now - request.arrived_at > latency_target(request);
    const auto answered_since = [&](const std::vector<Seconds>& times,
                                    const std::vector<Average>& answer_rates, int node) {
      const bool answer_is_due = answer_rates[node].weight_per_second(now) * (now - attempt.sent_at) >= 1;
      return is_origin(node) || times[node] > attempt.sent_at || (past_target && !answer_is_due);
    };
    return !is_cache_kind(attempt.source) && answered_since(answered_at, serve_rate, attempt.node) &&
           answered_since(filled_at, hit_share, attempt.source);
  }
  void handle_request_timer(const policy::RequestTimer& timer) {
    Request* const request = find_request(timer.request);
    if (!request || request->serial != timer.serial) return;
    if (timer.purpose == policy::RequestTimer::Purpose::kLateAttempt)
      return handle_late_attempt(*request, timer.attempt);
    // Guards against a clock that rounds: a timer may fire slightly before the requested time, and no second
    // one would follow, so that the request would be held until its deadline.
    request->resume_at = kDistantPast;
    touched.push_back(request->id);
  }
  void handle_late_attempt(Request& request, std::size_t attempt_index) {
    if (attempt_index >= request.attempts.size()) return;
    Attempt& attempt = request.attempts[attempt_index];
    if (!attempt.in_flight || attempt.cancelled || !is_unanswered(request)) return;
    const bool first = !std::exchange(attempt.marked_late, true);
    if (is_late_at_origin(request, attempt)) origin_admission.record_late(now, attempt.sent_at);
    if (request_class_of(request).effect != Effect::kRetryable) return;
    // Guards against waits for a slow source that block hits: a late fill no longer counts towards its
    // cache's concurrency limit.
    if (attempt.source != attempt.node)
      attempts_at[attempt.node] -= std::exchange(attempt.occupies_node, false);
    const bool node_at_fault = first && attribute_lateness(request, attempt);
    // kAttemptOverhead bounds the number of timers of one attempt.
    set_late_timer(request, attempt_index, std::max(expected_duration(request), kAttemptOverhead));
    if (may_send_concurrent_attempts) {
      // Guards against one late fill through each parent while the origin behind all of them is slow. The
      // cost, where a parent disappears at that moment: its fills wait until their deadline unless failures
      // eject it before.
      if (is_parent(attempt.source) && origin_admission.is_reduced() &&
          answered_at[attempt.node] >= attempt.sent_at)
        return;
      request.overdue = node_at_fault;
    } else {
      // Guards against abandoning answers that would still have arrived, where a further attempt requires
      // cancelling the one in flight: most late answers arrive, and each repeated fill loads one more parent,
      // and the origin, with the same object. It applies to slow nodes, slow sources and overload. The cost:
      // where answers are lost, requests wait until their deadline.
      const bool node_ejected = is_ejected(attempt.node) || is_ejected(attempt.source),
                 can_fill = !request.fill_failed || retry_budget >= 1;
      attempt.cancelled =
          node_ejected && can_fill && has_time_for_attempt(request) && has_attempts_left(request);
      if (attempt.cancelled) actions.cancel(request.id, {static_cast<int>(attempt_index)});
    }
    touched.push_back(request.id);
  }
  void set_late_timer(const Request& request, std::size_t attempt_index, Seconds time) {
    if (now + time >= request.deadline) return;
    const policy::RequestTimer timer = {.purpose = policy::RequestTimer::Purpose::kLateAttempt,
                                        .request = request.id,
                                        .serial = request.serial,
                                        .attempt = attempt_index};
    actions.set_timer(now + time, timer.token());
  }

  void sweep() {
    part_usage.expire(now - kRetention);
    copy_age.invalidations().expire(now);
    // Guards against node ids that keep changing: a node that has left the list is forgotten once none of its
    // attempts is in flight and its budget has expired. There is no cost: should the id return, it counts as
    // just started.
    for (int node = 0; node < count(); ++node)
      if (!listed[node] && attempts_at[node] + attempts_from[node] == 0 &&
          now - std::max(started_at[node], answered_at[node]) > kRetention)
        node_index.erase(node_id[node].value), node_id[node] = NodeId(), zone[node] = kind[node] = -1;
    traffic.sample(now, send_times.arrivals(), connection_idle);
    invalidate_sorted_nodes();
    actions.set_timer(now + kSweepInterval, {"sweep"});
  }

  std::vector<RequestId> touched;  // requests for which the rules are still to be evaluated
  Settings settings;
  Actions& actions;
  std::knuth_b random_engine;
  std::uint64_t director_hash;
  Seconds now, director_started_at;
  Seconds deadline_cap = kDistantFuture;
  std::vector<RequestClass> request_classes;
  policy::SendTimes send_times;
  int own_zone = 0, parent_kind = -1, origin_kind = -1;
  bool can_join = false, may_bypass_caches = false, may_cancel = false, may_send_concurrent_attempts = false,
       may_send_retry_after = false;
  bool siblings_fill = false, reports_answer_details = false, weights_vary = false, weights_unknown = false;
  double max_attempts = 1, parent_start_fraction = 0, cache_start_fraction = 0, parent_budget_multiple = 2,
         cache_budget_multiple = 2;
  double directors_in_zone = 1, directors_in_total = 1;
  mutable double directors_per_cache = 1;  // follows the number of cache groups
  Seconds connection_idle = 0;
  OwnTraffic traffic;
  Seconds longest_honored_retry_after = 0, max_retry_after = 0, clock_period = 0, parent_warmup_time = 0,
          cache_warmup_time = 0, budget_span = 0;
  std::uint64_t list_version = 1;
  mutable SortedNodes sorted;
  mutable bool nodes_are_sorted = false;
  // link_fraction: of the requests, those that may start a fill.
  double transfer_kb_per_s = 0, link_fraction = 1, retry_budget = kMaxRetryBudget;
  Seconds link_updated_at = kDistantPast;
  ListCompleteness completeness = ListCompleteness::kCached;
  // duration_factor: durations relative to send_time + kAttemptOverhead. fill_ratio: of the completed
  // attempts that named a source, those that were filled. hit_slowdown: durations of hits relative to
  // send_time.
  Average duration_factor, origin_rate, fill_ratio, false_cache_failures, false_parent_failures;
  Average hit_slowdown;
  std::pair<Seconds, double> fill_slowdown;
  int fills_measured = 0;
  bool link_is_reported = false;
  bool age_bound_logged = false;  // the log says that copies are bounded in age
  bool staleness_logged = false;  // the log says that the list is stale
  Seconds list_usable_since = kDistantPast;

  // One entry per node, by the index of the node. Rates are in KB per second.
  std::unordered_map<std::string, int> node_index;
  std::vector<NodeId> node_id;
  std::vector<std::uint64_t> node_hash;
  std::vector<int> zone, kind, cell, consecutive_failures, attempts_at, attempts_from;
  std::vector<char> running, listed, in_current_list;
  std::vector<double> weight, work_in_flight, concurrency_limit;
  std::vector<Seconds> started_at, assumed_start, node_reported_start, ejected_since, next_trial,
      trial_backoff, answered_at, filled_at, limit_decreased_at;
  std::vector<Average> fill_rate, hit_share, serve_rate, node_hit_slowdown;
  std::vector<std::vector<std::pair<Seconds, double>>> budget_charges;  // time and seconds of sending

  std::map<RequestId, Request> requests;
  std::uint64_t last_serial = 0;  // of the request that came last
  policy::PartUsage part_usage;
  policy::RunHistory run_history;
  policy::CopyAge copy_age{0, 0};  // replaced when the settings are read
  policy::ListStaleness list_staleness;
  policy::OriginAdmission origin_admission;
  policy::OriginBudget origin_budget;  // used while the list is stale
};

// Evaluated in this order, starting again at the top after each rule that applies. Each rule is a condition
// and an effect, both defined above.
const std::vector<Director::State::Rule> Director::State::kRules = {
    {"closed, and no attempt in flight: erase the request", &State::is_finished, &State::erase_request},
    {"closed, with attempts in flight: cancel them", &State::has_open_attempts, &State::cancel_attempts},
    {"the director ends: reject or fail", &State::is_past_capped_deadline, &State::reject_or_fail},
    {"past its deadline: fail", &State::is_past_deadline, &State::fail},
    {"no further attempt allowed or possible: reject or fail", &State::has_no_attempt_left,
     &State::reject_or_fail},
    {"write: the shortest route to the origin", &State::has_write_route,
     &State::send_on_route<&State::write_route>},
    {"cache-only lookup at the home cache", &State::has_route<&State::lookup_route>,
     &State::send_lookup<&State::lookup_route>},
    {"hot, or its home has just started: fill from a sibling", &State::has_route<&State::sibling_route>,
     &State::send_on_route<&State::sibling_route>},
    {"ordinary: fill from a kept parent", &State::has_route<&State::parent_route>,
     &State::send_on_route<&State::parent_route>},
    {"no parent kept: fill from the origin", &State::has_route<&State::origin_route>,
     &State::send_on_route<&State::origin_route>},
    {"no source available: a copy the home cache holds", &State::has_route<&State::cached_route>,
     &State::send_lookup<&State::cached_route>},
    {"no cache available: bypass the caches", &State::has_route<&State::direct_route>,
     &State::send_on_route<&State::direct_route>},
    {"nothing fresh available: a stale copy", &State::has_route<&State::stale_route>,
     &State::send_on_stale_route},
    {"late, and no other node to use: keep waiting", &State::is_overdue, &State::keep_waiting},
    {"no node to use: reject or fail", &State::is_idle, &State::reject_or_fail},
};

// --- inputs ---

Director::Director(Seconds now, Settings settings, std::uint64_t seed, Actions& actions,
                   const DirectorLimits& limits)
    : state_(std::make_unique<State>(now, std::move(settings), seed, actions, limits)) {}
Director::~Director() = default;
std::size_t Director::nodes_known() const { return state_->node_index.size(); }
bool Director::list_is_stale(Seconds now) const { return state_->list_staleness.is_stale(now); }
bool Director::may_start_attempt(Seconds now, const NodeId& node, const NodeId& source) {
  const State& state = state_->advance_to(now);
  return state.list_allows(node) && state.list_allows(source);
}
Seconds Director::max_copy_age(Seconds now, const RequestId& id) {
  State& state = state_->advance_to(now);
  const Request* request = state.find_request(id);
  return request ? state.max_copy_age(*request) : 0;
}

void Director::list_starts(Seconds now, ListCompleteness completeness) {
  State& state = state_->advance_to(now);
  state.completeness = completeness;
  if (completeness == ListCompleteness::kFailed) state.actions.set_timer(now + kListRetryDelay, {"list"});
  if (completeness == ListCompleteness::kFull || completeness == ListCompleteness::kCached)
    std::fill(state.in_current_list.begin(), state.in_current_list.end(), false);
}

void Director::list_entry(Seconds now, const NodeId& id, ZoneIndex zone, KindIndex kind, CellIndex cell,
                          EndpointState endpoint_state, double weight, Seconds started_at,
                          Seconds reported_start) {
  State& state = state_->advance_to(now);
  const int node = state.index_of(id);
  const bool newly_listed = !state.listed[node] && state.completeness == ListCompleteness::kChanges;
  state.zone[node] = zone.value, state.kind[node] = kind.value, state.cell[node] = cell.value,
  state.weight[node] = weight;
  state.listed[node] = state.in_current_list[node] = endpoint_state != EndpointState::kRemoved;
  state.running[node] = endpoint_state == EndpointState::kRunning;
  state.invalidate_sorted_nodes();
  if (state.concurrency_limit[node] <= 0)
    state.concurrency_limit[node] = state.initial_concurrency_limit(node);
  // A node that appears without a start time may have started just now.
  if (started_at <= 0 && !(newly_listed && state.running[node])) return;
  const Seconds start = started_at > 0 ? started_at : now;
  state.node_reported_start[node] = reported_start > 0 ? std::min(reported_start, start) : start;
  state.record_start(node, start);
}

void Director::list_ends(Seconds now) {
  State& state = state_->advance_to(now);
  const bool complete_list =
      state.completeness == ListCompleteness::kFull || state.completeness == ListCompleteness::kCached;
  for (int node = 0; node < state.count(); ++node)
    if (complete_list && !state.in_current_list[node])
      state.listed[node] = state.running[node] = false;  // rule 3: a node missing from a full list has left
  state.invalidate_sorted_nodes();
}

void Director::request_arrived(Seconds now, const RequestId& id, RequestClassIndex request_class, TenantIndex,
                               ObjectId object, PartNumber part, GroupId group, Seconds deadline,
                               double size_kb, bool, bool is_write) {
  State& state = state_->advance_to(now);
  if (state.run_history.may_have_run(id)) return state.actions.fail(id);
  state.origin_admission.recover(now);
  Request request;
  request.serial = ++state.last_serial;
  request.id = id, request.request_class =
                       std::clamp(request_class.value, 0, static_cast<int>(state.request_classes.size()) - 1);
  request.object = object.value,
  request.part_key = mix(object.value) ^ mix(~static_cast<std::uint64_t>(part.value));
  request.group = group.value, request.arrived_at = now, request.deadline = deadline,
  request.size_kb = size_kb, request.write = is_write;
  state.cap_deadline(request);
  if (!state.is_write(request)) {
    const policy::PartUsage::Use use = state.part_usage.record(now, request.part_key, size_kb);
    request.requested_before = use.previous_request_at.has_value();
    // A single request within the span makes no object hot.
    request.hot = request.requested_before && now - *use.previous_request_at <= kHotObjectSpan &&
                  state.is_hot(request, use.recent_kb);
  }
  const bool size_is_stated = state.transfer_kb_per_s > 0 && size_kb > 0;
  state.send_times.request_arrived(now, static_cast<std::size_t>(request.request_class),
                                   size_is_stated ? size_kb / state.transfer_kb_per_s : 0);
  // Derived from the object and the time, so that neither a client's repeat nor another director gets a
  // different draw.
  const double draw = hash_to_unit_interval(mix(object.value) + static_cast<std::uint64_t>(now / kRetention));
  request.admission_draw = std::min(1.0, draw / state.size_factor(request));
  state.requests.insert_or_assign(id, std::move(request));
  state.touched.push_back(id);
  state.apply_rules();
}

void Director::client_disconnected(Seconds now, const RequestId& id) {
  State& state = state_->advance_to(now);
  if (!state.find_request(id)) return;
  state.find_request(id)->closed = true;
  state.touched.push_back(id);
  state.apply_rules();
}

void Director::cap_deadlines(Seconds now, Seconds at) {
  State& state = state_->advance_to(now);
  state.deadline_cap = at;
  for (auto& [id, request] : state.requests) state.cap_deadline(request);
  state.actions.set_timer(at, {"deadlines-end"});
}

void Director::attempt_started(Seconds now, const RequestId& id, AttemptNumber) {
  if (Request* request = state_->advance_to(now).find_request(id))
    request->bound_to_attempt = request->may_have_run = true;
}

void Director::attempt_ended(Seconds now, const RequestId& id, AttemptNumber number, const NodeId& node,
                             Result result, AnswerDetail detail, Seconds source_wait, Seconds elapsed,
                             const LoadReport& report, bool request_over, bool has_content) {
  State& state = state_->advance_to(now);
  state.record_load_report(node, report);
  if (!state.find_request(id)) return;
  Request& request = *state.find_request(id);
  request.closed = request.closed || request_over;
  const auto attempt_index = static_cast<std::size_t>(number.value);
  if (number.value >= 0 && attempt_index < request.attempts.size() &&
      request.attempts[attempt_index].in_flight) {
    Attempt& attempt = request.attempts[attempt_index];
    attempt.in_flight = false;
    state.work_in_flight[attempt.node] -= state.send_time(request);
    state.attempts_at[attempt.node] -= attempt.occupies_node, --state.attempts_from[attempt.source];
    const bool never_ran = result == Result::kRejected || result == Result::kUnreachable ||
                           result == Result::kNotSent || result == Result::kAbsent ||
                           result == Result::kLocalFailure;
    request.may_have_run = request.may_have_run || !never_ran;
    state.record_outcome(request, attempt, result, detail, source_wait, elapsed, has_content);
  }
  state.touched.push_back(id);
  state.apply_rules();
}

void Director::probe_ended(Seconds now, const NodeId& node, Result, const LoadReport& report) {
  state_->advance_to(now).record_load_report(node, report);
}

void Director::change_stream_lost(Seconds now, StreamLoss loss, Seconds lost_at, Seconds last_received) {
  State& state = state_->advance_to(now);
  state.set_unseen_purges_timer(state.copy_age.unseen_purges().stream_lost(loss, lost_at, last_received));
  state.list_staleness.stream_lost(loss, lost_at, last_received);
  state.set_list_staleness_timer();
}
void Director::change_stream_followed(Seconds now, Seconds asked_at) {
  State& state = state_->advance_to(now);
  state.set_unseen_purges_timer(state.copy_age.unseen_purges().stream_followed(asked_at));
  state.list_staleness.stream_followed(now, asked_at);
  state.set_list_staleness_timer();
}

// The time of a purge is stored, not its age: age bounds are computed from it when a request is sent.
void Director::object_purged(Seconds now, ObjectId object, Seconds age) {
  state_->advance_to(now).copy_age.invalidations().object_purged(now, object, age);
}
void Director::group_purged(Seconds now, GroupId group, Seconds age) {
  state_->advance_to(now).copy_age.invalidations().group_purged(now, group, age);
}

void Director::timer_fired(Seconds now, const TimerToken& token) {
  State& state = state_->advance_to(now);
  const std::string& token_text = token.value;
  if (token_text == "sweep") state.sweep();
  if (token_text == "list") state.actions.watch_list();
  if (token_text == "deadlines-end") state.reconsider_all();
  if (token_text == "unseen-purges") state.log_age_bound();
  if (token_text == "list-staleness") state.handle_list_staleness();
  if (const auto timer = policy::RequestTimer::parse(token)) state.handle_request_timer(*timer);
  state.apply_rules();
}

}  // namespace hareramp
