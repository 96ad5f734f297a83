#include "lab/world/director_policy.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cstdlib>
#include <map>
#include <random>
#include <vector>

namespace hareramp::lab {

namespace {

// Forwards each call to the production Director.
class ProductionPolicy : public DirectorPolicy {
 public:
  ProductionPolicy(Seconds now, const Settings& settings, std::uint64_t seed, Actions& actions)
      : director_(now, settings, seed, actions) {}
  void list_starts(Seconds now, ListCompleteness scope) override { director_.list_starts(now, scope); }
  void list_entry(Seconds now, const NodeId& node, ZoneIndex zone, KindIndex kind, CellIndex cell,
                  EndpointState endpoint_state, double weight, Seconds launched) override {
    director_.list_entry(now, node, zone, kind, cell, endpoint_state, weight, launched);
  }
  void list_ends(Seconds now) override { director_.list_ends(now); }
  void request_arrived(Seconds now, const RequestId& request, RequestClassIndex request_class,
                       ObjectId object, PartNumber part, GroupId group, Seconds deadline, double size_kb,
                       bool resent, bool is_write) override {
    director_.request_arrived(now, request, request_class, {0}, object, part, group, deadline, size_kb,
                              resent, is_write);
  }
  void client_disconnected(Seconds now, const RequestId& request) override {
    director_.client_disconnected(now, request);
  }
  void attempt_ended(Seconds now, const RequestId& request, AttemptNumber number, const NodeId& node,
                     Result result, AnswerDetail detail, Seconds waited, Seconds spent,
                     bool request_over) override {
    director_.attempt_ended(now, request, number, node, result, detail, waited, spent, {}, request_over);
  }
  void object_purged(Seconds now, ObjectId object, Seconds age) override {
    director_.object_purged(now, object, age);
  }
  void group_purged(Seconds now, GroupId group, Seconds age) override {
    director_.group_purged(now, group, age);
  }
  void change_stream_lost(Seconds now) override {
    director_.change_stream_lost(now, StreamLoss::kBroken, now, now);
  }
  void change_stream_followed(Seconds now) override { director_.change_stream_followed(now, now); }
  void timer_fired(Seconds now, const TimerToken& token) override { director_.timer_fired(now, token); }

 private:
  Director director_;
};

// Common ways of choosing a cache, with a parent chosen by rendezvous hashing as source and up to two retries
// on other caches for a request that may run again. They keep the rules on effects and purges, and have no
// work limit for nodes that warm up.
class BaselinePolicy : public DirectorPolicy {
 public:
  enum class Kind { kRandom, kHash, kLeastOutstanding, kTwoChoices, kTextbook };
  BaselinePolicy(Kind kind, const Settings& settings, std::uint64_t seed, Actions& actions)
      : kind_(kind), settings_(settings), actions_(actions), rng_(seed) {
    zone_ = std::atoi(settings_.at("Locality").c_str());
  }

  void list_starts(Seconds, ListCompleteness) override {}
  void list_entry(Seconds, const NodeId& node, ZoneIndex zone, KindIndex kind, CellIndex,
                  EndpointState endpoint_state, double, Seconds) override {
    auto& entry = nodes_[node];
    entry.zone = zone.value, entry.kind = kind.value;
    entry.usable = endpoint_state == EndpointState::kRunning;
    if (endpoint_state == EndpointState::kRemoved) nodes_.erase(node);
  }
  void list_ends(Seconds) override {}

  void request_arrived(Seconds now, const RequestId& id, RequestClassIndex request_class, ObjectId object,
                       PartNumber part, GroupId group, Seconds deadline, double, bool,
                       bool is_write) override {
    Request request;
    request.object = object.value, request.unit = object.value * 31 + static_cast<std::uint64_t>(part.value);
    request.group = group.value, request.deadline = deadline, request.write = is_write;
    request.retriable = class_setting("Effect", request_class.value) == "retryable";
    request.fresh_lifetime = std::atof(setting_entry("FamilyInfo.GoodForS", request_class.value).c_str());
    requests_[id] = request;
    send_attempt(now, id);
  }
  void client_disconnected(Seconds, const RequestId& id) override { requests_.erase(id); }
  void attempt_ended(Seconds now, const RequestId& id, AttemptNumber, const NodeId& node, Result result,
                     AnswerDetail, Seconds, Seconds, bool request_over) override {
    --outstanding_[node];
    const auto found = requests_.find(id);
    if (found == requests_.end()) return;
    if (request_over || result == Result::kCompleted) {
      requests_.erase(found);
      return;
    }
    const bool never_ran = result == Result::kRejected || result == Result::kUnreachable ||
                           result == Result::kNotSent || result == Result::kAbsent;
    found->second.may_have_run = found->second.may_have_run || !never_ran;
    found->second.tried.push_back(node);
    send_attempt(now, id);
  }
  void object_purged(Seconds now, ObjectId object, Seconds age) override {
    purged_objects_[object.value] = now - age;
  }
  void group_purged(Seconds now, GroupId group, Seconds age) override {
    purged_groups_[group.value] = now - age;
  }
  void timer_fired(Seconds, const TimerToken&) override {}

 private:
  struct Node {
    int zone = -1, kind = -1;
    bool usable = false;
  };
  struct Request {
    std::uint64_t object = 0, unit = 0;
    std::int64_t group = 0;
    Seconds deadline = 0, fresh_lifetime = 0;
    bool write = false, retriable = false, may_have_run = false;
    std::vector<NodeId> tried;
  };
  std::string class_setting(const char* name, int request_class) const {
    const auto found = settings_.find("RequestClasses." + std::to_string(request_class) + "." + name);
    return found == settings_.end() ? "" : found->second;
  }
  std::string setting_entry(const char* name, int index) const {
    const auto found = settings_.find(name);
    if (found == settings_.end()) return "0";
    std::size_t begin = 0;
    for (; index > 0 && begin != std::string::npos; --index) begin = found->second.find(',', begin) + 1;
    return found->second.substr(begin, found->second.find(',', begin) - begin);
  }
  static std::uint64_t rendezvous_hash(const NodeId& node, std::uint64_t key) {
    return XXH3_64bits_withSeed(node.value.data(), node.value.size(), key);
  }
  // The usable node of a kind with the highest rendezvous hash, of caches only those of this director's zone;
  // empty if there is none.
  NodeId highest_hash(int kind, std::uint64_t key, const std::vector<NodeId>& excluded) const {
    NodeId best;
    std::uint64_t best_hash = 0;
    for (const auto& [id, node] : nodes_) {
      if (!node.usable || node.kind != kind || (kind == 0 && node.zone != zone_)) continue;
      if (std::find(excluded.begin(), excluded.end(), id) != excluded.end()) continue;
      const std::uint64_t hash = rendezvous_hash(id, key);
      if (best.value.empty() || hash > best_hash) best = id, best_hash = hash;
    }
    return best;
  }
  NodeId choose_cache(const Request& request) {
    std::vector<NodeId> candidates;
    for (const auto& [id, node] : nodes_)
      if (node.usable && node.kind == 0 && node.zone == zone_ &&
          std::find(request.tried.begin(), request.tried.end(), id) == request.tried.end())
        candidates.push_back(id);
    if (candidates.empty()) return {};
    const auto random_node = [&] {
      return candidates[std::uniform_int_distribution<std::size_t>(0, candidates.size() - 1)(rng_)];
    };
    switch (kind_) {
      case Kind::kRandom:
        return random_node();
      case Kind::kLeastOutstanding:
        return *std::min_element(candidates.begin(), candidates.end(), [&](const NodeId& a, const NodeId& b) {
          return outstanding_[a] < outstanding_[b];
        });
      case Kind::kTwoChoices: {
        const NodeId first = random_node(), second = random_node();
        return outstanding_[second] < outstanding_[first] ? second : first;
      }
      default:
        return highest_hash(0, request.unit, request.tried);
    }
  }
  void send_attempt(Seconds now, const RequestId& id) {
    Request& request = requests_[id];
    const bool may_send = request.retriable || !request.may_have_run;
    const NodeId origin = highest_hash(2, 0, {});
    NodeId node, source;
    if (may_send && request.tried.size() < 3 && now < request.deadline) {
      node = request.write ? origin : choose_cache(request);
      source = request.write                                      ? node
               : kind_ == Kind::kTextbook || kind_ == Kind::kHash ? highest_hash(1, request.object, {})
                                                                  : highest_hash(1, request.unit, {});
      if (source.value.empty()) source = origin;
    }
    if (node.value.empty()) {
      const bool may_run_again = request.retriable || !request.may_have_run;
      requests_.erase(id);
      return may_run_again ? actions_.reject(id, 1) : actions_.fail(id);
    }
    FillOptions fill;
    fill.source = source;
    fill.rank = request.write ? 0 : 1;
    fill.join = true;
    fill.max_copy_age = request.fresh_lifetime;
    const auto limit_copy_age = [&](Seconds purged_at) {
      const Seconds age = std::max(now - purged_at, 1e-5);
      fill.max_copy_age = fill.max_copy_age > 0 ? std::min(fill.max_copy_age, age) : age;
    };
    if (const auto found = purged_objects_.find(request.object); found != purged_objects_.end())
      limit_copy_age(found->second);
    if (const auto found = purged_groups_.find(request.group); found != purged_groups_.end())
      limit_copy_age(found->second);
    ++outstanding_[node];
    actions_.attempt(id, node, fill, request.retriable ? (request.deadline - now) / 2 : 0);
  }

  Kind kind_;
  Settings settings_;
  Actions& actions_;
  std::mt19937_64 rng_;
  int zone_ = 0;
  std::map<NodeId, Node> nodes_;
  std::map<NodeId, int> outstanding_;
  std::map<RequestId, Request> requests_;
  std::map<std::uint64_t, Seconds> purged_objects_;
  std::map<std::int64_t, Seconds> purged_groups_;
};

}  // namespace

std::unique_ptr<DirectorPolicy> make_director_policy(const std::string& kind, Seconds now,
                                                     const Settings& settings, std::uint64_t seed,
                                                     Actions& actions) {
  if (kind == "design") return std::make_unique<ProductionPolicy>(now, settings, seed, actions);
  const std::map<std::string, BaselinePolicy::Kind> kinds = {
      {"random", BaselinePolicy::Kind::kRandom},
      {"hash", BaselinePolicy::Kind::kHash},
      {"least", BaselinePolicy::Kind::kLeastOutstanding},
      {"two", BaselinePolicy::Kind::kTwoChoices},
      {"textbook", BaselinePolicy::Kind::kTextbook}};
  const auto found = kinds.find(kind);
  if (found == kinds.end()) return nullptr;
  return std::make_unique<BaselinePolicy>(found->second, settings, seed, actions);
}

}  // namespace hareramp::lab
