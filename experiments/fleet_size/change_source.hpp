// Stand-in for the source of the change stream: it writes node changes to whoever subscribes and counts the
// bytes. The whole list is event 1, which subscribers know already.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "transport/scheduler.hpp"
#include "transport/socket.hpp"

namespace hareramp::fleet_size {

class ChangeSource {
 public:
  explicit ChangeSource(transport::Scheduler& scheduler);

  std::string address() const { return listener_.address().text(); }
  // entry: of the list, as the stream has it.
  void append_node_change(const std::string& entry);
  std::uint64_t bytes_written() const { return bytes_written_; }

 private:
  static transport::Task<> accept_subscribers(ChangeSource& self);
  static transport::Task<> serve(ChangeSource& self, transport::Socket socket);

  transport::Scheduler& scheduler_;
  transport::Listener listener_;
  std::vector<std::string> events_;  // from event 2 on, as written
  std::uint64_t bytes_written_ = 0;
};

}  // namespace hareramp::fleet_size
