// Stand-in for the source of the change stream: it writes node changes to its subscribers and counts the
// bytes. Event 1 is the full node list, which subscribers already have from their configuration.
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
  // entry: an entry of the node list in the format of the change stream.
  void append_node_change(const std::string& entry);
  std::uint64_t bytes_written() const { return bytes_written_; }

 private:
  static transport::Task<> accept_subscribers(ChangeSource& self);
  static transport::Task<> serve(ChangeSource& self, transport::Socket socket);

  transport::Scheduler& scheduler_;
  transport::Listener listener_;
  std::vector<std::string> events_;  // from event 2 on, in the format of the stream
  std::uint64_t bytes_written_ = 0;
};

}  // namespace hareramp::fleet_size
