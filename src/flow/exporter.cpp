#include "flow/exporter.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <limits>
#include <stdexcept>
#include <utility>

#include "transport/tcp_counts.hpp"

namespace hareramp::flow {

using ipfix::kForward;
using ipfix::kReverse;
using transport::Scheduler;
using transport::Task;

namespace {

constexpr Seconds kPollInterval = 0.05;  // longest wait of a receiver without a session

// Delay after a failed access to the spool's disk; doubles up to the maximum.
constexpr Seconds kInitialDiskRetryDelay = 0.2;
constexpr Seconds kMaxDiskRetryDelay = 10;
// Size limit of one commit, which is also limited to this fraction of the spool, as a commit needs free
// pages.
constexpr std::size_t kMaxBatchBytes = 256 << 10;
constexpr std::size_t kMaxBatchFraction = 16;

Endpoint endpoint_of(const transport::Address& address) {
  Endpoint endpoint;
  const auto bytes = address.bytes();
  endpoint.v6 = bytes.size() == 16;
  std::copy(bytes.begin(), bytes.end(), endpoint.address.begin());
  endpoint.port = address.port();
  return endpoint;
}

boost::asio::ip::address ip_of(const transport::Address& address) {
  const auto bytes = address.bytes();
  if (bytes.size() == 16) {
    boost::asio::ip::address_v6::bytes_type raw;
    std::copy(bytes.begin(), bytes.end(), raw.begin());
    return boost::asio::ip::address_v6(raw);
  }
  boost::asio::ip::address_v4::bytes_type raw;
  std::copy(bytes.begin(), bytes.end(), raw.begin());
  return boost::asio::ip::address_v4(raw);
}

std::string collector_names(const std::vector<CollectorSettings>& collectors) {
  std::string name;
  for (const CollectorSettings& one : collectors)
    name += (name.empty() ? "" : ",") + std::string(one.transport == Transport::kTcp ? "tcp:" : "udp:") +
            one.address.text();
  return name;
}

}  // namespace

// An open connection, or a UDP socket, to one collector.
struct Exporter::Session {
  std::optional<transport::DatagramSocket> datagrams;
  transport::Socket stream;
  // TCP only: the messages sent that may have to be sent again, with their end in the session's bytes.
  struct Sent {
    std::uint64_t end = 0;  // offset in the session's bytes
    MessageNumber number = 0;
    Seconds at = 0;
    std::uint32_t flows = 0;
    std::uint64_t packets = 0, octets = 0;
  };
  std::deque<Sent> unacknowledged;
  std::uint64_t written = 0;

  // An acknowledgement by the peer's kernel does not mean that the collector has processed the message, so
  // the messages sent after that time are kept.
  void forget_acknowledged(Seconds sent_before) {
    const std::uint64_t acknowledged = written - std::min<std::uint64_t>(written, stream.unacknowledged());
    while (!unacknowledged.empty() && unacknowledged.front().end <= acknowledged &&
           unacknowledged.front().at <= sent_before)
      unacknowledged.pop_front();
  }
};

// Gets every message of a stream once: a single collector, or a group of collectors with failover.
struct Exporter::Receiver {
  Receiver(Scheduler& scheduler, std::vector<CollectorSettings> all, const DeliveryTimes& times,
           std::uint64_t seed)
      : collectors(std::move(all)),
        name(collector_names(collectors)),
        delivery(times, collectors.size(), seed),
        wake(scheduler),
        disk_entries_ready(scheduler) {}

  // The first message that may not have arrived.
  MessageNumber first_unconfirmed() const {
    if (session && !session->unacknowledged.empty())
      return std::min(cursor, session->unacknowledged.front().number);
    return session && session->datagrams && cursor > 0 && message_sent_in_session ? cursor - 1 : cursor;
  }

  const std::vector<CollectorSettings> collectors;
  const std::string name;
  Delivery delivery;
  std::unique_ptr<Session> session;
  MessageNumber cursor = 0;  // the next message to send
  ipfix::NotSent not_sent, not_sent_exported;
  transport::Signal wake, disk_entries_ready;
  std::deque<storage::SpoolEntry> disk_entries;
  bool stopped = false, sending = false, message_sent_in_session = false;
};

struct Exporter::Stream {
  Stream(Protocol which, const ipfix::EncoderSettings& settings, ipfix::Encoder::MessageHandler done,
         std::size_t bytes, MessageNumber first)
      : protocol(which), encoder(settings, std::move(done)), backlog(bytes, first), on_disk(first) {}

  const Protocol protocol;
  ipfix::Encoder encoder;
  Backlog backlog;
  std::vector<ReceiverPointer> receivers;
  // With a spool: messages before this one went through an append, or were dropped, and may be sent.
  MessageNumber on_disk;
  MessageNumber to_disk = 0;            // messages before this one are on disk or in a running job
  std::set<MessageNumber> memory_only;  // the append failed, or the spool dropped them
  bool spooled = false;
  bool appending = false;         // a job is running; one at a time, as numbers in the spool must increase
  MessageNumber append_from = 0;  // first message of that job; it ends before to_disk
  bool disk_fails = false;        // until an append succeeds, messages are sent from memory
  std::uint64_t messages = 0, flows = 0, octets = 0;
  Seconds templates_at = 0;
  std::size_t since_templates = 0;

  MessageNumber sendable() const { return spooled && !disk_fails ? on_disk : backlog.end(); }
  bool is_on_its_way_to_disk(MessageNumber number) const {
    return appending && number >= append_from && number < to_disk;
  }
  bool is_on_disk(MessageNumber number) const {
    return spooled && number < on_disk && !memory_only.contains(number);
  }
};

Exporter::Exporter(Scheduler& scheduler, const Limits& limits, Counters& counters, Log& log,
                   const ExportSettings& settings, std::uint64_t seed)
    : scheduler_(scheduler),
      limits_(limits),
      counters_(counters),
      log_(log),
      settings_(settings),
      seed_(seed),
      started_at_(clock_.now()),
      table_(
          {settings.max_flows, limits.max_flow_connections, settings.active_timeout, settings.idle_timeout},
          static_cast<std::uint64_t>(started_at_ * 1000) << 20, *this),
      names_(limits.flow_name_retention, limits.max_flow_names),
      observed_(limits.max_flow_connections) {
  MessageNumber first = 0;
  std::uint32_t first_sequence = 0;
  if (settings.spool.enabled) {
    std::string error, damaged;
    spool_ = storage::Spool::open(settings.spool.directory, settings.spool.bytes, error, damaged);
    if (!spool_) throw std::runtime_error("flow_export: can't open the spool: " + error);
    if (!damaged.empty()) log_.event(LogLevel::kError, "spool_damaged", "flow export: " + damaged);
    worker_ = std::make_unique<storage::Worker>(scheduler, limits.max_spool_jobs);
    if (const auto last = spool_->last(error)) first = last->number + 1, first_sequence = last->next_sequence;
    stored_cursors_ = spool_->cursors(error);
    for (const auto& [reader, next] : stored_cursors_) first = std::max(first, next);
    first_of_run_ = first;
  }
  for (const Protocol protocol : {Protocol::kIpfix, Protocol::kNetflow9}) {
    const bool ipfix = protocol == Protocol::kIpfix;
    ipfix::EncoderSettings encoder;
    encoder.version = ipfix ? ipfix::Version::kIpfix : ipfix::Version::kNetflow9;
    encoder.domain = settings.observation_domain;
    encoder.enterprise = settings.enterprise_number;
    encoder.message_bytes = settings.message_bytes;
    encoder.started = started_at_;
    encoder.first_sequence = ipfix ? first_sequence : 0;
    const auto stream_index = static_cast<std::size_t>(protocol);
    streams_[stream_index] = std::make_unique<Stream>(
        protocol, encoder,
        [this, stream_index](ipfix::Message message) {
          finished(*streams_[stream_index], std::move(message));
        },
        settings.queue_bytes, ipfix ? first : 0);
    streams_[stream_index]->spooled = ipfix && spool_ != nullptr;
    streams_[stream_index]->to_disk = streams_[stream_index]->on_disk;
  }
}

Exporter::~Exporter() = default;

Exporter::Stream& Exporter::stream(Protocol protocol) {
  return *streams_[static_cast<std::size_t>(protocol)];
}

DeliveryTimes Exporter::times() const {
  DeliveryTimes times;
  times.initial_retry_delay = limits_.flow_retry_delay;
  times.max_retry_delay = limits_.flow_max_retry_delay;
  times.primary_check_interval = limits_.flow_primary_check_interval;
  times.template_interval = settings_.template_resend;
  times.template_message_limit = settings_.template_resend_messages;
  times.replay_per_s = settings_.spool.replay_per_s > 0 ? settings_.spool.replay_per_s : 2000;
  return times;
}

void Exporter::start() {
  set_receivers(settings_);
  scheduler_.spawn(run(*this));
}

void Exporter::set_receivers(const ExportSettings& settings) {
  for (const auto& stream : streams_) {
    std::vector<std::vector<CollectorSettings>> wanted;
    std::vector<CollectorSettings> failover_group;
    for (const CollectorSettings& one : settings.collectors) {
      if (one.protocol != stream->protocol) continue;
      if (one.mode == Mode::kFailover)
        failover_group.push_back(one);
      else
        wanted.push_back({one});
    }
    if (!failover_group.empty()) wanted.push_back(failover_group);
    std::vector<ReceiverPointer> kept;
    for (const auto& collectors : wanted) {
      const auto found = std::find_if(stream->receivers.begin(), stream->receivers.end(),
                                      [&](const auto& one) { return one->collectors == collectors; });
      if (found != stream->receivers.end()) {
        (*found)->delivery.set_times(times());
        kept.push_back(*found);
        continue;
      }
      const auto made =
          std::make_shared<Receiver>(scheduler_, collectors, times(), seed_ ^ (++receivers_created_ << 32));
      made->cursor = stream->backlog.end();
      if (stream->spooled) {
        const auto stored = stored_cursors_.find(made->name);
        if (stored != stored_cursors_.end()) made->cursor = std::min(made->cursor, stored->second);
      }
      kept.push_back(made);
      scheduler_.spawn(deliver(*this, *stream, made));
    }
    for (const auto& old : stream->receivers)
      if (std::find(kept.begin(), kept.end(), old) == kept.end()) old->stopped = true, old->wake.notify();
    stream->receivers = std::move(kept);
  }
}

void Exporter::reload(const ExportSettings& settings) {
  settings_.active_timeout = settings.active_timeout;
  settings_.idle_timeout = settings.idle_timeout;
  settings_.template_resend = settings.template_resend;
  settings_.template_resend_messages = settings.template_resend_messages;
  settings_.resend = settings.resend;
  settings_.collectors = settings.collectors;
  settings_.networks = settings.networks;
  table_.set_times(settings_.active_timeout, settings_.idle_timeout);
  set_receivers(settings_);
  statistics_due_ = true;
}

// --- counting connections ---

std::optional<ConnectionNumber> Exporter::opened(int descriptor, NodeRole part, NameNumber node,
                                                 bool inbound) {
  const auto own = transport::Address::own(descriptor), peer = transport::Address::peer(descriptor);
  if (!own || !peer || finished_) return {};
  Endpoints endpoints;
  endpoints.initiator = endpoint_of(inbound ? *peer : *own);
  endpoints.responder = endpoint_of(inbound ? *own : *peer);
  endpoints.part = part;
  endpoints.node = node;
  const auto number = table_.opened(now(), endpoints);
  if (!number) {
    ++counters_.flows_uncounted;
    return {};
  }
  observed_[number->value] = {descriptor, inbound};
  return number;
}

std::unique_ptr<FlowObserver> Exporter::observe_client(int descriptor) {
  const auto number = opened(descriptor, NodeRole::kClient, {}, true);
  return number ? std::make_unique<FlowObserver>(*this, *number, true) : nullptr;
}

std::unique_ptr<FlowObserver> Exporter::observe_node(int descriptor, NodeRole part, const std::string& node) {
  const auto number = opened(descriptor, part, name(ipfix::NameKind::kNode, node), false);
  return number ? std::make_unique<FlowObserver>(*this, *number, false) : nullptr;
}

NameNumber Exporter::name(ipfix::NameKind kind, const std::string& name) {
  return names_.number(now(), kind, name,
                       [this](ipfix::NameKind which, NameNumber number, const std::string& text) {
                         for (const auto& stream : streams_)
                           if (!stream->receivers.empty()) stream->encoder.name(now(), which, number, text);
                       });
}

NameNumber Exporter::request_class(const std::string& request_class_name) {
  return name(ipfix::NameKind::kRequestClass, request_class_name);
}

NameNumber Exporter::location_of(int descriptor) {
  const auto peer = transport::Address::peer(descriptor);
  const std::string* location = peer ? settings_.networks->find(ip_of(*peer)) : nullptr;
  return location ? name(ipfix::NameKind::kLocation, *location) : NameNumber();
}

KernelCounts Exporter::kernel(ConnectionNumber connection) {
  KernelCounts counts;
  const ObservedSocket& observed = observed_[connection.value];
  const auto socket_counts =
      observed.descriptor < 0 ? std::nullopt : transport::tcp_counts(observed.descriptor);
  if (!socket_counts) return counts;
  const Direction out = observed.inbound ? kReverse : kForward, in = observed.inbound ? kForward : kReverse;
  counts.segments[out] = socket_counts->segments_out;
  counts.segments[in] = socket_counts->segments_in;
  counts.octets[out] = socket_counts->bytes_out;
  counts.octets[in] = socket_counts->bytes_in;
  return counts;
}

void Exporter::record(const Record& record) {
  ++counters_.flow_records;
  for (const auto& stream : streams_)
    if (!stream->receivers.empty()) stream->encoder.flow(now(), record);
}

// --- messages and the queue ---

void Exporter::finished(Stream& stream, ipfix::Message message) {
  ++counters_.flow_messages;
  ++stream.messages;
  ++stream.since_templates;
  stream.flows += message.flows;
  stream.octets += message.bytes.size();
  stream.backlog.push(std::make_shared<const ipfix::Message>(std::move(message)));
  if (stream.spooled) append_to_spool(stream);
  drop_excess(stream);
  for (const auto& receiver : stream.receivers) receiver->wake.notify();
}

// Bounds memory when a collector stops or is slower than the export: the oldest messages are dropped, and the
// collector is later sent the totals of what it missed. Records are lost if a collector is unreachable for
// longer than the queue lasts and there is no spool.
void Exporter::drop_excess(Stream& stream) {
  MessageNumber needed = stream.sendable();
  for (const auto& receiver : stream.receivers) needed = std::min(needed, receiver->first_unconfirmed());
  stream.backlog.release(needed);
  stream.memory_only.erase(stream.memory_only.begin(),
                           stream.memory_only.lower_bound(stream.backlog.first()));
  stream.backlog.drop_excess([&](MessageNumber number, const ipfix::Message& message) {
    if (stream.is_on_disk(number) || stream.is_on_its_way_to_disk(number)) return;
    account_dropped(stream, number, message.flows, message.packets, message.octets);
    stream.to_disk = std::max(stream.to_disk, number + 1);
    stream.on_disk = std::max(stream.on_disk, number + 1);
  });
}

void Exporter::account_dropped(Stream& stream, MessageNumber number, std::uint32_t flows,
                               std::uint64_t packets, std::uint64_t octets) {
  for (const auto& receiver : stream.receivers) {
    if (number < receiver->cursor || (receiver->sending && number == receiver->cursor)) continue;
    count_not_sent(*receiver, flows, packets, octets);
    std::erase_if(receiver->disk_entries, [&](const auto& entry) { return entry.number == number; });
  }
}

void Exporter::count_not_sent(Receiver& receiver, std::uint32_t flows, std::uint64_t packets,
                              std::uint64_t octets) {
  ++counters_.flow_messages_dropped;
  counters_.flow_records_dropped += flows;
  receiver.not_sent.flows += flows;
  receiver.not_sent.packets += packets;
  receiver.not_sent.octets += octets;
}

void Exporter::export_statistics() {
  const Seconds at = now();
  for (const auto& stream : streams_) {
    if (stream->receivers.empty()) continue;
    names_.each([&](ipfix::NameKind kind, NameNumber number, const std::string& name) {
      stream->encoder.name(at, kind, number, name);
    });
    stream->encoder.exporter(at, stream->messages, stream->flows, stream->octets);
    stream->encoder.element_types(at);
  }
}

void Exporter::flush() {
  const Seconds at = now();
  for (const auto& stream : streams_) {
    if (stream->receivers.empty()) continue;
    for (const auto& receiver : stream->receivers) {
      if (receiver->not_sent == receiver->not_sent_exported) continue;
      receiver->not_sent_exported = receiver->not_sent;
      stream->encoder.not_sent(at, endpoint_of(receiver->collectors.front().address), receiver->not_sent);
    }
    // Every NetFlow v9 packet has a sequence number, so its templates are messages of the stream.
    const bool due = stream->messages == 0 || at >= stream->templates_at + settings_.template_resend ||
                     stream->since_templates >= settings_.template_resend_messages;
    if (stream->protocol == Protocol::kNetflow9 && due) {
      stream->encoder.flush(at);
      stream->encoder.templates(at);
      stream->templates_at = at, stream->since_templates = 0;
    }
    stream->encoder.flush(at);
  }
}

Task<> Exporter::run(Exporter& self) {
  if (self.streams_[1]->receivers.size() > 0) self.flush();  // sends NetFlow's templates first
  while (!self.finished_) {
    const Seconds at = self.now();
    const std::uint64_t evicted = self.table_.evicted();
    if (self.table_.expire(at, self.limits_.max_flows_per_turn)) {
      co_await self.scheduler_.sleep_until(Scheduler::now());  // lets other tasks run
      continue;
    }
    self.counters_.flows = self.table_.flows();
    self.counters_.flows_evicted = evicted;
    if (self.statistics_due_ || at >= self.statistics_at_ + self.settings_.template_resend) {
      self.statistics_due_ = false;
      self.statistics_at_ = at;
      self.names_.remove_unused(at);
      self.export_statistics();
    }
    self.flush();
    self.maintain_spool();
    for (const auto& stream : self.streams_) {
      if (stream->spooled) self.append_to_spool(*stream);
      self.drop_excess(*stream);
      for (const auto& receiver : stream->receivers) receiver->wake.notify();
    }
    co_await self.scheduler_.sleep_until(Scheduler::now() + self.limits_.flow_tick_interval);
  }
}

Task<> Exporter::finish(Seconds until) {
  while (table_.end_some(now(), EndReason::kForced, limits_.max_flows_per_turn))
    co_await scheduler_.sleep_until(Scheduler::now());
  finished_ = true;
  disk_retry_at_ = 0;
  disk_retry_delay_ = 0;
  export_statistics();
  flush();
  const auto all_out = [&] {
    if (worker_ && worker_->pending() > 0) return false;
    return std::all_of(streams_.begin(), streams_.end(), [](const auto& stream) {
      if (stream->spooled && !stream->disk_fails && stream->to_disk < stream->backlog.end()) return false;
      return std::all_of(stream->receivers.begin(), stream->receivers.end(), [&](const auto& receiver) {
        const bool all_taken = !receiver->session || receiver->session->stream.unacknowledged() == 0;
        return all_taken && receiver->cursor >= stream->backlog.end();
      });
    });
  };
  while (!all_out() && Scheduler::now() < until) {
    for (const auto& stream : streams_) {
      if (stream->spooled) append_to_spool(*stream);
      for (const auto& receiver : stream->receivers) receiver->wake.notify();
    }
    co_await scheduler_.sleep_until(Scheduler::now() + 0.002);
  }
  spool_maintained_at_ = 0;
  disk_retry_at_ = 0;
  maintain_spool();
  while (worker_ && worker_->pending() > 0 && Scheduler::now() < until)
    co_await scheduler_.sleep_until(Scheduler::now() + 0.002);
  for (const auto& stream : streams_) {
    account_memory_at_exit(*stream);
    for (const auto& receiver : stream->receivers) {
      receiver->stopped = true;
      if (receiver->session) receiver->session->stream.shutdown_write();
    }
  }
  log_.event(LogLevel::kInfo, "flow_export_ended",
             fmt::format("flow export: ended; {} records exported, {} lost in dropped messages",
                         counters_.flow_records, counters_.flow_records_dropped),
             {{"records", counters_.flow_records}, {"dropped", counters_.flow_records_dropped}});
}

// --- the disk ---

void Exporter::disk_succeeded() {
  if (disk_retry_delay_ == 0) return;
  disk_retry_delay_ = 0;
  disk_retry_at_ = 0;
  log_.info("spool_well", "flow export: writing to the spool works again");
}

void Exporter::disk_failed(const std::string& error) {
  if (now() < disk_retry_at_) return;  // this job was already running when another one failed
  if (disk_retry_delay_ == 0)
    log_.warning("spool_failed", "flow export: can't write to the spool: {}; messages stay in memory", error);
  disk_retry_delay_ =
      disk_retry_delay_ == 0 ? kInitialDiskRetryDelay : std::min(2 * disk_retry_delay_, kMaxDiskRetryDelay);
  disk_retry_at_ = now() + disk_retry_delay_;
}

// Messages that the spool dropped to stay within its limits are sent from memory if they are still there.
void Exporter::account_dropped_from_disk(Stream& stream, const storage::DroppedEntries& dropped) {
  for (const storage::SpoolEntry& entry : dropped)
    if (stream.backlog.at(entry.number)) stream.memory_only.insert(entry.number);
  account_lost(stream, dropped);
}

// The entries are not on disk: those that are not in memory either are lost.
void Exporter::account_lost(Stream& stream, const std::vector<storage::SpoolEntry>& entries) {
  for (const storage::SpoolEntry& entry : entries)
    if (!stream.backlog.at(entry.number))
      account_dropped(stream, entry.number, entry.flows, entry.packets, entry.octets);
}

// At exit: messages that are not on disk are lost for the receivers that have not received them.
void Exporter::account_memory_at_exit(Stream& stream) {
  for (MessageNumber number = stream.backlog.first(); number < stream.backlog.end(); ++number) {
    if (stream.is_on_disk(number)) continue;
    const MessagePointer message = stream.backlog.at(number);
    account_dropped(stream, number, message->flows, message->packets, message->octets);
  }
}

// Appends waiting messages to the spool. If that fails, they are sent from memory, and the append is retried
// after a delay.
void Exporter::append_to_spool(Stream& stream) {
  if (stream.appending || now() < disk_retry_at_) return;
  const MessageNumber from = std::max(stream.to_disk, stream.backlog.first());
  struct Batch {
    std::vector<storage::SpoolEntry> entries;
    storage::DroppedEntries dropped;
    std::string error;
    bool kept = false;
  };
  const auto batch = std::make_shared<Batch>();
  const std::size_t bytes_most = std::min(kMaxBatchBytes, settings_.spool.bytes / kMaxBatchFraction);
  std::size_t bytes = 0;
  MessageNumber to = from;
  for (; to < stream.backlog.end() && bytes < bytes_most; ++to) {
    const MessagePointer message = stream.backlog.at(to);
    batch->entries.push_back({to, now(), message->flows, message->packets, message->octets,
                              message->next_sequence, message->bytes});
    bytes += message->bytes.size();
  }
  if (batch->entries.empty()) return;
  const auto job = [spool = spool_.get(), batch] {
    batch->kept = spool->append(batch->entries, batch->dropped, batch->error);
  };
  const auto done = [this, &stream, batch, from, to] {
    stream.appending = false;
    stream.disk_fails = !batch->kept;
    stream.on_disk = std::max(stream.on_disk, to);
    if (batch->kept) {
      counters_.spool_written += to - from;
      stream.memory_only.erase(stream.memory_only.lower_bound(from), stream.memory_only.lower_bound(to));
      account_dropped_from_disk(stream, batch->dropped);
      disk_succeeded();
    } else {
      for (const storage::SpoolEntry& entry : batch->entries)
        if (stream.memory_only.insert(entry.number).second) ++counters_.spool_failed;
      account_lost(stream, batch->entries);
      stream.to_disk = from;
      disk_failed(batch->error);
    }
    drop_excess(stream);
    append_to_spool(stream);
    for (const auto& receiver : stream.receivers) receiver->wake.notify();
  };
  if (!worker_->post(job, done)) return;
  stream.append_from = from;
  stream.to_disk = to;
  stream.appending = true;
}

// Ages are measured by this run's clock. Entries of earlier runs have timestamps of other clocks, and the
// system clock may have been set in between, so their age counts from the start of this run.
Exporter::SpoolAge Exporter::spool_age() const {
  const Seconds oldest = now() - settings_.spool.age;
  if (oldest < started_at_) return {0, -std::numeric_limits<Seconds>::infinity()};
  return {first_of_run_, oldest};
}

// Stores the cursors in the spool, and removes entries that no receiver needs or that are too old.
void Exporter::maintain_spool() {
  if (!spool_ || now() < spool_maintained_at_ + limits_.flow_trim_interval || now() < disk_retry_at_) return;
  spool_maintained_at_ = now();
  Stream& stream = *streams_[0];
  MessageNumber needed = stream.sendable();
  std::map<std::string, std::uint64_t> cursors;
  for (const auto& receiver : stream.receivers) {
    needed = std::min(needed, receiver->first_unconfirmed());
    cursors[receiver->name] = receiver->first_unconfirmed();
  }
  struct Work {
    std::map<std::string, std::uint64_t> changed, written;
    storage::DroppedEntries dropped;
    std::string error;
    bool done = false;
  };
  const auto work = std::make_shared<Work>();
  for (const auto& [reader, next] : cursors)
    if (const auto stored = stored_cursors_.find(reader);
        stored == stored_cursors_.end() || stored->second != next)
      work->changed[reader] = next;
  const SpoolAge age = spool_age();
  const MessageNumber before = std::max(needed, age.number);
  const auto job = [spool = spool_.get(), work, before, written = age.written] {
    for (const auto& [reader, next] : work->changed) {
      if (!spool->put_cursor(reader, next, work->error)) return;
      work->written[reader] = next;
    }
    work->done = spool->trim(before, written, work->dropped, work->error);
  };
  const auto done = [this, &stream, work] {
    for (const auto& [reader, next] : work->written) stored_cursors_[reader] = next;
    account_dropped_from_disk(stream, work->dropped);
    if (!work->done) disk_failed(work->error);
  };
  worker_->post(job, done);
}

// The next message for a receiver, from memory or from disk; null if none is available now.
Task<MessagePointer> Exporter::next_message(Stream& stream, Receiver& receiver) {
  if (receiver.cursor >= stream.sendable()) co_return nullptr;
  if (MessagePointer here = stream.backlog.at(receiver.cursor)) {
    receiver.disk_entries.clear();
    co_return here;
  }
  if (!stream.spooled) {  // it was dropped and has been counted
    receiver.cursor = std::max(receiver.cursor, stream.backlog.first());
    co_return stream.backlog.at(receiver.cursor);
  }
  while (!receiver.disk_entries.empty() && receiver.disk_entries.front().number < receiver.cursor)
    receiver.disk_entries.pop_front();
  if (receiver.disk_entries.empty()) {
    if (now() < disk_retry_at_) co_return nullptr;
    struct Work {
      std::vector<storage::SpoolEntry> entries;
      std::string error;
      bool done = false;
    };
    const auto work = std::make_shared<Work>();
    const MessageNumber all_before =
        std::min(stream.backlog.first(), stream.sendable());  // upper bound of the read
    const auto job = [spool = spool_.get(), work, from = receiver.cursor, bytes = limits_.spool_read_size] {
      work->entries = spool->read(from, bytes, work->error);
    };
    // Stored in the receiver at once, as a later job may drop some of these entries.
    const auto done = [work, &receiver] {
      work->done = true;
      receiver.disk_entries.assign(std::make_move_iterator(work->entries.begin()),
                                   std::make_move_iterator(work->entries.end()));
      receiver.disk_entries_ready.notify();
    };
    if (!worker_->post(job, done)) co_return nullptr;
    while (!work->done) co_await receiver.disk_entries_ready.wait();
    if (work->entries.empty() &&
        !work->error.empty()) {  // the read failed; the entries may still be on disk, so retry later
      disk_failed(work->error);
      co_return nullptr;
    }
    if (work->entries.empty()) {  // removed from the spool by its age or size limit
      receiver.cursor = std::max(receiver.cursor, all_before);
      co_return stream.backlog.at(receiver.cursor);
    }
    counters_.spool_read += work->entries.size();
    if (receiver.disk_entries.empty()) co_return nullptr;  // dropped meanwhile; the next call reads on
  }
  storage::SpoolEntry& entry = receiver.disk_entries.front();
  // Messages that the spool has dropped may still be in memory.
  const bool memory_is_older = !stream.backlog.empty() && stream.backlog.first() < entry.number;
  if (memory_is_older && receiver.cursor < stream.backlog.first()) {
    receiver.cursor = stream.backlog.first();
    co_return stream.backlog.at(receiver.cursor);
  }
  receiver.cursor = std::max(receiver.cursor, entry.number);
  ipfix::Message message;
  message.bytes = std::move(entry.bytes);
  message.flows = entry.flows;
  message.packets = entry.packets;
  message.octets = entry.octets;
  receiver.disk_entries.pop_front();
  co_return std::make_shared<const ipfix::Message>(std::move(message));
}

// --- delivery to collectors ---

// Waits for the next turn of the event loop after a number of messages. Guards against a backlog that is sent
// in one turn, as far as the socket takes it: clients would wait for it, and where the compiler makes no tail
// calls of coroutine resumptions each message would use stack until the turn ends.
Task<> Exporter::deliver(Exporter& self, Stream& stream, ReceiverPointer receiver) {
  std::size_t sent_in_turn = 0;
  while (!receiver->stopped) {
    if (sent_in_turn >= self.limits_.max_flow_messages_per_turn) {
      sent_in_turn = 0;
      co_await self.scheduler_.sleep_until(Scheduler::now());
    }
    const auto choice = receiver->delivery.choose_collector(self.now());
    if (choice) {
      if (!co_await self.connect_collector(*receiver, *choice)) {
        ++self.counters_.collectors_failed;
        receiver->delivery.failed(self.now(), *choice);
      }
      continue;
    }
    if (!receiver->session) {
      co_await self.scheduler_.sleep_until(std::min(
          Scheduler::now() + kPollInterval, self.clock_.to_scheduler(receiver->delivery.next_attempt_at())));
      continue;
    }
    ++sent_in_turn;
    if (co_await self.send_next(stream, *receiver) || !receiver->session || receiver->stopped) continue;
    co_await receiver->wake.wait();
    sent_in_turn = 0;
  }
  receiver->session.reset();
}

Task<bool> Exporter::connect_collector(Receiver& receiver, std::size_t collector_index) {
  const CollectorSettings& collector = receiver.collectors[collector_index];
  auto session = std::make_unique<Session>();
  if (collector.transport == Transport::kUdp) {
    try {
      session->datagrams = transport::DatagramSocket::connected_to(scheduler_, collector.address);
    } catch (const std::system_error&) {
      co_return false;
    }
  } else {
    auto connect_result = co_await transport::connect(scheduler_, collector.address,
                                                      Scheduler::now() + limits_.flow_connect_timeout);
    if (connect_result.status != transport::ConnectStatus::kConnected) co_return false;
    session->stream = std::move(connect_result.socket);
    session->stream.limit_send_buffer(
        settings_.queue_bytes);  // otherwise the kernel would buffer megabytes more
  }
  if (receiver.session && !receiver.session->unacknowledged.empty())
    receiver.cursor = std::min(receiver.cursor, receiver.session->unacknowledged.front().number);
  receiver.session = std::move(session);
  receiver.message_sent_in_session = false;
  receiver.delivery.connected(now(), collector_index);
  ++counters_.collectors_up;
  statistics_due_ = true;  // the collector may be new and have no names yet
  log_.info("collector_up", "flow export: connected to {}", collector_names({collector}));
  co_return true;
}

// Ends the session. Messages that may not have arrived are sent again if they are still stored; the others
// are counted as lost.
void Exporter::connection_lost(Stream& stream, Receiver& receiver, const std::string& why) {
  ++counters_.collectors_failed;
  const MessageNumber from = receiver.first_unconfirmed();
  receiver.sending = false;
  if (receiver.session && !stream.spooled)
    for (const Session::Sent& sent : receiver.session->unacknowledged)
      if (sent.number < stream.backlog.first())
        count_not_sent(receiver, sent.flows, sent.packets, sent.octets);
  if (receiver.session) receiver.session->stream.abort();
  receiver.session.reset();
  receiver.disk_entries.clear();
  if (from < receiver.cursor)
    receiver.cursor = stream.spooled ? from : std::max(from, stream.backlog.first());
  if (const auto current = receiver.delivery.current_collector()) {
    log_.warning("collector_lost", "flow export: collector {}: {}; {} messages waiting",
                 collector_names({receiver.collectors[*current]}), why,
                 stream.backlog.end() - receiver.cursor);
    receiver.delivery.failed(now(), *current);
  }
}

// Returns true if a message was sent, or sending failed, and there may be more to do at once.
Task<bool> Exporter::send_next(Stream& stream, Receiver& receiver) {
  Session& session = *receiver.session;
  const bool datagrams = session.datagrams.has_value();
  if (!datagrams) {
    session.forget_acknowledged(now() - settings_.resend);
    if (session.stream.closed_by_peer()) {
      connection_lost(stream, receiver, "connection closed");
      co_return true;
    }
  }
  const auto behind = [&] { return stream.sendable() - std::min(receiver.cursor, stream.sendable()); };
  const Seconds wait = receiver.delivery.next_send_at(behind()) - now();
  if (wait > 0) {
    co_await scheduler_.sleep_until(Scheduler::now() + wait);
    co_return !receiver.stopped;
  }
  const MessagePointer message = co_await next_message(stream, receiver);
  if (!message || receiver.stopped) co_return false;
  const bool due = datagrams ? receiver.delivery.templates_due(now()) : session.written == 0;
  std::string templates;
  if (due && stream.protocol == Protocol::kIpfix)
    templates = stream.encoder.session_templates(now(), ipfix::Encoder::sequence_of(message->bytes));
  if (datagrams) {
    using SendStatus = transport::DatagramSocket::SendStatus;
    SendStatus sent = templates.empty() ? SendStatus::kSent : session.datagrams->send_now(templates);
    if (due && sent == SendStatus::kSent) receiver.delivery.templates_sent(now());
    if (sent == SendStatus::kSent) sent = session.datagrams->send_now(message->bytes);
    if (sent == SendStatus::kWouldBlock) {
      ++counters_.collectors_full;
      co_return false;  // retried at the next tick
    }
    if (sent == SendStatus::kTooLong) {  // too long for a datagram; retrying would fail too
      count_not_sent(receiver, message->flows, message->packets, message->octets);
      ++receiver.cursor;
      co_return true;
    }
    if (sent != SendStatus::kSent) {
      connection_lost(stream, receiver, sent == SendStatus::kRefused ? "connection refused" : "send failed");
      co_return true;
    }
  } else {
    receiver.sending = true;
    const std::string bytes = templates + message->bytes;
    const transport::IoResult io =
        co_await session.stream.write(bytes, Scheduler::now() + limits_.flow_stall_timeout);
    receiver.sending = false;
    session.written += io.bytes;
    if (!io.ok()) {
      connection_lost(stream, receiver,
                      io.status == transport::IoStatus::kTimedOut ? "write timed out" : "connection closed");
      if (!stream.spooled && receiver.cursor < stream.backlog.first()) {
        count_not_sent(receiver, message->flows, message->packets, message->octets);
        receiver.cursor = stream.backlog.first();
      }
      co_return true;
    }
    session.unacknowledged.push_back(
        {session.written, receiver.cursor, now(), message->flows, message->packets, message->octets});
  }
  ++counters_.flow_messages_sent;
  ++receiver.cursor;
  receiver.message_sent_in_session = true;
  receiver.delivery.message_sent(now(), behind());
  co_return true;
}

}  // namespace hareramp::flow
