// What one director was told of purges, seen from outside its decisions: which, how often, in which order and
// how late. Stands between the subscription and the module and passes everything on.
#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include "distribution/change_receiver.hpp"

namespace hareramp::capacity {

// Purges are numbered from 1 by the source; the object that one names looks drawn and leads back to its
// number.
std::uint64_t object_of_purge(std::uint64_t purge);
std::uint64_t purge_of_object(std::uint64_t object);

struct PurgeRecord {
  std::uint64_t told = 0, twice = 0, out_of_order = 0, late = 0;
  std::uint64_t newest = 0;        // number of the last one told
  double latest_s = 0;             // the longest from issue to here
  std::vector<std::uint8_t> seen;  // by number
};

class Recorder : public distribution::ChangeReceiver {
 public:
  // Late is what comes later than so many seconds after its issue.
  Recorder(distribution::ChangeReceiver& receiver, double late_after)
      : receiver_(receiver), late_after_(late_after) {}

  void known_change_arrived(protocol::Json change) override {
    receiver_.known_change_arrived(std::move(change));
  }
  void changes_arrived(std::vector<distribution::NumberedChange> changes, bool more_waits,
                       std::function<void(bool taken)> done) override;
  const PurgeRecord& record() const { return record_; }

 private:
  void note(const protocol::Json& purge);
  distribution::ChangeReceiver& receiver_;
  double late_after_;
  PurgeRecord record_;
};

}  // namespace hareramp::capacity
