// Tests of the collector's archive when the disk fails, or the process is killed, at each disk operation in
// turn, and when the system clock is set. A message must be stored completely and once, or refused and
// counted.
#include "flows_tool/archive.hpp"

#include <doctest/doctest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <filesystem>
#include <fstream>

#include "storage/disk_faults.hpp"

using namespace hareramp::flows_tool;
namespace files = std::filesystem;
using disk_faults::Effect;
using disk_faults::Injection;

namespace {

constexpr double kNow = 1'700'000'000;  // Unix seconds
constexpr std::uint32_t kMessages = 8;
constexpr std::uint32_t kFlowsEach = 3;
constexpr double kAfterRetryPause = 60;  // s; longer than any retry pause after a disk failure

struct TemporaryDirectory {
  TemporaryDirectory() {
    const files::path memory = "/dev/shm";
    path = (files::exists(memory) ? memory : files::temp_directory_path()) / "hareramp-archive-XXXXXX";
    REQUIRE(mkdtemp(path.data()) != nullptr);
  }
  ~TemporaryDirectory() { files::remove_all(path); }
  std::string path;
};

// Adds a message with a name and kFlowsEach flows; every fourth message was exported in the previous hour.
void add_message(Archive& archive, std::uint32_t number, const ClockReading& now) {
  MessageHeader header;
  header.version = 10;
  header.sequence = number;
  header.export_time = static_cast<std::uint32_t>(kNow) - (number % 4 == 3 ? 3600 : 0);
  header.bytes = 100;
  if (!archive.begin("exporter", header, now)) return;
  archive.name({1, number, "depot"});
  for (std::uint32_t i = 0; i < kFlowsEach; ++i) {
    FlowRow row;
    row.id = number;
    row.end = kNow;
    row.requests = 1;
    archive.flow(row);
  }
  archive.not_sent({"collector", number, 0, 0});
  archive.run_started(kNow);
  archive.end();
}

std::uint64_t stored_records(const std::string& directory) {
  ReportQuery query;
  query.by = {By::kExporter};
  const auto lines = report(directory, query);
  return lines.empty() ? 0 : lines.front().records;
}

bool store_all(Archive& archive, double now) {
  for (int tries = 0; tries < 40 && archive.waiting() > 0; ++tries)
    archive.commit(now + kAfterRetryPause * tries);
  return archive.waiting() == 0;
}

}  // namespace

TEST_CASE(
    "disk failure at each disk operation, once or five times: each message is stored once, with all its "
    "flows") {
  for (const int error_number : {ENOSPC, EIO}) {
    for (const Effect effect : {Effect::kFails, Effect::kWritesHalf, Effect::kDoneButFails}) {
      for (const int failing_steps : {1, 5}) {
        for (int step = 1, hits = 1; hits > 0; ++step) {
          CAPTURE(error_number);
          CAPTURE(static_cast<int>(effect));
          CAPTURE(failing_steps);
          CAPTURE(step);
          TemporaryDirectory directory;
          Archive archive(directory.path, {});
          {
            const Injection injection(
                {directory.path, step, step, effect, error_number, step + failing_steps - 1});
            for (std::uint32_t i = 0; i < kMessages; ++i) {
              add_message(archive, i, kNow);
              archive.commit(kNow + i * kAfterRetryPause);
            }
            REQUIRE(store_all(archive, kNow + kMessages * kAfterRetryPause));
            hits = injection.failures();
          }
          CHECK(archive.counts().failed == 0);
          CHECK(archive.counts().messages + archive.counts().duplicates == kMessages);
          CHECK(archive.counts().damaged == 0);
          CHECK(stored_records(directory.path) == kMessages * kFlowsEach);
        }
      }
    }
  }
}

TEST_CASE(
    "process killed at each disk operation: committed messages are stored, and resent ones are not stored "
    "twice") {
  for (int step = 1, killed = 1; killed > 0; ++step) {
    CAPTURE(step);
    TemporaryDirectory directory;
    int commit_pipe[2];
    REQUIRE(pipe(commit_pipe) == 0);
    const pid_t child = fork();
    if (child == 0) {
      const Injection injection({directory.path, step, step, Effect::kKills, 0, 0});
      Archive archive(directory.path, {});
      for (std::uint32_t i = 0; i < kMessages; ++i) {
        add_message(archive, i, kNow);
        archive.commit(kNow);
        const char byte = 1;
        if (archive.waiting() == 0 && ::write(commit_pipe[1], &byte, 1) < 0) _exit(3);
      }
      _exit(1);
    }
    ::close(commit_pipe[1]);
    int status = 0;
    waitpid(child, &status, 0);
    killed = WEXITSTATUS(status) == 0 ? 1 : 0;
    REQUIRE(WEXITSTATUS(status) < 2);
    std::uint64_t committed = 0;
    for (char byte = 0; ::read(commit_pipe[0], &byte, 1) == 1;) ++committed;
    ::close(commit_pipe[0]);
    Archive archive(directory.path, {});
    if (committed > 0) CHECK(stored_records(directory.path) >= committed * kFlowsEach);
    for (std::uint32_t i = 0; i < kMessages; ++i) add_message(archive, i, kNow);
    REQUIRE(store_all(archive, kNow));
    CHECK(archive.counts().duplicates >= committed);
    CHECK(archive.counts().damaged == 0);
    CHECK(stored_records(directory.path) == kMessages * kFlowsEach);
  }
}

TEST_CASE(
    "disk that rejects all writes: memory is bounded, refused messages are counted, the rest is stored "
    "later") {
  TemporaryDirectory directory;
  ArchiveBounds bounds;
  bounds.waiting_rows = 100;
  Archive archive(directory.path, bounds);
  constexpr std::uint32_t kManyMessages = 200;
  {
    const Injection full({directory.path, 1, disk_faults::kNeverReached, Effect::kFails, ENOSPC, 0});
    for (std::uint32_t i = 0; i < kManyMessages; ++i) add_message(archive, i, kNow);
    archive.commit(kNow);
    CHECK(archive.full());
    CHECK(archive.waiting() < bounds.waiting_rows);
    // Retried after pauses of 0.2, 0.4, 0.8 ... s, however often commit() is called.
    for (int i = 0; i < 1000; ++i) archive.commit(kNow + 0.001 * i);
    CHECK(archive.counts().commits_failed == 3);
    CHECK_FALSE(archive.last_error().empty());
  }
  REQUIRE(store_all(archive, kNow + kAfterRetryPause));
  CHECK(archive.counts().failed > 0);
  CHECK(archive.counts().messages + archive.counts().failed == kManyMessages);
  CHECK(stored_records(directory.path) == archive.counts().messages * kFlowsEach);
}

TEST_CASE("a damaged partition is renamed and does not block later messages") {
  TemporaryDirectory directory;
  {
    Archive archive(directory.path, {});
    add_message(archive, 0, kNow);
    REQUIRE(store_all(archive, kNow));
  }
  const std::string path = partitions(directory.path).front();
  std::ofstream(path) << std::string(100000, 'x');
  Archive archive(directory.path, {});
  for (std::uint32_t i = 0; i < kMessages; ++i) add_message(archive, i, kNow);
  REQUIRE(store_all(archive, kNow));
  CHECK(archive.counts().damaged == 1);
  CHECK(files::exists(path + ".damaged"));
  CHECK(stored_records(directory.path) == kMessages * kFlowsEach);
}

TEST_CASE("system clock set while the collector runs: no current message is refused or removed") {
  for (const double step : {-9000.0, 9000.0}) {
    CAPTURE(step);
    TemporaryDirectory directory;
    ArchiveBounds bounds;
    bounds.keep_hours = 1;
    Archive archive(directory.path, bounds);
    for (std::uint32_t i = 0; i < kMessages; ++i) add_message(archive, i, kNow);
    archive.commit(kNow);
    const ClockReading stepped(kNow + kAfterRetryPause, kNow + kAfterRetryPause + step);
    add_message(archive, kMessages, stepped);
    archive.commit(stepped);
    CHECK(archive.counts().removed == 0);
    CHECK(archive.counts().too_far == 0);
    CHECK(stored_records(directory.path) == (kMessages + 1) * kFlowsEach);
  }
}

TEST_CASE(
    "start with a clock that is wrong by an hour: messages within a retention of one hour are neither "
    "refused nor removed") {
  constexpr std::uint32_t kPreviousHourMessage = 3;
  for (const double step : {-3600.0, 3600.0}) {
    CAPTURE(step);
    TemporaryDirectory directory;
    ArchiveBounds bounds;
    bounds.keep_hours = 1;
    for (int starts = 0; starts < 2; ++starts) {
      Archive archive(directory.path, bounds);
      add_message(archive, kPreviousHourMessage, kNow + step);
      add_message(archive, 0, kNow + step);
      archive.commit(kNow + step);
      CHECK(archive.counts().removed == 0);
      CHECK(archive.counts().too_far == 0);
    }
    CHECK(stored_records(directory.path) == 2 * kFlowsEach);
  }
}

TEST_CASE("a system clock that is set back does not delay the check of the archive's size") {
  TemporaryDirectory directory;
  ArchiveBounds bounds;
  bounds.bytes = 1;
  Archive archive(directory.path, bounds);
  archive.commit(kNow);
  for (std::uint32_t i = 0; i < kMessages; ++i) add_message(archive, i, kNow);
  archive.commit(ClockReading(kNow + kAfterRetryPause, kNow + kAfterRetryPause - 3600));
  CHECK(archive.counts().removed == 1);  // the older of two partitions
}
