// A test double of the operators' source of the change stream: numbered server-sent events, first one full
// node list, then purges and node changes. It writes each event to each subscriber immediately and keeps all
// events, as the protocol page specifies; it does not model the limits of a real source.
#pragma once

#include <coroutine>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "transport/scheduler.hpp"
#include "transport/socket.hpp"

namespace hareramp::capacity {

// Counters of the source since its start.
struct SourceStats {
  std::uint64_t subscribers = 0;  // connected now
  std::uint64_t accepted = 0;     // connections accepted in total
  std::uint64_t bytes = 0;        // written to subscribers
  std::uint64_t writes = 0;       // write calls to subscribers
};

class StreamSource {
 public:
  // Event 1 is the full node list: the given entries, or, if empty, generated entries of the given number of
  // nodes, without a server behind them.
  StreamSource(transport::Scheduler& scheduler, const std::string& listen, int nodes,
               std::string entries = "");

  transport::Address address() const { return address_; }
  const SourceStats& stats() const { return stats_; }
  std::size_t encoded_bytes() const { return encoded_.size(); }
  long long last() const { return static_cast<long long>(offsets_.size()) - 1; }

  // Append events; subscribers receive them after publish().
  void append_purge(std::uint64_t object, double unix_ms);
  void append_node_change(int node, std::string_view state);
  void publish();

 private:
  void append(const std::string& change);
  static transport::Task<> accept_subscribers(StreamSource& self);
  // Wakes subscribers periodically, so that idle ones get a comment line as keep-alive.
  static transport::Task<> send_comments(StreamSource& self);
  static transport::Task<> serve(StreamSource& self, transport::Socket socket);
  auto next_publication() {
    struct Wait {
      StreamSource& source;
      bool await_ready() const noexcept { return false; }
      void await_suspend(std::coroutine_handle<> handle) { source.waiting_subscribers_.push_back(handle); }
      void await_resume() const noexcept {}
    };
    return Wait{*this};
  }

  transport::Scheduler& scheduler_;
  transport::Listener listener_;
  transport::Address address_;
  std::string encoded_;               // all events, encoded for the stream
  std::vector<std::size_t> offsets_;  // offsets_[n]: start of event n + 1 in encoded_
  std::vector<std::coroutine_handle<>> waiting_subscribers_;
  SourceStats stats_;
};

// One entry of the node list in the format of the protocol page. Node 0 is the origin, one node of every ten
// is a parent.
std::string node_entry(int node, std::string_view state);
// The comma-separated entries of nodes 0 to nodes - 1, all active.
std::string node_entries(int nodes);

}  // namespace hareramp::capacity
