// The actor of the list: follows the change log and posts what it tells to the module, in order and once.
#pragma once

#include <string>

#include "counters.hpp"
#include "limits.hpp"
#include "log.hpp"
#include "protocol/events.hpp"
#include "protocol/http.hpp"
#include "routing/module.hpp"
#include "transport/scheduler.hpp"
#include "transport/socket.hpp"

namespace hareramp::routing {

class ChangeLog : private protocol::HttpHandler, private protocol::EventHandler {
 public:
  ChangeLog(transport::Scheduler& scheduler, const Limits& limits, Counters& counters, Log& log,
            transport::Address address, std::string host, long long last, ModuleActor& module);
  void start();
  long long last() const { return last_; }

 private:
  void start_line(std::string_view status, std::string_view reason) override;
  void header(std::string_view name, std::string_view value) override;
  void body(std::string_view piece) override;
  void event(std::string_view id, std::string_view data) override;
  static transport::Task<> live(ChangeLog& self);
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
  protocol::EventParser events_;
  bool usable_ = false, broken_ = false;
  std::string trouble_;  // what was logged last, until events come again
};

}  // namespace hareramp::routing
