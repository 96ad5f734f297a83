// The actor of flow export: owns the table of flows, encodes its records into messages, and sends them to the
// collectors. Serving requests never waits for a collector or the disk: messages are queued here up to a
// limit, and what exceeds it is dropped, counted and reported to the collectors. Runs in the event loop,
// except for disk access, which runs on a worker thread.
#pragma once

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/counters.hpp"
#include "base/limits.hpp"
#include "base/log.hpp"
#include "flow/backlog.hpp"
#include "flow/delivery.hpp"
#include "flow/flow_observer.hpp"
#include "flow/names.hpp"
#include "flow/settings.hpp"
#include "flow/table.hpp"
#include "ipfix/encoder.hpp"
#include "storage/spool.hpp"
#include "storage/worker.hpp"
#include "transport/clock.hpp"
#include "transport/scheduler.hpp"
#include "transport/signal.hpp"
#include "transport/socket.hpp"

namespace hareramp::flow {

class Exporter : private TableEvents {
 public:
  // Opens the spool if one is configured; throws std::runtime_error if it can't be opened.
  Exporter(transport::Scheduler& scheduler, const Limits& limits, Counters& counters, Log& log,
           const ExportSettings& settings, std::uint64_t seed);
  ~Exporter() override;

  void start();
  // Applies new times, collectors and networks; other settings stay as they were at start. Receivers that are
  // configured as before keep their position in the stream.
  void reload(const ExportSettings& settings);
  // Ends all flows and tries to send their records until the given time.
  transport::Task<> finish(Seconds until);

  // Starts counting a connection that was just opened. Null if it can't be counted: the limit of connections
  // is reached, an address of it is unknown, or finish() has stopped the counting.
  std::unique_ptr<FlowObserver> observe_client(int descriptor);
  std::unique_ptr<FlowObserver> observe_node(int descriptor, NodeRole part, const std::string& node);
  // The number of a client's location, found by its address, and that of a request class.
  NameNumber location_of(int descriptor);
  NameNumber request_class(const std::string& name);
  std::uint64_t octets(Direction direction) const { return table_.octets(direction); }

 private:
  friend class FlowObserver;
  struct Receiver;
  struct Session;
  struct Stream;
  using ReceiverPointer = std::shared_ptr<Receiver>;

  struct ObservedSocket {
    int descriptor = -1;
    bool inbound = false;
  };

  // TableEvents
  KernelCounts kernel(ConnectionNumber connection) override;
  void record(const Record& record) override;

  std::optional<ConnectionNumber> opened(int descriptor, NodeRole part, NameNumber node, bool inbound);
  NameNumber name(ipfix::NameKind kind, const std::string& name);
  Seconds now() const { return clock_.now(); }
  Stream& stream(Protocol protocol);
  void set_receivers(const ExportSettings& settings);
  void export_statistics();
  void flush();
  void finished(Stream& stream, ipfix::Message message);
  void account_dropped(Stream& stream, MessageNumber number, std::uint32_t flows, std::uint64_t packets,
                       std::uint64_t octets);
  void count_not_sent(Receiver& receiver, std::uint32_t flows, std::uint64_t packets, std::uint64_t octets);
  void drop_excess(Stream& stream);
  void append_to_spool(Stream& stream);
  void maintain_spool();
  // Entries before number, and those written before written, are too old to keep.
  struct SpoolAge {
    std::uint64_t number = 0;
    Seconds written = 0;
  };
  SpoolAge spool_age() const;
  void account_dropped_from_disk(Stream& stream, const storage::DroppedEntries& dropped);
  void account_lost(Stream& stream, const std::vector<storage::SpoolEntry>& entries);
  void account_memory_at_exit(Stream& stream);
  void disk_succeeded();
  void disk_failed(const std::string& error);
  DeliveryTimes times() const;

  static transport::Task<> run(Exporter& self);
  static transport::Task<> deliver(Exporter& self, Stream& stream, ReceiverPointer receiver);
  transport::Task<bool> connect_collector(Receiver& receiver, std::size_t collector);
  transport::Task<bool> send_next(Stream& stream, Receiver& receiver);
  transport::Task<MessagePointer> next_message(Stream& stream, Receiver& receiver);
  void connection_lost(Stream& stream, Receiver& receiver, const std::string& why);

  transport::Scheduler& scheduler_;
  const Limits& limits_;
  Counters& counters_;
  Log& log_;
  transport::Clock clock_;
  ExportSettings settings_;
  std::uint64_t seed_, receivers_created_ = 0;
  Seconds started_at_;
  Table table_;
  Names names_;
  std::vector<ObservedSocket> observed_;  // indexed by connection
  std::array<std::unique_ptr<Stream>, 2> streams_;
  std::unique_ptr<storage::Spool> spool_;
  std::unique_ptr<storage::Worker> worker_;
  std::map<std::string, std::uint64_t> stored_cursors_;
  Seconds statistics_at_ = 0, spool_maintained_at_ = 0;
  Seconds disk_retry_at_ = 0;       // no disk access before this time
  Seconds disk_retry_delay_ = 0;    // current delay; 0: the last access succeeded
  std::uint64_t first_of_run_ = 0;  // earlier spool entries have timestamps of another run's clock
  bool statistics_due_ = true, finished_ = false;
  std::uint64_t records_exported_ = 0;
};

}  // namespace hareramp::flow
