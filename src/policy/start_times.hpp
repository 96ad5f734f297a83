// Which moment counts as the start of a node: a decision module of its own, without clock or sockets. The
// list tells starts as stamps of other machines' clocks. A stamp says that a process is another than before;
// when that one started is taken from it only where nothing better is known. Memory is one entry a listed
// node.
#pragma once

#include <map>
#include <string>

#include "policy.hpp"

namespace hareramp::policy {

enum class ListSource {
  kKnownBeforeStart,  // what the director was started with
  kChangeStream,
};

class StartTimes {
 public:
  // Before the entries of a list or of a change of it.
  void list_starts(ListSource source, bool whole);

  // When a node of that list counts as started, by the director's clock: seconds near Unix time, as `now` and
  // the stamp are. A stamp of 0 or less is none; the result is 0 where nothing is known.
  Seconds started(Seconds now, const NodeId& node, Seconds stamp);

  // For a node that is gone: should it come back, it counts as just started.
  void forget(const NodeId& node) { entries_.erase(node); }

  std::size_t known() const { return entries_.size(); }

 private:
  struct Entry {
    Seconds stamp = 0;
    Seconds started = 0;
  };

  bool has_whole_list_ = false;
  bool at_start_ = false;  // the list that is read tells of nodes which may have run for long
  std::map<NodeId, Entry> entries_;
};

}  // namespace hareramp::policy
