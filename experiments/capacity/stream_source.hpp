// Stand-in for the operators' source of the change stream: numbered server-sent events, one whole list of
// nodes first, then purges and node changes. It writes each event to each subscriber as it comes and keeps
// all of them, as the protocol page has it; it is no model of a real source's limits.
#pragma once

#include <coroutine>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "transport/scheduler.hpp"
#include "transport/socket.hpp"

namespace hareramp::capacity {

// What the source has done since its start.
struct SourceUse {
  std::uint64_t subscribers = 0;  // connected now
  std::uint64_t accepted = 0;     // connections taken in all
  std::uint64_t bytes = 0;        // written to subscribers
  std::uint64_t writes = 0;       // calls that wrote them
};

class StreamSource {
 public:
  // Event 1 is the whole list: these entries, or so many nodes that nobody plays.
  StreamSource(transport::Scheduler& scheduler, const std::string& listen, int nodes,
               std::string entries = "");

  transport::Address address() const { return address_; }
  const SourceUse& use() const { return use_; }
  std::size_t encoded_bytes() const { return encoded_.size(); }
  long long last() const { return static_cast<long long>(offsets_.size()) - 1; }

  // Appends events; subscribers are woken by publish().
  void append_purge(std::uint64_t object, double unix_ms);
  void append_node_change(int node, std::string_view state);
  void publish();

 private:
  void append(const std::string& change);
  static transport::Task<> accept_subscribers(StreamSource& self);
  static transport::Task<> comment(StreamSource& self);
  static transport::Task<> serve(StreamSource& self, transport::Socket socket);
  auto next_publication() {
    struct Wait {
      StreamSource& source;
      bool await_ready() const noexcept { return false; }
      void await_suspend(std::coroutine_handle<> handle) { source.waiting_.push_back(handle); }
      void await_resume() const noexcept {}
    };
    return Wait{*this};
  }

  transport::Scheduler& scheduler_;
  transport::Listener listener_;
  transport::Address address_;
  std::string encoded_;               // all events, as written
  std::vector<std::size_t> offsets_;  // offsets_[n]: where event n + 1 begins
  std::vector<std::coroutine_handle<>> waiting_;
  SourceUse use_;
};

// One entry of the list of nodes, as the protocol page has it. Every tenth node is a parent, node 0 the
// origin.
std::string node_entry(int node, std::string_view state);
// The entries of nodes 0 to nodes - 1, all active, separated by commas.
std::string node_entries(int nodes);

}  // namespace hareramp::capacity
