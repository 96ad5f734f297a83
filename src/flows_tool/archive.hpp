// The archive of flow records: a directory of SQLite files (partitions), one for each hour of export time. It
// can be read while it is written, and it stays consistent when the process is killed: a message is stored
// with all its records or not at all, and a duplicate is stored once. Messages that the disk doesn't accept
// wait in memory, up to a bound, and are retried; beyond the bound messages are refused and counted.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "flows_tool/rows.hpp"

struct sqlite3;
struct sqlite3_stmt;

namespace hareramp::flows_tool {

// An error of SQLite, with its result code.
struct DatabaseError : std::runtime_error {
  DatabaseError(int sqlite_code, const std::string& error_text)
      : std::runtime_error(error_text), code(sqlite_code) {}
  // The file is not a readable database, so retrying is of no use.
  bool is_damage() const;
  int code;  // SQLITE_FULL, SQLITE_IOERR, ...
};

// A prepared statement. Preparing and stepping throw DatabaseError.
class Statement {
 public:
  Statement(sqlite3* database, const std::string& text);
  ~Statement();
  Statement(const Statement&) = delete;
  Statement& operator=(const Statement&) = delete;
  Statement& bind(int parameter, std::int64_t value);
  Statement& bind(int parameter, double value);
  Statement& bind(int parameter, const std::string& value);
  bool step();  // true: a row is available
  void reset();
  std::int64_t integer(int column) const;
  double real(int column) const;
  std::string text(int column) const;

 private:
  sqlite3* database_;
  sqlite3_stmt* raw_ = nullptr;
};

class Database {
 public:
  Database(const std::string& path, bool write);
  ~Database();
  Database(const Database&) = delete;
  Database& operator=(const Database&) = delete;
  void run(const char* text);
  bool has_schema();  // false: the partition is being created and still empty
  int changes() const;
  sqlite3* raw() const { return raw_; }

 private:
  sqlite3* raw_ = nullptr;
};

struct ArchiveBounds {
  double keep_hours = 24 * 31;
  std::uint64_t bytes = std::uint64_t{10} << 30;
  std::size_t open = 4;                // partitions open at once
  std::size_t names = 1 << 18;         // kept in memory and written into each new partition
  std::size_t waiting_rows = 1 << 16;  // rows in memory while the disk accepts none: about 20 MB
};

struct ArchiveCounts {
  std::uint64_t messages = 0, duplicates = 0, flows = 0, removed = 0, too_far = 0;
  std::uint64_t failed = 0;          // messages refused because the queue for the disk is full
  std::uint64_t commits_failed = 0;  // transactions that failed and are retried
  std::uint64_t damaged = 0;         // damaged partitions that were renamed
};

// The time by two clocks, in Unix seconds: a steady one that starts at the system time and never goes back,
// and the system clock, which may be set at any moment. Where they differ, either may be wrong.
struct ClockReading {
  ClockReading(double both) : steady(both), wall(both) {}
  ClockReading(double steady_now, double wall_now) : steady(steady_now), wall(wall_now) {}
  double earliest() const { return std::min(steady, wall); }
  double latest() const { return std::max(steady, wall); }
  double steady, wall;
};

class Archive {
 public:
  Archive(const std::string& directory, const ArchiveBounds& bounds);
  ~Archive();

  // The records of a message are added between begin() and end(). begin() returns false, and counts the
  // message, if it can't be kept.
  bool begin(const std::string& exporter, const MessageHeader& header, const ClockReading& now);
  void flow(const FlowRow& row);
  void name(const NameRow& row);
  void not_sent(const NotSentRow& row);
  void run_started(double started);
  void end();

  // Commits the waiting messages, so that they are durable and visible to readers, unless the pause after a
  // disk failure is still running; removes old partitions.
  void commit(const ClockReading& now);
  // Tries once more to store the waiting messages; returns how many messages could not be stored and are
  // lost.
  std::size_t finish();
  // True: new messages are refused until some of the waiting ones have been stored.
  bool full() const { return rows_waiting_ >= bounds_.waiting_rows; }
  std::size_t waiting() const { return waiting_.size(); }  // messages
  const std::string& last_error() const { return last_error_; }
  const ArchiveCounts& counts() const { return counts_; }

 private:
  struct Partition;
  struct Message {
    std::string exporter;
    MessageHeader header;
    std::vector<FlowRow> flows;
    std::vector<NameRow> names;
    std::vector<NotSentRow> not_sent;
    std::vector<double> runs;
    std::size_t rows() const { return 1 + flows.size() + names.size() + not_sent.size() + runs.size(); }
    std::int64_t hour() const;
  };
  using NameKey = std::tuple<std::string, std::uint32_t, int, std::uint32_t>;
  Partition& open_partition(std::int64_t hour);
  void store_waiting(double steady_now);
  void store_batch();
  bool store_message(Partition& partition, const Message& message);
  void store_flow(Partition& partition, std::int64_t message, const FlowRow& row);
  void rename_damaged(std::int64_t hour);
  std::string partition_path(std::int64_t hour) const;
  void remember_name(const NameKey& key, const std::string& name);
  void remove_old(const ClockReading& now);

  std::string directory_;
  ArchiveBounds bounds_;
  ArchiveCounts counts_;
  std::map<std::int64_t, std::unique_ptr<Partition>> open_;
  std::map<NameKey, std::string> names_;
  std::unique_ptr<Message> current_;
  std::deque<Message> waiting_;  // not yet stored, in order of arrival
  std::size_t rows_waiting_ = 0;
  std::string last_error_;
  double begin_time_ = 0;   // steady time of the last begin()
  double retry_at_ = 0;     // steady time before which no write is tried after a failure
  double retry_pause_ = 0;  // s; the latest pause after a failure; 0: the last write succeeded
  double last_cleanup_ = 0;
};

// The paths of an archive's partitions, oldest first.
std::vector<std::string> partitions(const std::string& directory);

// The columns by which a report can group.
enum class By { kLocation, kRequestClass, kNode, kNodeRole, kOutcome, kAnswerDetail, kExporter, kTime };

struct ReportLine {
  std::vector<std::string> keys;
  std::uint64_t records = 0, flows = 0, requests = 0;
  std::uint64_t octets[2] = {0, 0}, packets[2] = {0, 0}, wire[2] = {0, 0};
};

struct ReportQuery {
  std::vector<By> by;
  double from = 0, to = 1e12;  // Unix seconds; selects records that end at or after from and before to
  double interval = 3600;      // s, for kTime
  std::string node_role;       // only records of this role: client, edge, parent or origin; empty: all
};

std::vector<ReportLine> report(const std::string& directory, const ReportQuery& query);

const char* node_role_name(int node_role);
const char* outcome_name(int outcome);
const char* answer_detail_name(int answer_detail);

}  // namespace hareramp::flows_tool
