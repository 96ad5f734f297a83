#include "flows_tool/collector.hpp"

#include <fmt/format.h>

#include <utility>
#include <vector>

namespace hareramp::flows_tool {

using transport::kNever;
using transport::Scheduler;
using transport::Task;

namespace {
constexpr std::size_t kMaxDatagramBytes = 65536;  // bytes; the largest possible UDP datagram
constexpr std::size_t kReadBytes = 65536;         // bytes
constexpr double kExporterIdleTimeout = 3600;     // s without data after which a TCP exporter is disconnected
constexpr std::size_t kMaxNotSentEntries = 65536;
constexpr double kQueueCheckInterval = 0.005;   // s between checks whether the archive accepts rows again
constexpr std::size_t kDatagramsPerTurn = 200;  // datagrams in a row before other tasks run

std::string without_port(const std::string& address) { return address.substr(0, address.rfind(':')); }
}  // namespace

Collector::Collector(Scheduler& scheduler, Archive& archive, std::uint32_t enterprise,
                     std::size_t connections)
    : scheduler_(scheduler),
      archive_(archive),
      decoder_({}, *this),
      row_builder_(enterprise, *this),
      max_connections_(connections) {}

transport::Address Collector::listen_udp(const transport::Address& at) {
  auto datagrams = transport::DatagramSocket::bound_to(scheduler_, at);
  const transport::Address address = datagrams.address();
  scheduler_.spawn(receive_datagrams(*this, std::move(datagrams)));
  return address;
}

transport::Address Collector::listen_tcp(const transport::Address& at) {
  listener_ = std::make_unique<transport::Listener>(scheduler_, at, 128);
  scheduler_.spawn(accept_connections(*this, *listener_));
  return listener_->address();
}

void Collector::start_committing(double interval) { scheduler_.spawn(commit(*this, interval)); }

Task<> Collector::commit(Collector& self, double interval) {
  for (;;) {
    co_await self.scheduler_.sleep_until(Scheduler::now() + interval);
    self.run_counting_failure([&] { self.archive_.commit(self.now()); });
  }
}

Task<> Collector::receive_datagrams(Collector& self, transport::DatagramSocket datagrams) {
  std::vector<char> buffer(kMaxDatagramBytes);
  for (std::size_t turn = 0;; ++turn) {
    if (self.paused_ || turn % kDatagramsPerTurn == kDatagramsPerTurn - 1) {
      co_await self.scheduler_.sleep_until(Scheduler::now() + (self.paused_ ? 0.005 : 0));
      continue;
    }
    const auto received = co_await datagrams.receive(buffer, kNever);
    if (!received.ok) co_return;
    ++self.counts_.datagrams;
    const std::string from = received.from.text();
    self.exporter_ = without_port(from);
    self.decoder_.message("udp " + from, {buffer.data(), received.bytes});
  }
}

Task<> Collector::accept_connections(Collector& self, transport::Listener& listener) {
  for (;;) {
    auto accepted = co_await listener.accept();
    if (accepted.status == transport::Listener::Status::kClosed) co_return;
    if (accepted.status != transport::Listener::Status::kAccepted) {
      co_await self.scheduler_.sleep_until(Scheduler::now() + 0.1);
      continue;
    }
    if (self.connections_ >= self.max_connections_) {
      ++self.counts_.refused;
      accepted.socket.abort();
      continue;
    }
    const auto peer = transport::Address::peer(accepted.socket.descriptor());
    if (!peer) continue;
    ++self.connections_;
    ++self.counts_.connections;
    self.scheduler_.spawn(receive_stream(self, std::move(accepted.socket), peer->text()));
  }
}

Task<> Collector::receive_stream(Collector& self, transport::Socket socket, std::string from) {
  const std::string session = fmt::format("tcp {} {}", from, ++self.connection_number_);
  transport::Buffer input(0);
  for (bool readable = true; readable;) {
    while (self.paused_) co_await self.scheduler_.sleep_until(Scheduler::now() + 0.005);
    if (!(co_await socket.read(input, kReadBytes, Scheduler::now() + kExporterIdleTimeout)).ok()) break;
    while (readable) {
      // The archive's queue for the disk is bounded. While it is full, the collector stops reading and TCP
      // flow control makes the exporter keep the rest.
      while (self.archive_.full())
        co_await self.scheduler_.sleep_until(Scheduler::now() + kQueueCheckInterval);
      const auto length = Decoder::length(input.view());
      if (!length || (*length > 0 && input.size() < *length)) break;
      self.exporter_ = without_port(from);
      readable = *length > 0 && self.decoder_.message(session, input.view().substr(0, *length));
      input.consume(*length);
      if (!readable) ++self.counts_.closed_bad;
    }
  }
  self.decoder_.session_ended(session);
  --self.connections_;
}

bool Collector::message(const MessageHeader& header) {
  archive_.begin(exporter_, header, now());
  return true;  // names and element types are useful even from a duplicate message
}
void Collector::record(const MessageHeader& header, std::uint16_t, const std::vector<Value>& values,
                       std::size_t scope) {
  row_builder_.record(header, values, scope);
}
void Collector::message_end(const MessageHeader&) { archive_.end(); }
// Guards against an archive directory that can't be read or from which old partitions can't be removed: the
// failure is counted, and the collector continues.
template <class Write>
void Collector::run_counting_failure(const Write& write) {
  try {
    write();
  } catch (const std::exception&) {
    ++counts_.not_kept;
  }
}
void Collector::flow(const MessageHeader&, const FlowRow& row) { archive_.flow(row); }
void Collector::name(const MessageHeader&, const NameRow& row) { archive_.name(row); }
void Collector::not_sent(const MessageHeader& header, const NotSentRow& row) {
  archive_.not_sent(row);
  const std::string key = fmt::format("{}/{} {}", exporter_, header.domain, row.collector);
  if (not_sent_.size() < kMaxNotSentEntries || not_sent_.contains(key)) not_sent_[key] = row;
}
void Collector::exporter(const MessageHeader&, double started, std::uint64_t) {
  archive_.run_started(started);
}

std::string Collector::counts_line() const {
  const DecoderCounts& decoder_counts = decoder_.counts();
  const ArchiveCounts& archive_counts = archive_.counts();
  return fmt::format(
      "messages={} records={} flows={} duplicates={} lost={} out_of_order={} restarts={} no_template={} "
      "templates={} "
      "redefined={} withdrawn={} bad_version={} bad_length={} bad_set={} bad_template={} bad_record={} "
      "too_many={} "
      "sessions={} sessions_forgotten={} datagrams={} connections={} refused={} closed_bad={} "
      "partitions_removed={} "
      "too_far={} archive_failed={} not_kept={} waiting={} commits_failed={}",
      decoder_counts.messages, decoder_counts.records, archive_counts.flows, archive_counts.duplicates,
      decoder_counts.lost, decoder_counts.out_of_order, decoder_counts.restarts, decoder_counts.no_template,
      decoder_counts.templates, decoder_counts.redefined, decoder_counts.withdrawn,
      decoder_counts.bad_version, decoder_counts.bad_length, decoder_counts.bad_set,
      decoder_counts.bad_template, decoder_counts.bad_record, decoder_counts.too_many, decoder_.sessions(),
      decoder_counts.sessions_forgotten, counts_.datagrams, counts_.connections, counts_.refused,
      counts_.closed_bad, archive_counts.removed, archive_counts.too_far, archive_counts.failed,
      counts_.not_kept, archive_.waiting(), archive_counts.commits_failed);
}

}  // namespace hareramp::flows_tool
