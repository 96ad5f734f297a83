// The interface of the decision module. It knows no protocol: whoever stands before it calls one method of
// Director for each thing that happened and carries out what comes back through Actions.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace hareramp {

// Ids: one type each, so that none can be handed over in another's place.
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
using Settings = std::map<std::string, std::string>;  // names as the caller knows them, values as text
using LoadReport = std::map<std::string, double>;     // a node's own figures, by name

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
  kLocalFailure  // our own side could not set up a connection; the node was not asked, and is not to blame
};
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
enum class EndpointState { kRunning, kDraining, kRemoved };
enum class ListCompleteness { kChanges, kFull, kCached, kFailed };

// How a miss is filled and what is kept of it.
struct FillOptions {
  NodeId source;             // the node itself: no fill
  int rank = 0;              // 0 passes the object through; the lowest rank is dropped first
  Seconds max_copy_age = 0;  // 0 leaves it to the grade's fresh time
  bool join = false;
  bool cached_only = false;
  bool bypass_parent_storage = false;
  bool background_refresh = false;
};

// What the module can have done. Only called from within a call of Director.
class Actions {
 public:
  virtual ~Actions() = default;
  virtual void attempt(const RequestId& request, const NodeId& node, const FillOptions& fill,
                       Seconds time_out) = 0;
  virtual void cancel(const RequestId& request, AttemptNumber number) = 0;
  virtual void reject(const RequestId& request, Seconds retry_after) = 0;
  virtual void fail(const RequestId& request) = 0;
  virtual void set_timer(Seconds at, const TimerToken& token) = 0;
  virtual void probe(const NodeId& node) = 0;
  virtual void watch_list() = 0;
  virtual void log(const std::string& words) = 0;
};

// One director. Every call carries the clock; time never goes back.
class Director {
 public:
  Director(Seconds now, Settings settings, std::uint64_t seed, Actions& actions);
  ~Director();
  Director(const Director&) = delete;
  Director& operator=(const Director&) = delete;

  // The list of nodes comes as a start, an entry for each node, and an end. launched: when the node counts as
  // started, 0 where the list does not tell. stamped: when it started by the list's own stamp, where that is
  // earlier; 0 where it is the same. A late word of a start makes the first later than the second.
  void list_starts(Seconds now, ListCompleteness scope);
  void list_entry(Seconds now, const NodeId& node, ZoneIndex zone, KindIndex kind, CellIndex cell,
                  EndpointState endpoint_state, double weight, Seconds launched, Seconds stamped = 0);
  void list_ends(Seconds now);

  void request_arrived(Seconds now, const RequestId& request, RequestClassIndex request_class,
                       TenantIndex tenant, ObjectId object, PartNumber part, GroupId group, Seconds deadline,
                       double size_kb, bool resent, bool is_write);
  void client_disconnected(Seconds now, const RequestId& request);
  // The director is to end: no deadline, of what is open or still comes, lies after that moment. A request
  // that is cut short by it is rejected where that is true of it, and failed else.
  void cap_deadlines(Seconds now, Seconds at);
  void attempt_started(Seconds now, const RequestId& request, AttemptNumber number);
  void attempt_ended(Seconds now, const RequestId& request, AttemptNumber number, const NodeId& node,
                     Result result, AnswerDetail note, Seconds waited, Seconds spent,
                     const LoadReport& report, bool request_over);
  void probe_ended(Seconds now, const NodeId& node, Result result, const LoadReport& report);
  void object_purged(Seconds now, ObjectId object, Seconds age);
  void group_purged(Seconds now, GroupId group, Seconds age);
  void timer_fired(Seconds now, const TimerToken& token);

  // The oldest copy that will do for a request now: it may be less than when the attempt was decided on,
  // where a purge has come since. 0 where any age will do, or the request is not known (any more).
  Seconds max_copy_age(Seconds now, const RequestId& request);

  // Those listed, and those gone whose figures are still needed.
  std::size_t nodes_known() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace hareramp
