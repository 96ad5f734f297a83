// The spool through what disks and kills do to it: nothing acknowledged is lost, nothing is there by half.
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

struct Folder {
  Folder() {
    path = files::temp_directory_path() / "hareramp-spool-XXXXXX";
    REQUIRE(mkdtemp(path.data()) != nullptr);
  }
  ~Folder() { files::remove_all(path); }
  std::string path;
};

SpoolEntry entry(std::uint64_t number, std::size_t bytes = 1000) {
  SpoolEntry made;
  made.number = number;
  made.written_at = 1000.0 + static_cast<double>(number);
  made.flows = 7, made.packets = 70, made.octets = 700 + number;
  made.next_sequence = static_cast<std::uint32_t>(number * 10);
  made.bytes = std::string(bytes, static_cast<char>('a' + number % 26));
  return made;
}

std::unique_ptr<Spool> open(const Folder& folder, std::size_t bytes = 4 << 20) {
  std::string error, damaged;
  auto spool = Spool::open(folder.path, bytes, error, damaged);
  CHECK_MESSAGE(spool, error);
  CHECK_MESSAGE(damaged.empty(), damaged);
  return spool;
}

// All entries from a number on, checked to be whole and without a hole.
std::uint64_t whole_until(Spool& spool, std::uint64_t from) {
  std::string error;
  for (;;) {
    const auto some = spool.read(from, 1 << 16, error);
    if (some.empty()) return from;
    for (const SpoolEntry& one : some) {
      CHECK(one.number == from);
      CHECK(one.bytes == entry(from).bytes);
      CHECK(one.octets == 700 + from);
      ++from;
    }
  }
}

}  // namespace

TEST_CASE("what is appended is read back in order, also after a start; cursors stay") {
  Folder folder;
  std::string error;
  DroppedEntries dropped;
  {
    auto spool = open(folder);
    for (std::uint64_t i = 1; i <= 100; i += 2)
      CHECK(spool->append({entry(i), entry(i + 1)}, dropped, error));
    CHECK_FALSE(spool->append({entry(100)}, dropped, error));  // a number that is there
    CHECK(spool->put_cursor("tcp:127.0.0.1:4739", 42, error));
    std::string taken, damaged;
    CHECK(Spool::open(folder.path, 1 << 20, taken, damaged) == nullptr);
    CHECK(taken.find("another process has it") != std::string::npos);
  }
  auto spool = open(folder);
  CHECK(whole_until(*spool, 1) == 101);
  CHECK(spool->last(error)->number == 100);
  CHECK(spool->last(error)->next_sequence == 1000);
  CHECK(spool->cursors(error)["tcp:127.0.0.1:4739"] == 42);
  CHECK(spool->trim(50, 0, dropped, error));
  CHECK(spool->first(error) == 50);
  CHECK(spool->trim(0, 1000 + 60.5, dropped, error));
  CHECK(spool->first(error) == 61);
  CHECK(dropped.size() == 60);
}

TEST_CASE("the bound holds, and what goes is handed over oldest first") {
  Folder folder;
  auto spool = open(folder, 1 << 20);
  std::string error;
  DroppedEntries dropped;
  for (std::uint64_t i = 1; i <= 5000; ++i) {
    REQUIRE_MESSAGE(spool->append({entry(i)}, dropped, error), error);
    CHECK(spool->full() < 0.8);
  }
  const std::uint64_t first = *spool->first(error);
  CHECK(first > 1);
  CHECK(dropped.size() == first - 1);
  for (std::size_t i = 0; i < dropped.size(); ++i) CHECK(dropped[i].number == i + 1);
  CHECK(whole_until(*spool, first) == 5001);
  CHECK(files::file_size(folder.path + "/spool.mdb") <= (1u << 20));
}

TEST_CASE("killed at any moment: all that was acknowledged is there, and nothing by half") {
  for (const useconds_t after : {2000u, 5000u, 11000u, 23000u, 40000u, 80000u}) {
    Folder folder;
    int told[2];
    REQUIRE(pipe(told) == 0);
    const pid_t child = fork();
    if (child == 0) {
      std::string error, damaged;
      DroppedEntries dropped;
      auto spool = Spool::open(folder.path, 16 << 20, error, damaged);
      for (std::uint64_t i = 1; spool; i += 3) {
        if (!spool->append({entry(i), entry(i + 1), entry(i + 2)}, dropped, error)) _exit(1);
        const std::uint64_t acknowledged = i + 2;
        if (::write(told[1], &acknowledged, sizeof acknowledged) < 0) _exit(2);
      }
      _exit(3);
    }
    ::close(told[1]);
    usleep(after);  // where it falls decides nothing: every moment must do
    kill(child, SIGKILL);
    waitpid(child, nullptr, 0);
    std::uint64_t acknowledged = 0, last = 0;
    while (::read(told[0], &last, sizeof last) == static_cast<ssize_t>(sizeof last)) acknowledged = last;
    ::close(told[0]);
    auto spool = open(folder, 16 << 20);
    const std::uint64_t end = whole_until(*spool, 1) - 1;
    CHECK(end >= acknowledged);
    CHECK(end % 3 == 0);
  }
}

TEST_CASE(
    "a disk that fills up: the append says so, what was there stays, and it goes on when there is room") {
  Folder folder;
  auto spool = open(folder, 16 << 20);
  std::string error;
  DroppedEntries dropped;
  for (std::uint64_t i = 1; i <= 20; ++i) REQUIRE(spool->append({entry(i)}, dropped, error));
  rlimit before{};
  getrlimit(RLIMIT_FSIZE, &before);
  signal(SIGXFSZ, SIG_IGN);
  const rlimit full{files::file_size(folder.path + "/spool.mdb"), before.rlim_max};
  setrlimit(RLIMIT_FSIZE, &full);
  std::vector<SpoolEntry> many;
  for (std::uint64_t i = 21; i < 300; ++i) many.push_back(entry(i));
  const bool taken = spool->append(many, dropped, error);
  setrlimit(RLIMIT_FSIZE, &before);
  CHECK_FALSE(taken);
  CHECK_FALSE(error.empty());
  CHECK(whole_until(*spool, 1) == 21);
  CHECK(spool->append({entry(21)}, dropped, error));
  CHECK(whole_until(*spool, 1) == 22);
  spool.reset();
  CHECK(whole_until(*open(folder, 16 << 20), 1) == 22);
}

TEST_CASE("a file that is no spool, or lost its end, is moved aside and said so") {
  for (const bool cut : {false, true}) {
    Folder folder;
    std::string error, damaged;
    DroppedEntries dropped;
    {
      auto spool = open(folder);
      for (std::uint64_t i = 1; i <= 200; ++i) REQUIRE(spool->append({entry(i)}, dropped, error));
    }
    const std::string path = folder.path + "/spool.mdb";
    if (cut)
      files::resize_file(path, files::file_size(path) / 2);
    else
      std::ofstream(path) << std::string(100000, 'x');
    auto spool = Spool::open(folder.path, 4 << 20, error, damaged);
    REQUIRE_MESSAGE(spool, error);
    CHECK(damaged.find(".damaged, a new one is begun") != std::string::npos);
    CHECK(files::exists(path + ".damaged"));
    CHECK(spool->append({entry(1)}, dropped, error));
    CHECK(whole_until(*spool, 1) == 2);
  }
  std::string error, damaged;
  CHECK(Spool::open("/proc/nowhere", 1 << 20, error, damaged) == nullptr);
  CHECK(error.find("/proc/nowhere") != std::string::npos);
}

TEST_CASE("the worker runs jobs in order off the loop, within its bound, and the loop hears of each") {
  transport::Scheduler scheduler;
  Worker worker(scheduler, 8);
  std::string trace;
  int posted = 0;
  std::thread::id beside;
  for (int i = 0; i < 10; ++i)
    posted += worker.post([&, i] { beside = std::this_thread::get_id(), usleep(100 * (10 - i)); },
                          [&, i] {
                            trace += std::to_string(i);
                            if (trace.size() == 8) scheduler.stop();
                          });
  CHECK(posted == 8);
  scheduler.run();
  CHECK(trace == "01234567");
  CHECK(beside != std::this_thread::get_id());
  CHECK(worker.pending() == 0);
  scheduler.clear();
}
