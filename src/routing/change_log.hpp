// The actor of the change stream: takes what is known at the start and what the stream brings, and posts it
// to the receiver, the module, in order and once. A task of its own keeps a connection and reads in slices:
// the next slice is read only after the receiver has taken the last one in, so that what waits is bounded
// however much the source has to send.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/counters.hpp"
#include "base/limits.hpp"
#include "base/log.hpp"
#include "protocol/events.hpp"
#include "protocol/http.hpp"
#include "routing/change_receiver.hpp"
#include "transport/mailbox.hpp"
#include "transport/scheduler.hpp"
#include "transport/socket.hpp"

namespace hareramp::routing {

class ChangeLog {
 public:
  ChangeLog(transport::Scheduler& scheduler, const Limits& limits, Counters& counters, Log& log,
            transport::Address address, std::string host, long long last, ChangeReceiver& receiver);
  ~ChangeLog();
  // With the events known already, which reach the module before anything else can.
  void start(const std::vector<protocol::Json>& known);
  // Only posts: from then on another address is followed, after the last event told, and the old one no more.
  void moved(transport::Address address, const std::string& host);
  // The number of the last event that the receiver has taken in; a new connection goes on behind it.
  long long last() const { return last_; }

 private:
  class Feed;
  struct Event {
    long long number = 0;                  // 0: none
    std::optional<protocol::Json> change;  // empty: can't be read
  };
  void follow(transport::Address address, const std::string& host);
  void slice_arrived(std::vector<Event> events, bool more_waits, const std::shared_ptr<Feed>& feed);
  void slice_ended(long long newest, bool taken, Feed& feed);
  static transport::Task<> live(ChangeLog& self);
  void troubled(const std::string& what);

  transport::Scheduler& scheduler_;
  const Limits& limits_;
  Counters& counters_;
  Log& log_;
  transport::Address address_;
  std::string host_;
  long long last_;      // taken in by the receiver
  long long received_;  // on its way to the receiver
  ChangeReceiver& receiver_;
  transport::Mailbox mailbox_;
  std::shared_ptr<Feed> feed_;
  bool slice_out_ = false;  // one is on its way to the receiver; never two
  std::string trouble_;     // what was logged last, until events come again
};

}  // namespace hareramp::routing
