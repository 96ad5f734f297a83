// The spool with a disk error injected at each disk call in turn, once or for several calls, and with the
// process killed at each call. Entries that append() acknowledged must be present exactly once; entries that
// it rejected can be appended again.
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

constexpr std::uint64_t kBatchCount = 12, kEntriesPerBatch = 3;
constexpr std::size_t kSpoolBytes = 4 << 20;

struct TemporaryDirectory {
  TemporaryDirectory() {
    // In memory if possible, because the tests make thousands of commits. A killed process does not lose the
    // page cache, so a real disk would make no difference.
    const files::path memory = "/dev/shm";
    path = (files::exists(memory) ? memory : files::temp_directory_path()) / "hareramp-faults-XXXXXX";
    REQUIRE(mkdtemp(path.data()) != nullptr);
  }
  ~TemporaryDirectory() { files::remove_all(path); }
  std::string path;
};

SpoolEntry entry(std::uint64_t number, std::size_t bytes) {
  SpoolEntry created;
  created.number = number;
  created.written_at = static_cast<double>(number);
  created.bytes = std::string(bytes, static_cast<char>('a' + number % 26));
  return created;
}

std::unique_ptr<Spool> open(const TemporaryDirectory& directory, std::size_t bytes = kSpoolBytes) {
  std::string error, damaged;
  auto spool = Spool::open(directory.path, bytes, error, damaged);
  REQUIRE_MESSAGE(spool, error);
  CHECK_MESSAGE(damaged.empty(), damaged);
  return spool;
}

std::set<std::uint64_t> numbers_in(Spool& spool) {
  std::set<std::uint64_t> numbers;
  std::string error;
  for (const SpoolEntry& stored : spool.read(0, kSpoolBytes, error)) {
    CHECK(stored.bytes == entry(stored.number, stored.bytes.size()).bytes);
    CHECK(numbers.insert(stored.number).second);
  }
  CHECK_MESSAGE(error.empty(), error);
  return numbers;
}

struct Outcome {
  std::set<std::uint64_t> acknowledged, trimmed;
  int rejected = 0;
  bool gave_up = false;
};

// Appends entries, stores cursors and trims. An operation that fails is retried a limited number of times.
template <class OnAcknowledged>
Outcome run_workload(Spool& spool, const OnAcknowledged& on_acknowledged) {
  constexpr int kMaxAttempts = 20;
  Outcome outcome;
  std::string error;
  DroppedEntries dropped;
  const auto retry_until_done = [&](const auto& operation) {
    for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
      if (operation()) return;
      ++outcome.rejected;
    }
    outcome.gave_up = true;
  };
  for (std::uint64_t batch = 0; batch < kBatchCount && !outcome.gave_up; ++batch) {
    std::vector<SpoolEntry> entries;
    for (std::uint64_t i = 1; i <= kEntriesPerBatch; ++i)
      entries.push_back(entry(batch * kEntriesPerBatch + i, 3000));
    retry_until_done([&] { return spool.append(entries, dropped, error); });
    if (outcome.gave_up) break;
    for (const SpoolEntry& stored : entries) outcome.acknowledged.insert(stored.number);
    on_acknowledged(entries.back().number);
    retry_until_done([&] { return spool.put_cursor("reader", batch, error); });
    if (batch % 4 == 3) retry_until_done([&] { return spool.trim(batch, 0, dropped, error); });
  }
  for (const SpoolEntry& stored : dropped) outcome.trimmed.insert(stored.number);
  return outcome;
}

std::set<std::uint64_t> expected(const Outcome& outcome) {
  std::set<std::uint64_t> numbers = outcome.acknowledged;
  for (const std::uint64_t number : outcome.trimmed) numbers.erase(number);
  return numbers;
}

}  // namespace

TEST_CASE("disk faults: the file operations of LMDB are intercepted") {
  TemporaryDirectory directory;
  const Injection injection({.directory = directory.path});
  auto spool = open(directory);
  const int after_open = injection.steps();
  CHECK(after_open > 0);
  std::string error;
  DroppedEntries dropped;
  CHECK(spool->append({entry(1, 3000)}, dropped, error));
  CHECK(injection.steps() >= after_open + 3);  // pages, their sync, and the meta page
}

TEST_CASE("spool: a disk error at any step, once or repeatedly, loses and duplicates no acknowledged entry") {
  for (const int error_number : {ENOSPC, EIO}) {
    for (const Effect effect : {Effect::kFails, Effect::kWritesHalf, Effect::kDoneButFails}) {
      for (const int failing_calls : {1, 2, 7}) {
        for (int step = 1, failures = 1; failures > 0; ++step) {
          CAPTURE(error_number);
          CAPTURE(static_cast<int>(effect));
          CAPTURE(failing_calls);
          CAPTURE(step);
          TemporaryDirectory directory;
          auto spool = open(directory);
          Outcome outcome;
          {
            const Injection injection(
                {directory.path, step, step, effect, error_number, step + failing_calls - 1});
            outcome = run_workload(*spool, [](std::uint64_t) {});
            failures = injection.failures();
          }
          REQUIRE_FALSE(outcome.gave_up);
          CHECK(outcome.acknowledged.size() == kBatchCount * kEntriesPerBatch);
          CHECK(numbers_in(*spool) == expected(outcome));
          spool.reset();
          CHECK(numbers_in(*open(directory)) == expected(outcome));
        }
      }
    }
  }
}

TEST_CASE(
    "spool: entries dropped by a commit that reports failure but is on disk are reported exactly once") {
  constexpr std::size_t kSmallSpoolBytes = 1 << 20;
  for (int step = 1, failures = 1; failures > 0; ++step) {
    CAPTURE(step);
    TemporaryDirectory directory;
    auto spool = open(directory, kSmallSpoolBytes);
    std::string error;
    DroppedEntries dropped;
    std::uint64_t next = 1;
    // Fills the spool to just below the share at which an append drops entries.
    while (spool->used_share() < 0.74) REQUIRE(spool->append({entry(next++, 3000)}, dropped, error));
    {
      const Injection injection({directory.path, step, step, Effect::kDoneButFails, EIO, step + 1});
      for (int i = 0; i < 20; ++i) {
        for (int attempt = 0; !spool->append({entry(next, 3000)}, dropped, error); ++attempt)
          REQUIRE(attempt < 20);
        ++next;
      }
      failures = injection.failures();
    }
    std::set<std::uint64_t> all;
    for (const SpoolEntry& stored : dropped) CHECK(all.insert(stored.number).second);
    for (const std::uint64_t number : numbers_in(*spool)) CHECK(all.insert(number).second);
    CHECK_FALSE(dropped.empty());
    CHECK(all.size() == next - 1);
  }
}

TEST_CASE("spool: after a kill at any step every acknowledged entry is present, complete and once") {
  for (int step = 1, killed = 1; killed > 0; ++step) {
    CAPTURE(step);
    TemporaryDirectory directory;
    int acknowledgement_pipe[2];
    REQUIRE(pipe(acknowledgement_pipe) == 0);
    const pid_t child = fork();
    if (child == 0) {
      const Injection injection({directory.path, step, step, Effect::kKills, 0, 0});
      std::string error, damaged;
      auto spool = Spool::open(directory.path, kSpoolBytes, error, damaged);
      if (!spool) _exit(2);
      run_workload(*spool, [&](std::uint64_t last) {
        if (::write(acknowledgement_pipe[1], &last, sizeof last) < 0) _exit(3);
      });
      _exit(1);
    }
    ::close(acknowledgement_pipe[1]);
    int status = 0;
    waitpid(child, &status, 0);
    killed = WEXITSTATUS(status) == 0 ? 1 : 0;
    REQUIRE(WEXITSTATUS(status) < 2);
    std::uint64_t acknowledged = 0;
    for (std::uint64_t last = 0;
         ::read(acknowledgement_pipe[0], &last, sizeof last) == static_cast<ssize_t>(sizeof last);)
      acknowledged = last;
    ::close(acknowledgement_pipe[0]);
    std::string error, damaged;
    auto spool = Spool::open(directory.path, kSpoolBytes, error, damaged);
    REQUIRE_MESSAGE(spool, error);
    const std::set<std::uint64_t> numbers = numbers_in(*spool);
    // A file whose creation was interrupted may be moved aside as damaged: it held no entries.
    CHECK((damaged.empty() || acknowledged == 0));
    if (acknowledged == 0) continue;
    REQUIRE_FALSE(numbers.empty());
    CHECK(*numbers.rbegin() >= acknowledged);
    CHECK(*numbers.rbegin() % kEntriesPerBatch == 0);
    CHECK(numbers.size() == *numbers.rbegin() - *numbers.begin() + 1);
    CHECK(*numbers.begin() <= kBatchCount);  // trim() removed no more than it was asked to
  }
}
