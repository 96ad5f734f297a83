// Slow start over a whole fleet: many directors, each with its own seed, in one process under a given clock.
// Counted is every call that reaches a node in slow start, also rejected ones and fills by way of a cache; no
// span may hold more than the settings allow all directors together (docs/design.md, "Slow start").
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

constexpr Seconds kSpan = 2;          // Contract.FallS of DirectorFixture::usual_settings
constexpr Seconds kCacheWarms = 60;   // Contract.ColdS
constexpr Seconds kParentWarms = 60;  // FamilyInfo.ParentWarmsInS
constexpr double kCacheFrom = 0.2;    // Contract.StartCapacity
constexpr double kParentFrom = 0.1;   // FamilyInfo.ParentColdFrom
constexpr double kLimit = 2;          // Contract.FallMultiple and FamilyInfo.ParentLimitFactor
constexpr double kSizeKb = 100;       // of each object: all work is mean work
constexpr Seconds kCallWork = 0.1;    // s of sending, at FamilyInfo.StreamKbPerS of 1000
constexpr Seconds kStart = 120;       // on the given clock: when the observed nodes start
constexpr Seconds kEnd = kStart + 4.5;
double bound(double calls) {
  return calls < 30 ? calls + 3 * std::sqrt(calls) + 3 : calls + 2 * std::sqrt(calls) + 2;
}

struct Plan {
  int directors = 4;
  std::uint64_t seed = 1;
  double calls_each = 3;        // of a director's equal part at a cache's start, before any reserve
  double offered = 2;           // x what the starting nodes may be sent
  bool one_has_most = false;    // nine tenths of the requests come to one director
  int restarts = 0;             // times that a third of the directors restart, 0.4 s apart
  bool starts_again = false;    // the nodes restart once more within their slow start
  bool entries_repeat = false;  // the list tells the same entries again and again
  Seconds away = 0;             // above 0: the nodes vanish for so long, and the list tells nothing of it
  const char* tells = "all";    // FamilyInfo.Tells
  double hits = 0.3;            // share of the calls to a cache that need no fill
  bool renews = false;          // hits are renewed from the source behind the answer
};

struct NodeState {
  bool up = true;
  Seconds launched = 0;
  double weight = 0;
  std::deque<Seconds> calls;  // in the last span
  double worst = 0;           // largest count over its bound
};

class Fleet;

// One process: a director and what it wants done.
class Host : public Actions {
 public:
  Host(Fleet& fleet, int place, int life);
  void attempt(const RequestId& request, const NodeId& node, const FillOptions& fill, Seconds) override;
  void cancel(const RequestId&, AttemptNumber) override {}  // the node answers all the same
  void reject(const RequestId& request, Seconds) override { open.erase(request.value); }
  void fail(const RequestId& request) override { open.erase(request.value); }
  void set_timer(Seconds at, const TimerToken& token) override;
  void probe(const NodeId&) override {}
  void watch_list() override {}
  void log(const std::string&) override {}
  void ended(const RequestId& request, int number, const NodeId& node, Result result, AnswerDetail note,
             Seconds sent);

  std::set<std::string> open;
  std::map<std::string, int> attempts;
  std::unique_ptr<Director> director;

 private:
  Fleet& fleet_;
  int place_;
};

class Fleet {
 public:
  explicit Fleet(const Plan& plan) : now(kStart - (plan.away + 2)), plan_(plan), chance_(plan.seed) {
    // So many seconds of sending in a span are the share of one director, times all directors.
    const double calls = plan.calls_each * plan.directors;
    cache_weight_ = calls * kCallWork / (kLimit * kCacheFrom * kSpan);
    for (const char* id : {"c1", "c2", "c3"}) nodes_[id].weight = cache_weight_;
    for (const char* id : {"P1", "P2"}) nodes_[id].weight = cache_weight_;
    nodes_["O"].weight = 1000 * cache_weight_;
    for (int d = 0; d < plan.directors; ++d) {
      lives_.push_back(0), hosts_.emplace_back();
      start(d);
    }
    plan_faults();
    next_request(now);
  }

  void play() {
    while (!events_.empty() && events_.top().at < kEnd) {
      const Event event = events_.top();
      events_.pop();
      now = event.at;
      event.act();
    }
  }
  double worst(const std::string& id) const { return nodes_.at(id).worst; }

  // Runs at that time if the process that asked for it is still there.
  void later(int place, Seconds at, std::function<void()> act) {
    const int life = lives_[place];
    run_at(at, [this, place, life, act = std::move(act)] {
      if (lives_[place] == life) act();
    });
  }
  // A call on its way: it reaches the node even if its director is gone by then.
  void send(int place, const RequestId& request, int number, const NodeId& node, const NodeId& source) {
    const Seconds sent = now;
    run_at(now + draw(0.0005, 0.002), [=, this] {
      const auto [result, note] = call(node.value, source.value);
      later(place, now + draw(0.001, chance() < 0.05 ? 1.5 : 0.02),
            [=, this] { hosts_[place]->ended(request, number, node, result, note, sent); });
    });
  }

  Settings settings() const {
    Settings settings = DirectorFixture::usual_settings();
    const std::string directors = std::to_string(plan_.directors);
    settings["Balancers"] = directors, settings["FamilyInfo.SeatsByZone"] = "0,0," + directors + ",0";
    settings["Contract.ColdS"] = DirectorFixture::text(kCacheWarms);
    settings["FamilyInfo.ParentWarmsInS"] = DirectorFixture::text(kParentWarms);
    settings["FamilyInfo.Tells"] = plan_.tells,
    settings["FamilyInfo.GoodForS"] = plan_.renews ? "8,0,0,0" : "0,0,0,0";
    return settings;
  }

  Seconds now;

 private:
  struct Event {
    Seconds at;
    std::uint64_t order;
    std::function<void()> act;
    bool operator<(const Event& other) const { return std::tie(other.at, other.order) < std::tie(at, order); }
  };

  double draw(double from, double to) { return std::uniform_real_distribution<double>(from, to)(chance_); }
  double chance() { return draw(0, 1); }
  void run_at(Seconds at, std::function<void()> act) { events_.push({at, ++order_, std::move(act)}); }

  void start(int place) {
    ++lives_[place];
    hosts_[place] = std::make_unique<Host>(*this, place, lives_[place]);
    tell(place, ListCompleteness::kFull, EndpointState::kRunning, {"c1", "c2", "c3", "P1", "P2", "O"});
  }
  void tell(int place, ListCompleteness scope, EndpointState endpoint_state,
            const std::vector<std::string>& ids) {
    Director& director = *hosts_[place]->director;
    director.list_starts(now, scope);
    for (const std::string& id : ids) {
      const int kind = id[0] == 'P' ? 1 : id[0] == 'O' ? 2 : 0;
      director.list_entry(now, {id}, {kind == 0 ? 2 : 0}, {kind}, {1}, endpoint_state, nodes_.at(id).weight,
                          plan_.away > 0 ? 0 : nodes_.at(id).launched);
    }
    director.list_ends(now);
  }
  void tell_all(EndpointState endpoint_state) {
    for (int d = 0; d < plan_.directors; ++d)
      later(d, now + draw(0.001, 0.03),
            [=, this] { tell(d, ListCompleteness::kChanges, endpoint_state, kObserved); });
  }
  void stop_observed() {
    for (const auto& id : kObserved) nodes_.at(id).up = false;
    if (plan_.away <= 0) tell_all(EndpointState::kRemoved);
  }
  void start_observed() {
    for (const auto& id : kObserved) {
      NodeState& node = nodes_.at(id);
      node.up = true, node.launched = now;
      node.calls.clear();
    }
    if (plan_.away <= 0) tell_all(EndpointState::kRunning);
  }
  void plan_faults() {
    run_at(kStart - std::max(plan_.away, 0.5), [this] { stop_observed(); });
    run_at(kStart, [this] { start_observed(); });
    if (plan_.starts_again) {
      run_at(kStart + 1.2, [this] { stop_observed(); });
      run_at(kStart + 1.6, [this] { start_observed(); });
    }
    for (int i = 0; plan_.entries_repeat && i < 20; ++i)
      run_at(kStart + 0.1 + 0.3 * i, [this] { tell_all(EndpointState::kRunning); });
    // At the worst moment: shares have just been sent, and are sent again and again before a span is over.
    for (int i = 0; i < plan_.restarts; ++i)
      run_at(kStart + 0.5 + 0.4 * i, [this] {
        for (int d = 0; d < (plan_.directors + 2) / 3; ++d) start(d);
      });
  }
  void next_request(Seconds at) {
    // Each of three caches gets a third of the requests.
    const double limit = kLimit * kCacheFrom * cache_weight_ / kCallWork;
    const double rate = 3 * plan_.offered * limit;
    run_at(at + std::exponential_distribution<double>(rate)(chance_), [this] {
      next_request(now);
      const int any = static_cast<int>(chance() * plan_.directors);
      const int place = plan_.one_has_most && chance() < 0.9 ? 0 : any;
      const std::string id = std::to_string(++requests_);
      hosts_[place]->open.insert(id);
      hosts_[place]->director->request_arrived(now, {id}, {0}, {0}, {requests_}, {0}, {0}, now + 5, kSizeKb,
                                               false, false);
    });
  }

  void count(const std::string& id) {
    NodeState& node = nodes_.at(id);
    const bool parent = id[0] == 'P';
    const Seconds warms = parent ? kParentWarms : kCacheWarms;
    const double from = parent ? kParentFrom : kCacheFrom;
    if (!node.up || node.launched <= 0 || now - node.launched >= warms) return;
    node.calls.push_back(now);
    while (node.calls.front() <= now - kSpan) node.calls.pop_front();
    const double capacity = node.weight * (from + (1 - from) * (now - node.launched) / warms);
    const double most = bound(kLimit * capacity * kSpan / kCallWork);
    node.worst = std::max(node.worst, static_cast<double>(node.calls.size()) / most);
  }
  // What comes of a call to a cache and, where it lacks the object, of the fill.
  std::pair<Result, AnswerDetail> call(const std::string& id, const std::string& source) {
    NodeState& node = nodes_.at(id);
    if (!node.up) return {Result::kUnreachable, AnswerDetail::kNone};
    if (id[0] == 'O') return {Result::kCompleted, AnswerDetail::kHit};
    count(id);
    if (chance() < 0.1) return {Result::kRejected, AnswerDetail::kNone};
    if (source == id) return {Result::kAbsent, AnswerDetail::kNone};
    const bool tells_notes = std::string(plan_.tells) != "none";
    if (chance() < plan_.hits) {
      if (plan_.renews) count(source);
      return {Result::kCompleted, tells_notes ? AnswerDetail::kHit : AnswerDetail::kNone};
    }
    if (!nodes_.at(source).up) return {Result::kError, AnswerDetail::kSourceLost};
    count(source);
    if (source[0] == 'c' && chance() < 0.5) return {Result::kAbsent, AnswerDetail::kSourceMissed};
    return {Result::kCompleted, tells_notes ? AnswerDetail::kFilled : AnswerDetail::kNone};
  }

  const std::vector<std::string> kObserved = {"c1", "c2", "P1"};
  Plan plan_;
  std::mt19937_64 chance_;
  double cache_weight_ = 0;
  std::map<std::string, NodeState> nodes_;
  std::vector<int> lives_;
  std::vector<std::unique_ptr<Host>> hosts_;
  std::priority_queue<Event> events_;
  std::uint64_t order_ = 0, requests_ = 0;
};

Host::Host(Fleet& fleet, int place, int life) : fleet_(fleet), place_(place) {
  Settings settings = fleet.settings();
  const auto seed = static_cast<std::uint64_t>(1000 * place + life);
  director = std::make_unique<Director>(fleet.now, settings, seed, *this);
}
void Host::attempt(const RequestId& request, const NodeId& node, const FillOptions& fill, Seconds) {
  fleet_.send(place_, request, attempts[request.value]++, node, fill.source);
}
void Host::set_timer(Seconds at, const TimerToken& token) {
  fleet_.later(place_, at, [this, token] { director->timer_fired(fleet_.now, token); });
}
void Host::ended(const RequestId& request, int number, const NodeId& node, Result result, AnswerDetail note,
                 Seconds sent) {
  const bool was_open = open.contains(request.value);
  if (result == Result::kCompleted) open.erase(request.value);
  const Seconds spent = fleet_.now - sent;
  director->attempt_ended(fleet_.now, request, {number}, node, result, note, spent / 4, spent, {},
                          !was_open || result == Result::kCompleted);
}

// The largest count at each of the starting nodes over its bound.
std::map<std::string, double> worst_of(const Plan& plan) {
  Fleet fleet(plan);
  fleet.play();
  std::map<std::string, double> worst;
  for (const char* id : {"c1", "c2", "P1"}) worst[id] = fleet.worst(id);
  return worst;
}

void check_fleets(const std::string& what, Plan plan) {
  for (const auto& [directors, seeds] : std::vector<std::pair<int, int>>{{1, 8}, {4, 8}, {30, 4}, {300, 1}})
    for (int seed = 1; seed <= seeds; ++seed) {
      plan.directors = directors, plan.seed = static_cast<std::uint64_t>(seed);
      for (const auto& [node, worst] : worst_of(plan))
        CHECK_MESSAGE(worst <= 1, what << ": " << directors << " directors, seed " << seed << ", " << node);
    }
}

}  // namespace

TEST_CASE("slow start: all directors together, whatever the traffic") {
  check_fleets("even", {});
  check_fleets("one has most", {.one_has_most = true});
  check_fleets("less than a call each", {.calls_each = 0.6});
  check_fleets("repeated", {.entries_repeat = true});
  check_fleets("starts again", {.starts_again = true, .entries_repeat = true});
}

TEST_CASE("slow start: a third of the directors restarts within the span") {
  check_fleets("once", {.restarts = 1});
  check_fleets("four times", {.calls_each = 6, .offered = 4, .restarts = 4});
  for (const auto& [node, worst] : worst_of({.directors = 900, .calls_each = 4, .offered = 3, .restarts = 4}))
    CHECK_MESSAGE(worst <= 1, "900 directors, " << node);
}

TEST_CASE("slow start: a director that restarts does not send its share again") {
  DirectorFixture fixture;
  fixture.advance(1);
  fixture.list(ListCompleteness::kCached, "c1 P1 O");
  const Seconds launched = fixture.now;
  fixture.list(ListCompleteness::kChanges, "c1", EndpointState::kRunning, launched);
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
  fixture.list(ListCompleteness::kFull, "c1", EndpointState::kRunning, launched);
  fixture.list(ListCompleteness::kChanges, "P1 O");
  CHECK(calls_within(kSpan) == 0);
  CHECK(calls_within(1) > 0);
  // What starts later had nothing from it before.
  fixture.director = std::make_unique<Director>(fixture.now, DirectorFixture::usual_settings(), 9, fixture);
  fixture.list(ListCompleteness::kFull, "c1", EndpointState::kRunning, launched);
  fixture.list(ListCompleteness::kChanges, "P1 O");
  fixture.advance(0.3);
  fixture.list(ListCompleteness::kChanges, "c1", EndpointState::kRunning, fixture.now);
  CHECK(calls_within(1) > 0);
}

TEST_CASE("slow start: a director that restarts and hears late of a start does not take it for a later one") {
  for (const bool after_the_director : {false, true}) {
    CAPTURE(after_the_director);
    DirectorFixture fixture;
    fixture.advance(10);
    const Seconds began = fixture.now;
    fixture.director = std::make_unique<Director>(began, DirectorFixture::usual_settings(), 8, fixture);
    fixture.list(ListCompleteness::kFull, "P1 O");
    fixture.advance(0.5);
    // The ramp counts from when the start was heard of; whether the share may be spent, by the list's stamp.
    const Seconds stamped = after_the_director ? began + 0.1 : began - 1;
    fixture.director->list_starts(fixture.now, ListCompleteness::kChanges);
    fixture.director->list_entry(fixture.now, {"c1"}, {2}, {0}, {1}, EndpointState::kRunning, 6, fixture.now,
                                 stamped);
    fixture.director->list_ends(fixture.now);
    fixture.request("1", 1);
    CHECK(std::count(fixture.node_of["1"].begin(), fixture.node_of["1"].end(), "c1") ==
          (after_the_director ? 1 : 0));
  }
}

TEST_CASE("slow start: a node that was left out comes back unseen by the list") {
  check_fleets("shares of several calls", {.calls_each = 3, .offered = 3, .away = 3});
  check_fleets("shares of less than a call", {.calls_each = 0.4, .offered = 10, .away = 4});
  // Just before all directors have a trial, each with a share of one call.
  const Plan trials_at_once = {.directors = 900, .calls_each = 1.45, .offered = 20, .away = 2.4};
  for (const auto& [node, worst] : worst_of(trials_at_once)) CHECK_MESSAGE(worst <= 1, "at once: " << node);
}

TEST_CASE("slow start: only fills that are known not to have been made are taken off") {
  check_fleets("no notes", {.tells = "none"});
  check_fleets("copies renewed behind hits", {.offered = 4, .hits = 0.8, .renews = true});
}
