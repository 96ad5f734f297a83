// Tests the table of flows: octets and segments add up for any sequence of events, limits hold, and records
// are emitted when they are due.
#include "flow/table.hpp"

#include <fmt/format.h>

#include <map>
#include <random>

#include "trace.hpp"

using namespace hareramp;
using namespace hareramp::flow;

namespace {

// Stores the records, and checks for each record that the flow's deltas add up to its total.
struct RecordingEvents : TableEvents {
  struct Sum {
    std::array<std::uint64_t, 2> octets{}, packets{}, wire{};
    int records = 0, ends = 0;
  };
  std::map<std::uint64_t, Sum> flows;
  std::map<std::uint32_t, KernelCounts> counted;
  std::array<std::uint64_t, 2> octets{}, packets{};
  std::uint64_t requests = 0, evicted_flows = 0;
  bool adds_up = true;
  std::string trace;
  bool tracing = false;

  KernelCounts kernel(ConnectionNumber connection) override { return counted[connection.value]; }
  void record(const Record& exported) override {
    Sum& sum = flows[exported.id];
    ++sum.records;
    sum.ends += exported.reason != EndReason::kActive;
    for (const std::size_t direction : {0u, 1u}) {
      sum.octets[direction] += exported.delta.octets[direction],
          sum.packets[direction] += exported.delta.packets[direction];
      sum.wire[direction] += exported.delta.wire[direction];
      octets[direction] += exported.delta.octets[direction],
          packets[direction] += exported.delta.packets[direction];
      adds_up = adds_up && sum.octets[direction] == exported.total.octets[direction] &&
                sum.packets[direction] == exported.total.packets[direction] &&
                sum.wire[direction] == exported.total.wire[direction];
    }
    requests += exported.requests;
    evicted_flows += exported.reason == EndReason::kLackOfResources;
    if (tracing)
      trace += fmt::format(
          "flow {} request class {} reason {} from {:.1f} to {:.1f}: {}/{} octets, {}/{} packets, {} "
          "requests\n",
          exported.id, exported.label.request_class.value, static_cast<int>(exported.reason), exported.start,
          exported.end, exported.delta.octets[0], exported.delta.octets[1], exported.delta.packets[0],
          exported.delta.packets[1], exported.requests);
  }
};

Label request_class(std::uint32_t number) {
  Label label;
  label.request_class = {number};
  return label;
}

}  // namespace

TEST_CASE("a clip over many intervals, an idle flow, two request classes on one connection, and the close") {
  RecordingEvents events;
  events.tracing = true;
  Table table({100, 10, 1.0, 3.0}, 1, events);
  const auto connection = *table.opened(0, {});
  table.moved(0, connection, request_class(1), ipfix::kForward, 150);
  for (int i = 1; i <= 24; ++i) {
    events.counted[connection.value].segments = {3u + i, 2u + 5u * i};
    table.moved(0.25 * i, connection, request_class(1), ipfix::kReverse, 7000);
    table.expire(0.25 * i, 100);
  }
  table.request_ended(6, connection, request_class(1));
  table.moved(6.1, connection, request_class(2), ipfix::kForward, 300);
  table.moved(6.1, connection, request_class(2), ipfix::kReverse, 100);
  events.counted[connection.value].segments = {40, 140};
  table.expire(6.5, 100);
  table.expire(9.2, 100);
  table.moved(9.3, connection, request_class(1), ipfix::kForward, 10);  // starts a new flow: the first ended
  table.closed(9.4, connection, EndReason::kEnd, {{45, 144}, {0, 0}});
  const auto silent_connection = *table.opened(9.5, {});
  table.closed(9.6, silent_connection, EndReason::kEnd, {{3, 2}, {0, 0}});
  CHECK(events.adds_up);
  CHECK(table.flows() == 0);
  CHECK(table.connections() == 0);
  check_trace("flow_table", events.trace);
}

TEST_CASE("random events: octets exact at each moment, segments as counted, one end per flow, limits kept") {
  for (const unsigned seed : {1u, 2u, 3u, 4u}) {
    std::mt19937 random(seed);
    RecordingEvents events;
    Table table({40, 20, 0.5, 1.0}, 1000, events);
    std::vector<ConnectionNumber> open;
    std::array<std::uint64_t, 2> expected_octets{}, counted{};
    std::uint64_t requests = 0;
    double now = 0;
    for (int step = 0; step < 20000; ++step) {
      now += 0.001 * (random() % 20);
      const unsigned action = random() % 100;
      if (action < 8) {
        const auto made = table.opened(now, {});
        CHECK(made.has_value() == (open.size() < 20));
        if (made) {
          events.counted[made->value] = {};
          open.push_back(*made);
        }
      } else if (action < 14 && !open.empty()) {
        const std::size_t which = random() % open.size();
        const KernelCounts last = events.counted[open[which].value];
        counted[0] += last.segments[0], counted[1] += last.segments[1];
        table.closed(now, open[which], EndReason::kEnd, last);
        table.closed(now, open[which], EndReason::kEnd, last);  // a second close has no effect
        open.erase(open.begin() + static_cast<long>(which));
      } else if (action < 90 && !open.empty()) {
        const ConnectionNumber at = open[random() % open.size()];
        const auto direction = static_cast<Direction>(random() % 2);
        const std::uint64_t octets = random() % 3000;
        events.counted[at.value].segments[direction] += 1 + octets / 1460;
        events.counted[at.value].segments[1 - direction] += 1;
        expected_octets[direction] += octets;
        table.moved(now, at, request_class(random() % 30), direction, octets);
        if (random() % 4 == 0) table.request_ended(now, at, request_class(random() % 30)), ++requests;
      } else {
        table.expire(now, 5);
      }
      CHECK(table.flows() <= 40);
      CHECK(table.octets(ipfix::kForward) == expected_octets[0]);
    }
    for (const ConnectionNumber at : open) {
      const KernelCounts last = events.counted[at.value];
      counted[0] += last.segments[0], counted[1] += last.segments[1];
      table.closed(now, at, EndReason::kEnd, last);
    }
    while (table.end_some(now, EndReason::kForced, 3)) {
    }
    CHECK(events.adds_up);
    CHECK(events.octets == expected_octets);
    CHECK(events.packets == counted);
    CHECK(events.requests == requests);
    CHECK(events.evicted_flows == table.evicted());
    CHECK(table.evicted() > 0);
    bool one_end = true;
    for (const auto& [id, sum] : events.flows) one_end = one_end && sum.ends == 1;
    CHECK(one_end);
  }
}

TEST_CASE(
    "shutdown with open connections: each flow ends once, and octets moved afterwards start a new flow") {
  RecordingEvents events;
  Table table({1000, 10, 60, 60}, 1, events);
  const auto connection = *table.opened(0, {});
  for (unsigned i = 0; i < 20; ++i) table.moved(1, connection, request_class(i), ipfix::kForward, 10);
  CHECK(table.end_some(2, EndReason::kForced, 15));
  CHECK_FALSE(table.end_some(2, EndReason::kForced, 15));
  CHECK(events.flows.size() == 20);
  table.moved(3, connection, request_class(3), ipfix::kReverse, 5);
  table.closed(4, connection, EndReason::kEnd, {});
  CHECK(events.flows.size() == 21);
  CHECK(events.octets == std::array<std::uint64_t, 2>{200, 5});
}
