#include "lab/world/judge.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cstdlib>
#include <map>
#include <random>
#include <vector>

namespace hareramp::lab {

namespace {

class Design : public Judge {
 public:
  Design(Seconds now, const Settings& settings, std::uint64_t seed, Actions& actions)
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
                     Result result, AnswerDetail note, Seconds waited, Seconds spent,
                     bool request_over) override {
    director_.attempt_ended(now, request, number, node, result, note, waited, spent, {}, request_over);
  }
  void object_purged(Seconds now, ObjectId object, Seconds age) override {
    director_.object_purged(now, object, age);
  }
  void group_purged(Seconds now, GroupId group, Seconds age) override {
    director_.group_purged(now, group, age);
  }
  void timer_fired(Seconds now, const TimerToken& token) override { director_.timer_fired(now, token); }

 private:
  Director director_;
};

// The usual ways of choosing a cache, with the object's first listed parent as source and one retry elsewhere
// for what may run again. They keep the rules on effects and purges, and no budget for cold nodes.
class Baseline : public Judge {
 public:
  enum class Kind { kRandom, kHash, kLeast, kTwo, kTextbook };
  Baseline(Kind kind, const Settings& settings, std::uint64_t seed, Actions& actions)
      : kind_(kind), settings_(settings), actions_(actions), chance_(seed) {
    here_ = std::atoi(settings_.at("Locality").c_str());
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
    request.retriable = item("Effect", request_class.value) == "retryable";
    request.fresh = std::atof(list_item("FamilyInfo.GoodForS", request_class.value).c_str());
    requests_[id] = request;
    try_once(now, id);
  }
  void client_disconnected(Seconds, const RequestId& id) override { requests_.erase(id); }
  void attempt_ended(Seconds now, const RequestId& id, AttemptNumber, const NodeId& node, Result result,
                     AnswerDetail, Seconds, Seconds, bool request_over) override {
    --out_[node];
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
    try_once(now, id);
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
    Seconds deadline = 0, fresh = 0;
    bool write = false, retriable = false, may_have_run = false;
    std::vector<NodeId> tried;
  };
  std::string item(const char* what, int request_class) const {
    const auto found = settings_.find("RequestClasses." + std::to_string(request_class) + "." + what);
    return found == settings_.end() ? "" : found->second;
  }
  std::string list_item(const char* name, int place) const {
    const auto found = settings_.find(name);
    if (found == settings_.end()) return "0";
    std::size_t from = 0;
    for (; place > 0 && from != std::string::npos; --place) from = found->second.find(',', from) + 1;
    return found->second.substr(from, found->second.find(',', from) - from);
  }
  static std::uint64_t score(const NodeId& node, std::uint64_t key) {
    return XXH3_64bits_withSeed(node.value.data(), node.value.size(), key);
  }
  // The best by hash among those of a kind, or nobody.
  NodeId by_hash(int kind, std::uint64_t key, const std::vector<NodeId>& without) const {
    NodeId best;
    std::uint64_t most = 0;
    for (const auto& [id, node] : nodes_) {
      if (!node.usable || node.kind != kind || (kind == 0 && node.zone != here_)) continue;
      if (std::find(without.begin(), without.end(), id) != without.end()) continue;
      const std::uint64_t mine = score(id, key);
      if (best.value.empty() || mine > most) best = id, most = mine;
    }
    return best;
  }
  NodeId choose_cache(const Request& request) {
    std::vector<NodeId> all;
    for (const auto& [id, node] : nodes_)
      if (node.usable && node.kind == 0 && node.zone == here_ &&
          std::find(request.tried.begin(), request.tried.end(), id) == request.tried.end())
        all.push_back(id);
    if (all.empty()) return {};
    const auto any = [&] {
      return all[std::uniform_int_distribution<std::size_t>(0, all.size() - 1)(chance_)];
    };
    switch (kind_) {
      case Kind::kRandom:
        return any();
      case Kind::kLeast:
        return *std::min_element(all.begin(), all.end(),
                                 [&](const NodeId& a, const NodeId& b) { return out_[a] < out_[b]; });
      case Kind::kTwo: {
        const NodeId one = any(), two = any();
        return out_[two] < out_[one] ? two : one;
      }
      default:
        return by_hash(0, request.unit, request.tried);
    }
  }
  void try_once(Seconds now, const RequestId& id) {
    Request& request = requests_[id];
    const bool may = request.retriable || !request.may_have_run;
    const NodeId origin = by_hash(2, 0, {});
    NodeId node, source;
    if (may && request.tried.size() < 3 && now < request.deadline) {
      node = request.write ? origin : choose_cache(request);
      source = request.write                                      ? node
               : kind_ == Kind::kTextbook || kind_ == Kind::kHash ? by_hash(1, request.object, {})
                                                                  : by_hash(1, request.unit, {});
      if (source.value.empty()) source = origin;
    }
    if (node.value.empty()) {
      const bool harmless = request.retriable || !request.may_have_run;
      requests_.erase(id);
      return harmless ? actions_.reject(id, 1) : actions_.fail(id);
    }
    FillOptions fill;
    fill.source = source;
    fill.rank = request.write ? 0 : 1;
    fill.join = true;
    fill.max_copy_age = request.fresh;
    const auto bound = [&](Seconds at) {
      const Seconds since = std::max(now - at, 1e-5);
      fill.max_copy_age = fill.max_copy_age > 0 ? std::min(fill.max_copy_age, since) : since;
    };
    if (const auto found = purged_objects_.find(request.object); found != purged_objects_.end())
      bound(found->second);
    if (const auto found = purged_groups_.find(request.group); found != purged_groups_.end())
      bound(found->second);
    ++out_[node];
    actions_.attempt(id, node, fill, request.retriable ? (request.deadline - now) / 2 : 0);
  }

  Kind kind_;
  Settings settings_;
  Actions& actions_;
  std::mt19937_64 chance_;
  int here_ = 0;
  std::map<NodeId, Node> nodes_;
  std::map<NodeId, int> out_;
  std::map<RequestId, Request> requests_;
  std::map<std::uint64_t, Seconds> purged_objects_;
  std::map<std::int64_t, Seconds> purged_groups_;
};

}  // namespace

std::unique_ptr<Judge> make_judge(const std::string& kind, Seconds now, const Settings& settings,
                                  std::uint64_t seed, Actions& actions) {
  if (kind == "design") return std::make_unique<Design>(now, settings, seed, actions);
  const std::map<std::string, Baseline::Kind> kinds = {{"random", Baseline::Kind::kRandom},
                                                       {"hash", Baseline::Kind::kHash},
                                                       {"least", Baseline::Kind::kLeast},
                                                       {"two", Baseline::Kind::kTwo},
                                                       {"textbook", Baseline::Kind::kTextbook}};
  const auto found = kinds.find(kind);
  if (found == kinds.end()) return nullptr;
  return std::make_unique<Baseline>(found->second, settings, seed, actions);
}

}  // namespace hareramp::lab
