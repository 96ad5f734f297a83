// The collecting process (RFC 7011, 1.1): listens on UDP and TCP, decodes what exporters send, and puts it
// into the archive. One thread; a slow disk makes TCP exporters wait and UDP ones lose, as the numbers then
// tell.
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

class Collector : private Reader, private RowHandler {
 public:
  Collector(transport::Scheduler& scheduler, Archive& archive, std::uint32_t enterprise,
            std::size_t connections);

  // Either may be started, at the address given; throws std::system_error. Returns where it listens.
  transport::Address listen_udp(const transport::Address& at);
  transport::Address listen_tcp(const transport::Address& at);
  void start_committing(double every);

  const DecoderCounts& decoded() const { return decoder_.counts(); }
  const CollectorCounts& counts() const { return counts_; }
  std::string counts_line() const;
  // What exporters say of what they could not send, summed.
  const std::map<std::string, NotSentRow>& not_sent() const { return not_sent_; }
  // A collector that does not read for a while, for tests.
  void pause(bool paused) { paused_ = paused; }

 private:
  ClockReading now() const { return {clock_.now(), transport::Clock::unix_now()}; }
  template <class Write>
  void keep(const Write& write);
  bool message(const MessageHead& head) override;
  void record(const MessageHead& head, std::uint16_t, const std::vector<Value>& values,
              std::size_t scope) override;
  void message_ends(const MessageHead&) override;
  void flow(const MessageHead&, const FlowRow& row) override;
  void name(const MessageHead&, const NameRow& row) override;
  void not_sent(const MessageHead&, const NotSentRow& row) override;
  void exporter(const MessageHead&, double started, std::uint64_t) override;

  static transport::Task<> take_datagrams(Collector& self, transport::DatagramSocket datagrams);
  static transport::Task<> take_connections(Collector& self, transport::Listener& listener);
  static transport::Task<> take_stream(Collector& self, transport::Socket socket, std::string from);
  static transport::Task<> commit(Collector& self, double every);

  transport::Scheduler& scheduler_;
  Archive& archive_;
  transport::Clock clock_;
  Decoder decoder_;
  Rows rows_;
  CollectorCounts counts_;
  std::size_t connections_most_, connections_ = 0;
  std::uint64_t connections_made_ = 0;
  std::string exporter_;  // of the message being read
  std::map<std::string, NotSentRow> not_sent_;
  std::unique_ptr<transport::Listener> listener_;
  bool paused_ = false;
};

}  // namespace hareramp::flows_tool
