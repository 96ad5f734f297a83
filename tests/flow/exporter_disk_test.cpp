// Flow export with a spool whose disk fails, fills, or was written by a run with another clock: in this
// process, with a director's exporter, real connections to count and a real collector on loopback.
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

// One run of a director's flow export. Its end without finish() is that of a killed process: what was in
// memory is gone.
struct Run {
  Run(const Folder& folder, const transport::Address& collector, double age = 86400,
      std::size_t spool_bytes = 4 << 20, std::size_t queue_bytes = 1 << 20)
      : log(null_device.descriptor) {
    flow::ExportSettings settings;
    settings.enabled = true;
    settings.flows_most = 1024;
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
  // So many connections that each move some bytes and end.
  void make_flows(int count) {
    for (int i = 0; i < count; ++i) {
      auto socket = connected();
      const int descriptor = socket.descriptor();
      const auto tap = exporter->client(descriptor);
      REQUIRE(tap);
      tap->on_read(100);
      tap->on_closing(descriptor);
    }
  }
  transport::Socket connected() {
    transport::Socket socket;
    bool up = false;
    const auto go = [](Run& self, transport::Socket& made, bool& done) -> transport::Task<> {
      auto result = co_await transport::connect(self.scheduler, self.server->address, Scheduler::now() + 5);
      made = std::move(result.socket);
      done = true;
    };
    scheduler.spawn(go(*this, socket, up));
    REQUIRE(run_until(scheduler, [&] { return up; }));
    return socket;
  }
  bool until(const std::function<bool()>& holds) { return run_until(scheduler, holds); }
  bool all_on_disk() const {
    return counters.flow_messages > 0 && counters.spool_written >= counters.flow_messages;
  }
  // Records become messages at a tick: one whose timer was set before ours has run before it.
  bool until_all_on_disk() {
    const Seconds ticked = Scheduler::now() + 2 * bounds.flow_tick_interval;
    return until([&] { return Scheduler::now() > ticked && all_on_disk(); });
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

transport::Address somewhere() {
  Scheduler scheduler;
  return unused_address(scheduler);
}

// What a collector gets from a run until the run has no more to send; each record is counted once.
std::uint64_t flows_collected(Run& run, const Folder& folder, const transport::Address& at,
                              std::uint64_t expected) {
  flows_tool::Archive archive(folder.path + "/archive", {});
  flows_tool::Collector collector(run.scheduler, archive, 32473, 16);
  collector.listen_tcp(at);
  run.until([&] {
    archive.commit(transport::Clock::unix_now());
    return archive.counts().flows >= expected;
  });
  run.scheduler.clear();
  return archive.counts().flows;
}

}  // namespace

TEST_CASE("a disk that is full for a while: what it refused goes to it afterwards, and outlives a kill") {
  Folder folder;
  const auto collector_at = somewhere();
  {
    Run run(folder, collector_at);
    run.make_flows(10);
    REQUIRE(run.until_all_on_disk());
    {
      const Injection full(
          {folder.spool(), 1, disk_faults::kNeverReached, disk_faults::Effect::kFails, ENOSPC, 0});
      run.make_flows(30);
      REQUIRE(run.until([&] { return run.counters.spool_failed > 2 && full.failures() > 2; }));
    }
    REQUIRE(run.until_all_on_disk());
    CHECK(run.counters.flow_records_dropped == 0);
  }
  Run next(folder, collector_at);
  CHECK(flows_collected(next, folder, collector_at, 40) == 40);
  CHECK(next.counters.flow_records_dropped == 0);
}

TEST_CASE("a disk that fails is tried again after pauses that double, not at every look") {
  Folder folder;
  Run run(folder, somewhere());
  const Injection full({folder.spool(), 1, disk_faults::kNeverReached, disk_faults::Effect::kFails, EIO, 0});
  const Seconds start = Scheduler::now();
  run.make_flows(3);
  // Each try ends with a failed append and a failed cursor: 7 failures take four tries, with pauses of 0.2,
  // 0.4 and 0.8 s between them. The exporter looks each 5 ms.
  REQUIRE(run.until([&] { return full.failures() >= 7; }));
  CHECK(Scheduler::now() - start > 1.3);
}

TEST_CASE("ended while its disk fails and its collector is away: what is lost is counted") {
  Folder folder;
  Run run(folder, somewhere());
  const Injection full(
      {folder.spool(), 1, disk_faults::kNeverReached, disk_faults::Effect::kFails, ENOSPC, 0});
  run.make_flows(12);
  REQUIRE(run.until([&] { return run.counters.spool_failed > 0; }));
  bool ended = false;
  const auto finish = [](Run& self, bool& done) -> transport::Task<> {
    co_await self.exporter->finish(Scheduler::now() + 0.05);
    done = true;
  };
  run.scheduler.spawn(finish(run, ended));
  REQUIRE(run.until([&] { return ended; }));
  CHECK(run.counters.flow_records_dropped == 12);
}

TEST_CASE("a spool smaller than the queue in memory: each message is sent, or counted as not sent") {
  Folder folder;
  const auto collector_at = somewhere();
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
  REQUIRE(run.until([&] {
    if (run.counters.flow_messages_sent != seen) since = Scheduler::now();
    seen = run.counters.flow_messages_sent;
    return seen > 0 && (accounted() == run.counters.flow_messages || Scheduler::now() > since + 1);
  }));
  CHECK(accounted() == run.counters.flow_messages);
  run.scheduler.clear();
}

TEST_CASE("the system's clock stepped by an hour between two runs: nothing in the spool is taken for old") {
  for (const double step : {-3600.0, 3600.0}) {
    CAPTURE(step);
    Folder folder;
    const auto collector_at = somewhere();
    {
      Run run(folder, collector_at);
      run.make_flows(20);
      REQUIRE(run.until_all_on_disk());
    }
    {  // as if the clock of that run had been ahead, or behind, by the step
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
    // Two batches on the disk, one after another: between them the spool was looked at for what is too old.
    next.exporter->request_class("first");
    REQUIRE(next.until([&] { return next.counters.spool_written > 0 && next.all_on_disk(); }));
    const std::uint64_t before = next.counters.spool_written;
    next.exporter->request_class("second");
    REQUIRE(next.until([&] { return next.counters.spool_written > before; }));
    next.exporter->request_class("third");
    REQUIRE(next.until([&] { return next.counters.spool_written > before + 1; }));
    CHECK(flows_collected(next, folder, collector_at, 20) == 20);
    CHECK(next.counters.flow_records_dropped == 0);
  }
}

TEST_CASE(
    "a spool that can't be read for a while: what is on it is not taken for gone, and sent afterwards") {
  Folder folder;
  const auto collector_at = somewhere();
  {
    Run run(folder, collector_at);
    run.make_flows(20);
    REQUIRE(run.until_all_on_disk());
  }
  Run next(folder, collector_at);
  // The exporter's first messages are on the disk; the next commit fails at its last write, and all that
  // follows, too: LMDB's environment is unusable, and can't be opened anew.
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
    REQUIRE(next.until([&] { return failing.failures() > 0; }));
    collector.listen_tcp(collector_at);
    REQUIRE(next.until([&] { return next.counters.collectors_up > 0; }));
    const int before = failing.failures();
    REQUIRE(next.until([&] { return failing.failures() > before + 3; }));
  }
  CHECK(next.until([&] {
    archive.commit(transport::Clock::unix_now());
    return archive.counts().flows >= 20;
  }));
  CHECK(archive.counts().flows == 20);
  CHECK(next.counters.flow_messages_dropped == 0);
  next.scheduler.clear();
}

TEST_CASE("a collector whose disk is full: a TCP exporter waits, and each flow is stored once") {
  Folder folder;
  const auto collector_at = somewhere();
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
    REQUIRE(run.until([&] { return archive.full(); }));
    run.make_flows(100);
    // All has left the exporter: it waits in the connection, not in the archive.
    REQUIRE(run.until([&] { return run.counters.flow_messages_sent == run.counters.flow_messages; }));
    commit();
    CHECK(archive.waiting() <= bounds.waiting_rows);
    CHECK(archive.counts().commits_failed > 0);
  }
  CHECK(run.until([&] {
    commit();
    return archive.counts().flows >= 200;
  }));
  CHECK(archive.counts().flows == 200);
  CHECK(archive.counts().failed == 0);
  run.scheduler.clear();
}
