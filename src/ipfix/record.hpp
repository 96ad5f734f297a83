// One flow record as it is exported, whatever the protocol. Plain values; made by flow/table, written by
// ipfix/encoder.
#pragma once

#include <array>
#include <cstdint>

namespace hareramp::ipfix {

using Seconds = double;

// A name's place in the exporter's list of names; the list itself travels in option records. 0: no name.
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

// What the other side of the connection is.
enum class NodeRole : std::uint8_t { kUnknown, kClient, kEdge, kParent, kOrigin };
// kNone: octets that belong to no request. For an attempt: completed, may be repeated without harm, no
// promise, called off.
enum class Outcome : std::uint8_t { kNone, kCompleted, kRejected, kFailed, kCancelled };
// flowEndReason, RFC 7012 element 136.
enum class EndReason : std::uint8_t { kIdle = 1, kActive = 2, kEnd = 3, kForced = 4, kLackOfResources = 5 };

// What divides the traffic of one connection into flows.
struct Label {
  NameNumber request_class, location;  // depot: the network of the client that asked
  Outcome outcome = Outcome::kNone;
  std::uint8_t answer_detail =
      0;  // where the answer came from, in the order of the protocol's notes; 0: not told
  bool operator==(const Label&) const = default;
};

// Both directions of a biflow (RFC 5103): [0] from the connection's initiator, [1] towards it.
enum Direction : std::size_t { kForward = 0, kReverse = 1 };

struct Traffic {
  std::array<std::uint64_t, 2> octets{};   // of TCP payload as the director read and wrote it; exact
  std::array<std::uint64_t, 2> packets{};  // TCP segments as the kernel counted them, shared out by octets
  std::array<std::uint64_t, 2> wire{};     // bytes with IP and TCP headers and repeats, as far as known
};

struct Record {
  Endpoint initiator, responder;
  NodeRole node_role = NodeRole::kUnknown;
  NameNumber node;
  Label label;
  std::uint64_t id = 0;        // the same in all records of a flow
  Seconds start = 0;           // Unix time of the flow's first octet
  Seconds end = 0;             // of the last one so far
  Traffic delta, total;        // since the record before; since the start
  std::uint32_t requests = 0;  // that ended since the record before
  EndReason reason = EndReason::kActive;
};

}  // namespace hareramp::ipfix
