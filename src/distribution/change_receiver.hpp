// The interface that a subscription to the change stream delivers to. The subscription waits until the
// receiver has answered for one batch of changes before it reads the next. A slow receiver therefore makes
// the source wait, and no changes pile up in this process.
#pragma once

#include <functional>
#include <vector>

#include "policy.hpp"
#include "protocol/json.hpp"
#include "transport/scheduler.hpp"

namespace hareramp::distribution {

struct NumberedChange {
  long long number = 0;  // position in the stream; 0: the event had no number
  protocol::Json change;
};

class ChangeReceiver {
 public:
  virtual ~ChangeReceiver() = default;
  // A change that was known before the stream was read. Only posts to a mailbox; never processes it directly.
  virtual void known_change_arrived(protocol::Json change) = 0;
  // Changes of the stream, in order. Only posts to a mailbox; never processes them directly. done must be
  // called exactly once, with true if all changes were processed; with false they are read again.
  // more_available: the stream had more data to read at that moment.
  virtual void changes_arrived(std::vector<NumberedChange> changes, bool more_available,
                               std::function<void(bool accepted)> done) = 0;
  // The stream was lost; see Director::change_stream_lost. Times are the scheduler's. Called after the
  // changes that arrived before, and only posts to a mailbox. Receivers that decide nothing by it ignore it.
  virtual void stream_lost(StreamLoss /*loss*/, transport::Seconds /*lost_at*/,
                           transport::Seconds /*last_received*/) {}
  // The stream is followed, for the first time or again; see Director::change_stream_followed. asked_at is
  // the scheduler's time. What has been read of the stream has been passed on before.
  virtual void stream_followed(transport::Seconds /*asked_at*/) {}
};

}  // namespace hareramp::distribution
