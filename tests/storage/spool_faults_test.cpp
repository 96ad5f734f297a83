// The spool on a disk that fails at each of its steps in turn, for once and for a while, and through a kill
// at each step: what append() acknowledged is there, once; what it refused can be appended again.
#include <doctest/doctest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <filesystem>
#include <map>
#include <set>

#include "storage/disk_faults.hpp"
#include "storage/spool.hpp"

using namespace hareramp::storage;
namespace files = std::filesystem;
using disk_faults::Effect;
using disk_faults::Injection;
using disk_faults::Script;

namespace {

constexpr std::uint64_t kBatches = 12, kInBatch = 3;
constexpr std::size_t kSpoolBytes = 4 << 20;

struct Folder {
  Folder() {
    // In memory where there is such a place: thousands of commits, and a kill leaves the page cache anyway.
    const files::path memory = "/dev/shm";
    path = (files::exists(memory) ? memory : files::temp_directory_path()) / "hareramp-faults-XXXXXX";
    REQUIRE(mkdtemp(path.data()) != nullptr);
  }
  ~Folder() { files::remove_all(path); }
  std::string path;
};

SpoolEntry entry(std::uint64_t number, std::size_t bytes) {
  SpoolEntry made;
  made.number = number;
  made.written_at = static_cast<double>(number);
  made.bytes = std::string(bytes, static_cast<char>('a' + number % 26));
  return made;
}

std::unique_ptr<Spool> open(const Folder& folder, std::size_t bytes = kSpoolBytes) {
  std::string error, damaged;
  auto spool = Spool::open(folder.path, bytes, error, damaged);
  REQUIRE_MESSAGE(spool, error);
  CHECK_MESSAGE(damaged.empty(), damaged);
  return spool;
}

std::set<std::uint64_t> numbers_in(Spool& spool) {
  std::set<std::uint64_t> numbers;
  std::string error;
  for (const SpoolEntry& one : spool.read(0, kSpoolBytes, error)) {
    CHECK(one.bytes == entry(one.number, one.bytes.size()).bytes);
    CHECK(numbers.insert(one.number).second);
  }
  CHECK_MESSAGE(error.empty(), error);
  return numbers;
}

struct Outcome {
  std::set<std::uint64_t> acknowledged, trimmed;
  int refused = 0;
  bool gave_up = false;
};

// Appends, reads, trims and writes cursors; what fails is done again, as often as there are steps at most.
template <class Acknowledged>
Outcome work(Spool& spool, const Acknowledged& acknowledged) {
  constexpr int kTriesMost = 20;
  Outcome outcome;
  std::string error;
  DroppedEntries dropped;
  const auto until_done = [&](const auto& operation) {
    for (int tries = 0; tries < kTriesMost; ++tries) {
      if (operation()) return;
      ++outcome.refused;
    }
    outcome.gave_up = true;
  };
  for (std::uint64_t batch = 0; batch < kBatches && !outcome.gave_up; ++batch) {
    std::vector<SpoolEntry> entries;
    for (std::uint64_t i = 1; i <= kInBatch; ++i) entries.push_back(entry(batch * kInBatch + i, 3000));
    until_done([&] { return spool.append(entries, dropped, error); });
    if (outcome.gave_up) break;
    for (const SpoolEntry& one : entries) outcome.acknowledged.insert(one.number);
    acknowledged(entries.back().number);
    until_done([&] { return spool.put_cursor("reader", batch, error); });
    if (batch % 4 == 3) until_done([&] { return spool.trim(batch, 0, dropped, error); });
  }
  for (const SpoolEntry& one : dropped) outcome.trimmed.insert(one.number);
  return outcome;
}

std::set<std::uint64_t> expected(const Outcome& outcome) {
  std::set<std::uint64_t> numbers = outcome.acknowledged;
  for (const std::uint64_t number : outcome.trimmed) numbers.erase(number);
  return numbers;
}

}  // namespace

TEST_CASE("the calls of LMDB go through the injection") {
  Folder folder;
  const Injection injection({.directory = folder.path});
  auto spool = open(folder);
  const int after_open = injection.steps();
  CHECK(after_open > 0);
  std::string error;
  DroppedEntries dropped;
  CHECK(spool->append({entry(1, 3000)}, dropped, error));
  CHECK(injection.steps() >= after_open + 3);  // pages, their sync, and the meta page
}

TEST_CASE(
    "the disk fails at each step, once or for a while: nothing acknowledged is lost, none is there twice") {
  for (const int error_number : {ENOSPC, EIO}) {
    for (const Effect effect : {Effect::kFails, Effect::kWritesHalf, Effect::kDoneButFails}) {
      for (const int lasts : {1, 2, 7}) {
        for (int step = 1, hits = 1; hits > 0; ++step) {
          CAPTURE(error_number);
          CAPTURE(static_cast<int>(effect));
          CAPTURE(lasts);
          CAPTURE(step);
          Folder folder;
          auto spool = open(folder);
          Outcome outcome;
          {
            const Injection injection({folder.path, step, step, effect, error_number, step + lasts - 1});
            outcome = work(*spool, [](std::uint64_t) {});
            hits = injection.failures();
          }
          REQUIRE_FALSE(outcome.gave_up);
          CHECK(outcome.acknowledged.size() == kBatches * kInBatch);
          CHECK(numbers_in(*spool) == expected(outcome));
          spool.reset();
          CHECK(numbers_in(*open(folder)) == expected(outcome));
        }
      }
    }
  }
}

TEST_CASE(
    "a failed commit that is on the disk all the same: entries dropped for the bound are handed over once") {
  constexpr std::size_t kSmall = 1 << 20;
  for (int step = 1, hits = 1; hits > 0; ++step) {
    CAPTURE(step);
    Folder folder;
    auto spool = open(folder, kSmall);
    std::string error;
    DroppedEntries dropped;
    std::uint64_t next = 1;
    // Up to the append before the first that has to drop entries.
    while (spool->full() < 0.74) REQUIRE(spool->append({entry(next++, 3000)}, dropped, error));
    {
      const Injection injection({folder.path, step, step, Effect::kDoneButFails, EIO, step + 1});
      for (int i = 0; i < 20; ++i) {
        for (int tries = 0; !spool->append({entry(next, 3000)}, dropped, error); ++tries) REQUIRE(tries < 20);
        ++next;
      }
      hits = injection.failures();
    }
    std::set<std::uint64_t> all;
    for (const SpoolEntry& one : dropped) CHECK(all.insert(one.number).second);
    for (const std::uint64_t number : numbers_in(*spool)) CHECK(all.insert(number).second);
    CHECK_FALSE(dropped.empty());
    CHECK(all.size() == next - 1);
  }
}

TEST_CASE("killed at each step: what was acknowledged is there, whole and once") {
  for (int step = 1, killed = 1; killed > 0; ++step) {
    CAPTURE(step);
    Folder folder;
    int told[2];
    REQUIRE(pipe(told) == 0);
    const pid_t child = fork();
    if (child == 0) {
      const Injection injection({folder.path, step, step, Effect::kKills, 0, 0});
      std::string error, damaged;
      auto spool = Spool::open(folder.path, kSpoolBytes, error, damaged);
      if (!spool) _exit(2);
      work(*spool, [&](std::uint64_t last) {
        if (::write(told[1], &last, sizeof last) < 0) _exit(3);
      });
      _exit(1);
    }
    ::close(told[1]);
    int status = 0;
    waitpid(child, &status, 0);
    killed = WEXITSTATUS(status) == 0 ? 1 : 0;
    REQUIRE(WEXITSTATUS(status) < 2);
    std::uint64_t acknowledged = 0;
    for (std::uint64_t last = 0; ::read(told[0], &last, sizeof last) == static_cast<ssize_t>(sizeof last);)
      acknowledged = last;
    ::close(told[0]);
    std::string error, damaged;
    auto spool = Spool::open(folder.path, kSpoolBytes, error, damaged);
    REQUIRE_MESSAGE(spool, error);
    const std::set<std::uint64_t> numbers = numbers_in(*spool);
    // A file that was not yet whole when it was being made may be moved aside: nothing was in it.
    CHECK((damaged.empty() || acknowledged == 0));
    if (acknowledged == 0) continue;
    REQUIRE_FALSE(numbers.empty());
    CHECK(*numbers.rbegin() >= acknowledged);
    CHECK(*numbers.rbegin() % kInBatch == 0);
    CHECK(numbers.size() == *numbers.rbegin() - *numbers.begin() + 1);
    CHECK(*numbers.begin() <= kBatches);  // trim() went no further than it was told
  }
}
