// The actor of the list: takes what is known at the start and what the change log tells, and posts it to the
// module in order and once. A task of its own keeps a connection to the change log and posts what it reads.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "counters.hpp"
#include "limits.hpp"
#include "log.hpp"
#include "protocol/events.hpp"
#include "protocol/http.hpp"
#include "routing/module.hpp"
#include "transport/mailbox.hpp"
#include "transport/scheduler.hpp"
#include "transport/socket.hpp"

namespace hareramp::routing {

class ChangeLog : private protocol::HttpHandler, private protocol::EventHandler {
 public:
  ChangeLog(transport::Scheduler& scheduler, const Limits& limits, Counters& counters, Log& log,
            transport::Address address, std::string host, long long last, ModuleActor& module);
  // With the events known already, which reach the module before anything else can.
  void start(const std::vector<protocol::Json>& known);
  long long last() const { return last_; }

 private:
  void start_line(std::string_view status, std::string_view reason) override;
  void header(std::string_view name, std::string_view value) override;
  void body(std::string_view piece) override;
  void event(std::string_view id, std::string_view data) override;
  void told(long long number, std::optional<protocol::Json> change);
  static transport::Task<> live(ChangeLog& self);
  static transport::Task<> keep_following(ChangeLog& self);
  transport::Task<> follow();
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
  protocol::EventParser events_;
  bool usable_ = false, broken_ = false;
  std::string trouble_;  // what was logged last, until events come again
};

}  // namespace hareramp::routing
