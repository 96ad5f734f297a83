// Table of the active flows: the traffic of each connection by label, and when records of it are due. Does no
// I/O: time is an argument and never goes back, and the kernel's counts come from TableEvents::kernel(). Must
// never lose an octet or count one twice: at any moment the deltas of a flow's records, with the delta not
// yet exported, add up to the octets counted for it.
//
// A flow is one connection and one label (request class, location, outcome, answer detail), with both
// directions in one record (RFC 5103). Octets are counted per label exactly. Segments are counted by the
// kernel for the whole connection: those since the kernel's counts were last read are divided among the
// connection's flows in proportion to the octets moved since then, and the remainder goes to the flow with
// the most octets. If a direction carried only acknowledgements, its segments are divided by the octets of
// the other direction. Octets are counted when the director hands them to the kernel, so the flow that moved
// octets last stays active as long as the kernel still counts segments.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "ipfix/record.hpp"

namespace hareramp::flow {

using ipfix::Direction;
using ipfix::Endpoint;
using ipfix::EndReason;
using ipfix::Label;
using ipfix::NameNumber;
using ipfix::NodeRole;
using ipfix::Record;
using Seconds = double;

// Index of a connection in the table; reused after the connection is closed.
struct ConnectionNumber {
  std::uint32_t value = 0;
  auto operator<=>(const ConnectionNumber&) const = default;
};

struct Endpoints {
  Endpoint initiator, responder;
  NodeRole part = NodeRole::kUnknown;
  NameNumber node;
};

// What the kernel has counted for a connection since it was opened, by direction.
struct KernelCounts {
  std::array<std::uint64_t, 2> segments{},
      octets{};  // payload; includes retransmissions if the kernel reports them
};

struct TableBounds {
  std::size_t flows = 0;        // limit; beyond it the flow with the oldest record ends (kLackOfResources)
  std::size_t connections = 0;  // limit; beyond it opened() returns nothing and the caller counts that
  Seconds active = 0, idle = 0;
};

class TableEvents {
 public:
  virtual ~TableEvents() = default;
  virtual KernelCounts kernel(ConnectionNumber connection) = 0;
  virtual void record(const Record& record) = 0;
};

class Table {
 public:
  // first_id is the id of the first flow; after a restart it must be above the ids of the previous run.
  Table(const TableBounds& bounds, std::uint64_t first_id, TableEvents& events);

  std::optional<ConnectionNumber> opened(Seconds now, const Endpoints& endpoints);
  void moved(Seconds now, ConnectionNumber connection, const Label& label, Direction direction,
             std::uint64_t octets);
  void request_ended(Seconds now, ConnectionNumber connection, const Label& label);
  // last holds the kernel's final counts, as they can't be read after the connection is closed.
  void closed(Seconds now, ConnectionNumber connection, EndReason reason, const KernelCounts& last);

  // Emits the records that are due, for at most max_flows flows. Returns true if more are due.
  bool expire(Seconds now, std::size_t max_flows);
  // Ends at most max_flows flows per call; returns true if flows are left. Connections stay open, and octets
  // moved afterwards start new flows.
  bool end_some(Seconds now, EndReason reason, std::size_t max_flows);
  void set_times(Seconds active, Seconds idle);

  std::size_t flows() const { return open_flows_; }
  std::size_t connections() const { return open_connections_; }
  std::uint64_t evicted() const { return evicted_; }
  // Octets counted since the start, exported or not.
  std::uint64_t octets(Direction direction) const { return octets_[direction]; }

 private:
  using Index = std::uint32_t;
  static constexpr Index kNoIndex = 0xffffffff;
  // Once a connection has this many labels, further ones count as the empty label: a peer must not be able to
  // grow the table, or the list of flows that is searched for each label, without limit.
  static constexpr std::size_t kMaxLabelsPerConnection = 24;

  struct Links {
    Index previous = kNoIndex, following = kNoIndex;
  };
  // One flow. All flows are linked in two queues: by the time of the last record, and by that of the last
  // octet.
  struct Flow {
    Label label;
    Index connection = kNoIndex, next = kNoIndex;  // next: another flow of the connection
    Links record_links, octet_links;
    Seconds start = 0, last = 0, last_record_at = 0;
    std::uint64_t id = 0;
    ipfix::Traffic delta, total;
    std::array<std::uint64_t, 2> octets_since_kernel_read{};  // since the kernel's counts were last read
    std::uint32_t requests = 0;
  };
  struct Connection {
    Endpoints endpoints;
    KernelCounts last_kernel_counts;
    Label last_label;                           // label of the flow that ended last
    Index first = kNoIndex, latest = kNoIndex;  // flows; latest: moved octets last, if it has not ended
    std::uint32_t labels = 0;
    bool open = false, has_record = false;  // has_record: a record was emitted
  };
  struct Queue {
    Index first = kNoIndex, last = kNoIndex;
  };

  Index find_or_create_flow(Seconds now, Index connection, Label label);
  // Returns true if the kernel has counted new segments.
  bool update_kernel_counts(Index connection, const KernelCounts& now_counted);
  void apportion(Connection& connection, Direction direction, std::uint64_t segments, std::uint64_t octets);
  void emit_record(Seconds now, Index flow, EndReason reason);
  void end(Seconds now, Index flow, EndReason reason);
  void append(Queue& queue, Links Flow::*links, Index flow);
  void remove(Queue& queue, Links Flow::*links, Index flow);

  TableBounds bounds_;
  TableEvents& events_;
  std::deque<Flow> flows_;  // a deque, as a vector that grows would block the event loop while it copies
  std::deque<Connection> connections_;
  std::vector<Index> free_flows_, free_connections_;
  Queue by_last_record_, by_last_octet_;
  std::size_t open_flows_ = 0, open_connections_ = 0;
  std::uint64_t next_id_, evicted_ = 0;
  std::array<std::uint64_t, 2> octets_{};
};

}  // namespace hareramp::flow
