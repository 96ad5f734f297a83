// Slow start in a whole fleet: many directors, each with its own seed, in one process with a given clock.
// Every call that reaches a node in slow start is counted, including rejected calls and fills through a
// cache; within any span there may be no more than the settings allow all directors together (docs/design.md,
// "Slow start").
#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <queue>
#include <random>
#include <set>

#include "helpers.hpp"

using namespace hareramp;

namespace {

constexpr Seconds kSpan = 2;                  // Contract.FallS of DirectorFixture::usual_settings
constexpr Seconds kCacheWarmupTime = 60;      // Contract.ColdS
constexpr Seconds kParentWarmupTime = 60;     // FamilyInfo.ParentWarmsInS
constexpr double kCacheStartFraction = 0.2;   // Contract.StartCapacity
constexpr double kParentStartFraction = 0.1;  // FamilyInfo.ParentColdFrom
constexpr double kBudgetMultiple = 2;         // Contract.FallMultiple and FamilyInfo.ParentLimitFactor
constexpr double kSizeKb = 100;               // of each object: every call is mean work
constexpr Seconds kCallWork = 0.1;            // seconds of sending, at FamilyInfo.StreamKbPerS of 1000
constexpr Seconds kNodeStart = 120;           // on the given clock: when the observed nodes start
constexpr Seconds kFleetEnd = kNodeStart + 4.5;
double bound(double calls) {
  return calls < 30 ? calls + 3 * std::sqrt(calls) + 3 : calls + 2 * std::sqrt(calls) + 2;
}

struct FleetPlan {
  int directors = 4;
  std::uint64_t seed = 1;
  double calls_per_director = 3;  // of a director's equal share when a cache starts, before any reserve
  double offered_load = 2;        // multiple of what the starting nodes may be sent
  bool one_has_most = false;      // nine tenths of the requests go to one director
  int restarts = 0;               // how often a third of the directors restart, 0.4 s apart
  bool starts_again = false;      // the nodes restart once more during their slow start
  bool entries_repeat = false;    // the list repeats the same entries
  Seconds absence = 0;  // above 0: the nodes are gone for this long, and the list does not report it
  const char* answer_details = "all";  // FamilyInfo.Tells
  double hits = 0.3;                   // fraction of the calls to a cache that need no fill
  bool refreshes = false;              // hits are refreshed from the source in the background
};

struct NodeState {
  bool running = true;
  Seconds started_at = 0;
  double weight = 0;
  std::deque<Seconds> calls;  // within the last span
  double worst_ratio = 0;     // largest number of calls in a span, relative to its bound
};

class Fleet;

// One process: a director, and the effects it requests.
class DirectorProcess : public Actions {
 public:
  DirectorProcess(Fleet& fleet, int director_index, int incarnation);
  void attempt(const RequestId& request, const NodeId& node, const FillOptions& fill, Seconds) override;
  void cancel(const RequestId&, AttemptNumber) override {}  // the node answers all the same
  void reject(const RequestId& request, Seconds) override { open.erase(request.value); }
  void fail(const RequestId& request) override { open.erase(request.value); }
  void set_timer(Seconds at, const TimerToken& token) override;
  void probe(const NodeId&) override {}
  void watch_list() override {}
  void log(const std::string&) override {}
  void end_attempt(const RequestId& request, int number, const NodeId& node, Result result,
                   AnswerDetail detail, Seconds sent);

  std::set<std::string> open;
  std::map<std::string, int> attempts;
  std::unique_ptr<Director> director;

 private:
  Fleet& fleet_;
  int director_index_;
};

class Fleet {
 public:
  explicit Fleet(const FleetPlan& plan)
      : now(kNodeStart - (plan.absence + 2)), plan_(plan), random_engine_(plan.seed) {
    // That many seconds of sending in a span are one director's share, times the number of directors.
    const double calls = plan.calls_per_director * plan.directors;
    cache_weight_ = calls * kCallWork / (kBudgetMultiple * kCacheStartFraction * kSpan);
    for (const char* id : {"c1", "c2", "c3"}) nodes_[id].weight = cache_weight_;
    for (const char* id : {"P1", "P2"}) nodes_[id].weight = cache_weight_;
    nodes_["O"].weight = 1000 * cache_weight_;
    for (int d = 0; d < plan.directors; ++d) {
      incarnations_.push_back(0), processes_.emplace_back();
      start(d);
    }
    plan_faults();
    next_request(now);
  }

  void run() {
    while (!events_.empty() && events_.top().at < kFleetEnd) {
      const Event event = events_.top();
      events_.pop();
      now = event.at;
      event.action();
    }
  }
  double worst_ratio(const std::string& id) const { return nodes_.at(id).worst_ratio; }

  // Runs at that time if the process that requested it is still running.
  void run_later(int director_index, Seconds at, std::function<void()> action) {
    const int incarnation = incarnations_[director_index];
    run_at(at, [this, director_index, incarnation, action = std::move(action)] {
      if (incarnations_[director_index] == incarnation) action();
    });
  }
  // Delivers a call to its node, even if its director has ended by then.
  void send(int director_index, const RequestId& request, int number, const NodeId& node,
            const NodeId& source) {
    const Seconds sent = now;
    run_at(now + draw(0.0005, 0.002), [=, this] {
      const auto [result, detail] = call(node.value, source.value);
      run_later(director_index, now + draw(0.001, uniform() < 0.05 ? 1.5 : 0.02), [=, this] {
        processes_[director_index]->end_attempt(request, number, node, result, detail, sent);
      });
    });
  }

  Settings settings() const {
    Settings settings = DirectorFixture::usual_settings();
    const std::string directors = std::to_string(plan_.directors);
    settings["Balancers"] = directors, settings["FamilyInfo.SeatsByZone"] = "0,0," + directors + ",0";
    settings["Contract.ColdS"] = DirectorFixture::text(kCacheWarmupTime);
    settings["FamilyInfo.ParentWarmsInS"] = DirectorFixture::text(kParentWarmupTime);
    settings["FamilyInfo.Tells"] = plan_.answer_details,
    settings["FamilyInfo.GoodForS"] = plan_.refreshes ? "8,0,0,0" : "0,0,0,0";
    return settings;
  }

  Seconds now;

 private:
  struct Event {
    Seconds at;
    std::uint64_t order;
    std::function<void()> action;
    bool operator<(const Event& other) const { return std::tie(other.at, other.order) < std::tie(at, order); }
  };

  double draw(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(random_engine_);
  }
  double uniform() { return draw(0, 1); }
  void run_at(Seconds at, std::function<void()> action) { events_.push({at, ++order_, std::move(action)}); }

  void start(int director_index) {
    ++incarnations_[director_index];
    processes_[director_index] =
        std::make_unique<DirectorProcess>(*this, director_index, incarnations_[director_index]);
    send_list(director_index, ListCompleteness::kFull, EndpointState::kRunning,
              {"c1", "c2", "c3", "P1", "P2", "O"});
  }
  void send_list(int director_index, ListCompleteness completeness, EndpointState endpoint_state,
                 const std::vector<std::string>& ids) {
    Director& director = *processes_[director_index]->director;
    director.list_starts(now, completeness);
    for (const std::string& id : ids) {
      const int kind = id[0] == 'P' ? 1 : id[0] == 'O' ? 2 : 0;
      director.list_entry(now, {id}, {kind == 0 ? 2 : 0}, {kind}, {1}, endpoint_state, nodes_.at(id).weight,
                          plan_.absence > 0 ? 0 : nodes_.at(id).started_at);
    }
    director.list_ends(now);
  }
  void send_list_to_all(EndpointState endpoint_state) {
    for (int d = 0; d < plan_.directors; ++d)
      run_later(d, now + draw(0.001, 0.03),
                [=, this] { send_list(d, ListCompleteness::kChanges, endpoint_state, kObserved); });
  }
  void stop_observed() {
    for (const auto& id : kObserved) nodes_.at(id).running = false;
    if (plan_.absence <= 0) send_list_to_all(EndpointState::kRemoved);
  }
  void start_observed() {
    for (const auto& id : kObserved) {
      NodeState& node = nodes_.at(id);
      node.running = true, node.started_at = now;
      node.calls.clear();
    }
    if (plan_.absence <= 0) send_list_to_all(EndpointState::kRunning);
  }
  void plan_faults() {
    run_at(kNodeStart - std::max(plan_.absence, 0.5), [this] { stop_observed(); });
    run_at(kNodeStart, [this] { start_observed(); });
    if (plan_.starts_again) {
      run_at(kNodeStart + 1.2, [this] { stop_observed(); });
      run_at(kNodeStart + 1.6, [this] { start_observed(); });
    }
    for (int i = 0; plan_.entries_repeat && i < 20; ++i)
      run_at(kNodeStart + 0.1 + 0.3 * i, [this] { send_list_to_all(EndpointState::kRunning); });
    // The worst moment: the shares have just been sent, and are sent repeatedly before a span has passed.
    for (int i = 0; i < plan_.restarts; ++i)
      run_at(kNodeStart + 0.5 + 0.4 * i, [this] {
        for (int d = 0; d < (plan_.directors + 2) / 3; ++d) start(d);
      });
  }
  void next_request(Seconds at) {
    // Each of the three caches gets a third of the requests.
    const double limit = kBudgetMultiple * kCacheStartFraction * cache_weight_ / kCallWork;
    const double rate = 3 * plan_.offered_load * limit;
    run_at(at + std::exponential_distribution<double>(rate)(random_engine_), [this] {
      next_request(now);
      const int random_director = static_cast<int>(uniform() * plan_.directors);
      const int director_index = plan_.one_has_most && uniform() < 0.9 ? 0 : random_director;
      const std::string id = std::to_string(++requests_);
      processes_[director_index]->open.insert(id);
      processes_[director_index]->director->request_arrived(now, {id}, {0}, {0}, {requests_}, {0}, {0},
                                                            now + 5, kSizeKb, false, false);
    });
  }

  void count_call(const std::string& id) {
    NodeState& node = nodes_.at(id);
    const bool parent = id[0] == 'P';
    const Seconds warmup_time = parent ? kParentWarmupTime : kCacheWarmupTime;
    const double start_fraction = parent ? kParentStartFraction : kCacheStartFraction;
    if (!node.running || node.started_at <= 0 || now - node.started_at >= warmup_time) return;
    node.calls.push_back(now);
    while (node.calls.front() <= now - kSpan) node.calls.pop_front();
    const double capacity =
        node.weight * (start_fraction + (1 - start_fraction) * (now - node.started_at) / warmup_time);
    const double bound_at_present = bound(kBudgetMultiple * capacity * kSpan / kCallWork);
    node.worst_ratio = std::max(node.worst_ratio, static_cast<double>(node.calls.size()) / bound_at_present);
  }
  // The result of a call to a cache and, where the cache lacks the object, of the fill.
  std::pair<Result, AnswerDetail> call(const std::string& id, const std::string& source) {
    NodeState& node = nodes_.at(id);
    if (!node.running) return {Result::kUnreachable, AnswerDetail::kNone};
    if (id[0] == 'O') return {Result::kCompleted, AnswerDetail::kHit};
    count_call(id);
    if (uniform() < 0.1) return {Result::kRejected, AnswerDetail::kNone};
    if (source == id) return {Result::kAbsent, AnswerDetail::kNone};
    const bool reports_details = std::string(plan_.answer_details) != "none";
    if (uniform() < plan_.hits) {
      if (plan_.refreshes) count_call(source);
      return {Result::kCompleted, reports_details ? AnswerDetail::kHit : AnswerDetail::kNone};
    }
    if (!nodes_.at(source).running) return {Result::kError, AnswerDetail::kSourceLost};
    count_call(source);
    if (source[0] == 'c' && uniform() < 0.5) return {Result::kAbsent, AnswerDetail::kSourceMissed};
    return {Result::kCompleted, reports_details ? AnswerDetail::kFilled : AnswerDetail::kNone};
  }

  const std::vector<std::string> kObserved = {"c1", "c2", "P1"};
  FleetPlan plan_;
  std::mt19937_64 random_engine_;
  double cache_weight_ = 0;
  std::map<std::string, NodeState> nodes_;
  std::vector<int> incarnations_;
  std::vector<std::unique_ptr<DirectorProcess>> processes_;
  std::priority_queue<Event> events_;
  std::uint64_t order_ = 0, requests_ = 0;
};

DirectorProcess::DirectorProcess(Fleet& fleet, int director_index, int incarnation)
    : fleet_(fleet), director_index_(director_index) {
  Settings settings = fleet.settings();
  const auto seed = static_cast<std::uint64_t>(1000 * director_index + incarnation);
  director = std::make_unique<Director>(fleet.now, settings, seed, *this);
}
void DirectorProcess::attempt(const RequestId& request, const NodeId& node, const FillOptions& fill,
                              Seconds) {
  fleet_.send(director_index_, request, attempts[request.value]++, node, fill.source);
}
void DirectorProcess::set_timer(Seconds at, const TimerToken& token) {
  fleet_.run_later(director_index_, at, [this, token] { director->timer_fired(fleet_.now, token); });
}
void DirectorProcess::end_attempt(const RequestId& request, int number, const NodeId& node, Result result,
                                  AnswerDetail detail, Seconds sent) {
  const bool was_open = open.contains(request.value);
  if (result == Result::kCompleted) open.erase(request.value);
  const Seconds elapsed = fleet_.now - sent;
  director->attempt_ended(fleet_.now, request, {number}, node, result, detail, elapsed / 4, elapsed, {},
                          !was_open || result == Result::kCompleted);
}

// The largest number of calls at each starting node, relative to its bound.
std::map<std::string, double> worst_ratios(const FleetPlan& plan) {
  Fleet fleet(plan);
  fleet.run();
  std::map<std::string, double> worst_ratio;
  for (const char* id : {"c1", "c2", "P1"}) worst_ratio[id] = fleet.worst_ratio(id);
  return worst_ratio;
}

void check_fleets(const std::string& label, FleetPlan plan) {
  for (const auto& [directors, seeds] : std::vector<std::pair<int, int>>{{1, 8}, {4, 8}, {30, 4}, {300, 1}})
    for (int seed = 1; seed <= seeds; ++seed) {
      plan.directors = directors, plan.seed = static_cast<std::uint64_t>(seed);
      for (const auto& [node, worst_ratio] : worst_ratios(plan))
        CHECK_MESSAGE(worst_ratio <= 1,
                      label << ": " << directors << " directors, seed " << seed << ", " << node);
    }
}

}  // namespace

TEST_CASE("slow start: the bound for all directors together, whatever the traffic") {
  check_fleets("even", {});
  check_fleets("one has most", {.one_has_most = true});
  check_fleets("less than a call each", {.calls_per_director = 0.6});
  check_fleets("repeated", {.entries_repeat = true});
  check_fleets("starts again", {.starts_again = true, .entries_repeat = true});
}

TEST_CASE("slow start: a third of the directors restart within the span") {
  check_fleets("once", {.restarts = 1});
  check_fleets("four times", {.calls_per_director = 6, .offered_load = 4, .restarts = 4});
  for (const auto& [node, worst_ratio] :
       worst_ratios({.directors = 900, .calls_per_director = 4, .offered_load = 3, .restarts = 4}))
    CHECK_MESSAGE(worst_ratio <= 1, "900 directors, " << node);
}

TEST_CASE("slow start: a director that restarts does not send its share again") {
  DirectorFixture fixture;
  fixture.advance(1);
  fixture.list(ListCompleteness::kCached, "c1 P1 O");
  const Seconds started_at = fixture.now;
  fixture.list(ListCompleteness::kChanges, "c1", EndpointState::kRunning, started_at);
  int request = 0;
  const auto calls_within = [&](Seconds time) {
    int calls = 0;
    for (const Seconds end = fixture.now + time; fixture.now + 0.02 < end;) {
      const std::string id = std::to_string(++request);
      fixture.request(id, static_cast<std::uint64_t>(request));
      for (std::size_t n = 0; n < fixture.node_of[id].size(); ++n) {
        calls += fixture.node_of[id][n] == "c1";
        fixture.end_attempt(id, static_cast<int>(n), Result::kCompleted, AnswerDetail::kHit, 0.02);
      }
      fixture.advance(0.01);
    }
    return calls;
  };
  CHECK(calls_within(1) > 0);
  fixture.director = std::make_unique<Director>(fixture.now, DirectorFixture::usual_settings(), 8, fixture);
  fixture.list(ListCompleteness::kFull, "c1", EndpointState::kRunning, started_at);
  fixture.list(ListCompleteness::kChanges, "P1 O");
  CHECK(calls_within(kSpan) == 0);
  CHECK(calls_within(1) > 0);
  // A node that starts later has received nothing from the director before.
  fixture.director = std::make_unique<Director>(fixture.now, DirectorFixture::usual_settings(), 9, fixture);
  fixture.list(ListCompleteness::kFull, "c1", EndpointState::kRunning, started_at);
  fixture.list(ListCompleteness::kChanges, "P1 O");
  fixture.advance(0.3);
  fixture.list(ListCompleteness::kChanges, "c1", EndpointState::kRunning, fixture.now);
  CHECK(calls_within(1) > 0);
}

TEST_CASE(
    "slow start: a restarted director that learns late of a node's start does not treat it as a later "
    "start") {
  for (const bool started_after_director : {false, true}) {
    CAPTURE(started_after_director);
    DirectorFixture fixture;
    fixture.advance(10);
    const Seconds director_started_at = fixture.now;
    fixture.director =
        std::make_unique<Director>(director_started_at, DirectorFixture::usual_settings(), 8, fixture);
    fixture.list(ListCompleteness::kFull, "P1 O");
    fixture.advance(0.5);
    // The warm-up counts from when the start became known; whether the share may have been spent depends on
    // the list's stamp.
    const Seconds reported_start =
        started_after_director ? director_started_at + 0.1 : director_started_at - 1;
    fixture.director->list_starts(fixture.now, ListCompleteness::kChanges);
    fixture.director->list_entry(fixture.now, {"c1"}, {2}, {0}, {1}, EndpointState::kRunning, 6, fixture.now,
                                 reported_start);
    fixture.director->list_ends(fixture.now);
    fixture.request("1", 1);
    CHECK(std::count(fixture.node_of["1"].begin(), fixture.node_of["1"].end(), "c1") ==
          (started_after_director ? 1 : 0));
  }
}

TEST_CASE("slow start: an ejected node restarts without the list reporting it") {
  check_fleets("shares of several calls", {.calls_per_director = 3, .offered_load = 3, .absence = 3});
  check_fleets("shares of less than a call", {.calls_per_director = 0.4, .offered_load = 10, .absence = 4});
  // Just before all directors have a trial, each with a share of one call.
  const FleetPlan trials_at_once = {
      .directors = 900, .calls_per_director = 1.45, .offered_load = 20, .absence = 2.4};
  for (const auto& [node, worst_ratio] : worst_ratios(trials_at_once))
    CHECK_MESSAGE(worst_ratio <= 1, "at once: " << node);
}

TEST_CASE("slow start: only fills that are known not to have taken place are refunded") {
  check_fleets("no notes", {.answer_details = "none"});
  check_fleets("copies renewed behind hits", {.offered_load = 4, .hits = 0.8, .refreshes = true});
}
