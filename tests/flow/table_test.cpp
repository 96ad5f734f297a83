// The table of flows: octets and segments add up whatever happens, bounds hold, times are kept.
#include "flow/table.hpp"

#include <fmt/format.h>

#include <map>
#include <random>

#include "trace.hpp"

using namespace hareramp;
using namespace hareramp::flow;

namespace {

// Keeps what is told, and checks as it comes that each flow's deltas add up to its total.
struct Ledger : TableEvents {
  struct Sum {
    std::array<std::uint64_t, 2> octets{}, packets{}, wire{};
    int records = 0, ends = 0;
  };
  std::map<std::uint64_t, Sum> flows;
  std::map<std::uint32_t, KernelCounts> counted;
  std::array<std::uint64_t, 2> octets{}, packets{};
  std::uint64_t requests = 0, forced_early = 0;
  bool adds_up = true;
  std::string trace;
  bool traces = false;

  KernelCounts kernel(ConnectionNumber connection) override { return counted[connection.value]; }
  void record(const Record& r) override {
    Sum& sum = flows[r.id];
    ++sum.records;
    sum.ends += r.reason != EndReason::kActive;
    for (const std::size_t way : {0u, 1u}) {
      sum.octets[way] += r.delta.octets[way], sum.packets[way] += r.delta.packets[way];
      sum.wire[way] += r.delta.wire[way];
      octets[way] += r.delta.octets[way], packets[way] += r.delta.packets[way];
      adds_up = adds_up && sum.octets[way] == r.total.octets[way] &&
                sum.packets[way] == r.total.packets[way] && sum.wire[way] == r.total.wire[way];
    }
    requests += r.requests;
    forced_early += r.reason == EndReason::kLackOfResources;
    if (traces)
      trace += fmt::format(
          "flow {} grade {} reason {} from {:.1f} to {:.1f}: {}/{} octets, {}/{} packets, {} requests\n",
          r.id, r.label.request_class.value, static_cast<int>(r.reason), r.start, r.end, r.delta.octets[0],
          r.delta.octets[1], r.delta.packets[0], r.delta.packets[1], r.requests);
  }
};

Label request_class(std::uint32_t number) {
  Label label;
  label.request_class = {number};
  return label;
}

}  // namespace

TEST_CASE("a clip over many intervals, an idle flow, two grades on one connection, and the end") {
  Ledger ledger;
  ledger.traces = true;
  Table table({100, 10, 1.0, 3.0}, 1, ledger);
  const auto one = *table.opened(0, {});
  table.moved(0, one, request_class(1), ipfix::kForward, 150);
  for (int i = 1; i <= 24; ++i) {
    ledger.counted[one.value].segments = {3u + i, 2u + 5u * i};
    table.moved(0.25 * i, one, request_class(1), ipfix::kReverse, 7000);
    table.expire(0.25 * i, 100);
  }
  table.request_ended(6, one, request_class(1));
  table.moved(6.1, one, request_class(2), ipfix::kForward, 300);
  table.moved(6.1, one, request_class(2), ipfix::kReverse, 100);
  ledger.counted[one.value].segments = {40, 140};
  table.expire(6.5, 100);
  table.expire(9.2, 100);
  table.moved(9.3, one, request_class(1), ipfix::kForward, 10);  // again after its end: a new flow
  table.closed(9.4, one, EndReason::kEnd, {{45, 144}, {0, 0}});
  const auto knock = *table.opened(9.5, {});
  table.closed(9.6, knock, EndReason::kEnd, {{3, 2}, {0, 0}});
  CHECK(ledger.adds_up);
  CHECK(table.flows() == 0);
  CHECK(table.connections() == 0);
  check_trace("flow_table", ledger.trace);
}

TEST_CASE("whatever happens: octets exact at each moment, segments as counted, one end a flow, bounds kept") {
  for (const unsigned seed : {1u, 2u, 3u, 4u}) {
    std::mt19937 chance(seed);
    Ledger ledger;
    Table table({40, 20, 0.5, 1.0}, 1000, ledger);
    std::vector<ConnectionNumber> open;
    std::array<std::uint64_t, 2> booked{}, counted{};
    std::uint64_t requests = 0;
    double now = 0;
    for (int step = 0; step < 20000; ++step) {
      now += 0.001 * (chance() % 20);
      const unsigned what = chance() % 100;
      if (what < 8) {
        const auto made = table.opened(now, {});
        CHECK(made.has_value() == (open.size() < 20));
        if (made) {
          ledger.counted[made->value] = {};
          open.push_back(*made);
        }
      } else if (what < 14 && !open.empty()) {
        const std::size_t which = chance() % open.size();
        const KernelCounts last = ledger.counted[open[which].value];
        counted[0] += last.segments[0], counted[1] += last.segments[1];
        table.closed(now, open[which], EndReason::kEnd, last);
        table.closed(now, open[which], EndReason::kEnd, last);  // twice does nothing
        open.erase(open.begin() + static_cast<long>(which));
      } else if (what < 90 && !open.empty()) {
        const ConnectionNumber at = open[chance() % open.size()];
        const auto way = static_cast<Direction>(chance() % 2);
        const std::uint64_t octets = chance() % 3000;
        ledger.counted[at.value].segments[way] += 1 + octets / 1460;
        ledger.counted[at.value].segments[1 - way] += 1;
        booked[way] += octets;
        table.moved(now, at, request_class(chance() % 30), way, octets);
        if (chance() % 4 == 0) table.request_ended(now, at, request_class(chance() % 30)), ++requests;
      } else {
        table.expire(now, 5);
      }
      CHECK(table.flows() <= 40);
      CHECK(table.octets(ipfix::kForward) == booked[0]);
    }
    for (const ConnectionNumber at : open) {
      const KernelCounts last = ledger.counted[at.value];
      counted[0] += last.segments[0], counted[1] += last.segments[1];
      table.closed(now, at, EndReason::kEnd, last);
    }
    while (table.end_some(now, EndReason::kForced, 3)) {
    }
    CHECK(ledger.adds_up);
    CHECK(ledger.octets == booked);
    CHECK(ledger.packets == counted);
    CHECK(ledger.requests == requests);
    CHECK(ledger.forced_early == table.evicted());
    CHECK(table.evicted() > 0);
    bool one_end = true;
    for (const auto& [id, sum] : ledger.flows) one_end = one_end && sum.ends == 1;
    CHECK(one_end);
  }
}

TEST_CASE("SIGTERM with connections open: all flows end once, and what moves afterwards is a new flow") {
  Ledger ledger;
  Table table({1000, 10, 60, 60}, 1, ledger);
  const auto one = *table.opened(0, {});
  for (unsigned i = 0; i < 20; ++i) table.moved(1, one, request_class(i), ipfix::kForward, 10);
  CHECK(table.end_some(2, EndReason::kForced, 15));
  CHECK_FALSE(table.end_some(2, EndReason::kForced, 15));
  CHECK(ledger.flows.size() == 20);
  table.moved(3, one, request_class(3), ipfix::kReverse, 5);
  table.closed(4, one, EndReason::kEnd, {});
  CHECK(ledger.flows.size() == 21);
  CHECK(ledger.octets == std::array<std::uint64_t, 2>{200, 5});
}
