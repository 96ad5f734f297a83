// What flow accounting costs: an octet count booked, a record told and written, bytes of memory for each
// flow; the cost must be flat in the number of flows.
#include <benchmark/benchmark.h>
#include <malloc.h>

#include <random>

#include "base/networks.hpp"
#include "flow/names.hpp"
#include "flow/table.hpp"
#include "ipfix/encoder.hpp"

using namespace hareramp;
using namespace hareramp::flow;

namespace {

struct Quiet : TableEvents {
  std::uint64_t records = 0;
  KernelCounts kernel(ConnectionNumber) override { return {}; }
  void record(const Record& record) override { records += record.requests + 1; }
};

Label request_class(std::uint32_t number) {
  Label label;
  label.request_class = {number};
  return label;
}

// A table with so many flows, four to a connection.
struct Full {
  explicit Full(std::size_t flows) : table({flows, flows / 4, 1e9, 1e9}, 1, quiet) {
    for (std::size_t i = 0; i < flows / 4; ++i) {
      const auto made = *table.opened(0, {});
      for (std::uint32_t label = 0; label < 4; ++label)
        table.moved(0, made, request_class(label), ipfix::kForward, 100);
    }
  }
  Quiet quiet;
  Table table;
};

// Every flow as likely as any other: what grows is misses of the processor's caches, 240 MB at a million
// flows.
void book(benchmark::State& state) {
  const auto flows = static_cast<std::size_t>(state.range(0));
  const std::size_t before = mallinfo2().uordblks + mallinfo2().hblkhd;
  Full full(flows);
  const std::size_t bytes = mallinfo2().uordblks + mallinfo2().hblkhd - before;
  std::minstd_rand chance(1);
  double now = 1;
  for (auto _ : state) {
    const ConnectionNumber at{static_cast<std::uint32_t>(chance() % (flows / 4))};
    full.table.moved(now += 1e-6, at, request_class(chance() % 4), ipfix::kReverse, 1000);
  }
  state.counters["bytes_a_flow"] = static_cast<double>(bytes) / static_cast<double>(flows);
}
BENCHMARK(book)->Arg(1000)->Arg(10000)->Arg(100000)->Arg(1000000);

// A thousand connections busy among all of them, as at any moment: what the table itself costs.
void book_busy(benchmark::State& state) {
  const auto flows = static_cast<std::size_t>(state.range(0));
  Full full(flows);
  std::minstd_rand chance(1);
  double now = 1;
  for (auto _ : state) {
    const ConnectionNumber at{static_cast<std::uint32_t>(chance() % 1000 * (flows / 4 / 1000))};
    full.table.moved(now += 1e-6, at, request_class(chance() % 4), ipfix::kReverse, 1000);
  }
}
BENCHMARK(book_busy)->Arg(10000)->Arg(100000)->Arg(1000000);

// The active time of each flow runs out, one after another: looked at, shared out, told.
void tell(benchmark::State& state) {
  const auto flows = static_cast<std::size_t>(state.range(0));
  Full full(flows);
  double now = 1;
  full.table.set_times(0.5, 1e9);
  std::minstd_rand chance(1);
  std::size_t left = 0;
  for (auto _ : state) {
    if (left == 0) {
      state.PauseTiming();
      now += 1;
      for (std::uint32_t i = 0; i < flows / 4; ++i)
        for (std::uint32_t label = 0; label < 4; ++label)
          full.table.moved(now, {i}, request_class(label), ipfix::kReverse, 10);
      now += 1;
      left = flows;
      state.ResumeTiming();
    }
    full.table.expire(now, 1);
    --left;
  }
}
BENCHMARK(tell)->Arg(10000)->Arg(100000)->Arg(1000000)->Iterations(200000);

// A full table: each new flow drives the eldest out.
void evict(benchmark::State& state) {
  const auto flows = static_cast<std::size_t>(state.range(0));
  Full full(flows);
  double now = 1;
  std::uint32_t label = 100, at = 0;
  for (auto _ : state) {
    full.table.moved(now += 1e-6, {at}, request_class(label++), ipfix::kForward, 10);
    at = (at + 7) % static_cast<std::uint32_t>(flows / 4);
  }
}
BENCHMARK(evict)->Arg(10000)->Arg(100000)->Arg(1000000);

void encode(benchmark::State& state) {
  std::uint64_t bytes = 0, flows = 0;
  ipfix::EncoderSettings settings;
  settings.version = static_cast<ipfix::Version>(state.range(0));
  settings.enterprise = 32473;
  ipfix::Encoder encoder(
      settings, [&](ipfix::Message message) { bytes += message.bytes.size(), flows += message.flows; });
  Record record;
  record.start = record.end = 1.8e9;
  for (auto _ : state) {
    ++record.id;
    encoder.flow(1.8e9, record);
  }
  encoder.flush(1.8e9);
  state.counters["bytes_a_record"] = static_cast<double>(bytes) / static_cast<double>(flows);
}
BENCHMARK(encode)->Arg(10)->Arg(9);

void location(benchmark::State& state) {
  Networks networks;
  for (int i = 0; i < state.range(0); ++i)
    networks.add("10." + std::to_string(i % 256) + "." + std::to_string(i / 256 % 256) + ".0/24",
                 "d" + std::to_string(i));
  std::minstd_rand chance(1);
  for (auto _ : state)
    benchmark::DoNotOptimize(networks.find(boost::asio::ip::address_v4(0x0a000000u + chance() % 0x1000000u)));
}
BENCHMARK(location)->Arg(100)->Arg(65536);

void name(benchmark::State& state) {
  Names names(3600, 65536);
  const auto tell_nobody = [](ipfix::NameKind, ipfix::NameNumber, const std::string&) {};
  double now = 0;
  for (auto _ : state)
    benchmark::DoNotOptimize(
        names.number(now += 1e-6, ipfix::NameKind::kRequestClass, "scan-batches", tell_nobody));
}
BENCHMARK(name);

}  // namespace

BENCHMARK_MAIN();
