// The interface of the decision module. It is independent of any protocol: its caller, a protocol adapter or
// a simulator, calls one method of Director for each event and carries out the effects requested through
// Actions.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace hareramp {

// A distinct type for each kind of id, so that one can't be passed in place of another.
template <class Tag, class Value>
struct Id {
  Value value{};
  auto operator<=>(const Id&) const = default;
};
using RequestId = Id<struct RequestTag, std::string>;
using NodeId = Id<struct NodeTag, std::string>;
using TimerToken = Id<struct TimerTag, std::string>;
using ObjectId = Id<struct ObjectTag, std::uint64_t>;
using GroupId = Id<struct GroupTag, std::int64_t>;
using PartNumber = Id<struct PartTag, std::int64_t>;
using RequestClassIndex = Id<struct RequestClassTag, int>;
using TenantIndex = Id<struct TenantTag, int>;
using ZoneIndex = Id<struct ZoneTag, int>;
using KindIndex = Id<struct KindTag, int>;
using CellIndex = Id<struct CellTag, int>;
using AttemptNumber = Id<struct AttemptTag, int>;

using Seconds = double;
using Settings = std::map<std::string, std::string>;  // by the names that the caller uses, values as text
using LoadReport = std::map<std::string, double>;     // a node's own measurements, by name

// How an attempt ended.
enum class Result {
  kCompleted,
  kError,
  kRejected,
  kTimedOut,
  kUnreachable,
  kBroken,
  kCancelled,
  kNotSent,
  kAbsent,
  kLocalFailure  // our own side could not set up a connection; the node was not contacted and is not at fault
};
// What a node reports about how it got its answer, or about the reason of a failure.
enum class AnswerDetail {
  kNone,
  kHit,
  kFilled,
  kFilledByOrigin,
  kJoined,
  kStale,
  kSourceRejected,
  kSourceLost,
  kSourceMissed,
  kNoFillCapacity,
  kOriginFailed
};
// State of a listed node.
enum class EndpointState { kRunning, kDraining, kRemoved };
// How the change stream, which delivers list changes and purges, was lost.
enum class StreamLoss {
  kNotConnected,  // it has not been reached since the director's start
  kBroken,        // its connection broke off, or stopped delivering anything
  kMoved          // a new configuration names another source, which has not been reached yet
};
// What a list holds: only changes, all nodes, the nodes known from before, or nothing because it failed.
enum class ListCompleteness { kChanges, kFull, kCached, kFailed };

// How a miss is filled, and how the copy is stored.
struct FillOptions {
  NodeId source;             // equal to the node: no fill
  int rank = 0;              // 0: the object is not stored; copies of the lowest rank are dropped first
  Seconds max_copy_age = 0;  // 0: the fresh time of the request class applies
  bool join = false;
  bool cached_only = false;
  bool bypass_parent_storage = false;
  bool background_refresh = false;
};

// Effects that the module requests. Called only during a call of a Director method.
class Actions {
 public:
  virtual ~Actions() = default;
  // Sends an attempt. A timeout of 0 leaves the deadline of the request as the only limit.
  virtual void attempt(const RequestId& request, const NodeId& node, const FillOptions& fill,
                       Seconds timeout) = 0;
  virtual void cancel(const RequestId& request, AttemptNumber number) = 0;
  // Final answer: rejected, and harmless to send again; retry_after is 0 where no delay is advised.
  virtual void reject(const RequestId& request, Seconds retry_after) = 0;
  // Final answer: failed; the request may have run.
  virtual void fail(const RequestId& request) = 0;
  virtual void set_timer(Seconds at, const TimerToken& token) = 0;
  virtual void probe(const NodeId& node) = 0;
  // Subscribes to the node list: at the start where the settings say so, and again after a failure.
  virtual void watch_list() = 0;
  virtual void log(const std::string& message) = 0;
};

// Bounds on what a director remembers; they follow the memory that its process may use.
struct DirectorLimits {
  std::size_t max_tracked_parts = 1 << 20;  // parts of objects remembered as requested recently
  std::size_t max_run_ids = 1 << 16;        // ids of requests that may have run and must not run again
};

// One director. Every call passes the current time, which never decreases.
class Director {
 public:
  Director(Seconds now, Settings settings, std::uint64_t seed, Actions& actions,
           const DirectorLimits& limits = {});
  ~Director();
  Director(const Director&) = delete;
  Director& operator=(const Director&) = delete;

  // The node list is passed as a start, one entry per node, and an end.
  // started_at: the time from which the node counts as started; 0 where the list does not state it.
  // reported_start: the start time stamped by the list, where it is earlier than started_at; 0 where it is
  // the same. A start that is learned of late makes started_at later than reported_start.
  void list_starts(Seconds now, ListCompleteness completeness);
  void list_entry(Seconds now, const NodeId& node, ZoneIndex zone, KindIndex kind, CellIndex cell,
                  EndpointState endpoint_state, double weight, Seconds started_at,
                  Seconds reported_start = 0);
  void list_ends(Seconds now);

  void request_arrived(Seconds now, const RequestId& request, RequestClassIndex request_class,
                       TenantIndex tenant, ObjectId object, PartNumber part, GroupId group, Seconds deadline,
                       double size_kb, bool resent, bool is_write);
  void client_disconnected(Seconds now, const RequestId& request);
  // Called when the director is about to end: caps the deadlines of open and of later requests at that time.
  // A request that this cuts short is rejected if a repeat of it is harmless, and failed otherwise.
  void cap_deadlines(Seconds now, Seconds at);
  void attempt_started(Seconds now, const RequestId& request, AttemptNumber number);
  // has_content: a completed attempt brought the object, not only that the client's copy is still valid.
  void attempt_ended(Seconds now, const RequestId& request, AttemptNumber number, const NodeId& node,
                     Result result, AnswerDetail detail, Seconds source_wait, Seconds elapsed,
                     const LoadReport& report, bool request_over, bool has_content = true);
  void probe_ended(Seconds now, const NodeId& node, Result result, const LoadReport& report);
  // The change stream was lost: purges and list changes may have been issued that do not arrive. May be
  // called again while it is lost, for each further way in which it is. A caller that receives every change,
  // such as a simulator, calls neither of these. lost_at: when the loss happened. last_received: when the
  // stream last delivered anything; before every time: never.
  void change_stream_lost(Seconds now, StreamLoss loss, Seconds lost_at, Seconds last_received);
  // The change stream is followed, for the first time or again: its source answers. asked_at: when it was
  // asked for the changes that were missed. They may still arrive later, all of them or some.
  void change_stream_followed(Seconds now, Seconds asked_at);
  void object_purged(Seconds now, ObjectId object, Seconds age);
  void group_purged(Seconds now, GroupId group, Seconds age);
  void timer_fired(Seconds now, const TimerToken& token);

  // Greatest age that a copy may have to serve the request now. It may be less than when the attempt was
  // decided on, if a purge has arrived since. 0 if any age will do, or if the request is not known or no
  // longer known.
  Seconds max_copy_age(Seconds now, const RequestId& request);

  // Whether an attempt that was decided on earlier may still begin: the list may have changed since, or have
  // become stale.
  bool may_start_attempt(Seconds now, const NodeId& node, const NodeId& source);

  // Whether the node list is too old to choose a node from (policy/list_staleness.hpp).
  bool list_is_stale(Seconds now) const;
  // Number of listed nodes, and of nodes that have left the list whose state is still needed.
  std::size_t nodes_known() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace hareramp
