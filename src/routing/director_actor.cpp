#include "routing/director_actor.hpp"

#include <algorithm>
#include <array>
#include <set>
#include <utility>

namespace hareramp::routing {

using transport::Scheduler;
using transport::Task;

namespace {
// s: interval between checks whether requests must still be held after a pause of the process.
constexpr Seconds kHoldPollInterval = 0.005;
// s: a purge counts as issued at its arrival. Its time stamp comes from the issuer's clock, and either clock
// may have been stepped: an age computed from the two could make a purge look long finished while nodes still
// hold copies from before it.
constexpr Seconds kPurgeAge = 0;

// s: between two measurements of the memory that the process uses.
constexpr Seconds kMemoryMeasureInterval = 0.1;

// The names of Result in the log.
constexpr std::array<std::string_view, 10> kResultNames = {
    "completed", "error",     "rejected", "timed_out", "unreachable",
    "broken",    "cancelled", "not_sent", "absent",    "local_failure"};
}  // namespace

// Applies one change of the stream to the Director, and adds, moves or retires upstream nodes by it.
class DirectorActor::ChangeApplier : public protocol::ChangeHandler {
 public:
  ChangeApplier(DirectorActor& actor, bool known_before_start)
      : actor_(actor), known_before_start_(known_before_start) {}

  void list_starts(bool full) override {
    full_list_ = full;
    actor_.start_times_.list_starts(
        known_before_start_ ? policy::ListSource::kKnownBeforeStart : policy::ListSource::kChangeStream,
        full);
    actor_.director_->list_starts(
        now(), full ? known_before_start_ ? ListCompleteness::kCached : ListCompleteness::kFull
                    : ListCompleteness::kChanges);
  }
  void list_entry(const NodeId& node, const std::string& address, const std::string& zone,
                  const std::string& kind, CellIndex cell, EndpointState endpoint_state, double weight,
                  double started_unix_ms) override {
    const auto parsed_address = transport::Address::parse(address);
    if (endpoint_state != EndpointState::kRemoved && !parsed_address)
      return skipped("the address '" + address + "'");
    if (endpoint_state == EndpointState::kRemoved) {
      remove_node(node);
    } else {
      listed_.insert(node);
      add_or_update(node, *parsed_address, kind);
    }
    // The director's clock follows Unix time by an offset that was fixed at its start: later steps of the
    // wall clock do not move it.
    const Seconds started = endpoint_state == EndpointState::kRemoved
                                ? 0
                                : actor_.start_times_.start_time(now(), node, started_unix_ms / 1000);
    actor_.director_->list_entry(now(), node, {index_of(actor_.names_.zones, zone)},
                                 {index_of(actor_.names_.kinds, kind)}, cell, endpoint_state, weight, started,
                                 started_unix_ms / 1000);
  }
  void list_ends() override {
    if (full_list_) {
      std::vector<NodeId> missing;
      for (const auto& [node, upstream_node] : actor_.upstream_nodes_)
        if (!listed_.contains(node)) missing.push_back(node);
      for (const NodeId& node : missing) remove_node(node);
    }
    actor_.director_->list_ends(now());
  }
  void object_purged(ObjectId object, double) override {
    ++actor_.counters_.purges;
    actor_.director_->object_purged(now(), object, kPurgeAge);
  }
  void group_purged(GroupId group, double) override {
    ++actor_.counters_.purges;
    actor_.director_->group_purged(now(), group, kPurgeAge);
  }
  void skipped(const std::string& what) override {
    ++actor_.counters_.events_skipped;
    actor_.log_.warning("change_skipped", "change stream: skipped {}", what);
  }

  void unknown_field(std::string_view) override { ++actor_.counters_.unknown_fields; }

 private:
  Seconds now() const { return actor_.clock_.now(); }
  static int index_of(const std::vector<std::string>& names, const std::string& name) {
    const auto found = std::find(names.begin(), names.end(), name);
    return found == names.end() ? -1 : static_cast<int>(found - names.begin());
  }
  ipfix::NodeRole node_role_of(const std::string& kind) const {
    const std::string kind_index = std::to_string(index_of(actor_.names_.kinds, kind));
    return kind_index == actor_.origin_kind_   ? ipfix::NodeRole::kOrigin
           : kind_index == actor_.parent_kind_ ? ipfix::NodeRole::kParent
                                               : ipfix::NodeRole::kEdge;
  }
  // An address that this node takes from one of an earlier list: the other is gone, whether or not the list
  // has said so yet.
  void take_address(const NodeId& node, const transport::Address& address) {
    const auto replaced = actor_.address_owners_.claim(address.text(), node);
    if (!replaced || listed_.contains(*replaced)) return;
    remove_node(*replaced);
    actor_.director_->list_entry(now(), *replaced, {-1}, {-1}, {0}, EndpointState::kRemoved, 0, 0, 0);
    actor_.log_.info("node_replaced", "node {} replaced by {} at its address", replaced->value, node.value);
  }
  void add_or_update(const NodeId& node, transport::Address address, const std::string& kind) {
    take_address(node, address);
    const auto before = actor_.addresses_.find(node);
    if (before != actor_.addresses_.end() && !(before->second == address))
      actor_.address_owners_.release(before->second.text(), node);
    auto& upstream_node = actor_.upstream_nodes_[node];
    if (!upstream_node) {
      upstream_node = std::make_shared<UpstreamNode>(actor_.scheduler_, actor_.limits_, actor_.counters_,
                                                     actor_.upstream_resources_, node, address, actor_,
                                                     actor_.flows_, node_role_of(kind));
      upstream_node->start();
    } else if (!(actor_.addresses_[node] == address)) {
      upstream_node->set_address(address);
    }
    actor_.addresses_[node] = address;
  }
  void remove_node(const NodeId& node) {
    actor_.start_times_.forget(node);
    const auto found = actor_.upstream_nodes_.find(node);
    if (found == actor_.upstream_nodes_.end()) return;
    found->second->retire();
    actor_.address_owners_.release(actor_.addresses_.at(node).text(), node);
    actor_.upstream_nodes_.erase(found);
    actor_.addresses_.erase(node);
  }

  DirectorActor& actor_;
  bool known_before_start_, full_list_ = false;
  std::set<NodeId> listed_;
};

DirectorActor::DirectorActor(Scheduler& scheduler, const Limits& limits, Counters& counters, Log& log,
                             ConfiguredNames names, Settings settings, std::uint64_t seed,
                             flow::Exporter* flows)
    : scheduler_(scheduler),
      limits_(limits),
      counters_(counters),
      log_(log),
      names_(std::move(names)),
      flows_(flows),
      memory_budget_(limits.memory, [this] { return process_memory_.in_use(); }),
      parent_kind_(settings["FamilyInfo.ShieldKind"]),
      origin_kind_(settings["FamilyInfo.OriginKind"]),
      mailbox_(scheduler),
      change_mailbox_(scheduler) {
  upstream_resources_.memory_budget = &memory_budget_;
  Actions& actions = *this;
  director_ = std::make_unique<Director>(clock_.now(), std::move(settings), seed, actions,
                                         DirectorLimits{limits.max_tracked_parts, limits.max_run_ids});
}

DirectorActor::~DirectorActor() = default;

void DirectorActor::start() {
  scheduler_.spawn(serve_requests(*this));
  scheduler_.spawn(serve_changes(*this));
  scheduler_.spawn(measure_memory(*this));
}

Task<> DirectorActor::serve_requests(DirectorActor& self) {
  for (auto call = co_await self.mailbox_.next(); call; call = co_await self.mailbox_.next()) {
    while (Scheduler::now() < std::min(self.hold_until_, self.deadline_cap_))
      co_await self.scheduler_.sleep_until(std::min(self.hold_until_, Scheduler::now() + kHoldPollInterval));
    while (self.change_backlog_ &&
           Scheduler::now() <
               std::min(self.hold_until_ + self.limits_.max_change_backlog_hold, self.deadline_cap_))
      co_await self.scheduler_.sleep_until(Scheduler::now() + kHoldPollInterval);
    self.scheduler_.run_guarded(call);
  }
}
Task<> DirectorActor::measure_memory(DirectorActor& self) {
  for (;;) {
    self.memory_budget_.measure();
    if (self.memory_budget_.should_trim(resident_memory())) return_free_memory();
    co_await self.scheduler_.sleep_until(Scheduler::now() + kMemoryMeasureInterval);
  }
}
Task<> DirectorActor::serve_changes(DirectorActor& self) { co_await self.change_mailbox_.serve(); }

// Extends a hold only if that makes it longer by more than kMinHoldExtension. Guards against a machine so
// short of cores that every turn of the scheduler is late: if each of them extended the hold, no request
// would ever be processed, and no overdue one answered. The cost: a second long pause right after a first one
// may not extend the hold.
void DirectorActor::woke_late(Seconds hold_until) {
  constexpr Seconds kMinHoldExtension =
      1;  // s: the shortest grace period of a drain; older changes were read during the previous hold
  ++counters_.late_turns;
  if (hold_until > hold_until_ + kMinHoldExtension) hold_until_ = hold_until;
}

void DirectorActor::known_change_arrived(protocol::Json change) {
  change_mailbox_.post([this, change = std::move(change)] {
    ChangeApplier changes(*this, true);
    protocol::read_change(change, changes);
  });
}

void DirectorActor::changes_arrived(std::vector<distribution::NumberedChange> changes, bool more_waits,
                                    std::function<void(bool taken)> done) {
  change_backlog_ = more_waits;
  change_mailbox_.post([this, changes = std::move(changes), done = std::move(done)] {
    try {
      for (const auto& [number, change] : changes) {
        ChangeApplier handler(*this, false);
        protocol::read_change(change, handler);
      }
    } catch (...) {
      done(false);
      throw;
    }
    done(true);
  });
}

void DirectorActor::stream_lost(StreamLoss loss, Seconds lost_at, Seconds last_received) {
  change_mailbox_.post([this, loss, lost_at, last_received] {
    director_->change_stream_lost(clock_.now(), loss, clock_.from_scheduler(lost_at),
                                  clock_.from_scheduler(last_received));
  });
}

void DirectorActor::stream_followed(Seconds asked_at) {
  change_mailbox_.post(
      [this, asked_at] { director_->change_stream_followed(clock_.now(), clock_.from_scheduler(asked_at)); });
}

RequestHandle DirectorActor::request_arrived(
    const RequestId& request, RequestClassIndex request_class, ObjectId object, PartNumber part,
    GroupId group, Seconds deadline, double size_kb, bool resent, bool is_write,
    std::shared_ptr<const protocol::ForwardedRequest> forwarded_request,
    std::weak_ptr<ResponseSink> response_sink) {
  RequestHandle handle{request, ++last_serial_};
  ++counters_.taken;
  counters_.open = ++open_requests_;
  mailbox_.post([=, this, forwarded_request = std::move(forwarded_request),
                 response_sink = std::move(response_sink)]() mutable {
    handle_request(handle, request_class, object, part, group, deadline, size_kb, resent, is_write,
                   std::move(forwarded_request), std::move(response_sink));
  });
  return handle;
}

void DirectorActor::handle_request(const RequestHandle& handle, RequestClassIndex request_class,
                                   ObjectId object, PartNumber part, GroupId group, Seconds deadline,
                                   double size_kb, bool resent, bool is_write,
                                   std::shared_ptr<const protocol::ForwardedRequest> forwarded_request,
                                   std::weak_ptr<ResponseSink> response_sink) {
  const RequestId& id = handle.id;
  if (requests_.contains(id)) {  // nodes could not tell the two requests apart, so the second fails
    ++counters_.forfeited;
    log_request_event("request_ended", id, "id_in_use");
    counters_.open = --open_requests_;
    if (const auto duplicate_sink = response_sink.lock()) duplicate_sink->failed(handle);
    return;
  }
  Request request;
  request.handle = handle;
  request.forwarded_request = std::move(forwarded_request);
  request.response_sink = std::move(response_sink);
  request.deadline = std::min(deadline, deadline_cap_);
  set_overdue_timer(requests_.emplace(id, std::move(request)).first->second);
  director_->request_arrived(clock_.now(), id, request_class, {0}, object, part, group,
                             clock_.from_scheduler(deadline), size_kb, resent, is_write);
}

// Guards against a request that nothing else would ever end; the Director's own timeouts come earlier.
void DirectorActor::set_overdue_timer(Request& request) {
  request.overdue_timer = scheduler_.at(request.deadline + limits_.deadline_guard_delay,
                                        [this, handle = request.handle] { end_overdue(handle); });
}

// Posted to change_mailbox_, which is never held.
void DirectorActor::cap_deadlines(Seconds at) {
  deadline_cap_ = at;
  change_mailbox_.post([this, at] {
    for (auto& [id, request] : requests_) {
      if (!request.unanswered || request.deadline <= at) continue;
      scheduler_.cancel(request.overdue_timer);
      request.deadline = at;
      set_overdue_timer(request);
    }
    director_->cap_deadlines(clock_.now(), clock_.from_scheduler(at));
  });
}

DirectorActor::Request* DirectorActor::find_unanswered(const RequestId& id) {
  const auto found = requests_.find(id);
  return found != requests_.end() && found->second.unanswered ? &found->second : nullptr;
}

DirectorActor::Request* DirectorActor::find_unanswered(const RequestHandle& handle) {
  Request* const request = find_unanswered(handle.id);
  return request && request->handle == handle ? request : nullptr;
}

void DirectorActor::mark_answered(Request& request) {
  request.unanswered = false;
  scheduler_.cancel(request.overdue_timer);
  counters_.open = --open_requests_;
}

void DirectorActor::erase_if_finished(const RequestId& id) {
  const auto found = requests_.find(id);
  if (found == requests_.end() || found->second.unanswered) return;
  const auto& sent_attempts = found->second.sent_attempts;
  if (std::none_of(sent_attempts.begin(), sent_attempts.end(),
                   [](const SentAttempt& sent_attempt) { return sent_attempt.in_flight; }))
    requests_.erase(found);
}

void DirectorActor::client_left(const RequestHandle& handle) {
  mailbox_.post([this, handle] {
    Request* request = find_unanswered(handle);
    if (!request) return;  // it was answered while this call was waiting
    mark_answered(*request);
    ++counters_.left;
    log_request_event("request_ended", handle.id, "client_left");
    director_->client_disconnected(clock_.now(), handle.id);
    erase_if_finished(handle.id);
  });
}

void DirectorActor::end_overdue(const RequestHandle& handle) {
  mailbox_.post([this, handle] {
    if (!find_unanswered(handle)) return;
    ++counters_.overdue;
    fail(handle.id);
    director_->client_disconnected(clock_.now(), handle.id);
    erase_if_finished(handle.id);
  });
}

void DirectorActor::attempt_ended(const RequestId& request, AttemptNumber number, const NodeId& node,
                                  Result result, AnswerDetail detail, Seconds waited, LoadReport report,
                                  Content content) {
  mailbox_.post([=, this, report = std::move(report), content = std::move(content)]() mutable {
    handle_attempt_end(request, number, node, result, detail, waited, report, std::move(content));
  });
}

void DirectorActor::handle_attempt_end(const RequestId& id, AttemptNumber number, const NodeId& node,
                                       Result result, AnswerDetail detail, Seconds waited,
                                       const LoadReport& report, Content content) {
  const auto found = requests_.find(id);
  const auto attempt_index = static_cast<std::size_t>(number.value);
  if (found == requests_.end() || attempt_index >= found->second.sent_attempts.size()) return;
  Request& request = found->second;
  // The node says that the client's copy is still valid, but the client named none: there is no answer to
  // forward.
  if (content.same_copy && request.forwarded_request->cached.empty()) result = Result::kError;
  count_result(result);
  log_request_event("attempt_ended", id, kResultNames[static_cast<std::size_t>(result)], node.value);
  request.sent_attempts[attempt_index].in_flight = false;
  const bool has_content = !content.same_copy;
  if (result == Result::kCompleted && request.unanswered) {
    mark_answered(request);
    ++counters_.completed;
    log_request_event("request_ended", id, "completed");
    if (content.same_copy) ++counters_.not_modified;
    if (const auto response_sink = request.response_sink.lock())
      response_sink->completed(request.handle, std::move(content));
  }
  const Seconds now = clock_.now(),
                spent = now - clock_.from_scheduler(request.sent_attempts[attempt_index].sent_at);
  director_->attempt_ended(now, id, number, node, result, detail, waited, spent, report, !request.unanswered,
                           has_content);
  erase_if_finished(id);
}

void DirectorActor::log_request_event(std::string_view event, const RequestId& request,
                                      std::string_view reason, std::string_view node) const {
  if (!log_.is_enabled(LogLevel::kDebug)) return;
  log_.event(LogLevel::kDebug, event, fmt::format("{} {} {} {}", event, request.value, reason, node),
             {{"request", request.value}, {"reason", std::string(reason)}, {"node", std::string(node)}});
}

void DirectorActor::count_result(Result result) {
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

void DirectorActor::count_staleness() {
  const bool stale = director_->list_is_stale(clock_.now());
  if (stale && counters_.list_stale == 0) ++counters_.list_stale_periods;
  counters_.list_stale = stale ? 1 : 0;
}

void DirectorActor::attempt(const RequestId& id, const NodeId& node, const FillOptions& fill,
                            Seconds timeout) {
  Request* request = find_unanswered(id);
  if (!request) return;
  const AttemptNumber number{static_cast<int>(request->sent_attempts.size())};
  const Seconds now = Scheduler::now();
  request->sent_attempts.push_back({node, now});
  ++counters_.attempts;
  log_request_event("attempt_started", id, "", node.value);
  const auto upstream_node = upstream_nodes_.find(node);
  const auto response_sink = request->response_sink.lock();
  const bool is_retry = number.value > 0;
  // The deadline may have passed while the process was suspended, or the client may have disconnected: no
  // client waits for this answer any more.
  if (upstream_node == upstream_nodes_.end() || now >= request->deadline ||
      request->forwarded_request->client_gone ||
      (is_retry && response_sink && response_sink->may_have_disconnected()))
    return attempt_ended(id, number, node, Result::kNotSent, AnswerDetail::kNone, 0, {}, {});
  const Seconds until = timeout > 0 ? std::min(now + timeout, request->deadline) : request->deadline;
  upstream_node->second->attempt(id, number, request->forwarded_request, fill, until);
}

void DirectorActor::cancel(const RequestId& id, AttemptNumber number) {
  const auto found = requests_.find(id);
  const auto attempt_index = static_cast<std::size_t>(number.value);
  if (found == requests_.end() || attempt_index >= found->second.sent_attempts.size()) return;
  const auto upstream_node = upstream_nodes_.find(found->second.sent_attempts[attempt_index].node);
  if (upstream_node != upstream_nodes_.end()) upstream_node->second->cancel(id, number);
}

void DirectorActor::reject(const RequestId& id, Seconds retry_after) {
  Request* request = find_unanswered(id);
  if (!request) return;
  mark_answered(*request);
  ++counters_.bounced;
  log_request_event("request_ended", id, "rejected");
  if (const auto response_sink = request->response_sink.lock())
    response_sink->rejected(request->handle, retry_after);
  mailbox_.post([this, id] { erase_if_finished(id); });
}

void DirectorActor::fail(const RequestId& id) {
  Request* request = find_unanswered(id);
  if (!request) return;
  mark_answered(*request);
  ++counters_.forfeited;
  log_request_event("request_ended", id, "failed");
  if (const auto response_sink = request->response_sink.lock()) response_sink->failed(request->handle);
  mailbox_.post([this, id] { erase_if_finished(id); });
}

void DirectorActor::set_timer(Seconds at, const TimerToken& token) {
  scheduler_.at(clock_.to_scheduler(at), [this, token] {
    mailbox_.post([this, token] {
      director_->timer_fired(clock_.now(), token);
      counters_.nodes = director_->nodes_known();
      count_staleness();
    });
  });
}

// No deployment permits probes today, and the Director does not ask for any.
void DirectorActor::probe(const NodeId& node) {
  mailbox_.post([this, node] { director_->probe_ended(clock_.now(), node, Result::kNotSent, {}); });
}

// The change stream is read from the start, whether or not the Director asks for it.
void DirectorActor::watch_list() {}

void DirectorActor::log(const std::string& message) { log_.info("module", "{}", message); }

}  // namespace hareramp::routing
