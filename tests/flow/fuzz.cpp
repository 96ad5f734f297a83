// libFuzzer's entry to the collector: the input is a stream of messages of one session, split by their
// lengths, with two bytes of length before each NetFlow v9 packet. cmake -DHARERAMP_FUZZ=ON with clang++.
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "flows_tool/decoder.hpp"
#include "flows_tool/rows.hpp"

using namespace hareramp::flows_tool;

namespace {
struct Sink : Reader, RowHandler {
  Rows rows{32473, *this};
  std::uint64_t seen = 0;
  bool message(const MessageHead&) override { return true; }
  void record(const MessageHead& head, std::uint16_t, const std::vector<Value>& values,
              std::size_t scope) override {
    rows.record(head, values, scope);
    for (const Value& value : values) seen += rows.element_name(value.key).size();
  }
  void message_ends(const MessageHead&) override {}
  void flow(const MessageHead&, const FlowRow& row) override { seen += row.octets[0]; }
  void name(const MessageHead&, const NameRow& row) override { seen += row.name.size(); }
  void not_sent(const MessageHead&, const NotSentRow& row) override { seen += row.flows; }
  void exporter(const MessageHead&, double, std::uint64_t flows) override { seen += flows; }
};
}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  Sink sink;
  DecoderBounds bounds;
  bounds.sessions = 4, bounds.templates = 16, bounds.all_fields = 512;
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
    const std::size_t some = static_cast<std::size_t>(static_cast<unsigned char>(rest[0]) << 8 |
                                                      static_cast<unsigned char>(rest[1]));
    rest.remove_prefix(2);
    decoder.message("s", rest.substr(0, std::min(some, rest.size())));
    rest.remove_prefix(std::min(some, rest.size()));
  }
  if (decoder.sessions() > 4) __builtin_trap();
  return 0;
}
