// The archive of flow records: SQLite files, one for each hour of export time, in a directory. Readable while
// it is written, and whole after a kill: a message is there with all its records or not at all, and one that
// comes again counts once.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "flows_tool/rows.hpp"

struct sqlite3;
struct sqlite3_stmt;

namespace hareramp::flows_tool {

// A prepared statement; throws std::runtime_error with SQLite's words.
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
  int changes() const;
  sqlite3* raw() const { return raw_; }

 private:
  sqlite3* raw_ = nullptr;
};

struct ArchiveBounds {
  double keep_hours = 24 * 31;
  std::uint64_t bytes = std::uint64_t{10} << 30;
  std::size_t open = 4;         // partitions at once
  std::size_t names = 1 << 18;  // held to be written into each new partition
};

struct ArchiveCounts {
  std::uint64_t messages = 0, duplicates = 0, flows = 0, removed = 0, too_far = 0, failed = 0;
};

class Archive {
 public:
  Archive(const std::string& directory, const ArchiveBounds& bounds);
  ~Archive();

  // A message's records come between begin and end. False: it is there already, or can't be kept.
  bool begin(const std::string& exporter, const MessageHead& head, double now);
  void flow(const FlowRow& row);
  void name(const NameRow& row);
  void not_sent(const NotSentRow& row);
  void run_started(double started);
  void end();

  // Makes what has come readable and lasting; old partitions go.
  void commit(double now);
  const ArchiveCounts& counts() const { return counts_; }

 private:
  struct Partition;
  using NameKey = std::tuple<std::string, std::uint32_t, int, std::uint32_t>;
  Partition* partition(std::int64_t hour);
  void remove_old(double now);

  std::string directory_;
  ArchiveBounds bounds_;
  ArchiveCounts counts_;
  std::map<std::int64_t, std::unique_ptr<Partition>> open_;
  std::map<NameKey, std::string> names_;
  Partition* current_ = nullptr;
  std::int64_t message_ = 0;
  std::string exporter_;
  std::uint32_t domain_ = 0;
  double looked_at_ = 0;
};

// The files of an archive, oldest first.
std::vector<std::string> partitions(const std::string& directory);

// What a report groups by.
enum class By { kDepot, kGrade, kNode, kPart, kOutcome, kNote, kExporter, kTime };

struct ReportLine {
  std::vector<std::string> keys;
  std::uint64_t records = 0, flows = 0, requests = 0;
  std::uint64_t octets[2] = {0, 0}, packets[2] = {0, 0}, wire[2] = {0, 0};
};

struct ReportQuery {
  std::vector<By> by;
  double from = 0, to = 1e12;  // Unix seconds of a record's end
  double interval = 3600;      // s, for kTime
  std::string part;            // only this: client, edge, parent, origin; empty: all
};

std::vector<ReportLine> report(const std::string& directory, const ReportQuery& query);

const char* part_name(int part);
const char* outcome_name(int outcome);
const char* note_name(int note);

}  // namespace hareramp::flows_tool
