// The actor of the list: takes what is known at the start and what the change log tells, and posts it to the
// module in order and once. A task of its own keeps a connection to the change log and posts what it reads.
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
#include "routing/module.hpp"
#include "transport/mailbox.hpp"
#include "transport/scheduler.hpp"
#include "transport/socket.hpp"

namespace hareramp::routing {

class ChangeLog {
 public:
  ChangeLog(transport::Scheduler& scheduler, const Limits& limits, Counters& counters, Log& log,
            transport::Address address, std::string host, long long last, ModuleActor& module);
  ~ChangeLog();
  // With the events known already, which reach the module before anything else can.
  void start(const std::vector<protocol::Json>& known);
  // Only posts: from then on another address is followed, after the last event told, and the old one no more.
  void moved(transport::Address address, const std::string& host);
  long long last() const { return last_; }

 private:
  class Feed;
  void follow(transport::Address address, const std::string& host);
  void told(long long number, std::optional<protocol::Json> change);
  static transport::Task<> live(ChangeLog& self);
  void troubled(const std::string& what);

  transport::Scheduler& scheduler_;
  const Limits& limits_;
  Counters& counters_;
  Log& log_;
  transport::Address address_;
  std::string host_;
  long long last_;
  ModuleActor& module_;
  transport::Mailbox mailbox_;
  std::shared_ptr<Feed> feed_;
  std::string trouble_;  // what was logged last, until events come again
};

}  // namespace hareramp::routing
