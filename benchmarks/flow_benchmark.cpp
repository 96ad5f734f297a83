// Measures the cost of flow accounting: counting octets, exporting and encoding a record, and memory per
// flow. The cost must not grow with the number of flows.
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

// Counts the exported records and reports no kernel counters.
struct RecordCounter : TableEvents {
  std::uint64_t records = 0;
  KernelCounts kernel(ConnectionNumber) override { return {}; }
  void record(const Record& record) override { records += record.requests + 1; }
};

Label request_class(std::uint32_t number) {
  Label label;
  label.request_class = {number};
  return label;
}

// A table with the given number of flows, four per connection.
struct FilledTable {
  explicit FilledTable(std::size_t flows) : table({flows, flows / 4, 1e9, 1e9}, 1, record_counter) {
    for (std::size_t i = 0; i < flows / 4; ++i) {
      const auto opened_connection = *table.opened(0, {});
      for (std::uint32_t label = 0; label < 4; ++label)
        table.moved(0, opened_connection, request_class(label), ipfix::kForward, 100);
    }
  }
  RecordCounter record_counter;
  Table table;
};

// Counts octets of flows chosen uniformly at random. The cost grows with the number of flows only by misses
// of the processor's caches: a million flows take 240 MB.
void record_octets(benchmark::State& state) {
  const auto flows = static_cast<std::size_t>(state.range(0));
  const std::size_t bytes_before = mallinfo2().uordblks + mallinfo2().hblkhd;
  FilledTable filled(flows);
  const std::size_t bytes = mallinfo2().uordblks + mallinfo2().hblkhd - bytes_before;
  std::minstd_rand rng(1);
  double now = 1;
  for (auto _ : state) {
    const ConnectionNumber connection{static_cast<std::uint32_t>(rng() % (flows / 4))};
    filled.table.moved(now += 1e-6, connection, request_class(rng() % 4), ipfix::kReverse, 1000);
  }
  state.counters["bytes_a_flow"] = static_cast<double>(bytes) / static_cast<double>(flows);
}
BENCHMARK(record_octets)->Arg(1000)->Arg(10000)->Arg(100000)->Arg(1000000);

// Only a thousand of the connections are busy, as is usual at any one time. This shows the cost of the table
// itself rather than that of cache misses.
void record_octets_of_busy_connections(benchmark::State& state) {
  const auto flows = static_cast<std::size_t>(state.range(0));
  FilledTable filled(flows);
  std::minstd_rand rng(1);
  double now = 1;
  for (auto _ : state) {
    const ConnectionNumber connection{static_cast<std::uint32_t>(rng() % 1000 * (flows / 4 / 1000))};
    filled.table.moved(now += 1e-6, connection, request_class(rng() % 4), ipfix::kReverse, 1000);
  }
}
BENCHMARK(record_octets_of_busy_connections)->Arg(10000)->Arg(100000)->Arg(1000000);

// The active timeout of one flow after another expires: the flow is checked, the segments counted by the
// kernel are divided among the flows of its connection, and a record is exported.
void export_expired(benchmark::State& state) {
  const auto flows = static_cast<std::size_t>(state.range(0));
  FilledTable filled(flows);
  double now = 1;
  filled.table.set_times(0.5, 1e9);
  std::minstd_rand rng(1);
  std::size_t flows_to_expire = 0;
  for (auto _ : state) {
    if (flows_to_expire == 0) {
      state.PauseTiming();
      now += 1;
      for (std::uint32_t i = 0; i < flows / 4; ++i)
        for (std::uint32_t label = 0; label < 4; ++label)
          filled.table.moved(now, {i}, request_class(label), ipfix::kReverse, 10);
      now += 1;
      flows_to_expire = flows;
      state.ResumeTiming();
    }
    filled.table.expire(now, 1);
    --flows_to_expire;
  }
}
BENCHMARK(export_expired)->Arg(10000)->Arg(100000)->Arg(1000000)->Iterations(200000);

// The table is full: each new flow evicts the flow that has gone longest without a record.
void evict_flow(benchmark::State& state) {
  const auto flows = static_cast<std::size_t>(state.range(0));
  FilledTable filled(flows);
  double now = 1;
  std::uint32_t label = 100, connection = 0;
  for (auto _ : state) {
    filled.table.moved(now += 1e-6, {connection}, request_class(label++), ipfix::kForward, 10);
    connection = (connection + 7) % static_cast<std::uint32_t>(flows / 4);
  }
}
BENCHMARK(evict_flow)->Arg(10000)->Arg(100000)->Arg(1000000);

// Encodes one flow record; the argument is the protocol version: 10 is IPFIX, 9 is NetFlow v9.
void encode_record(benchmark::State& state) {
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
BENCHMARK(encode_record)->Arg(10)->Arg(9);

// Looks up the location of an address among the given number of prefixes.
void find_location(benchmark::State& state) {
  Networks networks;
  for (int i = 0; i < state.range(0); ++i)
    networks.add("10." + std::to_string(i % 256) + "." + std::to_string(i / 256 % 256) + ".0/24",
                 "d" + std::to_string(i));
  std::minstd_rand rng(1);
  for (auto _ : state)
    benchmark::DoNotOptimize(networks.find(boost::asio::ip::address_v4(0x0a000000u + rng() % 0x1000000u)));
}
BENCHMARK(find_location)->Arg(100)->Arg(65536);

// Looks up the number of a name that is already known.
void number_of_name(benchmark::State& state) {
  Names names(3600, 65536);
  const auto ignore_new_name = [](ipfix::NameKind, ipfix::NameNumber, const std::string&) {};
  double now = 0;
  for (auto _ : state)
    benchmark::DoNotOptimize(
        names.number(now += 1e-6, ipfix::NameKind::kRequestClass, "scan-batches", ignore_new_name));
}
BENCHMARK(number_of_name);

}  // namespace

BENCHMARK_MAIN();
