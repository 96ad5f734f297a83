// libFuzzer entry point for the collector's decoder. The input is a stream of messages of one session: an
// IPFIX message is split off by the length in its header, a NetFlow v9 packet by two length bytes before it.
// Build with clang++ and cmake -DHARERAMP_FUZZ=ON.
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "flows_tool/decoder.hpp"
#include "flows_tool/rows.hpp"

using namespace hareramp::flows_tool;

namespace {
struct Sink : DecoderHandler, RowHandler {
  RowBuilder rows{32473, *this};
  std::uint64_t consumed = 0;
  bool message(const MessageHeader&) override { return true; }
  void record(const MessageHeader& header, std::uint16_t, const std::vector<Value>& values,
              std::size_t scope) override {
    rows.record(header, values, scope);
    for (const Value& value : values) consumed += rows.element_name(value.key).size();
  }
  void message_end(const MessageHeader&) override {}
  void flow(const MessageHeader&, const FlowRow& row) override { consumed += row.octets[0]; }
  void name(const MessageHeader&, const NameRow& row) override { consumed += row.name.size(); }
  void not_sent(const MessageHeader&, const NotSentRow& row) override { consumed += row.flows; }
  void exporter(const MessageHeader&, double, std::uint64_t flows) override { consumed += flows; }
};
}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  Sink sink;
  DecoderBounds bounds;
  bounds.sessions = 4, bounds.templates = 16, bounds.total_fields = 512;
  Decoder decoder(bounds, sink);
  std::string_view rest(reinterpret_cast<const char*>(data), size);
  decoder.message("whole", rest);
  while (!rest.empty()) {
    const auto length = Decoder::length(rest);
    if (!length) break;
    if (*length > 0 && *length <= rest.size()) {
      decoder.message("s", rest.substr(0, *length));
      rest.remove_prefix(*length);
      continue;
    }
    const std::size_t length9 = static_cast<std::size_t>(static_cast<unsigned char>(rest[0]) << 8 |
                                                         static_cast<unsigned char>(rest[1]));
    rest.remove_prefix(2);
    decoder.message("s", rest.substr(0, std::min(length9, rest.size())));
    rest.remove_prefix(std::min(length9, rest.size()));
  }
  if (decoder.sessions() > 4) __builtin_trap();
  return 0;
}
