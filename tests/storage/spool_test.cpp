// The spool with full disks, damaged files and killed processes: no acknowledged entry is lost, and none is
// stored in part. Also the worker thread that runs spool operations.
#include "storage/spool.hpp"

#include <doctest/doctest.h>
#include <signal.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

#include "storage/worker.hpp"

using namespace hareramp;
using namespace hareramp::storage;
namespace files = std::filesystem;

namespace {

struct TemporaryDirectory {
  TemporaryDirectory() {
    path = files::temp_directory_path() / "hareramp-spool-XXXXXX";
    REQUIRE(mkdtemp(path.data()) != nullptr);
  }
  ~TemporaryDirectory() { files::remove_all(path); }
  std::string path;
};

SpoolEntry entry(std::uint64_t number, std::size_t bytes = 1000) {
  SpoolEntry created;
  created.number = number;
  created.written_at = 1000.0 + static_cast<double>(number);
  created.flows = 7, created.packets = 70, created.octets = 700 + number;
  created.next_sequence = static_cast<std::uint32_t>(number * 10);
  created.bytes = std::string(bytes, static_cast<char>('a' + number % 26));
  return created;
}

std::unique_ptr<Spool> open(const TemporaryDirectory& directory, std::size_t bytes = 4 << 20) {
  std::string error, damaged;
  auto spool = Spool::open(directory.path, bytes, error, damaged);
  CHECK_MESSAGE(spool, error);
  CHECK_MESSAGE(damaged.empty(), damaged);
  return spool;
}

// Checks that all entries from a number on are complete and without gaps. Returns the number after the last
// one.
std::uint64_t check_entries(Spool& spool, std::uint64_t from) {
  std::string error;
  for (;;) {
    const auto batch = spool.read(from, 1 << 16, error);
    if (batch.empty()) return from;
    for (const SpoolEntry& stored : batch) {
      CHECK(stored.number == from);
      CHECK(stored.bytes == entry(from).bytes);
      CHECK(stored.octets == 700 + from);
      ++from;
    }
  }
}

}  // namespace

TEST_CASE("spool: entries are read back in order, also after reopening, and cursors are kept") {
  TemporaryDirectory directory;
  std::string error;
  DroppedEntries dropped;
  {
    auto spool = open(directory);
    for (std::uint64_t i = 1; i <= 100; i += 2)
      CHECK(spool->append({entry(i), entry(i + 1)}, dropped, error));
    CHECK_FALSE(spool->append({entry(100)}, dropped, error));  // the number already exists
    CHECK(spool->put_cursor("tcp:127.0.0.1:4739", 42, error));
    std::string open_error, damaged;
    CHECK(Spool::open(directory.path, 1 << 20, open_error, damaged) == nullptr);
    CHECK(open_error.find("locked by another process") != std::string::npos);
  }
  auto spool = open(directory);
  CHECK(check_entries(*spool, 1) == 101);
  CHECK(spool->last(error)->number == 100);
  CHECK(spool->last(error)->next_sequence == 1000);
  CHECK(spool->cursors(error)["tcp:127.0.0.1:4739"] == 42);
  CHECK(spool->trim(50, 0, dropped, error));
  CHECK(spool->first(error) == 50);
  CHECK(spool->trim(0, 1000 + 60.5, dropped, error));
  CHECK(spool->first(error) == 61);
  CHECK(dropped.size() == 60);
}

TEST_CASE("spool: the size limit holds, and dropped entries are reported oldest first") {
  TemporaryDirectory directory;
  auto spool = open(directory, 1 << 20);
  std::string error;
  DroppedEntries dropped;
  for (std::uint64_t i = 1; i <= 5000; ++i) {
    REQUIRE_MESSAGE(spool->append({entry(i)}, dropped, error), error);
    CHECK(spool->used_share() < 0.8);
  }
  const std::uint64_t first = *spool->first(error);
  CHECK(first > 1);
  CHECK(dropped.size() == first - 1);
  for (std::size_t i = 0; i < dropped.size(); ++i) CHECK(dropped[i].number == i + 1);
  CHECK(check_entries(*spool, first) == 5001);
  CHECK(files::file_size(directory.path + "/spool.mdb") <= (1u << 20));
}

TEST_CASE(
    "spool: after a kill at any moment every acknowledged entry is present and no append is there in part") {
  for (const useconds_t after : {2000u, 5000u, 11000u, 23000u, 40000u, 80000u}) {
    TemporaryDirectory directory;
    int acknowledgement_pipe[2];
    REQUIRE(pipe(acknowledgement_pipe) == 0);
    const pid_t child = fork();
    if (child == 0) {
      std::string error, damaged;
      DroppedEntries dropped;
      auto spool = Spool::open(directory.path, 16 << 20, error, damaged);
      for (std::uint64_t i = 1; spool; i += 3) {
        if (!spool->append({entry(i), entry(i + 1), entry(i + 2)}, dropped, error)) _exit(1);
        const std::uint64_t acknowledged = i + 2;
        if (::write(acknowledgement_pipe[1], &acknowledged, sizeof acknowledged) < 0) _exit(2);
      }
      _exit(3);
    }
    ::close(acknowledgement_pipe[1]);
    usleep(after);  // the exact moment does not matter: the checks must hold for any
    kill(child, SIGKILL);
    waitpid(child, nullptr, 0);
    std::uint64_t acknowledged = 0, last = 0;
    while (::read(acknowledgement_pipe[0], &last, sizeof last) == static_cast<ssize_t>(sizeof last))
      acknowledged = last;
    ::close(acknowledgement_pipe[0]);
    auto spool = open(directory, 16 << 20);
    const std::uint64_t end = check_entries(*spool, 1) - 1;
    CHECK(end >= acknowledged);
    CHECK(end % 3 == 0);
  }
}

TEST_CASE(
    "spool: an append to a full disk fails, keeps the stored entries, and succeeds once there is space") {
  TemporaryDirectory directory;
  auto spool = open(directory, 16 << 20);
  std::string error;
  DroppedEntries dropped;
  for (std::uint64_t i = 1; i <= 20; ++i) REQUIRE(spool->append({entry(i)}, dropped, error));
  rlimit original_limit{};
  getrlimit(RLIMIT_FSIZE, &original_limit);
  signal(SIGXFSZ, SIG_IGN);
  const rlimit limit{files::file_size(directory.path + "/spool.mdb"), original_limit.rlim_max};
  setrlimit(RLIMIT_FSIZE, &limit);
  std::vector<SpoolEntry> entries;
  for (std::uint64_t i = 21; i < 300; ++i) entries.push_back(entry(i));
  const bool appended = spool->append(entries, dropped, error);
  setrlimit(RLIMIT_FSIZE, &original_limit);
  CHECK_FALSE(appended);
  CHECK_FALSE(error.empty());
  CHECK(check_entries(*spool, 1) == 21);
  CHECK(spool->append({entry(21)}, dropped, error));
  CHECK(check_entries(*spool, 1) == 22);
  spool.reset();
  CHECK(check_entries(*open(directory, 16 << 20), 1) == 22);
}

TEST_CASE("spool: a file that is not a spool or is truncated is moved aside and reported") {
  for (const bool truncated : {false, true}) {
    TemporaryDirectory directory;
    std::string error, damaged;
    DroppedEntries dropped;
    {
      auto spool = open(directory);
      for (std::uint64_t i = 1; i <= 200; ++i) REQUIRE(spool->append({entry(i)}, dropped, error));
    }
    const std::string path = directory.path + "/spool.mdb";
    if (truncated)
      files::resize_file(path, files::file_size(path) / 2);
    else
      std::ofstream(path) << std::string(100000, 'x');
    auto spool = Spool::open(directory.path, 4 << 20, error, damaged);
    REQUIRE_MESSAGE(spool, error);
    CHECK(damaged.find(".damaged, created a new spool") != std::string::npos);
    CHECK(files::exists(path + ".damaged"));
    CHECK(spool->append({entry(1)}, dropped, error));
    CHECK(check_entries(*spool, 1) == 2);
  }
  std::string error, damaged;
  CHECK(Spool::open("/proc/nowhere", 1 << 20, error, damaged) == nullptr);
  CHECK(error.find("/proc/nowhere") != std::string::npos);
}

TEST_CASE(
    "worker: runs jobs in order outside the loop, limits pending jobs, and runs each callback in the loop") {
  transport::Scheduler scheduler;
  Worker worker(scheduler, 8);
  std::string completed;
  int posted = 0;
  std::thread::id worker_thread;
  for (int i = 0; i < 10; ++i)
    posted += worker.post([&, i] { worker_thread = std::this_thread::get_id(), usleep(100 * (10 - i)); },
                          [&, i] {
                            completed += std::to_string(i);
                            if (completed.size() == 8) scheduler.stop();
                          });
  CHECK(posted == 8);
  scheduler.run();
  CHECK(completed == "01234567");
  CHECK(worker_thread != std::this_thread::get_id());
  CHECK(worker.pending() == 0);
  scheduler.clear();
}
