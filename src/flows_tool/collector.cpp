#include "flows_tool/collector.hpp"

#include <fmt/format.h>

#include <utility>
#include <vector>

namespace hareramp::flows_tool {

using transport::kNever;
using transport::Scheduler;
using transport::Task;

namespace {
constexpr std::size_t kDatagram = 65536;  // bytes; the most that UDP has
constexpr std::size_t kReadRoom = 65536;  // bytes
constexpr double kExporterIdle = 3600;    // s that a TCP exporter may say nothing
constexpr std::size_t kExportersHeard = 65536;
constexpr double kFullAgain = 0.005;  // s between looks whether the disk takes rows again
constexpr std::size_t kTurn = 200;    // datagrams before the others' turn

std::string without_port(const std::string& address) { return address.substr(0, address.rfind(':')); }
}  // namespace

Collector::Collector(Scheduler& scheduler, Archive& archive, std::uint32_t enterprise,
                     std::size_t connections)
    : scheduler_(scheduler),
      archive_(archive),
      decoder_({}, *this),
      rows_(enterprise, *this),
      connections_most_(connections) {}

transport::Address Collector::listen_udp(const transport::Address& at) {
  auto datagrams = transport::DatagramSocket::bound_to(scheduler_, at);
  const transport::Address address = datagrams.address();
  scheduler_.spawn(take_datagrams(*this, std::move(datagrams)));
  return address;
}

transport::Address Collector::listen_tcp(const transport::Address& at) {
  listener_ = std::make_unique<transport::Listener>(scheduler_, at, 128);
  scheduler_.spawn(take_connections(*this, *listener_));
  return listener_->address();
}

void Collector::start_committing(double every) { scheduler_.spawn(commit(*this, every)); }

Task<> Collector::commit(Collector& self, double every) {
  for (;;) {
    co_await self.scheduler_.sleep_until(Scheduler::now() + every);
    self.keep([&] { self.archive_.commit(self.now()); });
  }
}

Task<> Collector::take_datagrams(Collector& self, transport::DatagramSocket datagrams) {
  std::vector<char> room(kDatagram);
  for (std::size_t turn = 0;; ++turn) {
    if (self.paused_ || turn % kTurn == kTurn - 1) {
      co_await self.scheduler_.sleep_until(Scheduler::now() + (self.paused_ ? 0.005 : 0));
      continue;
    }
    const auto got = co_await datagrams.receive(room, kNever);
    if (!got.ok) co_return;
    ++self.counts_.datagrams;
    const std::string from = got.from.text();
    self.exporter_ = without_port(from);
    self.decoder_.message("udp " + from, {room.data(), got.bytes});
  }
}

Task<> Collector::take_connections(Collector& self, transport::Listener& listener) {
  for (;;) {
    auto accepted = co_await listener.accept();
    if (accepted.status == transport::Listener::Status::kClosed) co_return;
    if (accepted.status != transport::Listener::Status::kAccepted) {
      co_await self.scheduler_.sleep_until(Scheduler::now() + 0.1);
      continue;
    }
    if (self.connections_ >= self.connections_most_) {
      ++self.counts_.refused;
      accepted.socket.abort();
      continue;
    }
    const auto peer = transport::Address::peer(accepted.socket.descriptor());
    if (!peer) continue;
    ++self.connections_;
    ++self.counts_.connections;
    self.scheduler_.spawn(take_stream(self, std::move(accepted.socket), peer->text()));
  }
}

Task<> Collector::take_stream(Collector& self, transport::Socket socket, std::string from) {
  const std::string session = fmt::format("tcp {} {}", from, ++self.connections_made_);
  transport::Buffer in(0);
  for (bool readable = true; readable;) {
    while (self.paused_) co_await self.scheduler_.sleep_until(Scheduler::now() + 0.005);
    if (!(co_await socket.read(in, kReadRoom, Scheduler::now() + kExporterIdle)).ok()) break;
    while (readable) {
      // What waits for the disk is bounded: the exporter keeps the rest, and sends it when there is room.
      while (self.archive_.full()) co_await self.scheduler_.sleep_until(Scheduler::now() + kFullAgain);
      const auto length = Decoder::length(in.view());
      if (!length || (*length > 0 && in.size() < *length)) break;
      self.exporter_ = without_port(from);
      readable = *length > 0 && self.decoder_.message(session, in.view().substr(0, *length));
      in.consume(*length);
      if (!readable) ++self.counts_.closed_bad;
    }
  }
  self.decoder_.session_ended(session);
  --self.connections_;
}

bool Collector::message(const MessageHead& head) {
  archive_.begin(exporter_, head, now());
  return true;  // names and types are of use, also from a message that came before
}
void Collector::record(const MessageHead& head, std::uint16_t, const std::vector<Value>& values,
                       std::size_t scope) {
  rows_.record(head, values, scope);
}
void Collector::message_ends(const MessageHead&) { archive_.end(); }
// Guards against a folder that can't be read, or from which old partitions can't be removed: it is counted,
// and collecting goes on.
template <class Write>
void Collector::keep(const Write& write) {
  try {
    write();
  } catch (const std::exception&) {
    ++counts_.not_kept;
  }
}
void Collector::flow(const MessageHead&, const FlowRow& row) { archive_.flow(row); }
void Collector::name(const MessageHead&, const NameRow& row) { archive_.name(row); }
void Collector::not_sent(const MessageHead& head, const NotSentRow& row) {
  archive_.not_sent(row);
  const std::string key = fmt::format("{}/{} {}", exporter_, head.domain, row.collector);
  if (not_sent_.size() < kExportersHeard || not_sent_.contains(key)) not_sent_[key] = row;
}
void Collector::exporter(const MessageHead&, double started, std::uint64_t) { archive_.run_started(started); }

std::string Collector::counts_line() const {
  const DecoderCounts& d = decoder_.counts();
  const ArchiveCounts& a = archive_.counts();
  return fmt::format(
      "messages={} records={} flows={} duplicates={} lost={} out_of_order={} restarts={} no_template={} "
      "templates={} "
      "redefined={} withdrawn={} bad_version={} bad_length={} bad_set={} bad_template={} bad_record={} "
      "too_many={} "
      "sessions={} sessions_forgotten={} datagrams={} connections={} refused={} closed_bad={} "
      "partitions_removed={} "
      "too_far={} archive_failed={} not_kept={} waiting={} commits_failed={}",
      d.messages, d.records, a.flows, a.duplicates, d.lost, d.out_of_order, d.restarts, d.no_template,
      d.templates, d.redefined, d.withdrawn, d.bad_version, d.bad_length, d.bad_set, d.bad_template,
      d.bad_record, d.too_many, decoder_.sessions(), d.sessions_forgotten, counts_.datagrams,
      counts_.connections, counts_.refused, counts_.closed_bad, a.removed, a.too_far, a.failed,
      counts_.not_kept, archive_.waiting(), a.commits_failed);
}

}  // namespace hareramp::flows_tool
