// One flow record as it is exported, independent of the export protocol. Plain values; flow/table creates
// them and ipfix/encoder writes them.
#pragma once

#include <array>
#include <cstdint>

namespace hareramp::ipfix {

using Seconds = double;

// Number under which the exporter refers to a name; option records carry the list of names. 0: no name.
struct NameNumber {
  std::uint32_t value = 0;
  auto operator<=>(const NameNumber&) const = default;
};

struct Endpoint {
  std::array<std::uint8_t, 16> address{};  // network order; the first four bytes for IPv4
  std::uint16_t port = 0;
  bool v6 = false;
  bool operator==(const Endpoint&) const = default;
};

// The role of the director's peer on the connection.
enum class NodeRole : std::uint8_t { kUnknown, kClient, kEdge, kParent, kOrigin };
// How a request or an attempt ended. kNone: octets that belong to no request. For an attempt, kRejected means
// that it can safely be repeated, kFailed that nothing is known about its effect, and kCancelled that the
// director cancelled it.
enum class Outcome : std::uint8_t { kNone, kCompleted, kRejected, kFailed, kCancelled };
// flowEndReason, IANA element 136 (RFC 7012).
enum class EndReason : std::uint8_t { kIdle = 1, kActive = 2, kEnd = 3, kForced = 4, kLackOfResources = 5 };

// The keys by which the traffic of one connection is divided into flows.
struct Label {
  NameNumber request_class, location;  // location: the network of the requesting client
  Outcome outcome = Outcome::kNone;
  // Where the answer came from: the position in the protocol's list of answer details. 0: not known.
  std::uint8_t answer_detail = 0;
  bool operator==(const Label&) const = default;
};

// Index of the two directions of a biflow (RFC 5103): [0] from the connection's initiator, [1] towards it.
enum Direction : std::size_t { kForward = 0, kReverse = 1 };

struct Traffic {
  std::array<std::uint64_t, 2> octets{};  // TCP payload as the director read and wrote it; exact
  // TCP segments as the kernel counted them for the connection, divided among its flows in proportion to
  // octets.
  std::array<std::uint64_t, 2> packets{};
  std::array<std::uint64_t, 2> wire{};  // with IP and TCP headers and retransmissions, as far as known
};

struct Record {
  Endpoint initiator, responder;
  NodeRole node_role = NodeRole::kUnknown;
  NameNumber node;
  Label label;
  std::uint64_t id = 0;        // the same in all records of a flow
  Seconds start = 0;           // Unix time of the flow's first octet
  Seconds end = 0;             // of its last octet so far
  Traffic delta, total;        // since the flow's previous record; since the flow's start
  std::uint32_t requests = 0;  // requests that ended since the previous record
  EndReason reason = EndReason::kActive;
};

}  // namespace hareramp::ipfix
