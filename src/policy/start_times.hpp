// Determines the time from which a node counts as started. Independent of clock and sockets. The node list
// reports starts as time stamps of other machines' clocks. A changed stamp shows that the node's process is a
// new one; the start time itself is taken from the stamp only where nothing better is known. Memory is one
// entry per listed node.
#pragma once

#include <map>
#include <string>

#include "policy.hpp"

namespace hareramp::policy {

enum class ListSource {
  kKnownBeforeStart,  // the list that the director was started with
  kChangeStream,
};

class StartTimes {
 public:
  // Called before the entries of a list, or of a change to it.
  void list_starts(ListSource source, bool complete);

  // Start time of a listed node by the director's clock, in seconds near Unix time like `now` and the stamp.
  // A stamp of 0 or less means that there is none; the result is 0 where nothing is known.
  Seconds start_time(Seconds now, const NodeId& node, Seconds stamp);

  // Called for a node that has left the list: should it return, it counts as just started.
  void forget(const NodeId& node) { entries_.erase(node); }

  std::size_t known() const { return entries_.size(); }

 private:
  struct Entry {
    Seconds stamp = 0;
    Seconds started = 0;
  };

  bool has_complete_list_ = false;
  bool is_initial_list_ = false;  // whether the list being read may hold nodes that have run for a long time
  std::map<NodeId, Entry> entries_;
};

}  // namespace hareramp::policy
