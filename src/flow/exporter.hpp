// The actor of flow export: holds the table of flows, turns what it tells into messages, and brings these to
// the collectors. Whatever a collector or the disk does, serving never waits for it: messages wait here,
// within a bound, and what does not fit is dropped and told of. Runs in the loop, but for the disk.
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
  // Opens the spool, if there is one; throws std::runtime_error where that can't be.
  Exporter(transport::Scheduler& scheduler, const Limits& limits, Counters& counters, Log& log,
           const ExportSettings& settings, std::uint64_t seed);
  ~Exporter() override;

  void start();
  // Times, collectors and networks from now on; the rest stays. Collectors that stay keep their place.
  void reload(const ExportSettings& settings);
  // Ends all flows and gives their records so much time to go out.
  transport::Task<> finish(Seconds until);

  // Begins to count a connection that has just come up. Null if there is no room for it.
  std::unique_ptr<FlowObserver> observe_client(int descriptor);
  std::unique_ptr<FlowObserver> observe_node(int descriptor, NodeRole part, const std::string& node);
  // The depot of a client, by its address; the number of a service grade.
  NameNumber location_of(int descriptor);
  NameNumber request_class(const std::string& name);
  std::uint64_t octets(Direction direction) const { return table_.octets(direction); }

 private:
  friend class FlowObserver;
  struct Receiver;
  struct Session;
  struct Stream;
  using ReceiverPointer = std::shared_ptr<Receiver>;

  struct Tapped {
    int descriptor = -1;
    bool inbound = false;
  };

  // of the table
  KernelCounts kernel(ConnectionNumber connection) override;
  void record(const Record& record) override;

  std::optional<ConnectionNumber> opened(int descriptor, NodeRole part, NameNumber node, bool inbound);
  NameNumber name(ipfix::NameKind kind, const std::string& name);
  Seconds now() const { return clock_.now(); }
  Stream& stream(Protocol protocol);
  void set_receivers(const ExportSettings& settings);
  void tell_figures();
  void flush();
  void finished(Stream& stream, ipfix::Message message);
  void account_dropped(Stream& stream, MessageNumber number, std::uint32_t flows, std::uint64_t packets,
                       std::uint64_t octets);
  void count_not_sent(Receiver& receiver, std::uint32_t flows, std::uint64_t packets, std::uint64_t octets);
  void keep_bound(Stream& stream);
  void spool_what_waits(Stream& stream);
  void look_after_spool();
  // The oldest that the spool still has to keep, and the time of writing before which entries are too old.
  struct SpoolAge {
    std::uint64_t number = 0;
    Seconds written = 0;
  };
  SpoolAge spool_age() const;
  void account_dropped_from_disk(Stream& stream, const storage::DroppedEntries& dropped);
  void account_gone(Stream& stream, const std::vector<storage::SpoolEntry>& entries);
  void account_left_in_memory(Stream& stream);
  void disk_worked();
  void disk_failed(const std::string& error);
  DeliveryTimes times() const;

  static transport::Task<> live(Exporter& self);
  static transport::Task<> serve(Exporter& self, Stream& stream, ReceiverPointer receiver);
  transport::Task<bool> reach(Receiver& receiver, std::size_t collector);
  transport::Task<bool> send_next(Stream& stream, Receiver& receiver);
  transport::Task<MessagePointer> fetch(Stream& stream, Receiver& receiver);
  void lost(Stream& stream, Receiver& receiver, const std::string& why);

  transport::Scheduler& scheduler_;
  const Limits& limits_;
  Counters& counters_;
  Log& log_;
  transport::Clock clock_;
  ExportSettings settings_;
  std::uint64_t seed_, receivers_made_ = 0;
  Seconds started_;
  Table table_;
  Names names_;
  std::vector<Tapped> tapped_;  // by connection
  std::array<std::unique_ptr<Stream>, 2> streams_;
  std::unique_ptr<storage::Spool> spool_;
  std::unique_ptr<storage::Worker> worker_;
  std::map<std::string, std::uint64_t> stored_cursors_;
  Seconds figures_at_ = 0, spool_at_ = 0;
  Seconds disk_again_at_ = 0;       // the disk is left alone until then
  Seconds disk_pause_ = 0;          // the last such pause; 0: the disk works
  std::uint64_t first_of_run_ = 0;  // in the spool; what stands before has the stamps of another run's clock
  bool figures_due_ = true, finished_ = false;
  std::uint64_t records_told_ = 0;
};

}  // namespace hareramp::flow
