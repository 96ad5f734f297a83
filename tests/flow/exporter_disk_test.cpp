// Tests flow export with a spool whose disk fails, is full, or was written by a run with another clock. The
// exporter and the collector run in this process, on real loopback connections.
#include <fcntl.h>

#include <cerrno>
#include <filesystem>
#include <optional>

#include "flow/exporter.hpp"
#include "flows_tool/collector.hpp"
#include "helpers.hpp"
#include "storage/disk_faults.hpp"
#include "transport/clock.hpp"

using namespace hareramp;
using transport::Scheduler;
namespace files = std::filesystem;
using disk_faults::Injection;

namespace {

struct Folder {
  Folder() {
    path = files::temp_directory_path() / "hareramp-disk-XXXXXX";
    REQUIRE(mkdtemp(path.data()) != nullptr);
  }
  ~Folder() { files::remove_all(path); }
  std::string spool() const { return path + "/spool"; }
  std::string path;
};

Limits limits() {
  Limits made;
  made.max_flow_connections = 64;
  made.max_flow_names = 1 << 16;
  made.max_flows_per_turn = 64;
  made.max_spool_jobs = 64;
  made.max_flow_messages_per_turn = 64;
  made.spool_read_size = 256 << 10;
  made.flow_tick_interval = 0.005;
  made.flow_name_retention = 3600;
  made.flow_connect_timeout = 2;
  made.flow_stall_timeout = 10;
  made.flow_retry_delay = 0.01;
  made.flow_max_retry_delay = 0.05;
  made.flow_primary_check_interval = 10;
  made.flow_trim_interval = 0.01;
  return made;
}

// One run of a director's flow export. Destroying it without finish() acts like killing the process: messages
// in memory are lost.
struct Run {
  Run(const Folder& folder, const transport::Address& collector, double age = 86400,
      std::size_t spool_bytes = 4 << 20, std::size_t queue_bytes = 1 << 20)
      : log(null_device.descriptor) {
    flow::ExportSettings settings;
    settings.enabled = true;
    settings.max_flows = 1024;
    settings.message_bytes = 512;
    settings.queue_bytes = queue_bytes;
    settings.spool = {true, folder.spool(), spool_bytes, age, 1e6};
    settings.active_timeout = 60;
    settings.idle_timeout = 15;
    settings.template_resend = 3600;
    settings.template_resend_messages = 1 << 20;
    settings.collectors = {
        {collector, flow::Transport::kTcp, flow::Protocol::kIpfix, flow::Mode::kDuplicate}};
    settings.networks = std::make_shared<const Networks>();
    exporter.emplace(scheduler, bounds, counters, log, settings, 1);
    exporter->start();
    server = std::make_unique<StandInServer>(scheduler);
  }
  ~Run() {
    scheduler.clear();
    exporter.reset();
  }
  // Opens count connections, each of which moves some bytes and ends.
  void make_flows(int count) {
    for (int i = 0; i < count; ++i) {
      auto socket = connected();
      const int descriptor = socket.descriptor();
      const auto observer = exporter->observe_client(descriptor);
      REQUIRE(observer);
      observer->on_read(100);
      observer->on_closing(descriptor);
    }
  }
  transport::Socket connected() {
    transport::Socket socket;
    bool up = false;
    const auto connect_and_store = [](Run& self, transport::Socket& made, bool& done) -> transport::Task<> {
      auto result = co_await transport::connect(self.scheduler, self.server->address, Scheduler::now() + 5);
      made = std::move(result.socket);
      done = true;
    };
    scheduler.spawn(connect_and_store(*this, socket, up));
    REQUIRE(run_until(scheduler, [&] { return up; }));
    return socket;
  }
  bool run_until_true(const std::function<bool()>& condition) { return run_until(scheduler, condition); }
  bool all_on_disk() const {
    return counters.flow_messages > 0 && counters.spool_written >= counters.flow_messages;
  }
  // Records are encoded into messages at a tick. This waits for two tick intervals: a tick whose timer was
  // set before has then run.
  bool until_all_on_disk() {
    const Seconds ticked = Scheduler::now() + 2 * bounds.flow_tick_interval;
    return run_until_true([&] { return Scheduler::now() > ticked && all_on_disk(); });
  }

  struct NullDevice {
    int descriptor = ::open("/dev/null", O_WRONLY | O_CLOEXEC);
    ~NullDevice() { ::close(descriptor); }
  };
  NullDevice null_device;
  Scheduler scheduler;
  Limits bounds = limits();
  Counters counters;
  Log log;
  std::optional<flow::Exporter> exporter;
  std::unique_ptr<StandInServer> server;
};

transport::Address unused_loopback_address() {
  Scheduler scheduler;
  return unused_address(scheduler);
}

// The flows that a collector receives from a run until it has the expected number; each is counted once.
std::uint64_t flows_collected(Run& run, const Folder& folder, const transport::Address& at,
                              std::uint64_t expected) {
  flows_tool::Archive archive(folder.path + "/archive", {});
  flows_tool::Collector collector(run.scheduler, archive, 32473, 16);
  collector.listen_tcp(at);
  run.run_until_true([&] {
    archive.commit(transport::Clock::unix_now());
    return archive.counts().flows >= expected;
  });
  run.scheduler.clear();
  return archive.counts().flows;
}

}  // namespace

TEST_CASE("disk full for a while: refused messages are written afterwards, and survive a kill") {
  Folder folder;
  const auto collector_at = unused_loopback_address();
  {
    Run run(folder, collector_at);
    run.make_flows(10);
    REQUIRE(run.until_all_on_disk());
    {
      const Injection full(
          {folder.spool(), 1, disk_faults::kNeverReached, disk_faults::Effect::kFails, ENOSPC, 0});
      run.make_flows(30);
      REQUIRE(run.run_until_true([&] { return run.counters.spool_failed > 2 && full.failures() > 2; }));
    }
    REQUIRE(run.until_all_on_disk());
    CHECK(run.counters.flow_records_dropped == 0);
  }
  Run next(folder, collector_at);
  CHECK(flows_collected(next, folder, collector_at, 40) == 40);
  CHECK(next.counters.flow_records_dropped == 0);
}

TEST_CASE("a failing disk is retried after delays that double, not at every tick") {
  Folder folder;
  Run run(folder, unused_loopback_address());
  const Injection full({folder.spool(), 1, disk_faults::kNeverReached, disk_faults::Effect::kFails, EIO, 0});
  const Seconds start = Scheduler::now();
  run.make_flows(3);
  // Each attempt ends with a failed append and a failed cursor write: 7 failures take four attempts, with
  // delays of 0.2, 0.4 and 0.8 s between them. The exporter's tick is 5 ms.
  REQUIRE(run.run_until_true([&] { return full.failures() >= 7; }));
  CHECK(Scheduler::now() - start > 1.3);
}

TEST_CASE("exit while the disk fails and the collector is unreachable: lost records are counted") {
  Folder folder;
  Run run(folder, unused_loopback_address());
  const Injection full(
      {folder.spool(), 1, disk_faults::kNeverReached, disk_faults::Effect::kFails, ENOSPC, 0});
  run.make_flows(12);
  REQUIRE(run.run_until_true([&] { return run.counters.spool_failed > 0; }));
  bool ended = false;
  const auto finish = [](Run& self, bool& done) -> transport::Task<> {
    co_await self.exporter->finish(Scheduler::now() + 0.05);
    done = true;
  };
  run.scheduler.spawn(finish(run, ended));
  REQUIRE(run.run_until_true([&] { return ended; }));
  CHECK(run.counters.flow_records_dropped == 12);
}

TEST_CASE("a spool smaller than the queue in memory: each message is sent, or counted as not sent") {
  Folder folder;
  const auto collector_at = unused_loopback_address();
  Run run(folder, collector_at, 86400, 1 << 20, 1200 << 10);
  for (int i = 0; i < 30000; ++i) {
    run.exporter->request_class("a name that is as long as names of service grades may be: " +
                                std::to_string(i));
    if (i % 500 == 499) REQUIRE(run.until_all_on_disk());
  }
  CHECK(run.counters.flow_messages_dropped > 0);
  flows_tool::Archive archive(folder.path + "/archive", {});
  flows_tool::Collector collecting(run.scheduler, archive, 32473, 16);
  collecting.listen_tcp(collector_at);
  const auto accounted = [&] { return run.counters.flow_messages_sent + run.counters.flow_messages_dropped; };
  std::uint64_t seen = 0;
  Seconds since = Scheduler::now();
  REQUIRE(run.run_until_true([&] {
    if (run.counters.flow_messages_sent != seen) since = Scheduler::now();
    seen = run.counters.flow_messages_sent;
    return seen > 0 && (accounted() == run.counters.flow_messages || Scheduler::now() > since + 1);
  }));
  CHECK(accounted() == run.counters.flow_messages);
  run.scheduler.clear();
}

// Guards against a backlog that is sent without a pause: the loop would stand still meanwhile, and the stack
// would be used up where resumptions nest.
TEST_CASE("a backlog is sent a bounded number of messages at a time, between which other tasks run") {
  Folder folder;
  const auto collector_at = unused_loopback_address();
  Run run(folder, collector_at, 86400, 1 << 20, 1200 << 10);
  for (int i = 0; i < 30000; ++i) {
    run.exporter->request_class("a name that is as long as names of request classes may be: " +
                                std::to_string(i));
    if (i % 500 == 499) REQUIRE(run.until_all_on_disk());
  }
  REQUIRE(run.counters.flow_messages > 4 * run.bounds.max_flow_messages_per_turn);
  std::uint64_t most_in_turn = 0;
  const auto count_per_turn = [](Run& counted, std::uint64_t& most) -> transport::Task<> {
    for (;;) {
      const std::uint64_t before = counted.counters.flow_messages_sent;
      co_await counted.scheduler.sleep_until(Scheduler::now());
      most = std::max(most, counted.counters.flow_messages_sent - before);
    }
  };
  flows_tool::Archive archive(folder.path + "/archive", {});
  flows_tool::Collector collecting(run.scheduler, archive, 32473, 16);
  collecting.listen_tcp(collector_at);
  run.scheduler.spawn(count_per_turn(run, most_in_turn));
  REQUIRE(run.run_until_true([&] { return run.counters.flow_messages_sent > 1000; }));
  CHECK(most_in_turn > 0);
  CHECK(most_in_turn <= run.bounds.max_flow_messages_per_turn);
  run.scheduler.clear();
}

TEST_CASE("system clock stepped by an hour between two runs: no spool entry is taken for too old") {
  for (const double step : {-3600.0, 3600.0}) {
    CAPTURE(step);
    Folder folder;
    const auto collector_at = unused_loopback_address();
    {
      Run run(folder, collector_at);
      run.make_flows(20);
      REQUIRE(run.until_all_on_disk());
    }
    {  // as if that run's clock had been ahead or behind by the step
      std::string error;
      std::string damaged;
      storage::DroppedEntries dropped;
      const auto spool = storage::Spool::open(folder.spool(), 4 << 20, error, damaged);
      REQUIRE(spool);
      auto entries = spool->read(0, 4 << 20, error);
      for (auto& entry : entries) entry.written_at += step;
      REQUIRE(spool->trim(entries.back().number + 1, 0, dropped, error));
      REQUIRE(spool->append(entries, dropped, error));
    }
    Run next(folder, collector_at, 600);
    // Two batches are written one after another; between them the spool was trimmed by age.
    next.exporter->request_class("first");
    REQUIRE(next.run_until_true([&] { return next.counters.spool_written > 0 && next.all_on_disk(); }));
    const std::uint64_t before = next.counters.spool_written;
    next.exporter->request_class("second");
    REQUIRE(next.run_until_true([&] { return next.counters.spool_written > before; }));
    next.exporter->request_class("third");
    REQUIRE(next.run_until_true([&] { return next.counters.spool_written > before + 1; }));
    CHECK(flows_collected(next, folder, collector_at, 20) == 20);
    CHECK(next.counters.flow_records_dropped == 0);
  }
}

TEST_CASE("spool unreadable for a while: its entries are not taken for lost, and are sent afterwards") {
  Folder folder;
  const auto collector_at = unused_loopback_address();
  {
    Run run(folder, collector_at);
    run.make_flows(20);
    REQUIRE(run.until_all_on_disk());
  }
  Run next(folder, collector_at);
  // The exporter's first messages are on disk. The next commit fails at its last write, and so does every
  // later access: LMDB's environment is unusable and can't be reopened.
  REQUIRE(next.until_all_on_disk());
  flows_tool::Archive archive(folder.path + "/archive", {});
  flows_tool::Collector collector(next.scheduler, archive, 32473, 16);
  {
    disk_faults::Script script;
    script.directory = folder.spool();
    script.after_first_sync = true;
    script.error_number = EIO;
    script.fails_until = disk_faults::kNeverReached;
    const Injection failing(script);
    next.exporter->request_class("a new name");
    REQUIRE(next.run_until_true([&] { return failing.failures() > 0; }));
    collector.listen_tcp(collector_at);
    REQUIRE(next.run_until_true([&] { return next.counters.collectors_up > 0; }));
    const int before = failing.failures();
    REQUIRE(next.run_until_true([&] { return failing.failures() > before + 3; }));
  }
  CHECK(next.run_until_true([&] {
    archive.commit(transport::Clock::unix_now());
    return archive.counts().flows >= 20;
  }));
  CHECK(archive.counts().flows == 20);
  CHECK(next.counters.flow_messages_dropped == 0);
  next.scheduler.clear();
}

TEST_CASE("collector with a full disk: a TCP exporter waits, and each flow is stored once") {
  Folder folder;
  const auto collector_at = unused_loopback_address();
  Run run(folder, collector_at);
  flows_tool::ArchiveBounds bounds;
  bounds.waiting_rows = 16;
  flows_tool::Archive archive(folder.path + "/archive", bounds);
  flows_tool::Collector collector(run.scheduler, archive, 32473, 16);
  collector.listen_tcp(collector_at);
  const auto commit = [&] { archive.commit(transport::Clock::unix_now()); };
  {
    const Injection full(
        {folder.path + "/archive", 1, disk_faults::kNeverReached, disk_faults::Effect::kFails, ENOSPC, 0});
    run.make_flows(100);
    REQUIRE(run.run_until_true([&] { return archive.full(); }));
    run.make_flows(100);
    // The exporter has sent everything; the data waits in the connection, not in the archive.
    REQUIRE(
        run.run_until_true([&] { return run.counters.flow_messages_sent == run.counters.flow_messages; }));
    commit();
    CHECK(archive.waiting() <= bounds.waiting_rows);
    CHECK(archive.counts().commits_failed > 0);
  }
  CHECK(run.run_until_true([&] {
    commit();
    return archive.counts().flows >= 200;
  }));
  CHECK(archive.counts().flows == 200);
  CHECK(archive.counts().failed == 0);
  run.scheduler.clear();
}
