#include "flow/table.hpp"

#include <algorithm>
#include <utility>

namespace hareramp::flow {

namespace {
// Bytes of the headers of one segment: IPv4 or IPv6, TCP with its time stamps (RFC 7323). Handshakes have up
// to 8 more; that is the margin of the octets on the wire.
constexpr std::uint64_t kHeadersV4 = 20 + 32, kHeadersV6 = 40 + 32;
}  // namespace

Table::Table(const TableBounds& bounds, std::uint64_t first_id, TableEvents& events)
    : bounds_(bounds), events_(events), next_id_(first_id) {}

void Table::set_times(Seconds active, Seconds idle) { bounds_.active = active, bounds_.idle = idle; }

void Table::append(Queue& queue, Links Flow::*links, Place place) {
  Links& mine = flows_[place].*links;
  mine = {queue.last, kNone};
  if (queue.last == kNone)
    queue.first = place;
  else
    (flows_[queue.last].*links).behind = place;
  queue.last = place;
}

void Table::remove(Queue& queue, Links Flow::*links, Place place) {
  const Links mine = flows_[place].*links;
  if (mine.before == kNone)
    queue.first = mine.behind;
  else
    (flows_[mine.before].*links).behind = mine.behind;
  if (mine.behind == kNone)
    queue.last = mine.before;
  else
    (flows_[mine.behind].*links).before = mine.before;
}

std::optional<ConnectionNumber> Table::opened(Seconds, const Ends& ends) {
  if (live_connections_ >= bounds_.connections) return {};
  Place place;
  if (free_connections_.empty()) {
    place = static_cast<Place>(connections_.size());
    connections_.emplace_back();
  } else {
    place = free_connections_.back();
    free_connections_.pop_back();
    connections_[place] = Connection();
  }
  connections_[place].ends = ends;
  connections_[place].open = true;
  ++live_connections_;
  return ConnectionNumber{place};
}

// The flow of that label, made if there is none.
Table::Place Table::find(Seconds now, Place place, Label label) {
  if (connections_[place].labels >= kLabelsOfOne) {
    // Only the labels there are, and the empty one, from here on.
    bool known = false;
    for (Place at = connections_[place].first; at != kNone && !known; at = flows_[at].next)
      known = flows_[at].label == label;
    if (!known) label = Label();
  }
  for (Place at = connections_[place].first; at != kNone; at = flows_[at].next)
    if (flows_[at].label == label) return at;
  if (live_flows_ >= bounds_.flows) {
    ++evicted_;
    end(now, told_.first, EndReason::kLackOfResources);
  }
  Place flow;
  if (free_flows_.empty()) {
    flow = static_cast<Place>(flows_.size());
    flows_.emplace_back();
  } else {
    flow = free_flows_.back();
    free_flows_.pop_back();
    flows_[flow] = Flow();
  }
  Flow& made = flows_[flow];
  made.label = label;
  made.connection = place;
  made.next = std::exchange(connections_[place].first, flow);
  made.start = made.last = made.told_at = now;
  made.id = next_id_++;
  append(told_, &Flow::told, flow);
  append(moved_, &Flow::moved, flow);
  ++connections_[place].labels;
  ++live_flows_;
  return flow;
}

void Table::moved(Seconds now, ConnectionNumber connection, const Label& label, Direction direction,
                  std::uint64_t octets) {
  if (octets == 0) return;
  const Place place = find(now, connection.value, label);
  Flow& flow = flows_[place];
  flow.last = now;
  flow.delta.octets[direction] += octets;
  flow.total.octets[direction] += octets;
  flow.fresh[direction] += octets;
  octets_[direction] += octets;
  connections_[connection.value].latest = place;
  if (moved_.last == place) return;
  remove(moved_, &Flow::moved, place);
  append(moved_, &Flow::moved, place);
}

void Table::request_ended(Seconds now, ConnectionNumber connection, const Label& label) {
  ++flows_[find(now, connection.value, label)].requests;
}

void Table::share_out(Connection& connection, Direction direction, std::uint64_t segments,
                      std::uint64_t octets) {
  // A direction in which nothing moved carries only acknowledgements: they follow what they acknowledge.
  std::uint64_t all = 0;
  Direction by = direction;
  for (const Direction way : {direction, static_cast<Direction>(1 - direction)}) {
    if (all > 0) break;
    by = way;
    for (Place at = connection.first; at != kNone; at = flows_[at].next) all += flows_[at].fresh[way];
  }
  const std::uint64_t headers = connection.ends.initiator.v6 ? kHeadersV6 : kHeadersV4;
  const std::uint64_t wire = octets + segments * headers;
  std::uint64_t segments_left = segments, wire_left = wire;
  Place most = connection.latest != kNone ? connection.latest : connection.first;
  for (Place at = connection.first; at != kNone; at = flows_[at].next) {
    Flow& flow = flows_[at];
    if (flow.fresh[by] > flows_[most].fresh[by]) most = at;
    if (all == 0) continue;
    const auto part = [&](std::uint64_t whole) {
      return static_cast<std::uint64_t>(static_cast<long double>(whole) * flow.fresh[by] / all);
    };
    const std::uint64_t some = std::min(part(segments), segments_left),
                        bytes = std::min(part(wire), wire_left);
    for (ipfix::Traffic* traffic : {&flow.delta, &flow.total}) {
      traffic->packets[direction] += some;
      traffic->wire[direction] += bytes;
    }
    segments_left -= some, wire_left -= bytes;
  }
  for (ipfix::Traffic* traffic : {&flows_[most].delta, &flows_[most].total}) {
    traffic->packets[direction] += segments_left;
    traffic->wire[direction] += wire_left;
  }
}

// Takes in what the kernel has counted since the last look. Where there is no flow yet it waits for one.
bool Table::look(Place place, const KernelCounts& counted) {
  Connection& connection = connections_[place];
  if (connection.first == kNone) return false;
  bool moved = false;
  for (const Direction way : {ipfix::kForward, ipfix::kReverse}) {
    const auto since = [&](const std::array<std::uint64_t, 2> KernelCounts::*which) {
      const std::uint64_t then = (connection.seen.*which)[way], now = (counted.*which)[way];
      return now > then ? now - then : 0;  // asked in vain: the kernel has forgotten the connection
    };
    const std::uint64_t segments = since(&KernelCounts::segments);
    moved = moved || segments > 0;
    share_out(connection, way, segments, since(&KernelCounts::octets));
  }
  for (const Direction way : {ipfix::kForward, ipfix::kReverse}) {
    connection.seen.segments[way] = std::max(connection.seen.segments[way], counted.segments[way]);
    connection.seen.octets[way] = std::max(connection.seen.octets[way], counted.octets[way]);
  }
  for (Place at = connection.first; at != kNone; at = flows_[at].next) flows_[at].fresh = {};
  return moved;
}

void Table::tell(Seconds now, Place place, EndReason reason) {
  Flow& flow = flows_[place];
  Connection& connection = connections_[flow.connection];
  Record record;
  record.initiator = connection.ends.initiator;
  record.responder = connection.ends.responder;
  record.node_role = connection.ends.part;
  record.node = connection.ends.node;
  record.label = flow.label;
  record.id = flow.id;
  record.start = flow.start;
  record.end = flow.last;
  record.delta = flow.delta;
  record.total = flow.total;
  record.requests = flow.requests;
  record.reason = reason;
  connection.told = true;
  flow.delta = {};
  flow.requests = 0;
  flow.told_at = now;
  events_.record(record);
}

void Table::end(Seconds now, Place place, EndReason reason) {
  const Place connection = flows_[place].connection;
  if (connections_[connection].open) look(connection, events_.kernel({connection}));
  tell(now, place, reason);
  remove(told_, &Flow::told, place);
  remove(moved_, &Flow::moved, place);
  Place* link = &connections_[connection].first;
  while (*link != place) link = &flows_[*link].next;
  *link = flows_[place].next;
  if (connections_[connection].latest == place)
    connections_[connection].latest = connections_[connection].first;
  --connections_[connection].labels;
  connections_[connection].last_label = flows_[place].label;
  --live_flows_;
  free_flows_.push_back(place);
}

void Table::closed(Seconds now, ConnectionNumber number, EndReason reason, const KernelCounts& last) {
  Connection& connection = connections_[number.value];
  if (!connection.open) return;
  // One that never moved an octet is told of as well: somebody knocked. So are segments after the last flow.
  const bool more =
      last.segments[0] > connection.seen.segments[0] || last.segments[1] > connection.seen.segments[1];
  if (connection.first == kNone && (!connection.told || more)) find(now, number.value, connection.last_label);
  look(number.value, last);
  connection.open = false;
  while (connection.first != kNone) end(now, connection.first, reason);
  --live_connections_;
  free_connections_.push_back(number.value);
}

bool Table::expire(Seconds now, std::size_t most) {
  while (moved_.first != kNone && flows_[moved_.first].last + bounds_.idle <= now) {
    if (most-- == 0) return true;
    const Place place = moved_.first;
    const Place connection = flows_[place].connection;
    // Octets handed to the kernel long ago may still be on their way to a slow reader.
    if (look(connection, events_.kernel({connection})) && connections_[connection].latest == place) {
      flows_[place].last = now;
      remove(moved_, &Flow::moved, place);
      append(moved_, &Flow::moved, place);
      continue;
    }
    end(now, place, EndReason::kIdle);
  }
  while (told_.first != kNone && flows_[told_.first].told_at + bounds_.active <= now) {
    if (most-- == 0) return true;
    const Place place = told_.first;
    Flow& flow = flows_[place];
    remove(told_, &Flow::told, place);
    append(told_, &Flow::told, place);
    flow.told_at = now;
    if (look(flow.connection, events_.kernel({flow.connection})) &&
        connections_[flow.connection].latest == place && flow.last < now) {
      flow.last = now;
      remove(moved_, &Flow::moved, place);
      append(moved_, &Flow::moved, place);
    }
    const auto &octets = flow.delta.octets, &packets = flow.delta.packets;
    if (octets[0] + octets[1] + packets[0] + packets[1] + flow.requests == 0)
      continue;  // its idle time will end it
    tell(now, place, EndReason::kActive);
  }
  return false;
}

bool Table::end_some(Seconds now, EndReason reason, std::size_t most) {
  for (; told_.first != kNone; --most) {
    if (most == 0) return true;
    end(now, told_.first, reason);
  }
  return false;
}

}  // namespace hareramp::flow
