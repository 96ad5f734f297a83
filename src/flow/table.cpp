#include "flow/table.hpp"

#include <algorithm>
#include <utility>

namespace hareramp::flow {

namespace {
// Bytes of headers per segment: IPv4 or IPv6, and TCP with timestamps (RFC 7323). Segments of a handshake
// have up to 8 bytes more; this is the error of the octets on the wire.
constexpr std::uint64_t kHeadersV4 = 20 + 32, kHeadersV6 = 40 + 32;
}  // namespace

Table::Table(const TableBounds& bounds, std::uint64_t first_id, TableEvents& events)
    : bounds_(bounds), events_(events), next_id_(first_id) {}

void Table::set_times(Seconds active, Seconds idle) { bounds_.active = active, bounds_.idle = idle; }

void Table::append(Queue& queue, Links Flow::*links, Index index) {
  Links& own_links = flows_[index].*links;
  own_links = {queue.last, kNoIndex};
  if (queue.last == kNoIndex)
    queue.first = index;
  else
    (flows_[queue.last].*links).following = index;
  queue.last = index;
}

void Table::remove(Queue& queue, Links Flow::*links, Index index) {
  const Links own_links = flows_[index].*links;
  if (own_links.previous == kNoIndex)
    queue.first = own_links.following;
  else
    (flows_[own_links.previous].*links).following = own_links.following;
  if (own_links.following == kNoIndex)
    queue.last = own_links.previous;
  else
    (flows_[own_links.following].*links).previous = own_links.previous;
}

std::optional<ConnectionNumber> Table::opened(Seconds, const Endpoints& endpoints) {
  if (open_connections_ >= bounds_.connections) return {};
  Index index;
  if (free_connections_.empty()) {
    index = static_cast<Index>(connections_.size());
    connections_.emplace_back();
  } else {
    index = free_connections_.back();
    free_connections_.pop_back();
    connections_[index] = Connection();
  }
  connections_[index].endpoints = endpoints;
  connections_[index].open = true;
  ++open_connections_;
  return ConnectionNumber{index};
}

// Returns the connection's flow with this label, and creates it if there is none.
Table::Index Table::find_or_create_flow(Seconds now, Index index, Label label) {
  if (connections_[index].labels >= kMaxLabelsPerConnection) {
    // The limit is reached: a label that the connection does not have yet counts as the empty label.
    bool known = false;
    for (Index at = connections_[index].first; at != kNoIndex && !known; at = flows_[at].next)
      known = flows_[at].label == label;
    if (!known) label = Label();
  }
  for (Index at = connections_[index].first; at != kNoIndex; at = flows_[at].next)
    if (flows_[at].label == label) return at;
  if (open_flows_ >= bounds_.flows) {
    ++evicted_;
    end(now, by_last_record_.first, EndReason::kLackOfResources);
  }
  Index flow;
  if (free_flows_.empty()) {
    flow = static_cast<Index>(flows_.size());
    flows_.emplace_back();
  } else {
    flow = free_flows_.back();
    free_flows_.pop_back();
    flows_[flow] = Flow();
  }
  Flow& made = flows_[flow];
  made.label = label;
  made.connection = index;
  made.next = std::exchange(connections_[index].first, flow);
  made.start = made.last = made.last_record_at = now;
  made.id = next_id_++;
  append(by_last_record_, &Flow::record_links, flow);
  append(by_last_octet_, &Flow::octet_links, flow);
  ++connections_[index].labels;
  ++open_flows_;
  return flow;
}

void Table::moved(Seconds now, ConnectionNumber connection, const Label& label, Direction direction,
                  std::uint64_t octets) {
  if (octets == 0) return;
  const Index index = find_or_create_flow(now, connection.value, label);
  Flow& flow = flows_[index];
  flow.last = now;
  flow.delta.octets[direction] += octets;
  flow.total.octets[direction] += octets;
  flow.octets_since_kernel_read[direction] += octets;
  octets_[direction] += octets;
  connections_[connection.value].latest = index;
  if (by_last_octet_.last == index) return;
  remove(by_last_octet_, &Flow::octet_links, index);
  append(by_last_octet_, &Flow::octet_links, index);
}

void Table::request_ended(Seconds now, ConnectionNumber connection, const Label& label) {
  ++flows_[find_or_create_flow(now, connection.value, label)].requests;
}

void Table::apportion(Connection& connection, Direction direction, std::uint64_t segments,
                      std::uint64_t octets) {
  // A direction without octets carried only acknowledgements: they are divided by the octets they
  // acknowledge.
  std::uint64_t total_octets = 0;
  Direction basis = direction;
  for (const Direction each_direction : {direction, static_cast<Direction>(1 - direction)}) {
    if (total_octets > 0) break;
    basis = each_direction;
    for (Index at = connection.first; at != kNoIndex; at = flows_[at].next)
      total_octets += flows_[at].octets_since_kernel_read[each_direction];
  }
  const std::uint64_t headers = connection.endpoints.initiator.v6 ? kHeadersV6 : kHeadersV4;
  const std::uint64_t wire = octets + segments * headers;
  std::uint64_t segments_left = segments, wire_left = wire;
  Index largest = connection.latest != kNoIndex ? connection.latest : connection.first;
  for (Index at = connection.first; at != kNoIndex; at = flows_[at].next) {
    Flow& flow = flows_[at];
    if (flow.octets_since_kernel_read[basis] > flows_[largest].octets_since_kernel_read[basis]) largest = at;
    if (total_octets == 0) continue;
    const auto part = [&](std::uint64_t whole) {
      return static_cast<std::uint64_t>(static_cast<long double>(whole) *
                                        flow.octets_since_kernel_read[basis] / total_octets);
    };
    const std::uint64_t flow_segments = std::min(part(segments), segments_left),
                        flow_wire_bytes = std::min(part(wire), wire_left);
    for (ipfix::Traffic* traffic : {&flow.delta, &flow.total}) {
      traffic->packets[direction] += flow_segments;
      traffic->wire[direction] += flow_wire_bytes;
    }
    segments_left -= flow_segments, wire_left -= flow_wire_bytes;
  }
  for (ipfix::Traffic* traffic : {&flows_[largest].delta, &flows_[largest].total}) {
    traffic->packets[direction] += segments_left;
    traffic->wire[direction] += wire_left;
  }
}

// Adds what the kernel has counted since the last call to the connection's flows. If the connection has no
// flow yet, the counts are left for a later call.
bool Table::update_kernel_counts(Index index, const KernelCounts& counted) {
  Connection& connection = connections_[index];
  if (connection.first == kNoIndex) return false;
  bool moved = false;
  for (const Direction each_direction : {ipfix::kForward, ipfix::kReverse}) {
    const auto since = [&](const std::array<std::uint64_t, 2> KernelCounts::*which) {
      const std::uint64_t then = (connection.last_kernel_counts.*which)[each_direction],
                          now = (counted.*which)[each_direction];
      return now > then ? now - then : 0;  // less than before: the kernel no longer has the connection
    };
    const std::uint64_t segments = since(&KernelCounts::segments);
    moved = moved || segments > 0;
    apportion(connection, each_direction, segments, since(&KernelCounts::octets));
  }
  for (const Direction each_direction : {ipfix::kForward, ipfix::kReverse}) {
    connection.last_kernel_counts.segments[each_direction] =
        std::max(connection.last_kernel_counts.segments[each_direction], counted.segments[each_direction]);
    connection.last_kernel_counts.octets[each_direction] =
        std::max(connection.last_kernel_counts.octets[each_direction], counted.octets[each_direction]);
  }
  for (Index at = connection.first; at != kNoIndex; at = flows_[at].next)
    flows_[at].octets_since_kernel_read = {};
  return moved;
}

void Table::emit_record(Seconds now, Index index, EndReason reason) {
  Flow& flow = flows_[index];
  Connection& connection = connections_[flow.connection];
  Record record;
  record.initiator = connection.endpoints.initiator;
  record.responder = connection.endpoints.responder;
  record.node_role = connection.endpoints.part;
  record.node = connection.endpoints.node;
  record.label = flow.label;
  record.id = flow.id;
  record.start = flow.start;
  record.end = flow.last;
  record.delta = flow.delta;
  record.total = flow.total;
  record.requests = flow.requests;
  record.reason = reason;
  connection.has_record = true;
  flow.delta = {};
  flow.requests = 0;
  flow.last_record_at = now;
  events_.record(record);
}

void Table::end(Seconds now, Index index, EndReason reason) {
  const Index connection = flows_[index].connection;
  if (connections_[connection].open) update_kernel_counts(connection, events_.kernel({connection}));
  emit_record(now, index, reason);
  remove(by_last_record_, &Flow::record_links, index);
  remove(by_last_octet_, &Flow::octet_links, index);
  Index* link = &connections_[connection].first;
  while (*link != index) link = &flows_[*link].next;
  *link = flows_[index].next;
  if (connections_[connection].latest == index)
    connections_[connection].latest = connections_[connection].first;
  --connections_[connection].labels;
  connections_[connection].last_label = flows_[index].label;
  --open_flows_;
  free_flows_.push_back(index);
}

void Table::closed(Seconds now, ConnectionNumber number, EndReason reason, const KernelCounts& last) {
  Connection& connection = connections_[number.value];
  if (!connection.open) return;
  // A record is emitted also for a connection that never moved an octet, and for segments counted after its
  // last flow ended.
  const bool more = last.segments[0] > connection.last_kernel_counts.segments[0] ||
                    last.segments[1] > connection.last_kernel_counts.segments[1];
  if (connection.first == kNoIndex && (!connection.has_record || more))
    find_or_create_flow(now, number.value, connection.last_label);
  update_kernel_counts(number.value, last);
  connection.open = false;
  while (connection.first != kNoIndex) end(now, connection.first, reason);
  --open_connections_;
  free_connections_.push_back(number.value);
}

bool Table::expire(Seconds now, std::size_t max_flows) {
  while (by_last_octet_.first != kNoIndex && flows_[by_last_octet_.first].last + bounds_.idle <= now) {
    if (max_flows-- == 0) return true;
    const Index index = by_last_octet_.first;
    const Index connection = flows_[index].connection;
    // The kernel may still be sending octets to a slow reader that it was handed long ago.
    if (update_kernel_counts(connection, events_.kernel({connection})) &&
        connections_[connection].latest == index) {
      flows_[index].last = now;
      remove(by_last_octet_, &Flow::octet_links, index);
      append(by_last_octet_, &Flow::octet_links, index);
      continue;
    }
    end(now, index, EndReason::kIdle);
  }
  while (by_last_record_.first != kNoIndex &&
         flows_[by_last_record_.first].last_record_at + bounds_.active <= now) {
    if (max_flows-- == 0) return true;
    const Index index = by_last_record_.first;
    Flow& flow = flows_[index];
    remove(by_last_record_, &Flow::record_links, index);
    append(by_last_record_, &Flow::record_links, index);
    flow.last_record_at = now;
    if (update_kernel_counts(flow.connection, events_.kernel({flow.connection})) &&
        connections_[flow.connection].latest == index && flow.last < now) {
      flow.last = now;
      remove(by_last_octet_, &Flow::octet_links, index);
      append(by_last_octet_, &Flow::octet_links, index);
    }
    const auto &octets = flow.delta.octets, &packets = flow.delta.packets;
    if (octets[0] + octets[1] + packets[0] + packets[1] + flow.requests == 0)
      continue;  // nothing to report; the idle timeout will end it
    emit_record(now, index, EndReason::kActive);
  }
  return false;
}

bool Table::end_some(Seconds now, EndReason reason, std::size_t max_flows) {
  for (; by_last_record_.first != kNoIndex; --max_flows) {
    if (max_flows == 0) return true;
    end(now, by_last_record_.first, reason);
  }
  return false;
}

}  // namespace hareramp::flow
