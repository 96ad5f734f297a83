// The collector's archive on a disk that fails or a process that is killed at each of its steps in turn, and
// with a clock that is set: a message is there whole and once, or refused and counted.
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
constexpr double kPast = 60;  // s: longer than any pause after a failure

struct Folder {
  Folder() {
    const files::path memory = "/dev/shm";
    path = (files::exists(memory) ? memory : files::temp_directory_path()) / "hareramp-archive-XXXXXX";
    REQUIRE(mkdtemp(path.data()) != nullptr);
  }
  ~Folder() { files::remove_all(path); }
  std::string path;
};

// A message with a name and some flows; every fourth is of the hour before.
void feed(Archive& archive, std::uint32_t number, const ClockReading& now) {
  MessageHead head;
  head.version = 10;
  head.sequence = number;
  head.export_time = static_cast<std::uint32_t>(kNow) - (number % 4 == 3 ? 3600 : 0);
  head.bytes = 100;
  if (!archive.begin("exporter", head, now)) return;
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

std::uint64_t records(const std::string& folder) {
  ReportQuery query;
  query.by = {By::kExporter};
  const auto lines = report(folder, query);
  return lines.empty() ? 0 : lines.front().records;
}

bool store_all(Archive& archive, double now) {
  for (int tries = 0; tries < 40 && archive.waiting() > 0; ++tries) archive.commit(now + kPast * tries);
  return archive.waiting() == 0;
}

}  // namespace

TEST_CASE(
    "the disk fails at each step, once or for a while: each message is there once, with all its flows") {
  for (const int error_number : {ENOSPC, EIO}) {
    for (const Effect effect : {Effect::kFails, Effect::kWritesHalf, Effect::kDoneButFails}) {
      for (const int lasts : {1, 5}) {
        for (int step = 1, hits = 1; hits > 0; ++step) {
          CAPTURE(error_number);
          CAPTURE(static_cast<int>(effect));
          CAPTURE(lasts);
          CAPTURE(step);
          Folder folder;
          Archive archive(folder.path, {});
          {
            const Injection injection({folder.path, step, step, effect, error_number, step + lasts - 1});
            for (std::uint32_t i = 0; i < kMessages; ++i) {
              feed(archive, i, kNow);
              archive.commit(kNow + i * kPast);
            }
            REQUIRE(store_all(archive, kNow + kMessages * kPast));
            hits = injection.failures();
          }
          CHECK(archive.counts().failed == 0);
          CHECK(archive.counts().messages + archive.counts().duplicates == kMessages);
          CHECK(archive.counts().damaged == 0);
          CHECK(records(folder.path) == kMessages * kFlowsEach);
        }
      }
    }
  }
}

TEST_CASE("killed at each step: what was committed is there, and all of it once when it comes again") {
  for (int step = 1, killed = 1; killed > 0; ++step) {
    CAPTURE(step);
    Folder folder;
    int told[2];
    REQUIRE(pipe(told) == 0);
    const pid_t child = fork();
    if (child == 0) {
      const Injection injection({folder.path, step, step, Effect::kKills, 0, 0});
      Archive archive(folder.path, {});
      for (std::uint32_t i = 0; i < kMessages; ++i) {
        feed(archive, i, kNow);
        archive.commit(kNow);
        const char one = 1;
        if (archive.waiting() == 0 && ::write(told[1], &one, 1) < 0) _exit(3);
      }
      _exit(1);
    }
    ::close(told[1]);
    int status = 0;
    waitpid(child, &status, 0);
    killed = WEXITSTATUS(status) == 0 ? 1 : 0;
    REQUIRE(WEXITSTATUS(status) < 2);
    std::uint64_t committed = 0;
    for (char one = 0; ::read(told[0], &one, 1) == 1;) ++committed;
    ::close(told[0]);
    Archive archive(folder.path, {});
    if (committed > 0) CHECK(records(folder.path) >= committed * kFlowsEach);
    for (std::uint32_t i = 0; i < kMessages; ++i) feed(archive, i, kNow);
    REQUIRE(store_all(archive, kNow));
    CHECK(archive.counts().duplicates >= committed);
    CHECK(archive.counts().damaged == 0);
    CHECK(records(folder.path) == kMessages * kFlowsEach);
  }
}

TEST_CASE(
    "a disk that takes nothing: memory is bounded, what is refused is counted, the rest is stored later") {
  Folder folder;
  ArchiveBounds bounds;
  bounds.waiting_rows = 100;
  Archive archive(folder.path, bounds);
  constexpr std::uint32_t kMany = 200;
  {
    const Injection full({folder.path, 1, disk_faults::kNeverReached, Effect::kFails, ENOSPC, 0});
    for (std::uint32_t i = 0; i < kMany; ++i) feed(archive, i, kNow);
    archive.commit(kNow);
    CHECK(archive.full());
    CHECK(archive.waiting() < bounds.waiting_rows);
    // Tried again after pauses of 0.2, 0.4, 0.8 ... s, whatever the number of calls.
    for (int i = 0; i < 1000; ++i) archive.commit(kNow + 0.001 * i);
    CHECK(archive.counts().commits_failed == 3);
    CHECK_FALSE(archive.last_error().empty());
  }
  REQUIRE(store_all(archive, kNow + kPast));
  CHECK(archive.counts().failed > 0);
  CHECK(archive.counts().messages + archive.counts().failed == kMany);
  CHECK(records(folder.path) == archive.counts().messages * kFlowsEach);
}

TEST_CASE("a damaged partition is moved aside and holds nothing back") {
  Folder folder;
  {
    Archive archive(folder.path, {});
    feed(archive, 0, kNow);
    REQUIRE(store_all(archive, kNow));
  }
  const std::string path = partitions(folder.path).front();
  std::ofstream(path) << std::string(100000, 'x');
  Archive archive(folder.path, {});
  for (std::uint32_t i = 0; i < kMessages; ++i) feed(archive, i, kNow);
  REQUIRE(store_all(archive, kNow));
  CHECK(archive.counts().damaged == 1);
  CHECK(files::exists(path + ".damaged"));
  CHECK(records(folder.path) == kMessages * kFlowsEach);
}

TEST_CASE("the system's clock is set while the collector runs: nothing live is refused or removed for it") {
  for (const double step : {-9000.0, 9000.0}) {
    CAPTURE(step);
    Folder folder;
    ArchiveBounds bounds;
    bounds.keep_hours = 1;
    Archive archive(folder.path, bounds);
    for (std::uint32_t i = 0; i < kMessages; ++i) feed(archive, i, kNow);
    archive.commit(kNow);
    const ClockReading stepped(kNow + kPast, kNow + kPast + step);
    feed(archive, kMessages, stepped);
    archive.commit(stepped);
    CHECK(archive.counts().removed == 0);
    CHECK(archive.counts().too_far == 0);
    CHECK(records(folder.path) == (kMessages + 1) * kFlowsEach);
  }
}

TEST_CASE(
    "started with a clock that is wrong by an hour: what is kept for an hour is neither refused nor "
    "removed") {
  constexpr std::uint32_t kOfTheHourBefore = 3;
  for (const double step : {-3600.0, 3600.0}) {
    CAPTURE(step);
    Folder folder;
    ArchiveBounds bounds;
    bounds.keep_hours = 1;
    for (int starts = 0; starts < 2; ++starts) {
      Archive archive(folder.path, bounds);
      feed(archive, kOfTheHourBefore, kNow + step);
      feed(archive, 0, kNow + step);
      archive.commit(kNow + step);
      CHECK(archive.counts().removed == 0);
      CHECK(archive.counts().too_far == 0);
    }
    CHECK(records(folder.path) == 2 * kFlowsEach);
  }
}

TEST_CASE("a clock set back does not put off the look at the archive's size") {
  Folder folder;
  ArchiveBounds bounds;
  bounds.bytes = 1;
  Archive archive(folder.path, bounds);
  archive.commit(kNow);
  for (std::uint32_t i = 0; i < kMessages; ++i) feed(archive, i, kNow);
  archive.commit(ClockReading(kNow + kPast, kNow + kPast - 3600));
  CHECK(archive.counts().removed == 1);  // of two hours the older
}
