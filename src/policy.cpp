// The decisions of hareramp, all of them. A protocol adapter calls the methods of Director (policy.hpp); what
// the module wants done goes out through Actions. After every input the ordered rules of kRules (below) are
// gone through for each request that the input touched, from the top, until none fires.
//
// The design (docs/design.md): home cache by hash, hot objects spread over the top two and fill from each
// other, all other fills from a parent by a hash over all listed parents, each kept by the three-band rule.
// Beside it stand:
//   1. health     nodes that stay silent, break or can't be reached are left out and come back by trials
//   2. patience   a look before a fill; a further attempt while it can still help, none without time for it
//   3. budgets    what a node that has just started may be sent over any span (caches, parents, sources)
//   4. purges     the oldest copy that will do, never older than the last purge told; stale copies at need
//   5. load       rooms of nodes, parts of the requests that may fill and may reach the origin, few retries;
//                 a request nobody can take is given its final answer at once
//   6. ranks      what was asked for once is dropped before what was asked for again
#include "policy.hpp"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <random>
#include <sstream>
#include <unordered_map>
#include <utility>
#include <vector>

#include "policy/cache_group.hpp"
#include "policy/invalidations.hpp"

namespace hareramp {
namespace {

// Constants. The design's own first, as the design page has them.
constexpr Seconds kSpan = 10.0;        // s: span over which rates and shares are averaged (design)
constexpr Seconds kHotSpan = 2.0;      // s: span over which an object's bytes are counted (design)
constexpr double kHotShare = 0.25;     // of the home cache's rate: above it an object spreads (design)
constexpr double kLowOfHigh = 0.1;     // of the high threshold: the low one (design)
constexpr double kShareFloor = 0.06;   // hit share that keeps a member between the thresholds (design)
constexpr Seconds kTrialEvery = 5.0;   // s: between trial fills of a dropped member (design)
constexpr Seconds kMeasurable = 0.1;   // s of sending: shorter fills tell of delays, not of a rate
constexpr Seconds kTrialFirst = 0.5;   // s: first trial of a node left out; doubles up to kTrialEvery
constexpr int kStrikesOut = 2;         // silent attempts in a row: one may be chance
constexpr double kByChance = 0.01;     // more in a row where so many would still be commoner than this
constexpr Seconds kLongOut = 1.0;      // s: after a longer absence a node may have restarted unseen
constexpr Seconds kSetup = 0.05;       // s: an attempt's fixed part when times are put in proportion
constexpr double kOverdue = 1.5;       // x expected time: a member on trial gets no more than this
constexpr double kBudgetPart = 0.7;    // of the told limit: true capacity lies below the listed weight
constexpr Seconds kRestartTime = 0.2;  // s: no director hears of a node, ends and is back sooner
constexpr double kLeastShare = 0.01;   // of a call: a smaller share would put off trials for ever
constexpr double kUnknownLink = 2.0;   // transfers: a link's size where no weight tells it, judged low
constexpr Seconds kUnknownSend = 0.3;  // s: sending time before any size or answer has told one
constexpr double kCrowd = 2.0;         // transfers for each that a link bears at full pace: a room's start
constexpr double kLinkFull = 2.5;      // transfers for each that fits a location's link at a fill's pace
constexpr double kTight = 0.6;         // of the contract time's slack over bare sending: more shows a crowd
constexpr double kCut = 0.9;           // x: a node's room after a request that took longer than that
constexpr double kGrow = 0.1;       // transfers: more room after one in good time, at a node near its limit
constexpr double kGrowFirst = 0.5;  // transfers: the same until its first crowd: nothing may tell of a link
constexpr double kNearLimit = 0.7;  // of its room in use: below it a good answer proves nothing
constexpr double kSizes = 2.5;      // x the mean sending time, or a part of it: beyond, size counts no more
constexpr double kDragFull = 2.0;   // x a hit's time for its bytes: a fill that takes more shows a full link
constexpr int kFillsTell = 2;       // fills that one judgement of the link rests on
constexpr double kLinkCut = 0.5;  // x: the most that one report of a full link takes off the part of requests
constexpr double kLinkGrow = 0.2;    // of the requests: that many more may fill at a report of an empty link
constexpr double kLinkLeast = 0.05;  // of the requests: fewer would leave the caches behind it cold for good
constexpr Seconds kReportEvery = 0.5;  // s: reports closer than this are taken for the same one
constexpr Seconds kLookAgain = 0.15;   // s: before looking again for a copy that is under way
constexpr int kLooks = 3;              // looks for a request: the attempts left must do for its own fill
constexpr double kOriginCut =
    0.7;  // x: the part of requests that may reach the origin, after a failure there
constexpr double kOriginLate = 0.5;  // x: the same for what is late there: it has queued a while unseen
constexpr double kOriginGrow =
    0.2;  // of the requests a second: more of them as its answers come in good time
constexpr Seconds kOriginCalm = 2.0;    // s without a failure there: after each, twice as many may reach it
constexpr double kOriginSlow = 5.0;     // x the usual wait for it: more shows a crowd before it refuses
constexpr double kOriginDeepest = 0.3;  // x: the most that one slow answer cuts
constexpr Seconds kLeastWait = 0.02;    // s: waits under this tell of the way there, not of a crowd
constexpr double kOriginLeast = 0.05;   // of the requests: fewer would not tell when the origin is back
constexpr double kEarned = 0.2;       // further fills that one good fill earns: what retries may add at most
constexpr double kSaved = 5;          // further fills saved up: enough for the first moments of a failure
constexpr Seconds kPause = 0.1;       // s: about so long before a write turned away asks the origin again
constexpr Seconds kComeBack = 1.0;    // s: advice to a bounced client, drawn from half of it upwards
constexpr Seconds kListAgain = 1.0;   // s: before following the list anew after a failure
constexpr Seconds kRemember = 30.0;   // s: how long an object counts as asked for before
constexpr Seconds kSweepEvery = 5.0;  // s: between sweeps of what is no longer needed
constexpr Seconds kLeastAge = 1e-5;   // s: an age bound must never round to 0, which means any age
constexpr int kTop = 2;               // caches by the hash that a request may go to when others are crowded

constexpr Seconds kLocalPause = 0.02;  // s: after a failure of our own side; doubles each time
constexpr int kLocalFailures = 8;      // of one request: by then its pauses have come to 2.5 s

constexpr int kNobody = -1;
constexpr Seconds kLongAgo = -1e9;
constexpr Seconds kNever = 1e18;

// A mean whose past fades with kSpan, so that the weight is what was heard lately.
struct Average {
  double sum = 0, weight = 0;
  Seconds at = 0;
  void add(Seconds now, double value, double by) {
    const double fade = std::exp((at - now) / kSpan);
    sum = sum * fade + value;
    weight = weight * fade + by;
    at = now;
  }
  bool heard() const { return weight > 0; }
  double mean() const { return sum / weight; }
  double per_second(Seconds now) const { return sum * std::exp((at - now) / kSpan) / kSpan; }
  double times_a_second(Seconds now) const { return weight * std::exp((at - now) / kSpan) / kSpan; }
};

std::uint64_t mix(std::uint64_t x) {
  x += 0x9e3779b97f4a7c15u;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9u;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebu;
  return x ^ (x >> 31);
}

// A number between 0 and 1 that looks drawn, but is the same wherever the key is.
double unit_draw(std::uint64_t key) {
  return (static_cast<double>(mix(key) >> 11) + 0.5) / 9007199254740992.0;
}

// Our own hash of a node's id (FNV-1a): the same at every director and in every build.
std::uint64_t hash_text(const std::string& text) {
  std::uint64_t hash = 0xcbf29ce484222325u;
  for (const unsigned char c : text) hash = (hash ^ c) * 0x100000001b3u;
  return mix(hash);
}

enum class Effect { kRetriable, kFingerprinted, kBinding };

struct RequestClass {
  Seconds contract = 0.5, window = 0, fresh = 0, grace = 0;
  double stretch = 0;
  Effect effect = Effect::kBinding;  // an unknown effect is treated as the strictest
  std::string group = "all";
  bool through = false;
  Average send;
};

struct Attempt {
  int node = kNobody, source = kNobody;
  Seconds sent = 0, patience = 0;
  bool out = true, cancelled = false, trial = false, in_room = true, late = false;
  double source_charge = 0, trial_charge = 0;  // trial_charge: at a node that may have restarted
};

struct Request {
  RequestId id;
  int request_class = 0;
  std::uint64_t object = 0, unit = 0;
  std::int64_t group = 0;
  Seconds arrived = 0, deadline = 0, resume_at = kLongAgo, first_ran = 0;
  double size_kb = 0, lot = 0;
  bool write = false, hot = false, known = false, no_origin = false, in_vain = false, under_way = false;
  bool over = false, bound = false, may_have_run = false, overdue = false, stale_will_do = false;
  bool cut_short = false;  // its deadline is the director's end
  int first_node = kNobody, looks = 0, local_failures = 0;
  std::vector<Attempt> offs;
  std::vector<int> bad_nodes, bad_sources;
  mutable std::vector<int> caches, parents;  // by the hash, as the list stood at that turn of it
  mutable std::uint64_t caches_turn = 0, parents_turn = 0;
  int out() const {
    return static_cast<int>(std::count_if(offs.begin(), offs.end(), [](const Attempt& h) { return h.out; }));
  }
};

struct Unit {  // what is remembered of an object's part
  double bytes = 0;
  Seconds at = kLongAgo;
};

// Places of nodes by what they are to this director.
struct SortedNodes {
  std::vector<int> parents;     // of all zones
  std::vector<int> own_caches;  // of the own zone, and of the director's group where it uses one
  int origin = kNobody;
  int cache_groups = 1;  // into which the zone's caches fall (policy/cache_group.hpp)
};

// How many requests this director gets, looked at now and then.
struct OwnTraffic {
  Seconds since = kLongAgo;          // of the first look that saw any
  double most_requests_in_idle = 0;  // in the time that a connection may rest, while it was busiest
  bool is_known(Seconds now) const { return since > kLongAgo && now - since >= kSpan; }
  void look(Seconds now, const Average& sends, Seconds connection_idle) {
    if (!sends.heard()) return;
    if (since == kLongAgo) since = now;
    most_requests_in_idle = std::max(most_requests_in_idle, sends.times_a_second(now) * connection_idle);
  }
};

bool holds(const std::vector<int>& list, int node) {
  return std::find(list.begin(), list.end(), node) != list.end();
}

}  // namespace

struct Director::State {
  struct Rule {
    const char* name;
    bool (State::*when)(const Request&);
    void (State::*then)(Request&);
  };
  static const std::vector<Rule> kRules;

  State(Seconds start, Settings given, std::uint64_t seed, Actions& sink)
      : settings(std::move(given)),
        actions(sink),
        chance(static_cast<std::uint_fast32_t>(mix(seed))),
        director_hash(mix(mix(seed))),
        now(start),
        began(start) {
    for (int i = 0; i < number("RequestClasses.count", 1); ++i) {
      const std::string at = "RequestClasses." + std::to_string(i) + ".";
      RequestClass request_class;
      request_class.contract = number(at + "PromiseS", request_class.contract);
      request_class.stretch = number(at + "AimStretch", 0);
      request_class.window = number(at + "WindowS", 0);
      request_class.group = text(at + "Group", "all");
      const std::string effect = text(at + "Effect", "fragile");
      if (effect == "retryable") request_class.effect = Effect::kRetriable;
      if (effect == "dedup") request_class.effect = Effect::kFingerprinted;
      request_class.fresh = std::atof(item("FamilyInfo.GoodForS", i, "0").c_str());
      request_class.grace = std::atof(item("FamilyInfo.StaleForS", i, "0").c_str());
      request_class.through = item("FamilyInfo.GoesThrough", i, "false") == "true";
      request_classes.push_back(request_class);
    }
    here = static_cast<int>(number("Locality", 0));
    read_permissions();
    parent_kind = static_cast<int>(number("FamilyInfo.ShieldKind", -1));
    origin_kind = static_cast<int>(number("FamilyInfo.OriginKind", -1));
    flow = number("FamilyInfo.StreamKbPerS", 0);
    if (text("MembershipMode", "push") == "ask") actions.watch_list();
    actions.set_timer(now + kSweepEvery, {"sweep"});
  }

  State& at(Seconds time) { return now = time, *this; }

  // --- settings ---
  std::string text(const std::string& name, const std::string& fallback) const {
    const auto found = settings.find(name);
    return found == settings.end() || found->second.empty() ? fallback : found->second;
  }
  double number(const std::string& name, double fallback) const {
    const std::string value = text(name, "");
    return value.empty() ? fallback : std::atof(value.c_str());
  }
  bool allowed(const std::string& name) const { return text(name, "false") == "true"; }
  std::string item(const std::string& name, int place, const std::string& fallback) const {
    std::istringstream items(text(name, ""));
    std::string found;
    for (; place >= 0; --place)
      if (!std::getline(items, found, ',')) return fallback;
    return found.empty() ? fallback : found;
  }

  // Read once: a look-up by name for each question of each request was most of what a request cost.
  void read_permissions() {
    for (const auto& [name, value] :
         std::initializer_list<std::pair<const char*, bool*>>{{"FamilyInfo.CanJoin", &can_join},
                                                              {"FamilyInfo.Direct", &direct},
                                                              {"Permissions.Cancel", &may_cancel},
                                                              {"Permissions.SecondCopies", &second_copies},
                                                              {"Permissions.RetryAfter", &may_advise}})
      *value = allowed(name);
    max_attempts = number("Permissions.MaxAttempts", 1);
    most_advice = std::min(kComeBack, number("Permissions.MaxRetryAfterS", 0));
    period = number("PeriodS", 0.001);
    invalidations = policy::Invalidations(number("FamilyInfo.PurgeDoneS", 10) + 1);
    parent_warms = number("FamilyInfo.ParentWarmsInS", 20), cache_warms = number("Contract.ColdS", 20);
    parent_from = number("FamilyInfo.ParentColdFrom", 0.05),
    cache_from = number("Contract.StartCapacity", 0.1);
    fall_span = number("Contract.FallS", 3);
    parent_limit = number("FamilyInfo.ParentLimitFactor", 2),
    cache_limit = number("Contract.FallMultiple", 2);
    zone_sharers = std::max(1.0, std::atof(item("FamilyInfo.SeatsByZone", here, "2").c_str()));
    cache_sharers = zone_sharers;
    connection_idle = number("Permissions.ConnIdleS", 15);
    sharers_of_all = std::max(1.0, number("Balancers", 4));
    peers_fill = text("FamilyInfo.PeersFill", "none") != "none";
    tells_all = text("FamilyInfo.Tells", "none") == "all";
    const std::string weights = text("Weights", "none");
    weights_drift = weights == "live", weights_unknown = weights == "none" || weights_drift;
  }

  // --- nodes ---
  bool is_parent(int n) const { return kind[n] == parent_kind; }
  bool is_origin(int n) const { return kind[n] == origin_kind; }
  int count() const { return static_cast<int>(name.size()); }
  bool is_cache_kind(int n) const { return !is_parent(n) && !is_origin(n); }
  bool is_cache(int n) const { return is_cache_kind(n) && zone[n] == here; }
  int origin() const { return sorted_nodes().origin; }
  // Whenever a node or its kind or place changes: nobody goes through the whole fleet for a request.
  void sort_out_kinds() {
    ++list_turn;
    nodes_are_sorted = false;
  }
  // Sorted when first asked for, and not with each entry: a list of thousands of nodes comes entry by entry.
  const SortedNodes& sorted_nodes() const {
    if (!std::exchange(nodes_are_sorted, true)) sort_nodes();
    return sorted;
  }
  void sort_nodes() const {
    const int groups = sorted.cache_groups;
    sorted = SortedNodes();
    for (int n = 0; n < count(); ++n) {
      if (is_parent(n)) sorted.parents.push_back(n);
      if (is_cache(n)) sorted.own_caches.push_back(n);
      if (is_origin(n) && sorted.origin == kNobody) sorted.origin = n;
    }
    sorted.cache_groups = choose_group_count(zone_figures(), groups);
    cache_sharers = directors_of_group(zone_sharers, sorted.cache_groups);
    if (sorted.cache_groups > 1) keep_own_group();
  }
  ZoneFigures zone_figures() const {
    ZoneFigures figures;
    for (const int n : sorted.own_caches) {
      if (!listed[n]) continue;
      ++figures.caches;
      figures.capacity += full_capacity(n);
    }
    figures.directors = zone_sharers;
    figures.demand = all_sends.per_second(now);
    figures.traffic_is_known = traffic.is_known(now);
    figures.requests_in_idle = traffic.most_requests_in_idle;
    return figures;
  }
  // Guards against connections to hundreds of caches in fleets of many times the usual size
  // (policy/cache_group.hpp). It hurts where few directors have a zone's traffic: objects are held once a
  // group. The hash over the parents stays whole.
  void keep_own_group() const {
    std::erase_if(sorted.own_caches,
                  [&](int n) { return !in_group(hash[n], director_hash, sorted.cache_groups); });
  }
  const std::vector<int>& of_kind(bool parents) const {
    return parents ? sorted_nodes().parents : sorted_nodes().own_caches;
  }
  bool is_out(int n) const { return out_since[n] > kLongAgo; }

  // Arrays grow only while no place of a node that is long gone (sweep) can be had.
  int index_of(const NodeId& id) {
    const auto [found, added] = index.emplace(id.value, count());
    if (!added) return found->second;
    const int n = found->second =
        static_cast<int>(std::find(name.begin(), name.end(), NodeId()) - name.begin());
    const auto clear = [n](auto value, auto&... columns) {
      (columns.resize(std::max<std::size_t>(columns.size(), n + 1)), ...);
      ((columns[n] = value), ...);
    };
    clear(id, name), clear(hash_text(id.value), hash), clear(false, running, listed, fresh);
    clear(-1, zone, kind, cell), clear(0, strikes, out_here, out_from), clear(0.0, back_off, work_out, room);
    clear(Average(), fill_rate, held_share, serve_rate, hit_drag_of),
        clear(decltype(ledger)::value_type(), ledger);
    clear(kLongAgo, launched, start_guessed, stamped_start, out_since, next_trial, heard_at, filled_at,
          cut_at),
        clear(1.0, weight);
    return n;
  }

  // Sizes that drift with load would move every home; there all count alike.
  double hash_weight(int n) const { return weights_drift ? 1 : std::max(weight[n], 1e-3); }

  std::vector<int> by_hash(std::uint64_t key, bool parents) const {
    std::vector<std::pair<double, int>> scored;
    for (const int n : of_kind(parents)) {
      if (!listed[n]) continue;
      scored.emplace_back(-std::log(unit_draw(key ^ hash[n])) / hash_weight(n), n);
    }
    std::sort(scored.begin(), scored.end());
    std::vector<int> order;
    for (const auto& [score, n] : scored) order.push_back(n);
    return order;
  }
  const std::vector<int>& caches_for(const Request& p) const {
    if (std::exchange(p.caches_turn, list_turn) != list_turn) p.caches = by_hash(p.unit, false);
    return p.caches;
  }
  const std::vector<int>& parents_for(const Request& p) const {
    if (std::exchange(p.parents_turn, list_turn) != list_turn) p.parents = by_hash(mix(p.object), true);
    return p.parents;
  }

  // --- the design: three bands, for siblings and parents alike ---
  Average pooled(const std::vector<Average>& figures, bool parents) const {
    Average pool;
    for (const int n : of_kind(parents))
      if (figures[n].heard()) pool.add(0, figures[n].mean(), 1);
    return pool;
  }

  bool kept(int n) const {
    const bool parent = is_parent(n);
    const Average peers = pooled(fill_rate, parent);
    const Average above = parent ? origin_rate : pooled(fill_rate, true);
    // An unheard cache counts as average; with nothing to compare with, nobody is dropped.
    if (!above.heard() || !peers.heard()) return true;
    const double high = above.mean(), low = kLowOfHigh * high;
    const double rate = fill_rate[n].heard() ? fill_rate[n].mean() : peers.mean();
    if (rate < low) return false;
    if (rate > high) return true;
    // Departure: a member that has just started holds little, and so do all after a purge of much. Its
    // share then says nothing of its worth, so it counts as average, or nobody would ever come back.
    const Average shares = pooled(held_share, parent);
    if (cold(n) || !held_share[n].heard() || (shares.heard() && shares.mean() <= kShareFloor)) return true;
    return held_share[n].mean() > kShareFloor;
  }

  // --- budgets: guards against pushing over what has just started ---
  Seconds warms_in(int n) const { return is_parent(n) ? parent_warms : cache_warms; }
  bool cold(int n) const { return !is_origin(n) && now - launched[n] < warms_in(n); }

  // In transfers at full pace, where the list tells it.
  double full_capacity(int n) const { return weights_unknown ? kUnknownLink : weight[n]; }
  double present_capacity(int n) const {
    const double full = full_capacity(n);
    const double from = is_parent(n) ? parent_from : cache_from;
    const double warmed = std::clamp((now - launched[n]) / warms_in(n), 0.0, 1.0);
    return full * (from + (1 - from) * warmed);
  }
  double warmth(int n) const { return cold(n) ? present_capacity(n) / full_capacity(n) : 1; }

  // A node that is left out for so long may have restarted unseen, and an answer to a trial takes it for just
  // started: what it is sent until then counts, against the capacity at a start.
  bool may_have_restarted(int n) const { return !is_origin(n) && is_out(n) && now - out_since[n] > kLongOut; }
  bool limited(int n) const { return cold(n) || may_have_restarted(n); }
  double start_capacity(int n) const { return full_capacity(n) * (is_parent(n) ? parent_from : cache_from); }

  // What this director may send a node of that capacity over any span, in seconds of sending. All directors
  // of a location share its caches, all directors together share the parents. Equal parts are safe without a
  // word between them; it costs speed where one director has most of the traffic.
  double budget_share(int n, double capacity) const {
    const double limit = is_parent(n) ? parent_limit : cache_limit;
    return kBudgetPart * limit * capacity * fall_span / sharers(n);
  }
  // Guards against a director that restarts, has forgotten what it sent, and sends its share again: the share
  // counts as spent for a span after the director's own start. Only a node that the list tells to have
  // started since then had nothing from it. It costs a new director that span at nodes in slow start.
  bool may_have_spent_share(int n) const {
    const bool told = launched[n] != start_guessed[n];
    const bool started_since = told && stamped_start[n] > began - kRestartTime;
    return now < began + fall_span && !started_since;
  }
  bool has_budget(int n, double work) {
    if (!limited(n)) return true;
    if (may_have_spent_share(n)) return false;
    double used = 0;
    std::erase_if(ledger[n], [&](const auto& entry) { return entry.first <= now - fall_span; });
    for (const auto& entry : ledger[n]) used += entry.second;
    if (!may_have_restarted(n)) return used + work <= budget_share(n, present_capacity(n));
    // Where a share is less than a call, the pauses between trials hold the budget (trial_pause).
    return used <= 0 || used + work <= budget_share(n, start_capacity(n));
  }
  double charge(int n, double work) {
    if (!limited(n)) return 0;
    ledger[n].emplace_back(now, work);
    return work;
  }
  // Until the next trial of a node that is left out. Guards against trials of hundreds of directors that meet
  // a node which has just started: where a share is less than a call, each has its trial so much less often.
  // The first pause is drawn, since all may have left the node out at once.
  Seconds trial_pause(int n, bool first) {
    const double call = all_sends.heard() ? all_sends.mean() : kUnknownSend;
    const double share = budget_share(n, start_capacity(n));
    if (share >= call) return back_off[n];
    const Seconds pause = fall_span * call / std::max(share, kLeastShare * call);
    const double part = first ? std::uniform_real_distribution<double>(0, 1)(chance) : 1;
    return std::max(back_off[n], part * pause);
  }

  // --- load: guards against a crowd that makes everybody late ---
  // How many of our transfers a node may hold at once, so that each ends well within its contract time. It
  // starts from the listed weight and follows what is measured, whatever slows the node down.
  double first_room(int n) const { return std::max(1.0, kCrowd * full_capacity(n) / sharers(n)); }
  double sharers(int n) const { return is_cache_kind(n) ? cache_sharers : sharers_of_all; }
  // Requests earn alike, whatever their size: small ones find more room and draw better lots.
  double extra(const Request& p) { return std::clamp(all_sends.mean() / send_time(p), 1 / kSizes, kSizes); }
  bool has_room(const Request& p, int n) {
    return out_here[n] < std::max(1.0, warmth(n) * room[n]) * extra(p);
  }
  void measure_room(int n, double in_use, bool crowded, Seconds sent) {
    if (!crowded && in_use >= kNearLimit * room[n]) room[n] += cut_at[n] == kLongAgo ? kGrowFirst : kGrow;
    if (!crowded || sent <= cut_at[n]) return;  // it was out already when the room was last cut
    room[n] = std::max(1.0, kCut * room[n]), cut_at[n] = now;
  }

  // --- health: guards against nodes that are silent, broken or cut off ---
  // Guards against a slow spell taken for silence where a director hears of a node only now and then: strikes
  // that an answer took back show how common they are by chance.
  double strikes_out(int n) const {
    const Average& false_strikes = is_parent(n) ? false_parents : false_caches;
    const double common = false_strikes.heard() ? std::clamp(false_strikes.mean(), 1e-6, 0.9) : 0;
    return common > 0 ? std::max<double>(kStrikesOut, std::log(kByChance) / std::log(common)) : kStrikesOut;
  }
  void strike(int n, int by) {
    if (is_origin(n)) return;  // nobody could take its place, and nobody would try it again
    strikes[n] += by;
    if (is_out(n)) {
      back_off[n] = std::min(2 * back_off[n], kTrialEvery);
      next_trial[n] = now + trial_pause(n, false);
    } else if (strikes[n] >= strikes_out(n)) {
      out_since[n] = now, back_off[n] = kTrialFirst, next_trial[n] = now + trial_pause(n, true);
      actions.log("left out: " + name[n].value);
    }
  }
  void answered(int n) {
    (is_parent(n) ? false_parents : false_caches).add(now, strikes[n], 1 + strikes[n]);
    heard_at[n] = now, strikes[n] = 0;
    if (!is_out(n)) return;
    if (now - out_since[n] > kLongOut) started(n, start_guessed[n] = now);
    out_since[n] = kLongAgo;
    actions.log("back: " + name[n].value);
  }
  // Whatever was measured before a start tells nothing of what runs now.
  void started(int n, Seconds at) {
    if (at <= launched[n]) return;
    launched[n] = at;
    fill_rate[n] = held_share[n] = serve_rate[n] = hit_drag_of[n] = Average();
    if (at > out_since[n]) strikes[n] = 0, out_since[n] = kLongAgo;  // what was silent runs no more
  }

  // --- figures of a request ---
  RequestClass& request_class_of(const Request& p) { return request_classes[p.request_class]; }
  double mean_send(const Request& p) {
    const Average& send = request_class_of(p).send;
    return send.heard() ? send.mean() : kUnknownSend;
  }
  double send_time(const Request& p) { return flow > 0 && p.size_kb > 0 ? p.size_kb / flow : mean_send(p); }
  Seconds expected(const Request& p) { return (send_time(p) + kSetup) * (pace.heard() ? pace.mean() : 1.5); }
  Seconds contract_time(const Request& p) {
    return request_class_of(p).contract + request_class_of(p).stretch * send_time(p);
  }
  // A further attempt only if the time left exceeds what it is expected to take. The first is always made:
  // after a slow spell nothing else would tell that things go faster again.
  bool time_for_another(const Request& p) { return p.offs.empty() || p.deadline - now > expected(p); }
  bool is_crowded(const Request& p, Seconds spent) {
    return spent - send_time(p) > kTight * (contract_time(p) - send_time(p));
  }
  // What our own side could not even ask for burdens no node and is not counted, but has a bound of its own.
  bool attempts_left(const Request& p) const {
    const auto sent = static_cast<double>(p.offs.size()) - p.local_failures;
    return sent < max_attempts && p.local_failures < kLocalFailures;
  }

  // Rule 2: a fingerprinted request that may have run stays in the group that knows the repeat, and a further
  // attempt must end, not only begin, while repeats are dropped there: past the window it would run again.
  Seconds window_left(const Request& p) { return p.first_ran + request_class_of(p).window - now; }
  bool is_repeat(const Request& p) { return p.may_have_run || p.out() > 0; }
  bool may_go_to(const Request& p, int n) {
    const RequestClass& request_class = request_class_of(p);
    if (request_class.effect == Effect::kRetriable || !is_repeat(p)) return true;
    if (request_class.effect == Effect::kBinding || window_left(p) <= expected(p)) return false;
    if (request_class.group == "zone") return zone[n] == zone[p.first_node];
    if (request_class.group == "cell") return cell[n] == cell[p.first_node];
    return request_class.group == "all";
  }

  // The design's spread: what passes a quarter of its home's rate. An unheard home counts as average.
  bool is_hot(const Request& p, double bytes) {
    const std::vector<int>& order = caches_for(p);
    if (order.empty()) return false;
    double sum = 0, caches = 0;
    for (const int n : sorted_nodes().own_caches)
      if (serve_rate[n].heard()) sum += serve_rate[n].per_second(now), ++caches;
    double rate = serve_rate[order[0]].per_second(now);
    if (rate <= 0 && caches > 0) rate = sum / caches;
    return rate > 0 && bytes / kHotSpan > kHotShare * rate;
  }

  Seconds max_copy_age(const Request& p) {
    const RequestClass& request_class = request_class_of(p);
    Seconds bound = request_class.fresh > 0 && p.stale_will_do ? request_class.fresh + request_class.grace
                                                               : request_class.fresh;
    // Rule 5: both kinds of purge count until every node must have dropped its older copies.
    const auto purged_at = invalidations.latest_purge({p.object}, {p.group});
    if (!purged_at) return bound;
    const Seconds since = std::max(now - *purged_at, kLeastAge);
    return bound > 0 ? std::min(bound, since) : since;
  }

  // --- choices: pure, so that a rule may ask before it acts ---
  struct Way {
    int node = kNobody, source = kNobody, trial = kNobody;
    explicit operator bool() const { return node != kNobody && source != kNobody; }
  };
  bool trial_due(const Request& p, int n) {
    return request_class_of(p).effect == Effect::kRetriable && p.offs.empty() && now >= next_trial[n];
  }

  // The cache for a request: its home, or the next by the hash that can take it; of the top two for a spread
  // object the one with less of our work in hand. One that is left out gets a request now and then as a
  // trial.
  Way choose_cache(const Request& p) {
    const double work = mean_send(p);
    std::vector<int> top;
    int asked = 0;
    for (const int n : caches_for(p)) {
      if (asked == kTop) break;
      if (!running[n] || holds(p.bad_nodes, n) || !may_go_to(p, n) || !has_budget(n, work)) continue;
      if (is_out(n)) {
        if (trial_due(p, n)) return {n, n, n};
        continue;
      }
      ++asked;
      if (!has_room(p, n)) continue;
      top.push_back(n);
      if (!p.hot || top.size() == 2) break;
    }
    if (top.empty()) return {};
    const auto load = [&](int place) { return work_out[top[place]] / hash_weight(top[place]); };
    const int n = top.size() == 2 && load(1) < load(0) ? top[1] : top[0];
    return {n, n, kNobody};
  }

  bool can_give(const Request& p, int n) {
    // Guards against retries that keep a jam alive after its cause has gone: fills that failed are tried
    // again only in proportion to those that come in, whatever the number of directors.
    if (p.in_vain && !is_cache_kind(n) && spare_fills < 1) return false;
    return running[n] && !p.no_origin && !holds(p.bad_sources, n) && has_budget(n, send_time(p));
  }
  // Guards against a location's link that all its directors fill at once, each within its own rooms: at each
  // report that it is full, a smaller part of the requests may start a fill from outside.
  bool link_open(const Request& p) { return p.lot <= link_part; }
  // Guards against a crowd at the origin, whether it is slow, turns requests away or would stop: as fills
  // fail there, a smaller part of the requests may make a parent fetch; the others get what parents hold.
  bool origin_open(const Request& p) { return is_write(p) || p.lot <= origin_part; }
  // It grows by time, not by the number of answers: a director that hears of the origin only now and then
  // would else keep a cut for many seconds after its cause.
  void measure_origin(double keep, Seconds sent) {
    if (keep >= 1) {
      ++origin_good;
      const Seconds since = std::min(1.0, now - std::max(origin_heard, origin_cut_at));
      origin_part = std::min(1.0, origin_part + kOriginGrow * since), origin_heard = now;
    }
    if (keep >= 1 || sent <= origin_cut_at) return;
    origin_part = std::max(kOriginLeast, keep * origin_part), origin_cut_at = origin_calm_at = now;
  }
  // Guards against a queue at the origin that grows for seconds before the first refusal, while every late
  // fill is tried behind another parent too. Meets a slow origin as well; it hurts where waits vary by
  // nature.
  double origin_pace(Seconds waited) {
    const double most = kOriginSlow * std::max(usual_wait.mean(), kLeastWait);
    if (waited > 0 && usual_wait.weight >= 2 && waited > most) return std::max(kOriginDeepest, most / waited);
    if (waited > 0) usual_wait.add(now, waited, 1);
    return 1;
  }
  // The objects let through are held before long; only others show that the origin is well again.
  void calm_origin() {
    if (now - origin_calm_at < kOriginCalm) return;
    origin_part = std::min(1.0, 2 * origin_part), origin_calm_at = now;
  }
  // Most requests that name a source never need it: of those out, the usual part counts.
  double in_use(int n) {
    return (is_cache_kind(n) ? 0 : out_here[n]) + out_from[n] * (misses.heard() ? misses.mean() : 1);
  }
  bool source_room(const Request& p, int n) { return in_use(n) < room[n] * extra(p); }

  // The design's companion: a spread object is filled from the other of the hash's top two. So is any other
  // while its cache has just started, and its home until then, the next by the hash, may still hold it.
  // Guards against a location's link that a release fills with copies which are there already; where the
  // other lacks it, that costs a moment and an attempt.
  Way spread_way(const Request& p) {
    const std::vector<int>& order = caches_for(p);
    const bool took_over = !order.empty() && cold(order[0]) && !p.in_vain && p.looks == 0;
    if ((!p.hot && !took_over) || !peers_fill) return {};
    const Way way = choose_cache(p);
    if (!way || way.trial != kNobody || (!p.hot && !cold(way.node))) return {};
    for (std::size_t i = 0; i < std::min<std::size_t>(2, order.size()); ++i) {
      const int n = order[i];
      if (n == way.node || !can_give(p, n) || is_out(n)) continue;
      if (kept(n)) return {way.node, n, kNobody};
      if (trial_due(p, n)) return {way.node, n, n};
    }
    return {};
  }

  // All other fills, and retries after a sibling miss: the object's first kept parent by the hash.
  int choose_parent(const Request& p, int& trial) {
    if (!is_write(p) && !link_open(p)) return kNobody;
    for (const int n : parents_for(p)) {
      if (!can_give(p, n)) continue;
      if (!is_out(n) && kept(n)) {
        if (source_room(p, n)) return n;
        continue;
      }
      if (trial == kNobody && trial_due(p, n)) return trial = n;
    }
    return kNobody;
  }
  // The origin is asked only when no parent is kept. One that is kept but crowded, or that has just refused,
  // does not count: the crowd would only move on to the origin, which all parents need.
  bool any_parent_kept(const Request& p) {
    for (const int n : sorted_nodes().parents)
      if (running[n] && !is_out(n) && kept(n) && has_budget(n, send_time(p))) return true;
    return false;
  }
  Way parent_way(const Request& p) {
    Way way = choose_cache(p);
    if (!way) return {};
    way.source = choose_parent(p, way.trial);
    return way;
  }
  int choose_origin(const Request& p) {
    if (!is_write(p) && (!link_open(p) || !origin_open(p))) return kNobody;
    const int n = origin();
    return n != kNobody && can_give(p, n) && (is_write(p) || source_room(p, n)) ? n : kNobody;
  }
  Way origin_way(const Request& p) {
    Way way = any_parent_kept(p) ? Way() : choose_cache(p);
    way.source = choose_origin(p);
    return way;
  }
  // While no source can take a fill, what the home holds can still be had: a copy may have come since a look.
  Way held_way(const Request& p) {
    return !p.offs.empty() && p.offs.back().source == p.offs.back().node ? Way() : choose_cache(p);
  }
  // Guards against fills of what is being filled already, where a request can't join one: it asks for what
  // the home holds first, which costs a millisecond, and while the copy is under way again in a moment.
  Way look_way(const Request& p) {
    if (p.hot || p.in_vain || p.looks >= kLooks) return {};
    if (can_join) {
      const std::vector<int>& parents = parents_for(p);
      if (parents.empty() || !cold(parents[0])) return {};
    }
    if (p.looks > 0 && !p.under_way) return {};
    const Way way = choose_cache(p);
    return way && way.trial == kNobody && !cold(way.node) ? way : Way();
  }
  // Past the caches, where the site lets us: only when none of them is up and warm enough to be asked.
  Way straight_way(const Request& p) {
    if (!direct || choose_cache(p)) return {};
    Way way;
    way.node = choose_parent(p, way.trial);
    if (way.node == kNobody) way.node = choose_origin(p);
    way.source = way.node;
    if (way.node == kNobody || !may_go_to(p, way.node)) return {};
    if (is_parent(way.node) && origin() != kNobody && can_give(p, origin())) way.source = origin();
    return way;
  }
  // A write is never kept: no hierarchy can serve it. It takes the way with the fewest parts that can fail.
  Way write_way(const Request& p) {
    const int origin = choose_origin(p);
    if (origin != kNobody && direct && may_go_to(p, origin)) return {origin, origin, kNobody};
    Way way = choose_cache(p);
    way.source = origin;
    return way ? way : parent_way(p);
  }
  // A copy past its fresh time, where the grade allows one and all else has failed.
  Way stale_way(const Request& p) {
    if (p.stale_will_do || request_class_of(p).grace <= 0) return {};
    return choose_cache(p);
  }

  void attempt(Request& p, const Way& way) {
    Attempt off;
    off.node = way.node, off.source = way.source, off.sent = now, off.trial = way.trial != kNobody;
    const double node_charge = charge(way.node, is_cache_kind(way.node) ? mean_send(p) : send_time(p));
    if (!cold(way.node)) off.trial_charge = node_charge;
    if (way.source != way.node) off.source_charge = charge(way.source, send_time(p));
    if (off.trial)
      next_trial[way.trial] = now + (is_out(way.trial) ? trial_pause(way.trial, false) : kTrialEvery);
    if (p.in_vain && way.source != way.node && !is_cache_kind(way.source)) spare_fills -= 1;
    const Seconds wait = expected(p), in_hand = contract_time(p) - (now - p.arrived) - wait;
    // As long as a further attempt could still make the contract time; less for a member on trial, and where
    // lateness alone gives nothing up (late).
    off.patience = off.trial || !second_copies ? kOverdue * wait : std::max(kOverdue * wait, in_hand);
    // At the origin itself what is usual there goes on top; what takes longer shows a queue.
    if (is_origin(way.node) && usual_wait.heard())
      off.patience = wait + std::max(usual_wait.mean(), kLeastWait);
    const int rank = is_write(p) ? 0 : p.hot ? 3 : p.known ? 2 : 1;
    const FillOptions fill = {.source = name[way.source],
                              .rank = rank,
                              .max_copy_age = max_copy_age(p),
                              .join = can_join,
                              .cached_only = is_parent(way.source) && !origin_open(p),
                              .background_refresh = request_class_of(p).fresh > 0};
    const bool repeatable = request_class_of(p).effect == Effect::kRetriable;
    const bool call_back = second_copies || may_cancel;
    const Seconds window =
        request_class_of(p).effect == Effect::kFingerprinted && is_repeat(p) ? window_left(p) : 0;
    if (!is_repeat(p)) p.first_node = way.node, p.first_ran = now;
    p.offs.push_back(off);
    p.overdue = false;
    work_out[way.node] += send_time(p);
    ++out_here[way.node], ++out_from[way.source];
    actions.attempt(p.id, name[way.node], fill, repeatable && !call_back ? off.patience : window);
    if ((repeatable && call_back) || is_origin(off.node)) watch(p, p.offs.size() - 1, off.patience);
  }

  void cut_deadline(Request& p) {
    if (p.deadline <= deadline_cap) return;
    p.deadline = deadline_cap;
    p.cut_short = true;
  }
  void end_deadlines() {
    for (const auto& [id, request] : requests) touched.push_back(id);
  }

  // --- the rules: conditions and effects ---
  bool owed(const Request& p) { return !p.over && !p.bound; }
  bool idle(const Request& p) { return owed(p) && p.out() == 0 && now >= p.resume_at; }
  bool ready(const Request& p) {
    if (!owed(p) || !attempts_left(p) || !time_for_another(p)) return false;
    return idle(p) || (p.overdue && p.out() == 1 && second_copies);
  }
  bool is_write(const Request& p) { return p.write || request_class_of(p).through; }

  bool is_quiet(const Request& p) { return p.over && p.out() == 0; }
  void forget(Request& p) { requests.erase(RequestId(p.id)); }

  bool has_leftovers(const Request& p) {
    if (!p.over || !may_cancel) return false;
    return std::any_of(p.offs.begin(), p.offs.end(), [](const Attempt& h) { return h.out && !h.cancelled; });
  }
  void call_off(Request& p) {
    for (std::size_t i = 0; i < p.offs.size(); ++i) {
      if (!p.offs[i].out || p.offs[i].cancelled) continue;
      p.offs[i].cancelled = true;
      actions.cancel(p.id, {static_cast<int>(i)});
    }
  }

  // No answer is late by the client's own deadline then, so it is rejected like one that nobody can take.
  bool is_cut_short(const Request& p) { return p.cut_short && time_is_up(p); }
  bool time_is_up(const Request& p) { return owed(p) && now >= p.deadline - period; }
  void fail(Request& p) { p.over = true, actions.fail(p.id); }

  // Rule 2: a binding request that may have run gets no further attempt, and no promise; nor does a
  // fingerprinted one whose mark may be forgotten before its repeat, or its client's, has ended.
  bool is_spent(const Request& p) {
    const RequestClass& request_class = request_class_of(p);
    const bool binding = request_class.effect == Effect::kBinding;
    const bool late_copy = request_class.effect == Effect::kFingerprinted && window_left(p) <= expected(p);
    const bool stuck = p.may_have_run && (binding || late_copy);
    return idle(p) && (stuck || !attempts_left(p) || !time_for_another(p));
  }
  void give_up(Request& p) {
    const RequestClass& request_class = request_class_of(p);
    const bool harmless = request_class.effect == Effect::kRetriable || (!p.may_have_run && p.out() == 0) ||
                          (request_class.effect == Effect::kFingerprinted && request_class.group == "all" &&
                           window_left(p) > most_advice + expected(p));
    if (!harmless) return fail(p);
    p.over = true;
    const double draw = std::uniform_real_distribution<double>(0.5, 1)(chance);
    actions.reject(p.id, may_advise ? draw * most_advice : 0);
  }

  template <Way (State::*way)(const Request&)>
  bool can(const Request& p) {
    return ready(p) && !is_write(p) && (this->*way)(p);
  }
  template <Way (State::*way)(const Request&)>
  void take(Request& p) {
    attempt(p, (this->*way)(p));
  }
  bool has_write_way(const Request& p) { return ready(p) && is_write(p) && write_way(p); }
  template <Way (State::*way)(const Request&)>
  void look(Request& p) {
    take<way>(p), ++p.looks, p.under_way = false;
  }
  void take_stale_way(Request& p) {
    const Way way = stale_way(p);
    p.stale_will_do = true;
    attempt(p, way);
  }

  void wait(Request& p, Seconds pause) {
    actions.set_timer(p.resume_at = now + pause, {"resume:" + p.id.value});
  }
  bool is_late_alone(const Request& p) { return owed(p) && p.overdue; }
  void wait_on(Request& p) { p.overdue = false; }

  void go_through_rules() {
    for (std::size_t i = 0; i < touched.size(); ++i) {
      for (Request* p = held(touched[i]); p; p = held(touched[i])) {
        const auto fires = [&](const Rule& rule) { return (this->*rule.when)(*p); };
        const auto rule = std::find_if(kRules.begin(), kRules.end(), fires);
        if (rule == kRules.end()) break;
        (this->*rule->then)(*p);
      }
    }
    touched.clear();
  }

  // --- what is learnt from outcomes ---
  void learn(Request& p, Attempt& off, Result result, AnswerDetail note, Seconds waited, Seconds spent) {
    const int c = off.node, s = off.source;
    const bool asked = s != c;
    const bool lost = note == AnswerDetail::kSourceLost;
    if (result == Result::kCompleted || result == Result::kError || result == Result::kAbsent ||
        result == Result::kRejected)
      answered(c);
    switch (result) {
      case Result::kCompleted: {
        const bool filled = note == AnswerDetail::kFilled || note == AnswerDetail::kFilledByOrigin;
        const bool measurable = p.size_kb > 0 && send_time(p) >= kMeasurable && spent > 0;
        const bool crowded = is_crowded(p, spent);
        if (asked) misses.add(now, filled ? 1 : 0, 1);
        if (spent > 0) pace.add(now, spent, send_time(p) + kSetup);
        serve_rate[c].add(now, p.size_kb, 1);
        if (measurable && !filled) measure_room(c, out_here[c] + 1, crowded, off.sent);
        if (measurable && note == AnswerDetail::kHit)
          hit_drag.add(now, spent, send_time(p)), hit_drag_of[c].add(now, spent, send_time(p));
        // A fill that never took place is taken off the source's budget, at the time it was charged: a later
        // entry would outlive the charge and let more through than the budget holds. Only a note tells it,
        // and a copy that is renewed behind its answer asks the source all the same.
        if ((note == AnswerDetail::kHit || note == AnswerDetail::kJoined) && request_class_of(p).fresh <= 0 &&
            off.source_charge > 0)
          ledger[s].emplace_back(off.sent, -off.source_charge);
        if (!asked || !filled) break;
        const bool by_origin = is_origin(s) || (is_parent(s) && note == AnswerDetail::kFilledByOrigin);
        answered(s), filled_at[s] = now;
        if (!crowded) spare_fills = std::min(kSaved, spare_fills + kEarned);
        if (measurable) {
          measure_room(s, (out_from[s] + 1) * misses.mean(), crowded, off.sent);
          fill_rate[s].add(now, p.size_kb, spent);
          if (!is_cache_kind(s) && hit_drag.heard())
            measure_link(spent - waited,
                         send_time(p) * (hit_drag_of[c].heard() ? hit_drag_of[c] : hit_drag).mean());
          if (by_origin) origin_rate.add(now, p.size_kb, spent);
        }
        if (by_origin) measure_origin(origin_pace(waited), off.sent);
        // Only full notes tell whether a parent held it; a sibling gives nothing else than what it holds.
        if (is_cache_kind(s) || tells_all) held_share[s].add(now, note == AnswerDetail::kFilled ? 1 : 0, 1);
        break;
      }
      case Result::kAbsent:
        if (!asked && note == AnswerDetail::kJoined && !can_join && p.looks < kLooks &&
            p.deadline - now > kLookAgain + expected(p))
          p.under_way = true, wait(p, kLookAgain);
        if (!asked) break;
        if (is_cache_kind(s)) answered(s), held_share[s].add(now, 0, 1);
        if (is_parent(s)) answered(s), p.no_origin = true;  // it was to give what it held
        p.bad_sources.push_back(s);
        break;
      case Result::kRejected:
      case Result::kError:
        if (asked && (lost || note == AnswerDetail::kSourceRejected || note == AnswerDetail::kOriginFailed)) {
          p.bad_sources.push_back(s), p.in_vain = true;
          // What failed behind one parent fails behind the next, and the next try only adds to it.
          if (note == AnswerDetail::kOriginFailed) p.no_origin = true;
          if (!is_cache_kind(s) && !lost) measure_origin(kOriginCut, off.sent);
          measure_room(s, 0, true, off.sent);
          if (lost) strike(s, 1), fill_rate[s].add(now, 0, std::max(waited, kMeasurable));
        } else if (result == Result::kRejected && is_origin(c)) {
          // Once may be the connection's fault; the next goes out on another.
          if (p.offs.size() > 1) measure_origin(kOriginCut, off.sent);
          if (p.deadline - now > 2 * kPause)
            wait(p, kPause * std::uniform_real_distribution<double>(0.5, 1.5)(chance));
        } else if (result == Result::kRejected) {
          p.bad_nodes.push_back(c);
        }
        break;
      case Result::kUnreachable:
      case Result::kBroken:
        // A trial that found nobody there is taken off: it reached no node that has just started.
        if (result == Result::kUnreachable && off.trial_charge > 0)
          ledger[c].emplace_back(off.sent, -off.trial_charge);
        // One broken attempt may be chance, and the home is still the best to ask. A node that died breaks
        // all that it held, and then can't be reached.
        strike(c, result == Result::kBroken ? 1 : kStrikesOut);
        if (is_out(c) || is_origin(c)) p.bad_nodes.push_back(c);
        break;
      case Result::kLocalFailure:
        retry_after_local_failure(p);
        break;
      default:
        if (result == Result::kTimedOut) suspect(p, off);
    }
  }
  // Guards against a moment without local ports, descriptors or a route, in which all attempts of a request
  // would be used up at once. It says nothing of the node, which stays the best to ask.
  void retry_after_local_failure(Request& p) {
    const Seconds pause = kLocalPause * (1 << p.local_failures);
    ++p.local_failures;
    if (attempts_left(p) && p.deadline - now > pause + expected(p)) wait(p, pause);
  }
  void hear(const NodeId& id, const LoadReport& report) {
    const auto node = index.find(id.value);
    const auto link = report.find("x1");
    if (node == index.end() || link == report.end() || !is_cache(node->second)) return;
    link_told = true;
    hear_link(link->second / kLinkFull);
  }
  void hear_link(double fullness) {
    if (now - link_heard < kReportEvery) return;
    link_heard = now;
    // In proportion to what is too much or too little: steps of one size swung between shut and open.
    link_part = fullness > 1 ? std::max(kLinkLeast, link_part * std::max(kLinkCut, 1 / fullness))
                             : std::min(1.0, link_part + kLinkGrow * (1 - fullness));
  }
  // Stands in for the report where no node tells how full the location's link is: past it a fill is no slower
  // than a hit until the link is full, whichever source it comes from. Its wait for the source is left out.
  // Meets a slow link of all sources too; it hurts where a crowd at one parent slows most of our fills.
  void measure_link(Seconds sending, double bare) {
    fill_drag.first += sending, fill_drag.second += bare;
    if (link_told || now - link_heard < kReportEvery || ++fills_seen < kFillsTell) return;
    hear_link(fill_drag.first / fill_drag.second / kDragFull);
    fill_drag = {}, fills_seen = 0;
  }

  // Who is to blame for an attempt that stays out: the cache if not heard of since, else the source if
  // nothing has come from it since. If both have been heard of, they are slow, and no other would be faster.
  bool suspect(Request& p, const Attempt& off) {
    if (heard_at[off.node] < off.sent) {
      strike(off.node, 1);
      p.bad_nodes.push_back(off.node);
      return true;
    }
    const bool asked = off.source != off.node;
    // Late is late, whoever is to blame; but early in its slack, or far from its limit, it shows no crowd.
    const int n = asked ? off.source : off.node;
    const bool near = (asked ? in_use(n) : out_here[n]) >= kNearLimit * room[n];
    measure_room(n, 0, near && is_crowded(p, now - off.sent), off.sent);
    if (!asked || filled_at[off.source] >= off.sent) return false;
    strike(off.source, 1);
    p.bad_sources.push_back(off.source), p.in_vain = true;
    return true;
  }
  Request* held(const RequestId& id) {
    const auto found = requests.find(id);
    return found == requests.end() ? nullptr : &found->second;
  }
  // Guards against a queue at the origin that is told of only by answers that have waited in it: who has
  // heard of cache and parent since, but not of the fill, hears of the origin. Meets a slow and a crowded
  // one; it hurts where a parent's link is slow just then, for as long as its part takes to grow again. A
  // fill that takes long to send may be late by that alone.
  bool must_be_the_origin(const Request& p, const Attempt& off) {
    if (is_origin(off.node)) return true;
    if (send_time(p) >= kMeasurable) return false;
    if (now - off.sent < expected(p) + (usual_wait.heard() ? usual_wait.mean() : 0)) return false;
    // Silence blames a node only where it would have been heard of by now. A director with few requests hears
    // of nobody in that time: past the contract time a trouble of the origin, once known, is the likelier.
    const bool past = origin_part < 1 && now - p.arrived > contract_time(p);
    const auto heard = [&](const std::vector<Seconds>& at, const std::vector<Average>& news, int n) {
      const bool due = news[n].times_a_second(now) * (now - off.sent) >= 1;
      return is_origin(n) || at[n] > off.sent || (past && !due);
    };
    return !is_cache_kind(off.source) && heard(heard_at, serve_rate, off.node) &&
           heard(filled_at, held_share, off.source);
  }
  void late(const RequestId& id, std::size_t place) {
    if (!held(id) || place >= held(id)->offs.size()) return;
    Request& p = *held(id);
    Attempt& off = p.offs[place];
    if (!off.out || off.cancelled || !owed(p)) return;
    const bool first = !std::exchange(off.late, true);
    if (must_be_the_origin(p, off) && off.sent > origin_cut_at) {
      // One among many in good time is chance: what came well since the last late one softens the cut.
      measure_origin(1 - (1 - kOriginLate) / (1 + origin_good), off.sent);
      origin_good = 0;
    }
    if (request_class_of(p).effect != Effect::kRetriable) return;
    // Guards against waits on a slow source that keep hits out: a late fill gives its cache's room back.
    if (off.source != off.node) out_here[off.node] -= std::exchange(off.in_room, false);
    const bool suspected = first && suspect(p, off);
    watch(p, place, std::max(expected(p), kSetup));  // bounds the wakes of one attempt
    if (second_copies) {
      // Guards against a late fill for each parent while it is the origin behind all of them that is slow.
      // Hurts where a parent vanishes just then: its fills wait out their time until strikes leave it out.
      if (is_parent(off.source) && origin_part < 1 && heard_at[off.node] >= off.sent) return;
      p.overdue = suspected;
    } else {
      // Guards against giving up what would still have come, where a further attempt costs the one that is
      // out: most late ones come, and each made anew asks one more parent, and the origin, for the same.
      // Meets slow nodes, slow sources and crowds; it hurts where answers are lost, which wait to the end.
      const bool gone = is_out(off.node) || is_out(off.source), can_fill = !p.in_vain || spare_fills >= 1;
      off.cancelled = gone && can_fill && time_for_another(p) && attempts_left(p);
      if (off.cancelled) actions.cancel(id, {static_cast<int>(place)});
    }
    touched.push_back(id);
  }
  void watch(const Request& p, std::size_t place, Seconds time) {
    if (now + time < p.deadline)
      actions.set_timer(now + time, {"late:" + std::to_string(place) + ":" + p.id.value});
  }

  void sweep() {
    std::erase_if(units, [&](const auto& entry) { return now - entry.second.at > kRemember; });
    invalidations.expire(now);
    // Guards against ids that keep coming: a gone node is forgotten once nothing of it is out and its budget
    // is past. It hurts nobody: should the id come back, it counts as just started.
    for (int n = 0; n < count(); ++n)
      if (!listed[n] && out_here[n] + out_from[n] == 0 &&
          now - std::max(launched[n], heard_at[n]) > kRemember)
        index.erase(name[n].value), name[n] = NodeId(), zone[n] = kind[n] = -1;
    traffic.look(now, all_sends, connection_idle);
    sort_out_kinds();
    actions.set_timer(now + kSweepEvery, {"sweep"});
  }

  std::vector<RequestId> touched;
  Settings settings;
  Actions& actions;
  std::knuth_b chance;
  std::uint64_t director_hash;
  Seconds now, began;
  Seconds deadline_cap = kNever;
  std::vector<RequestClass> request_classes;
  int here = 0, parent_kind = -1, origin_kind = -1;
  bool can_join = false, direct = false, may_cancel = false, second_copies = false, may_advise = false;
  bool peers_fill = false, tells_all = false, weights_drift = false, weights_unknown = false;
  double max_attempts = 1, parent_from = 0, cache_from = 0, parent_limit = 2, cache_limit = 2;
  double zone_sharers = 1, sharers_of_all = 1;
  mutable double cache_sharers = 1;  // directors that share a cache; follows the groups
  Seconds connection_idle = 0;
  OwnTraffic traffic;
  Seconds most_advice = 0, period = 0, parent_warms = 0, cache_warms = 0, fall_span = 0;
  std::uint64_t list_turn = 1;
  mutable SortedNodes sorted;
  mutable bool nodes_are_sorted = false;
  double flow = 0, link_part = 1, origin_part = 1, spare_fills = kSaved, origin_good = 0;
  Seconds link_heard = kLongAgo, origin_cut_at = kLongAgo, origin_calm_at = kLongAgo, origin_heard = kLongAgo;
  ListCompleteness scope = ListCompleteness::kCached;
  Average pace, origin_rate, usual_wait, misses, all_sends, false_caches, false_parents;
  Average hit_drag;
  std::pair<Seconds, double> fill_drag;
  int fills_seen = 0;
  bool link_told = false;

  std::unordered_map<std::string, int> index;
  std::vector<NodeId> name;
  std::vector<std::uint64_t> hash;
  std::vector<int> zone, kind, cell, strikes, out_here, out_from;
  std::vector<char> running, listed, fresh;
  std::vector<double> weight, work_out, room;
  std::vector<Seconds> launched, start_guessed, stamped_start, out_since, next_trial, back_off, heard_at,
      filled_at, cut_at;
  std::vector<Average> fill_rate, held_share, serve_rate, hit_drag_of;
  std::vector<std::vector<std::pair<Seconds, double>>> ledger;

  std::map<RequestId, Request> requests;
  std::unordered_map<std::uint64_t, Unit> units;
  policy::Invalidations invalidations{0};  // its lifetime is read with the settings
};

// From the top, until none fires. Each is a condition and an effect, both above.
const std::vector<Director::State::Rule> Director::State::kRules = {
    {"over and all heard: forget it", &State::is_quiet, &State::forget},
    {"over with attempts out: call them off", &State::has_leftovers, &State::call_off},
    {"the director ends: give it up", &State::is_cut_short, &State::give_up},
    {"its time is up: forfeit", &State::time_is_up, &State::fail},
    {"no further attempt may or can be made: give it up", &State::is_spent, &State::give_up},
    {"a write: the shortest way to the origin", &State::has_write_way, &State::take<&State::write_way>},
    {"look first: home, what it holds", &State::can<&State::look_way>, &State::look<&State::look_way>},
    {"spread: filled from the other", &State::can<&State::spread_way>, &State::take<&State::spread_way>},
    {"ordinary: a kept parent", &State::can<&State::parent_way>, &State::take<&State::parent_way>},
    {"no parent kept: the origin", &State::can<&State::origin_way>, &State::take<&State::origin_way>},
    {"no source: what home holds", &State::can<&State::held_way>, &State::look<&State::held_way>},
    {"no cache: straight", &State::can<&State::straight_way>, &State::take<&State::straight_way>},
    {"nothing fresh to be had: a stale copy", &State::can<&State::stale_way>, &State::take_stale_way},
    {"late, and nobody else to ask: wait on", &State::is_late_alone, &State::wait_on},
    {"nobody to ask: give it up", &State::idle, &State::give_up},
};

// --- inputs ---

Director::Director(Seconds now, Settings settings, std::uint64_t seed, Actions& actions)
    : state_(std::make_unique<State>(now, std::move(settings), seed, actions)) {}
Director::~Director() = default;
std::size_t Director::nodes_known() const { return state_->index.size(); }
Seconds Director::max_copy_age(Seconds now, const RequestId& id) {
  State& m = state_->at(now);
  const Request* request = m.held(id);
  return request ? m.max_copy_age(*request) : 0;
}

void Director::list_starts(Seconds now, ListCompleteness scope) {
  State& m = state_->at(now);
  m.scope = scope;
  if (scope == ListCompleteness::kFailed) m.actions.set_timer(now + kListAgain, {"list"});
  if (scope == ListCompleteness::kFull || scope == ListCompleteness::kCached)
    std::fill(m.fresh.begin(), m.fresh.end(), false);
}

void Director::list_entry(Seconds now, const NodeId& node, ZoneIndex zone, KindIndex kind, CellIndex cell,
                          EndpointState endpoint_state, double weight, Seconds launched, Seconds stamped) {
  State& m = state_->at(now);
  const int n = m.index_of(node);
  const bool newly = !m.listed[n] && m.scope == ListCompleteness::kChanges;
  m.zone[n] = zone.value, m.kind[n] = kind.value, m.cell[n] = cell.value, m.weight[n] = weight;
  m.listed[n] = m.fresh[n] = endpoint_state != EndpointState::kRemoved;
  m.running[n] = endpoint_state == EndpointState::kRunning;
  m.sort_out_kinds();
  if (m.room[n] <= 0) m.room[n] = m.first_room(n);
  // What comes up without a start time may have started this moment.
  if (launched <= 0 && !(newly && m.running[n])) return;
  const Seconds counted = launched > 0 ? launched : now;
  m.stamped_start[n] = stamped > 0 ? std::min(stamped, counted) : counted;
  m.started(n, counted);
}

void Director::list_ends(Seconds now) {
  State& m = state_->at(now);
  const bool whole = m.scope == ListCompleteness::kFull || m.scope == ListCompleteness::kCached;
  for (int n = 0; n < m.count(); ++n)
    if (whole && !m.fresh[n]) m.listed[n] = m.running[n] = false;  // rule 3: missing from a full list is gone
  m.sort_out_kinds();
}

void Director::request_arrived(Seconds now, const RequestId& id, RequestClassIndex request_class, TenantIndex,
                               ObjectId object, PartNumber part, GroupId group, Seconds deadline,
                               double size_kb, bool, bool is_write) {
  State& m = state_->at(now);
  m.calm_origin();
  Request p;
  p.id = id,
  p.request_class = std::clamp(request_class.value, 0, static_cast<int>(m.request_classes.size()) - 1);
  p.object = object.value, p.unit = mix(object.value) ^ mix(~static_cast<std::uint64_t>(part.value));
  p.group = group.value, p.arrived = now, p.deadline = deadline, p.size_kb = size_kb, p.write = is_write;
  m.cut_deadline(p);
  if (m.flow > 0 && size_kb > 0) m.request_classes[p.request_class].send.add(now, size_kb / m.flow, 1);
  if (!m.is_write(p)) {
    Unit& unit = m.units[p.unit];
    p.known = unit.at > kLongAgo, p.hot = now - unit.at <= kHotSpan;  // one request in the span is no crowd
    unit.bytes = unit.bytes * std::exp((unit.at - now) / kHotSpan) + size_kb;
    unit.at = now, p.hot = p.hot && m.is_hot(p, unit.bytes);
  }
  m.all_sends.add(now, m.send_time(p), 1);
  // By object and time, so that neither a client's repeat nor another director draws anew.
  const double draw = unit_draw(mix(object.value) + static_cast<std::uint64_t>(now / kRemember));
  p.lot = std::min(1.0, draw / m.extra(p));
  m.requests.insert_or_assign(id, std::move(p));
  m.touched.push_back(id);
  m.go_through_rules();
}

void Director::client_disconnected(Seconds now, const RequestId& id) {
  State& m = state_->at(now);
  if (!m.held(id)) return;
  m.held(id)->over = true;
  m.touched.push_back(id);
  m.go_through_rules();
}

void Director::cap_deadlines(Seconds now, Seconds at) {
  State& m = state_->at(now);
  m.deadline_cap = at;
  for (auto& [id, request] : m.requests) m.cut_deadline(request);
  m.actions.set_timer(at, {"deadlines-end"});
}

void Director::attempt_started(Seconds now, const RequestId& id, AttemptNumber) {
  if (Request* p = state_->at(now).held(id)) p->bound = p->may_have_run = true;
}

void Director::attempt_ended(Seconds now, const RequestId& id, AttemptNumber number, const NodeId& node,
                             Result result, AnswerDetail note, Seconds waited, Seconds spent,
                             const LoadReport& report, bool request_over) {
  State& m = state_->at(now);
  m.hear(node, report);
  if (!m.held(id)) return;
  Request& p = *m.held(id);
  p.over = p.over || request_over;
  const auto place = static_cast<std::size_t>(number.value);
  if (number.value >= 0 && place < p.offs.size() && p.offs[place].out) {
    Attempt& off = p.offs[place];
    off.out = false;
    m.work_out[off.node] -= m.send_time(p);
    m.out_here[off.node] -= off.in_room, --m.out_from[off.source];
    const bool never_ran = result == Result::kRejected || result == Result::kUnreachable ||
                           result == Result::kNotSent || result == Result::kAbsent ||
                           result == Result::kLocalFailure;
    p.may_have_run = p.may_have_run || !never_ran;
    m.learn(p, off, result, note, waited, spent);
  }
  m.touched.push_back(id);
  m.go_through_rules();
}

void Director::probe_ended(Seconds now, const NodeId& node, Result, const LoadReport& report) {
  state_->at(now).hear(node, report);
}

// The moment of a purge is kept, not its age: bounds are taken from it when a request is sent.
void Director::object_purged(Seconds now, ObjectId object, Seconds age) {
  state_->at(now).invalidations.object_purged(now, object, age);
}
void Director::group_purged(Seconds now, GroupId group, Seconds age) {
  state_->at(now).invalidations.group_purged(now, group, age);
}

void Director::timer_fired(Seconds now, const TimerToken& token) {
  State& m = state_->at(now);
  const std::string& words = token.value;
  if (words == "sweep") m.sweep();
  if (words == "list") m.actions.watch_list();
  if (words == "deadlines-end") m.end_deadlines();
  if (words.starts_with("resume:")) {
    // Guards against a clock that rounds: a wake may come a hair before the time that was asked for, and no
    // second one would follow; the request would be held until its hard stop.
    if (Request* p = m.held({words.substr(7)})) p->resume_at = kLongAgo;
    m.touched.push_back({words.substr(7)});
  }
  if (words.starts_with("late:")) {
    const auto colon = words.find(':', 5);
    if (colon != std::string::npos)
      m.late({words.substr(colon + 1)}, static_cast<std::size_t>(std::atoi(words.c_str() + 5)));
  }
  m.go_through_rules();
}

}  // namespace hareramp
