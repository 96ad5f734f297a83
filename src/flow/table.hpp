// The flows that are going on: what each connection has moved, by label, and when that is told of. Pure: no
// I/O, time is an argument and never goes back; what the kernel counted is asked for through Kernel. Must
// never lose or double an octet: the deltas of a flow's records add up to what was booked for it, at each
// moment.
//
// A flow is one connection and one label (service grade, depot, outcome, cache note), both directions in one
// record (RFC 5103). Octets are booked to a label exactly. Segments are counted by the kernel for the whole
// connection; those since the last look are shared out among its flows by the octets moved since, what can't
// be divided going to the flow with most; an acknowledgement counts by the octets of the other direction.
// Octets are booked as the director hands them to the kernel; as long as segments go, the latest flow goes
// on.
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

// A connection's place in the table; used again for another once it is closed.
struct ConnectionNumber {
  std::uint32_t value = 0;
  auto operator<=>(const ConnectionNumber&) const = default;
};

struct Ends {
  Endpoint initiator, responder;
  NodeRole part = NodeRole::kUnknown;
  NameNumber node;
};

// Of a connection since it came up, as the kernel counts; by direction.
struct KernelCounts {
  std::array<std::uint64_t, 2> segments{},
      octets{};  // octets of payload, repeats included where it tells them
};

struct TableBounds {
  std::size_t flows = 0;        // at once; past it the one longest untold ends early, reason kNoRoom
  std::size_t connections = 0;  // at once; past it a connection is not counted, and that is
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
  // The first flow has the number first_id; a run that goes on after another starts above it.
  Table(const TableBounds& bounds, std::uint64_t first_id, TableEvents& events);

  std::optional<ConnectionNumber> opened(Seconds now, const Ends& ends);
  void moved(Seconds now, ConnectionNumber connection, const Label& label, Direction direction,
             std::uint64_t octets);
  void request_ended(Seconds now, ConnectionNumber connection, const Label& label);
  // The kernel's last counts come along: it can't be asked any more.
  void closed(Seconds now, ConnectionNumber connection, EndReason reason, const KernelCounts& last);

  // Tells of what is due, of so many flows at most; true: more is due.
  bool expire(Seconds now, std::size_t most);
  // Every flow ends, so many at a call; connections stay, and what they move afterwards begins new flows.
  bool end_some(Seconds now, EndReason reason, std::size_t most);
  void set_times(Seconds active, Seconds idle);

  std::size_t flows() const { return live_flows_; }
  std::size_t connections() const { return live_connections_; }
  std::uint64_t evicted() const { return evicted_; }
  // Octets booked since the start, whether told of or not.
  std::uint64_t octets(Direction direction) const { return octets_[direction]; }

 private:
  using Place = std::uint32_t;
  static constexpr Place kNone = 0xffffffff;
  // More labels than this on one connection share the label of nothing known: a peer must not make the table
  // grow, nor the search along a connection's flows.
  static constexpr std::size_t kLabelsOfOne = 24;

  struct Links {
    Place before = kNone, behind = kNone;
  };
  // One flow. Two queues run through all of them: by when the last record was told, and by the last octet.
  struct Flow {
    Label label;
    Place connection = kNone, next = kNone;  // of the same connection
    Links told, moved;
    Seconds start = 0, last = 0, told_at = 0;
    std::uint64_t id = 0;
    ipfix::Traffic delta, total;
    std::array<std::uint64_t, 2> fresh{};  // octets since the kernel was last looked at
    std::uint32_t requests = 0;
  };
  struct Connection {
    Ends ends;
    KernelCounts seen;
    Label last_label;                     // of the flow that ended last
    Place first = kNone, latest = kNone;  // flows; latest: the one that moved last, if it is still there
    std::uint32_t labels = 0;
    bool open = false, told = false;  // told: some record of it went out
  };
  struct Queue {
    Place first = kNone, last = kNone;
  };

  Place find(Seconds now, Place connection, Label label);
  // True: the kernel has moved segments since the last look.
  bool look(Place connection, const KernelCounts& now_counted);
  void share_out(Connection& connection, Direction direction, std::uint64_t segments, std::uint64_t octets);
  void tell(Seconds now, Place flow, EndReason reason);
  void end(Seconds now, Place flow, EndReason reason);
  void append(Queue& queue, Links Flow::*links, Place flow);
  void remove(Queue& queue, Links Flow::*links, Place flow);

  TableBounds bounds_;
  TableEvents& events_;
  std::deque<Flow> flows_;  // never moves: a table that doubles would stop the loop for the copy
  std::deque<Connection> connections_;
  std::vector<Place> free_flows_, free_connections_;
  Queue told_, moved_;
  std::size_t live_flows_ = 0, live_connections_ = 0;
  std::uint64_t next_id_, evicted_ = 0;
  std::array<std::uint64_t, 2> octets_{};
};

}  // namespace hareramp::flow
