// What still matters of the whole stream, whatever has been missed: the list of nodes, and the purges whose
// time is not over. For a cursor that the window no longer reaches this stands in for the backlog. Pure.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <string>

#include "distribution/change.hpp"
#include "distribution/issuer_time.hpp"
#include "distribution/window.hpp"
#include "transport/scheduler.hpp"

namespace hareramp::distribution {

class Snapshot {
 public:
  // A purge is kept for its lifetime from when it came; less where the stamps of the purges behind it prove
  // that its lifetime is over (IssuerTime). Stamps are not held against our clock: either may have been
  // stepped.
  Snapshot(transport::Seconds purge_lifetime, std::size_t purges_most);

  // Of two purges of one subject the later event counts, whatever their stamps say.
  void add(transport::Seconds now, long long number, const Change& change);
  void expire(transport::Seconds now);
  bool has_list() const { return has_list_; }
  // No room for another purge until one expires. Repeats of one subject count each: all wait for their time.
  bool full() const { return expiries_.size() >= purges_most_; }
  std::size_t purges() const { return purges_.size(); }

  // The events behind the cursor that still matter, under the numbers that they came with and in their order;
  // the whole list stands under the number of the last change of nodes. last: of the stream, so that the
  // cursor moves past what is left out.
  EncodedPiece after(long long cursor, long long last) const;
  // The least number in it: for every cursor before that it is the same.
  long long oldest() const;
  // What is numbered in one epoch is numbered in another from now on (relay.hpp).
  void move_epoch(long long from, long long to);

 private:
  struct LivePurge {
    long long number = 0;
    std::string members;
  };
  struct Expiry {
    transport::Seconds at = 0;
    PurgeSubject subject;
    long long number = 0;
    transport::Seconds issuer_time = 0;  // by its stamp
  };

  void forget_first();

  transport::Seconds purge_lifetime_;
  std::size_t purges_most_;
  bool has_list_ = false;
  long long list_number_ = 0;
  std::string list_version_;
  std::map<std::string, std::string> nodes_;  // entries by id
  std::map<PurgeSubject, LivePurge> purges_;
  std::deque<Expiry> expiries_;  // in order
  IssuerTime issuer_time_;
};

}  // namespace hareramp::distribution
