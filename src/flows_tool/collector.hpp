// The collecting process (RFC 7011, 1.1): listens on UDP and TCP, decodes the exporters' messages and stores
// them in the archive. It has one thread: while the disk is slow, TCP exporters wait and messages over UDP
// are lost, which the counters show.
#pragma once

#include <memory>
#include <string>

#include "flows_tool/archive.hpp"
#include "flows_tool/decoder.hpp"
#include "flows_tool/rows.hpp"
#include "transport/clock.hpp"
#include "transport/scheduler.hpp"
#include "transport/socket.hpp"

namespace hareramp::flows_tool {

struct CollectorCounts {
  std::uint64_t datagrams = 0, connections = 0, refused = 0, closed_bad = 0, not_kept = 0;
};

class Collector : private DecoderHandler, private RowHandler {
 public:
  Collector(transport::Scheduler& scheduler, Archive& archive, std::uint32_t enterprise,
            std::size_t connections);

  // Each starts one listener and returns the address that it is bound to; throws std::system_error.
  transport::Address listen_udp(const transport::Address& at);
  transport::Address listen_tcp(const transport::Address& at);
  void start_committing(double interval);

  const DecoderCounts& decoded() const { return decoder_.counts(); }
  const CollectorCounts& counts() const { return counts_; }
  std::string counts_line() const;
  // The exporters' latest totals of what they could not send, by exporter, domain and collector.
  const std::map<std::string, NotSentRow>& not_sent() const { return not_sent_; }
  // For tests: stops reading while paused.
  void pause(bool paused) { paused_ = paused; }

 private:
  ClockReading now() const { return {clock_.now(), transport::Clock::unix_now()}; }
  template <class Write>
  void run_counting_failure(const Write& write);
  bool message(const MessageHeader& header) override;
  void record(const MessageHeader& header, std::uint16_t, const std::vector<Value>& values,
              std::size_t scope) override;
  void message_end(const MessageHeader&) override;
  void flow(const MessageHeader&, const FlowRow& row) override;
  void name(const MessageHeader&, const NameRow& row) override;
  void not_sent(const MessageHeader&, const NotSentRow& row) override;
  void exporter(const MessageHeader&, double started, std::uint64_t) override;

  static transport::Task<> receive_datagrams(Collector& self, transport::DatagramSocket datagrams);
  static transport::Task<> accept_connections(Collector& self, transport::Listener& listener);
  static transport::Task<> receive_stream(Collector& self, transport::Socket socket, std::string from);
  static transport::Task<> commit(Collector& self, double interval);

  transport::Scheduler& scheduler_;
  Archive& archive_;
  transport::Clock clock_;
  Decoder decoder_;
  RowBuilder row_builder_;
  CollectorCounts counts_;
  std::size_t max_connections_, connections_ = 0;
  std::uint64_t connection_number_ = 0;
  std::string exporter_;  // address of the exporter whose message is being decoded
  std::map<std::string, NotSentRow> not_sent_;
  std::unique_ptr<transport::Listener> listener_;
  bool paused_ = false;
};

}  // namespace hareramp::flows_tool
