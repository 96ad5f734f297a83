// What still matters of the whole stream, whatever has been missed: the list of nodes, and the purges whose
// time is not over. For a cursor that the window no longer reaches this stands in for the backlog. Pure.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "distribution/change.hpp"
#include "distribution/window.hpp"
#include "transport/scheduler.hpp"

namespace hareramp::distribution {

class Snapshot {
 public:
  // A purge is kept for its lifetime from when it came. Its stamp is of the issuer's clock, which may be
  // stepped as ours may, so the two are never compared. In a backlog a purge goes sooner where the source's
  // later stamps alone show that its lifetime is over: as long as each lies close to the one before, no step
  // is among them.
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
    transport::Seconds issued = 0;  // by its stamp
    std::uint64_t stamp_run = 0;
  };

  void note_stamp(transport::Seconds issued);
  bool is_over(const Expiry& expiry, transport::Seconds now) const;

  transport::Seconds purge_lifetime_;
  std::size_t purges_most_;
  bool has_list_ = false;
  long long list_number_ = 0;
  std::string list_version_;
  std::map<std::string, std::string> nodes_;  // entries by id
  std::map<PurgeSubject, LivePurge> purges_;
  std::deque<Expiry> expiries_;  // in order
  transport::Seconds last_issued_ = 0;
  std::uint64_t stamp_run_ = 0;  // of stamps that each lie close to the one before
};

}  // namespace hareramp::distribution
