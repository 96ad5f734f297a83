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

constexpr Seconds kPoll = 0.05;  // s between a receiver's looks where nothing wakes it

// After a failure of the spool's disk, doubling from one to the other.
constexpr Seconds kFirstDiskPause = 0.2;
constexpr Seconds kLongestDiskPause = 10;
// Of messages in one commit, but no more than this part of the spool: a commit needs free pages in it.
constexpr std::size_t kBatchBytes = 256 << 10;
constexpr std::size_t kBatchPart = 16;

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

std::string name_of(const std::vector<CollectorSettings>& collectors) {
  std::string name;
  for (const CollectorSettings& one : collectors)
    name += (name.empty() ? "" : ",") + std::string(one.transport == Transport::kTcp ? "tcp:" : "udp:") +
            one.address.text();
  return name;
}

}  // namespace

// An open way to one collector.
struct Exporter::Session {
  std::optional<transport::DatagramSocket> datagrams;
  transport::Socket stream;
  // Over TCP: where each message ended that the collector's kernel has not acknowledged yet.
  struct Sent {
    std::uint64_t end = 0;  // of the session's bytes
    MessageNumber number = 0;
    Seconds at = 0;
    std::uint32_t flows = 0;
    std::uint64_t packets = 0, octets = 0;
  };
  std::deque<Sent> unacknowledged;
  std::uint64_t written = 0;

  // Acknowledged by the kernel is not taken in by the collector: what was sent since that time is kept.
  void forget_acknowledged(Seconds sent_before) {
    const std::uint64_t sure = written - std::min<std::uint64_t>(written, stream.unacknowledged());
    while (!unacknowledged.empty() && unacknowledged.front().end <= sure &&
           unacknowledged.front().at <= sent_before)
      unacknowledged.pop_front();
  }
};

// Whoever gets every message of a stream once: a collector, or several that stand in for one another.
struct Exporter::Receiver {
  Receiver(Scheduler& scheduler, std::vector<CollectorSettings> all, const DeliveryTimes& times,
           std::uint64_t seed)
      : collectors(std::move(all)),
        name(name_of(collectors)),
        delivery(times, collectors.size(), seed),
        awake(scheduler),
        from_disk_ready(scheduler) {}

  // The first message that is not surely there.
  MessageNumber floor() const {
    if (session && !session->unacknowledged.empty())
      return std::min(cursor, session->unacknowledged.front().number);
    return session && session->datagrams && cursor > 0 && sent_any ? cursor - 1 : cursor;
  }

  const std::vector<CollectorSettings> collectors;
  const std::string name;
  Delivery delivery;
  std::unique_ptr<Session> session;
  MessageNumber cursor = 0;  // the next to be sent
  ipfix::NotSent not_sent, not_sent_told;
  transport::Signal awake, from_disk_ready;
  std::deque<storage::SpoolEntry> from_disk;
  bool stopped = false, sending = false, sent_any = false;
};

struct Exporter::Stream {
  Stream(Protocol which, const ipfix::EncoderSettings& settings, ipfix::Encoder::Done done, std::size_t bytes,
         MessageNumber first)
      : protocol(which), encoder(settings, std::move(done)), backlog(bytes, first), on_disk(first) {}

  const Protocol protocol;
  ipfix::Encoder encoder;
  Backlog backlog;
  std::vector<ReceiverPointer> receivers;
  // Where there is a spool: all before this number went through it, and may be sent.
  MessageNumber on_disk;
  MessageNumber to_disk = 0;         // up to here they are on the disk, or a job is out
  std::set<MessageNumber> not_kept;  // in memory only: the disk did not take them, or dropped them
  bool spooled = false;
  bool appending = false;         // a job is out; one at a time, as numbers on the disk have to go up
  MessageNumber append_from = 0;  // where that job begins; it ends before to_disk
  bool disk_fails = false;        // messages are sent from memory until an append succeeds
  std::uint64_t messages = 0, flows = 0, octets = 0;
  Seconds templates_at = 0;
  std::size_t since_templates = 0;

  MessageNumber sendable() const { return spooled && !disk_fails ? on_disk : backlog.end(); }
  bool is_on_its_way_to_disk(MessageNumber number) const {
    return appending && number >= append_from && number < to_disk;
  }
  bool is_on_disk(MessageNumber number) const {
    return spooled && number < on_disk && !not_kept.contains(number);
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
      started_(clock_.now()),
      table_(
          {settings.flows_most, limits.max_flow_connections, settings.active_timeout, settings.idle_timeout},
          static_cast<std::uint64_t>(started_ * 1000) << 20, *this),
      names_(limits.flow_name_retention, limits.max_flow_names),
      tapped_(limits.max_flow_connections) {
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
    encoder.started = started_;
    encoder.first_sequence = ipfix ? first_sequence : 0;
    const auto place = static_cast<std::size_t>(protocol);
    streams_[place] = std::make_unique<Stream>(
        protocol, encoder,
        [this, place](ipfix::Message message) { finished(*streams_[place], std::move(message)); },
        settings.queue_bytes, ipfix ? first : 0);
    streams_[place]->spooled = ipfix && spool_ != nullptr;
    streams_[place]->to_disk = streams_[place]->on_disk;
  }
}

Exporter::~Exporter() = default;

Exporter::Stream& Exporter::stream(Protocol protocol) {
  return *streams_[static_cast<std::size_t>(protocol)];
}

DeliveryTimes Exporter::times() const {
  DeliveryTimes times;
  times.first_pause = limits_.flow_retry_delay;
  times.longest_pause = limits_.flow_max_retry_delay;
  times.come_home = limits_.flow_primary_check_interval;
  times.template_again = settings_.template_resend;
  times.template_after = settings_.template_resend_messages;
  times.replay_per_s = settings_.spool.replay_per_s > 0 ? settings_.spool.replay_per_s : 2000;
  return times;
}

void Exporter::start() {
  set_receivers(settings_);
  scheduler_.spawn(live(*this));
}

void Exporter::set_receivers(const ExportSettings& settings) {
  for (const auto& stream : streams_) {
    std::vector<std::vector<CollectorSettings>> wanted;
    std::vector<CollectorSettings> together;
    for (const CollectorSettings& one : settings.collectors) {
      if (one.protocol != stream->protocol) continue;
      if (one.mode == Mode::kFailover)
        together.push_back(one);
      else
        wanted.push_back({one});
    }
    if (!together.empty()) wanted.push_back(together);
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
          std::make_shared<Receiver>(scheduler_, collectors, times(), seed_ ^ (++receivers_made_ << 32));
      made->cursor = stream->backlog.end();
      if (stream->spooled) {
        const auto stored = stored_cursors_.find(made->name);
        if (stored != stored_cursors_.end()) made->cursor = std::min(made->cursor, stored->second);
      }
      kept.push_back(made);
      scheduler_.spawn(serve(*this, *stream, made));
    }
    for (const auto& old : stream->receivers)
      if (std::find(kept.begin(), kept.end(), old) == kept.end()) old->stopped = true, old->awake.notify();
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
  figures_due_ = true;
}

// --- what is counted ---

std::optional<ConnectionNumber> Exporter::opened(int descriptor, NodeRole part, NameNumber node,
                                                 bool inbound) {
  const auto own = transport::Address::own(descriptor), peer = transport::Address::peer(descriptor);
  if (!own || !peer || finished_) return {};
  Ends ends;
  ends.initiator = endpoint_of(inbound ? *peer : *own);
  ends.responder = endpoint_of(inbound ? *own : *peer);
  ends.part = part;
  ends.node = node;
  const auto number = table_.opened(now(), ends);
  if (!number) {
    ++counters_.flows_uncounted;
    return {};
  }
  tapped_[number->value] = {descriptor, inbound};
  return number;
}

std::unique_ptr<FlowObserver> Exporter::client(int descriptor) {
  const auto number = opened(descriptor, NodeRole::kClient, {}, true);
  return number ? std::make_unique<FlowObserver>(*this, *number, true) : nullptr;
}

std::unique_ptr<FlowObserver> Exporter::node(int descriptor, NodeRole part, const std::string& node) {
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
  const Tapped& tapped = tapped_[connection.value];
  const auto told = tapped.descriptor < 0 ? std::nullopt : transport::tcp_counts(tapped.descriptor);
  if (!told) return counts;
  const Direction out = tapped.inbound ? kReverse : kForward, in = tapped.inbound ? kForward : kReverse;
  counts.segments[out] = told->segments_out;
  counts.segments[in] = told->segments_in;
  counts.octets[out] = told->bytes_out;
  counts.octets[in] = told->bytes_in;
  return counts;
}

void Exporter::record(const Record& record) {
  ++counters_.flow_records;
  for (const auto& stream : streams_)
    if (!stream->receivers.empty()) stream->encoder.flow(now(), record);
}

// --- what becomes of it ---

void Exporter::finished(Stream& stream, ipfix::Message message) {
  ++counters_.flow_messages;
  ++stream.messages;
  ++stream.since_templates;
  stream.flows += message.flows;
  stream.octets += message.bytes.size();
  stream.backlog.push(std::make_shared<const ipfix::Message>(std::move(message)));
  if (stream.spooled) spool_what_waits(stream);
  keep_bound(stream);
  for (const auto& receiver : stream.receivers) receiver->awake.notify();
}

// Guards against a collector that stops, and one that is slower than what there is to tell: memory is
// bounded, the oldest goes, and the collector is told afterwards what it missed. It hurts where a collector
// is away for longer than the queue lasts and there is no spool.
void Exporter::keep_bound(Stream& stream) {
  MessageNumber needed = stream.sendable();
  for (const auto& receiver : stream.receivers) needed = std::min(needed, receiver->floor());
  stream.backlog.release(needed);
  stream.not_kept.erase(stream.not_kept.begin(), stream.not_kept.lower_bound(stream.backlog.first()));
  stream.backlog.keep_bound([&](MessageNumber number, const ipfix::Message& message) {
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
    std::erase_if(receiver->from_disk, [&](const auto& entry) { return entry.number == number; });
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

void Exporter::tell_figures() {
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
      if (receiver->not_sent == receiver->not_sent_told) continue;
      receiver->not_sent_told = receiver->not_sent;
      stream->encoder.not_sent(at, endpoint_of(receiver->collectors.front().address), receiver->not_sent);
    }
    // Every packet of NetFlow v9 has a number of its own, so its templates stand in the stream.
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

Task<> Exporter::live(Exporter& self) {
  if (self.streams_[1]->receivers.size() > 0) self.flush();  // NetFlow's templates come first
  while (!self.finished_) {
    const Seconds at = self.now();
    const std::uint64_t evicted = self.table_.evicted();
    if (self.table_.expire(at, self.limits_.max_flows_per_turn)) {
      co_await self.scheduler_.sleep_until(Scheduler::now());  // the others' turn
      continue;
    }
    self.counters_.flows = self.table_.flows();
    self.counters_.flows_evicted = evicted;
    if (self.figures_due_ || at >= self.figures_at_ + self.settings_.template_resend) {
      self.figures_due_ = false;
      self.figures_at_ = at;
      self.names_.forget(at);
      self.tell_figures();
    }
    self.flush();
    self.look_after_spool();
    for (const auto& stream : self.streams_) {
      if (stream->spooled) self.spool_what_waits(*stream);
      self.keep_bound(*stream);
      for (const auto& receiver : stream->receivers) receiver->awake.notify();
    }
    co_await self.scheduler_.sleep_until(Scheduler::now() + self.limits_.flow_tick_interval);
  }
}

Task<> Exporter::finish(Seconds until) {
  while (table_.end_some(now(), EndReason::kForced, limits_.max_flows_per_turn))
    co_await scheduler_.sleep_until(Scheduler::now());
  finished_ = true;
  disk_again_at_ = 0;
  disk_pause_ = 0;
  tell_figures();
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
      if (stream->spooled) spool_what_waits(*stream);
      for (const auto& receiver : stream->receivers) receiver->awake.notify();
    }
    co_await scheduler_.sleep_until(Scheduler::now() + 0.002);
  }
  spool_at_ = 0;
  disk_again_at_ = 0;
  look_after_spool();
  while (worker_ && worker_->pending() > 0 && Scheduler::now() < until)
    co_await scheduler_.sleep_until(Scheduler::now() + 0.002);
  for (const auto& stream : streams_) {
    account_left_in_memory(*stream);
    for (const auto& receiver : stream->receivers) {
      receiver->stopped = true;
      if (receiver->session) receiver->session->stream.shutdown_write();
    }
  }
  log_.event(LogLevel::kInfo, "flow_export_ended",
             fmt::format("flow export: ended with {} records told, {} in messages dropped",
                         counters_.flow_records, counters_.flow_records_dropped),
             {{"records", counters_.flow_records}, {"dropped", counters_.flow_records_dropped}});
}

// --- the disk ---

void Exporter::disk_worked() {
  if (disk_pause_ == 0) return;
  disk_pause_ = 0;
  disk_again_at_ = 0;
  log_.info("spool_well", "flow export: the disk takes messages again");
}

void Exporter::disk_failed(const std::string& error) {
  if (now() < disk_again_at_) return;  // a job that was out when another failed
  if (disk_pause_ == 0)
    log_.warning("spool_failed", "flow export: the disk does not take messages: {}; they wait in memory",
                 error);
  disk_pause_ = disk_pause_ == 0 ? kFirstDiskPause : std::min(2 * disk_pause_, kLongestDiskPause);
  disk_again_at_ = now() + disk_pause_;
}

// What the spool dropped to keep its bounds may still be in memory, and is then sent from there.
void Exporter::account_dropped_from_disk(Stream& stream, const storage::DroppedEntries& dropped) {
  for (const storage::SpoolEntry& entry : dropped)
    if (stream.backlog.at(entry.number)) stream.not_kept.insert(entry.number);
  account_gone(stream, dropped);
}

// Of messages that are not on the disk: those that have left memory too are lost.
void Exporter::account_gone(Stream& stream, const std::vector<storage::SpoolEntry>& entries) {
  for (const storage::SpoolEntry& entry : entries)
    if (!stream.backlog.at(entry.number))
      account_dropped(stream, entry.number, entry.flows, entry.packets, entry.octets);
}

// At the end: what no disk holds is lost to the receivers that have not got it.
void Exporter::account_left_in_memory(Stream& stream) {
  for (MessageNumber number = stream.backlog.first(); number < stream.backlog.end(); ++number) {
    if (stream.is_on_disk(number)) continue;
    const MessagePointer message = stream.backlog.at(number);
    account_dropped(stream, number, message->flows, message->packets, message->octets);
  }
}

// Messages that the disk did not take are sent from memory, and given to the disk again after a pause.
void Exporter::spool_what_waits(Stream& stream) {
  if (stream.appending || now() < disk_again_at_) return;
  const MessageNumber from = std::max(stream.to_disk, stream.backlog.first());
  struct Batch {
    std::vector<storage::SpoolEntry> entries;
    storage::DroppedEntries dropped;
    std::string error;
    bool kept = false;
  };
  const auto batch = std::make_shared<Batch>();
  const std::size_t bytes_most = std::min(kBatchBytes, settings_.spool.bytes / kBatchPart);
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
      stream.not_kept.erase(stream.not_kept.lower_bound(from), stream.not_kept.lower_bound(to));
      account_dropped_from_disk(stream, batch->dropped);
      disk_worked();
    } else {
      for (const storage::SpoolEntry& entry : batch->entries)
        if (stream.not_kept.insert(entry.number).second) ++counters_.spool_failed;
      account_gone(stream, batch->entries);
      stream.to_disk = from;
      disk_failed(batch->error);
    }
    keep_bound(stream);
    spool_what_waits(stream);
    for (const auto& receiver : stream.receivers) receiver->awake.notify();
  };
  if (!worker_->post(job, done)) return;
  stream.append_from = from;
  stream.to_disk = to;
  stream.appending = true;
}

// Ages are spans of this run's clock. The stamps of earlier runs are of other clocks, and the system's may
// have been set in between: their age counts from the start of this run.
Exporter::SpoolAge Exporter::spool_age() const {
  const Seconds oldest = now() - settings_.spool.age;
  if (oldest < started_) return {0, -std::numeric_limits<Seconds>::infinity()};
  return {first_of_run_, oldest};
}

// Cursors go to the disk, and what nobody needs any more, or is too old, goes from it.
void Exporter::look_after_spool() {
  if (!spool_ || now() < spool_at_ + limits_.flow_trim_interval || now() < disk_again_at_) return;
  spool_at_ = now();
  Stream& stream = *streams_[0];
  MessageNumber needed = stream.sendable();
  std::map<std::string, std::uint64_t> cursors;
  for (const auto& receiver : stream.receivers) {
    needed = std::min(needed, receiver->floor());
    cursors[receiver->name] = receiver->floor();
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

// The next message for a receiver, from memory or from the disk; null if there is none now.
Task<MessagePointer> Exporter::fetch(Stream& stream, Receiver& receiver) {
  if (receiver.cursor >= stream.sendable()) co_return nullptr;
  if (MessagePointer here = stream.backlog.at(receiver.cursor)) {
    receiver.from_disk.clear();
    co_return here;
  }
  if (!stream.spooled) {  // it was dropped, and that is told of
    receiver.cursor = std::max(receiver.cursor, stream.backlog.first());
    co_return stream.backlog.at(receiver.cursor);
  }
  while (!receiver.from_disk.empty() && receiver.from_disk.front().number < receiver.cursor)
    receiver.from_disk.pop_front();
  if (receiver.from_disk.empty()) {
    if (now() < disk_again_at_) co_return nullptr;
    struct Work {
      std::vector<storage::SpoolEntry> entries;
      std::string error;
      bool done = false;
    };
    const auto work = std::make_shared<Work>();
    const MessageNumber all_before = std::min(stream.backlog.first(), stream.sendable());  // of what is read
    const auto job = [spool = spool_.get(), work, from = receiver.cursor, bytes = limits_.spool_read_size] {
      work->entries = spool->read(from, bytes, work->error);
    };
    // Taken over at once: a job behind this one may drop some of them.
    const auto done = [work, &receiver] {
      work->done = true;
      receiver.from_disk.assign(std::make_move_iterator(work->entries.begin()),
                                std::make_move_iterator(work->entries.end()));
      receiver.from_disk_ready.notify();
    };
    if (!worker_->post(job, done)) co_return nullptr;
    while (!work->done) co_await receiver.from_disk_ready.wait();
    if (work->entries.empty() && !work->error.empty()) {  // it is on the disk all the same: read again later
      disk_failed(work->error);
      co_return nullptr;
    }
    if (work->entries.empty()) {  // gone from the disk too, by its age or bound
      receiver.cursor = std::max(receiver.cursor, all_before);
      co_return stream.backlog.at(receiver.cursor);
    }
    counters_.spool_read += work->entries.size();
    if (receiver.from_disk.empty()) co_return nullptr;  // dropped meanwhile: what follows is read next
  }
  storage::SpoolEntry& entry = receiver.from_disk.front();
  // What the spool has dropped may still be in memory.
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
  receiver.from_disk.pop_front();
  co_return std::make_shared<const ipfix::Message>(std::move(message));
}

// --- the collectors ---

Task<> Exporter::serve(Exporter& self, Stream& stream, ReceiverPointer receiver) {
  while (!receiver->stopped) {
    const auto choice = receiver->delivery.choose(self.now());
    if (choice) {
      if (!co_await self.reach(*receiver, *choice)) {
        ++self.counters_.collectors_failed;
        receiver->delivery.failed(self.now(), *choice);
      }
      continue;
    }
    if (!receiver->session) {
      co_await self.scheduler_.sleep_until(
          std::min(Scheduler::now() + kPoll, self.clock_.to_scheduler(receiver->delivery.next_try())));
      continue;
    }
    if (!co_await self.send_next(stream, *receiver) && receiver->session && !receiver->stopped)
      co_await receiver->awake.wait();
  }
  receiver->session.reset();
}

Task<bool> Exporter::reach(Receiver& receiver, std::size_t place) {
  const CollectorSettings& collector = receiver.collectors[place];
  auto session = std::make_unique<Session>();
  if (collector.transport == Transport::kUdp) {
    try {
      session->datagrams = transport::DatagramSocket::connected_to(scheduler_, collector.address);
    } catch (const std::system_error&) {
      co_return false;
    }
  } else {
    auto connected = co_await transport::connect(scheduler_, collector.address,
                                                 Scheduler::now() + limits_.flow_connect_timeout);
    if (connected.status != transport::ConnectStatus::kConnected) co_return false;
    session->stream = std::move(connected.socket);
    session->stream.limit_send_buffer(settings_.queue_bytes);  // else the kernel would hold megabytes more
  }
  if (receiver.session && !receiver.session->unacknowledged.empty())
    receiver.cursor = std::min(receiver.cursor, receiver.session->unacknowledged.front().number);
  receiver.session = std::move(session);
  receiver.sent_any = false;
  receiver.delivery.came_up(now(), place);
  ++counters_.collectors_up;
  figures_due_ = true;  // it may be new, and know no names
  log_.info("collector_up", "flow export: {} is there", name_of({collector}));
  co_return true;
}

// What may not have come is sent again, where it is still held; the rest is lost and counted.
void Exporter::lost(Stream& stream, Receiver& receiver, const std::string& why) {
  ++counters_.collectors_failed;
  const MessageNumber from = receiver.floor();
  receiver.sending = false;
  if (receiver.session && !stream.spooled)
    for (const Session::Sent& sent : receiver.session->unacknowledged)
      if (sent.number < stream.backlog.first())
        count_not_sent(receiver, sent.flows, sent.packets, sent.octets);
  if (receiver.session) receiver.session->stream.abort();
  receiver.session.reset();
  receiver.from_disk.clear();
  if (from < receiver.cursor)
    receiver.cursor = stream.spooled ? from : std::max(from, stream.backlog.first());
  if (const auto current = receiver.delivery.current()) {
    log_.warning("collector_lost", "flow export: {}: {}; {} messages wait",
                 name_of({receiver.collectors[*current]}), why, stream.backlog.end() - receiver.cursor);
    receiver.delivery.failed(now(), *current);
  }
}

// True: something went, or failed, and there may be more to do at once.
Task<bool> Exporter::send_next(Stream& stream, Receiver& receiver) {
  Session& session = *receiver.session;
  const bool datagrams = session.datagrams.has_value();
  if (!datagrams) {
    session.forget_acknowledged(now() - settings_.resend);
    if (session.stream.closed_by_peer()) {
      lost(stream, receiver, "it has closed");
      co_return true;
    }
  }
  const auto behind = [&] { return stream.sendable() - std::min(receiver.cursor, stream.sendable()); };
  const Seconds wait = receiver.delivery.may_send_at(behind()) - now();
  if (wait > 0) {
    co_await scheduler_.sleep_until(Scheduler::now() + wait);
    co_return !receiver.stopped;
  }
  const MessagePointer message = co_await fetch(stream, receiver);
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
      co_return false;  // at the next tick
    }
    if (sent == SendStatus::kTooLong) {  // no other message of this size would go either
      count_not_sent(receiver, message->flows, message->packets, message->octets);
      ++receiver.cursor;
      co_return true;
    }
    if (sent != SendStatus::kSent) {
      lost(stream, receiver, sent == SendStatus::kRefused ? "nobody listens there" : "it can't be sent to");
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
      lost(stream, receiver,
           io.status == transport::IoStatus::kTimedOut ? "it takes nothing more" : "it has closed");
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
  receiver.sent_any = true;
  receiver.delivery.message_sent(now(), behind());
  co_return true;
}

}  // namespace hareramp::flow
