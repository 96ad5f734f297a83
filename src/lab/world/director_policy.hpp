// The interface of the policies that direct requests in the simulated world: the production Director, or a
// baseline behind the same calls. Baselines are for comparison in the laboratory only.
#pragma once

#include <memory>
#include <string>

#include "policy.hpp"

namespace hareramp::lab {

// The events of one director; see Director for the meaning of each call.
class DirectorPolicy {
 public:
  virtual ~DirectorPolicy() = default;
  virtual void list_starts(Seconds now, ListCompleteness scope) = 0;
  virtual void list_entry(Seconds now, const NodeId& node, ZoneIndex zone, KindIndex kind, CellIndex cell,
                          EndpointState endpoint_state, double weight, Seconds launched) = 0;
  virtual void list_ends(Seconds now) = 0;
  virtual void request_arrived(Seconds now, const RequestId& request, RequestClassIndex request_class,
                               ObjectId object, PartNumber part, GroupId group, Seconds deadline,
                               double size_kb, bool resent, bool is_write) = 0;
  virtual void client_disconnected(Seconds now, const RequestId& request) = 0;
  virtual void attempt_ended(Seconds now, const RequestId& request, AttemptNumber number, const NodeId& node,
                             Result result, AnswerDetail detail, Seconds waited, Seconds spent,
                             bool request_over) = 0;
  virtual void object_purged(Seconds now, ObjectId object, Seconds age) = 0;
  virtual void group_purged(Seconds now, GroupId group, Seconds age) = 0;
  // Baselines ignore a lost change stream.
  virtual void change_stream_lost(Seconds /*now*/) {}
  virtual void change_stream_followed(Seconds /*now*/) {}
  virtual void timer_fired(Seconds now, const TimerToken& token) = 0;
};

// kind: design, random, hash, least, two or textbook. Returns null for any other name.
std::unique_ptr<DirectorPolicy> make_director_policy(const std::string& kind, Seconds now,
                                                     const Settings& settings, std::uint64_t seed,
                                                     Actions& actions);

}  // namespace hareramp::lab
