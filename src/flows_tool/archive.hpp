// The archive of flow records: SQLite files, one for each hour of export time, in a directory. Readable while
// it is written, and whole after a kill: a message is there with all its records or not at all, and one that
// comes again counts once. What the disk does not take waits in memory, within a bound, and is tried again;
// beyond the bound messages are refused and counted.
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

// What SQLite says of a failure.
struct DatabaseError : std::runtime_error {
  DatabaseError(int sqlite_code, const std::string& words) : std::runtime_error(words), code(sqlite_code) {}
  // The file holds no database that could be read: to try again is of no use.
  bool is_damage() const;
  int code;  // SQLITE_FULL, SQLITE_IOERR, ...
};

// A prepared statement; throws DatabaseError.
class Statement {
 public:
  Statement(sqlite3* database, const std::string& text);
  ~Statement();
  Statement(const Statement&) = delete;
  Statement& operator=(const Statement&) = delete;
  Statement& bind(int place, std::int64_t value);
  Statement& bind(int place, double value);
  Statement& bind(int place, const std::string& value);
  bool step();  // true: a row is there
  void reset();
  std::int64_t whole(int column) const;
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
  bool has_schema();  // false: a partition that is just being made, with nothing in it
  int changes() const;
  sqlite3* raw() const { return raw_; }

 private:
  sqlite3* raw_ = nullptr;
};

struct ArchiveBounds {
  double keep_hours = 24 * 31;
  std::uint64_t bytes = std::uint64_t{10} << 30;
  std::size_t open = 4;                // partitions at once
  std::size_t names = 1 << 18;         // held to be written into each new partition
  std::size_t waiting_rows = 1 << 16;  // in memory while the disk takes nothing: some 20 MB
};

struct ArchiveCounts {
  std::uint64_t messages = 0, duplicates = 0, flows = 0, removed = 0, too_far = 0;
  std::uint64_t failed = 0;          // messages refused: too much waits for the disk
  std::uint64_t commits_failed = 0;  // tried again later
  std::uint64_t damaged = 0;         // partitions moved aside
};

// The time by two clocks, in Unix seconds: one that starts at the system's and then only goes forward, and
// the system's own, which may be set at any moment. Where they differ neither is sure.
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

  // A message's records come between begin and end. False: it can't be kept, and is counted.
  bool begin(const std::string& exporter, const MessageHead& head, const ClockReading& now);
  void flow(const FlowRow& row);
  void name(const NameRow& row);
  void not_sent(const NotSentRow& row);
  void run_started(double started);
  void end();

  // Makes what has come readable and lasting, unless the disk has just failed and is left alone; old
  // partitions go.
  void commit(const ClockReading& now);
  // Gives the disk a last chance; returns how many messages it did not take, which are lost.
  std::size_t finish();
  // No message is taken until the disk takes what waits.
  bool full() const { return rows_waiting_ >= bounds_.waiting_rows; }
  std::size_t waiting() const { return waiting_.size(); }  // messages
  const std::string& last_error() const { return last_error_; }
  const ArchiveCounts& counts() const { return counts_; }

 private:
  struct Partition;
  struct Message {
    std::string exporter;
    MessageHead head;
    std::vector<FlowRow> flows;
    std::vector<NameRow> names;
    std::vector<NotSentRow> not_sent;
    std::vector<double> runs;
    std::size_t rows() const { return 1 + flows.size() + names.size() + not_sent.size() + runs.size(); }
    std::int64_t hour() const;
  };
  using NameKey = std::tuple<std::string, std::uint32_t, int, std::uint32_t>;
  Partition& partition(std::int64_t hour);
  void store_waiting(double steady_now);
  void store_some();
  bool store_message(Partition& held, const Message& message);
  void store_flow(Partition& held, std::int64_t message, const FlowRow& row);
  void move_aside(std::int64_t hour);
  std::string path_of(std::int64_t hour) const;
  void remember_name(const NameKey& key, const std::string& name);
  void remove_old(const ClockReading& now);

  std::string directory_;
  ArchiveBounds bounds_;
  ArchiveCounts counts_;
  std::map<std::int64_t, std::unique_ptr<Partition>> open_;
  std::map<NameKey, std::string> names_;
  std::unique_ptr<Message> current_;
  std::deque<Message> waiting_;  // for the disk, in the order of their coming
  std::size_t rows_waiting_ = 0;
  std::string last_error_;
  double begun_at_ = 0;  // the time of the last begin()
  double again_at_ = 0;  // the disk is left alone until then
  double pause_ = 0;     // the last such pause; 0: the disk works
  double looked_at_ = 0;
};

// The files of an archive, oldest first.
std::vector<std::string> partitions(const std::string& directory);

// What a report groups by.
enum class By { kLocation, kRequestClass, kNode, kNodeRole, kOutcome, kAnswerDetail, kExporter, kTime };

struct ReportLine {
  std::vector<std::string> keys;
  std::uint64_t records = 0, flows = 0, requests = 0;
  std::uint64_t octets[2] = {0, 0}, packets[2] = {0, 0}, wire[2] = {0, 0};
};

struct ReportQuery {
  std::vector<By> by;
  double from = 0, to = 1e12;  // Unix seconds of a record's end
  double interval = 3600;      // s, for kTime
  std::string node_role;       // only this: client, edge, parent, origin; empty: all
};

std::vector<ReportLine> report(const std::string& directory, const ReportQuery& query);

const char* part_name(int part);
const char* outcome_name(int outcome);
const char* note_name(int note);

}  // namespace hareramp::flows_tool
