// Records which purges one director received, how often, in which order and how late, independently of the
// director's decisions. Placed between the subscription and the decision module; forwards every change.
#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include "distribution/change_receiver.hpp"

namespace hareramp::capacity {

// The source numbers purges from 1. The object id of a purge is a reversible scrambling of its number, so
// that the ids look random and the number can be recovered from the id.
std::uint64_t object_of_purge(std::uint64_t purge);
std::uint64_t purge_of_object(std::uint64_t object);

struct PurgeRecord {
  std::uint64_t received = 0, duplicates = 0, out_of_order = 0, late = 0;
  std::uint64_t newest = 0;        // highest number received
  double max_latency_s = 0;        // longest time from issue to arrival
  std::vector<std::uint8_t> seen;  // times received, by number of the purge
};

class Recorder : public distribution::ChangeReceiver {
 public:
  // A purge counts as late if it arrives more than late_after seconds after its issue.
  Recorder(distribution::ChangeReceiver& receiver, double late_after)
      : receiver_(receiver), late_after_(late_after) {}

  void known_change_arrived(protocol::Json change) override {
    receiver_.known_change_arrived(std::move(change));
  }
  void changes_arrived(std::vector<distribution::NumberedChange> changes, bool more_waits,
                       std::function<void(bool taken)> done) override;
  void stream_lost(StreamLoss loss, transport::Seconds lost_at, transport::Seconds last_received) override {
    receiver_.stream_lost(loss, lost_at, last_received);
  }
  void stream_followed(transport::Seconds asked_at) override { receiver_.stream_followed(asked_at); }
  const PurgeRecord& record() const { return record_; }

 private:
  void record_purge(const protocol::Json& purge);
  distribution::ChangeReceiver& receiver_;
  double late_after_;
  PurgeRecord record_;
};

}  // namespace hareramp::capacity
