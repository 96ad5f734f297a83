#include "routing/director_actor.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace hareramp::routing {

using transport::Scheduler;
using transport::Task;

namespace {
// s between looks whether what goes first after the process stood still is over.
constexpr Seconds kHoldLook = 0.005;
// s: a purge counts as just issued. Its stamp is of the issuer's clock, and either clock may have been
// stepped: an age taken from the two could say that a purge is long over while copies from before it are
// still held.
constexpr Seconds kPurgeAge = 0;
}  // namespace

// A change of the list, read straight into calls of the director; peers come and go with it.
class DirectorActor::Changes : public protocol::ChangeHandler {
 public:
  Changes(DirectorActor& module, bool known) : module_(module), known_(known) {}

  void list_starts(bool whole) override {
    whole_ = whole;
    module_.start_times_.list_starts(
        known_ ? policy::ListSource::kKnownBeforeStart : policy::ListSource::kChangeStream, whole);
    module_.director_->list_starts(now(), whole ? known_ ? ListCompleteness::kCached : ListCompleteness::kFull
                                                : ListCompleteness::kChanges);
  }
  void list_entry(const NodeId& node, const std::string& address, const std::string& zone,
                  const std::string& kind, CellIndex cell, EndpointState endpoint_state, double weight,
                  double started_unix_ms) override {
    const auto place = transport::Address::parse(address);
    if (endpoint_state != EndpointState::kRemoved && !place) return skipped("the address '" + address + "'");
    if (endpoint_state == EndpointState::kRemoved) {
      retire(node);
    } else {
      listed_.insert(node);
      connect(node, *place, kind);
    }
    // The director's clock is near Unix time by a base that was fixed at its start: later steps move nothing.
    const Seconds started = endpoint_state == EndpointState::kRemoved
                                ? 0
                                : module_.start_times_.started(now(), node, started_unix_ms / 1000);
    module_.director_->list_entry(now(), node, {index(module_.names_.zones, zone)},
                                  {index(module_.names_.kinds, kind)}, cell, endpoint_state, weight, started,
                                  started_unix_ms / 1000);
  }
  void list_ends() override {
    if (whole_) {
      std::vector<NodeId> missing;
      for (const auto& [node, peer] : module_.upstream_nodes_)
        if (!listed_.contains(node)) missing.push_back(node);
      for (const NodeId& node : missing) retire(node);
    }
    module_.director_->list_ends(now());
  }
  void object_purged(ObjectId object, double) override {
    ++module_.counters_.purges;
    module_.director_->object_purged(now(), object, kPurgeAge);
  }
  void group_purged(GroupId group, double) override {
    ++module_.counters_.purges;
    module_.director_->group_purged(now(), group, kPurgeAge);
  }
  void skipped(const std::string& what) override {
    ++module_.counters_.events_skipped;
    module_.log_.warning("change_skipped", "change log: skipped {}", what);
  }

  void unknown_field(std::string_view) override { ++module_.counters_.unknown_fields; }

 private:
  Seconds now() const { return module_.clock_.now(); }
  static int index(const std::vector<std::string>& names, const std::string& name) {
    const auto found = std::find(names.begin(), names.end(), name);
    return found == names.end() ? -1 : static_cast<int>(found - names.begin());
  }
  ipfix::NodeRole node_role_of(const std::string& kind) const {
    const std::string place = std::to_string(index(module_.names_.kinds, kind));
    return place == module_.origin_kind_   ? ipfix::NodeRole::kOrigin
           : place == module_.parent_kind_ ? ipfix::NodeRole::kParent
                                           : ipfix::NodeRole::kEdge;
  }
  void connect(const NodeId& node, transport::Address address, const std::string& kind) {
    auto& peer = module_.upstream_nodes_[node];
    if (!peer) {
      peer = std::make_shared<UpstreamNode>(module_.scheduler_, module_.limits_, module_.counters_,
                                            module_.links_, node, address, module_, module_.flows_,
                                            node_role_of(kind));
      peer->start();
    } else if (!(module_.addresses_[node] == address)) {
      peer->moved(address);
    }
    module_.addresses_[node] = address;
  }
  void retire(const NodeId& node) {
    module_.start_times_.forget(node);
    const auto found = module_.upstream_nodes_.find(node);
    if (found == module_.upstream_nodes_.end()) return;
    found->second->gone();
    module_.upstream_nodes_.erase(found);
    module_.addresses_.erase(node);
  }

  DirectorActor& module_;
  bool known_, whole_ = false;
  std::set<NodeId> listed_;
};

DirectorActor::DirectorActor(Scheduler& scheduler, const Limits& limits, Counters& counters, Log& log,
                             Names names, Settings settings, std::uint64_t seed, flow::Exporter* flows)
    : scheduler_(scheduler),
      limits_(limits),
      counters_(counters),
      log_(log),
      names_(std::move(names)),
      flows_(flows),
      parent_kind_(settings["FamilyInfo.ShieldKind"]),
      origin_kind_(settings["FamilyInfo.OriginKind"]),
      mailbox_(scheduler),
      told_(scheduler) {
  Actions& actions = *this;
  director_ = std::make_unique<Director>(clock_.now(), std::move(settings), seed, actions);
}

DirectorActor::~DirectorActor() = default;

void DirectorActor::start() {
  scheduler_.spawn(live(*this));
  scheduler_.spawn(hear(*this));
}

Task<> DirectorActor::live(DirectorActor& self) {
  for (auto call = co_await self.mailbox_.next(); call; call = co_await self.mailbox_.next()) {
    while (Scheduler::now() < std::min(self.held_until_, self.deadline_cap_))
      co_await self.scheduler_.sleep_until(std::min(self.held_until_, Scheduler::now() + kHoldLook));
    while (self.changes_wait_ &&
           Scheduler::now() <
               std::min(self.held_until_ + self.limits_.max_change_backlog_hold, self.deadline_cap_))
      co_await self.scheduler_.sleep_until(Scheduler::now() + kHoldLook);
    self.scheduler_.run_guarded(call);
  }
}
Task<> DirectorActor::hear(DirectorActor& self) { co_await self.told_.serve(); }

// Guards against a machine so short of cores that every turn is late: held anew each time, the module would
// never get to a request, nor the last resort to its answer. It hurts a second long pause right after a
// first.
void DirectorActor::woke_late(Seconds listen_until) {
  constexpr Seconds kHoldAgain =
      1;  // s: the shortest grace on drains; older news was heard in the hold before
  ++counters_.late_turns;
  if (listen_until > held_until_ + kHoldAgain) held_until_ = listen_until;
}

void DirectorActor::known_change_arrived(protocol::Json change) {
  told_.post([this, change = std::move(change)] {
    Changes changes(*this, true);
    protocol::read_change(change, changes);
  });
}

void DirectorActor::changes_arrived(std::vector<distribution::NumberedChange> changes, bool more_waits,
                                    std::function<void(bool taken)> done) {
  changes_wait_ = more_waits;
  told_.post([this, changes = std::move(changes), done = std::move(done)] {
    try {
      for (const auto& [number, change] : changes) {
        Changes handler(*this, false);
        protocol::read_change(change, handler);
      }
    } catch (...) {
      done(false);
      throw;
    }
    done(true);
  });
}

void DirectorActor::request_arrived(const RequestId& request, RequestClassIndex request_class,
                                    ObjectId object, PartNumber part, GroupId group, Seconds deadline,
                                    double size_kb, bool resent, bool is_write,
                                    std::shared_ptr<const protocol::ForwardedRequest> forwarded_request,
                                    std::weak_ptr<ResponseSink> response_sink) {
  ++counters_.taken;
  counters_.open = ++open_;
  mailbox_.post([=, this, forwarded_request = std::move(forwarded_request),
                 response_sink = std::move(response_sink)]() mutable {
    arrived(request, request_class, object, part, group, deadline, size_kb, resent, is_write,
            std::move(forwarded_request), std::move(response_sink));
  });
}

void DirectorActor::arrived(const RequestId& id, RequestClassIndex request_class, ObjectId object,
                            PartNumber part, GroupId group, Seconds deadline, double size_kb, bool resent,
                            bool is_write,
                            std::shared_ptr<const protocol::ForwardedRequest> forwarded_request,
                            std::weak_ptr<ResponseSink> response_sink) {
  if (requests_.contains(
          id)) {  // an id that is not new can't be told from the first: no second answer to that
    ++counters_.forfeited;
    counters_.open = --open_;
    if (const auto second = response_sink.lock()) second->failed(id);
    return;
  }
  Request request;
  request.forwarded_request = std::move(forwarded_request);
  request.response_sink = std::move(response_sink);
  request.deadline = std::min(deadline, deadline_cap_);
  watch_overdue(id, requests_.insert_or_assign(id, std::move(request)).first->second);
  director_->request_arrived(clock_.now(), id, request_class, {0}, object, part, group,
                             clock_.from_scheduler(deadline), size_kb, resent, is_write);
}

// Guards against a request that nothing would ever end; the module's own time-outs come first.
void DirectorActor::watch_overdue(const RequestId& id, Request& request) {
  request.last_resort =
      scheduler_.at(request.deadline + limits_.deadline_guard_delay, [this, id] { end_by_last_resort(id); });
}

// By the mailbox of changes, which is never held.
void DirectorActor::cap_deadlines(Seconds at) {
  deadline_cap_ = at;
  told_.post([this, at] {
    for (auto& [id, request] : requests_) {
      if (!request.owed || request.deadline <= at) continue;
      scheduler_.cancel(request.last_resort);
      request.deadline = at;
      watch_overdue(id, request);
    }
    director_->cap_deadlines(clock_.now(), clock_.from_scheduler(at));
  });
}

DirectorActor::Request* DirectorActor::owed(const RequestId& id) {
  const auto found = requests_.find(id);
  return found != requests_.end() && found->second.owed ? &found->second : nullptr;
}

void DirectorActor::answered(Request& request) {
  request.owed = false;
  scheduler_.cancel(request.last_resort);
  counters_.open = --open_;
}

void DirectorActor::forget_if_quiet(const RequestId& id) {
  const auto found = requests_.find(id);
  if (found == requests_.end() || found->second.owed) return;
  const auto& outs = found->second.outs;
  if (std::none_of(outs.begin(), outs.end(), [](const Out& out) { return out.out; })) requests_.erase(found);
}

void DirectorActor::request_left(const RequestId& id) {
  mailbox_.post([this, id] {
    Request* request = owed(id);
    if (!request) return;  // its answer was on the way
    answered(*request);
    ++counters_.left;
    director_->client_disconnected(clock_.now(), id);
    forget_if_quiet(id);
  });
}

void DirectorActor::end_by_last_resort(const RequestId& id) {
  mailbox_.post([this, id] {
    Request* request = owed(id);
    if (!request) return;
    ++counters_.overdue;
    fail(id);
    director_->client_disconnected(clock_.now(), id);
    forget_if_quiet(id);
  });
}

void DirectorActor::ended(const RequestId& request, AttemptNumber number, const NodeId& node, Result result,
                          AnswerDetail note, Seconds waited, LoadReport report, Content content) {
  mailbox_.post([=, this, report = std::move(report), content = std::move(content)]() mutable {
    attempt_ended(request, number, node, result, note, waited, report, std::move(content));
  });
}

void DirectorActor::attempt_ended(const RequestId& id, AttemptNumber number, const NodeId& node,
                                  Result result, AnswerDetail note, Seconds waited, const LoadReport& report,
                                  Content content) {
  const auto found = requests_.find(id);
  const auto place = static_cast<std::size_t>(number.value);
  if (found == requests_.end() || place >= found->second.outs.size()) return;
  Request& request = found->second;
  // Told that a copy holds which the client never named: nothing that could be passed on.
  if (content.same_copy && request.forwarded_request->cached.empty()) result = Result::kError;
  count(result);
  request.outs[place].out = false;
  if (result == Result::kCompleted && request.owed) {
    answered(request);
    ++counters_.completed;
    if (content.same_copy) ++counters_.not_modified;
    if (const auto response_sink = request.response_sink.lock())
      response_sink->completed(id, std::move(content));
  }
  const Seconds now = clock_.now(), spent = now - clock_.from_scheduler(request.outs[place].sent);
  director_->attempt_ended(now, id, number, node, result, note, waited, spent, report, !request.owed);
  forget_if_quiet(id);
}

void DirectorActor::count(Result result) {
  switch (result) {
    case Result::kCompleted:
      ++counters_.ended_completed;
      break;
    case Result::kError:
      ++counters_.ended_error;
      break;
    case Result::kRejected:
      ++counters_.ended_turned_away;
      break;
    case Result::kTimedOut:
      ++counters_.ended_timed_out;
      break;
    case Result::kUnreachable:
      ++counters_.ended_unreachable;
      break;
    case Result::kBroken:
      ++counters_.ended_broken;
      break;
    case Result::kCancelled:
      ++counters_.ended_cancelled;
      break;
    case Result::kNotSent:
    case Result::kLocalFailure:
      ++counters_.ended_not_sent;
      break;
    case Result::kAbsent:
      ++counters_.ended_absent;
      break;
  }
}

void DirectorActor::attempt(const RequestId& id, const NodeId& node, const FillOptions& fill,
                            Seconds time_out) {
  Request* request = owed(id);
  if (!request) return;
  const AttemptNumber number{static_cast<int>(request->outs.size())};
  const Seconds now = Scheduler::now();
  request->outs.push_back({node, now});
  ++counters_.attempts;
  const auto peer = upstream_nodes_.find(node);
  // Its time may have gone by while the process stood still, or its client has left: nobody waits for it any
  // more.
  if (peer == upstream_nodes_.end() || now >= request->deadline || request->forwarded_request->client_gone)
    return ended(id, number, node, Result::kNotSent, AnswerDetail::kNone, 0, {}, {});
  const Seconds until = time_out > 0 ? std::min(now + time_out, request->deadline) : request->deadline;
  peer->second->attempt(id, number, request->forwarded_request, fill, until);
}

void DirectorActor::cancel(const RequestId& id, AttemptNumber number) {
  const auto found = requests_.find(id);
  const auto place = static_cast<std::size_t>(number.value);
  if (found == requests_.end() || place >= found->second.outs.size()) return;
  const auto peer = upstream_nodes_.find(found->second.outs[place].node);
  if (peer != upstream_nodes_.end()) peer->second->cancel(id, number);
}

void DirectorActor::reject(const RequestId& id, Seconds retry_after) {
  Request* request = owed(id);
  if (!request) return;
  answered(*request);
  ++counters_.bounced;
  if (const auto response_sink = request->response_sink.lock()) response_sink->rejected(id, retry_after);
  mailbox_.post([this, id] { forget_if_quiet(id); });
}

void DirectorActor::fail(const RequestId& id) {
  Request* request = owed(id);
  if (!request) return;
  answered(*request);
  ++counters_.forfeited;
  if (const auto response_sink = request->response_sink.lock()) response_sink->failed(id);
  mailbox_.post([this, id] { forget_if_quiet(id); });
}

void DirectorActor::set_timer(Seconds at, const TimerToken& token) {
  scheduler_.at(clock_.to_scheduler(at), [this, token] {
    mailbox_.post([this, token] {
      director_->timer_fired(clock_.now(), token);
      counters_.nodes = director_->nodes_known();
    });
  });
}

// No deployment lets a director probe today; the module does not ask for it.
void DirectorActor::probe(const NodeId& node) {
  mailbox_.post([this, node] { director_->probe_ended(clock_.now(), node, Result::kNotSent, {}); });
}

// The change log is followed from the start, whatever the module asks.
void DirectorActor::watch_list() {}

void DirectorActor::log(const std::string& words) { log_.info("module", "{}", words); }

}  // namespace hareramp::routing
