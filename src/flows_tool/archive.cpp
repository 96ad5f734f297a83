#include "flows_tool/archive.hpp"

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <sqlite3.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <filesystem>
#include <set>
#include <stdexcept>
#include <utility>

namespace hareramp::flows_tool {

namespace files = std::filesystem;

namespace {

constexpr double kPartitionSpan = 3600;  // s of export time in one partition
// s by which an exporter's clock may be ahead. Messages further in the future are refused, as a clock that is
// far off would fill the disk with partitions.
constexpr double kMaxClockLead = 2 * 3600;
constexpr double kCleanupInterval = 30;  // s between searches for old partitions
// s by which this machine's clock may differ from the exporters', for example after a start with a wrong
// clock. Data are kept this much longer before they count as old.
constexpr double kClockTolerance = 3600;
// s until the next try after a disk failure. The pause doubles with each further failure up to the longest.
constexpr double kFirstRetryPause = 0.2;
constexpr double kLongestRetryPause = 10;
constexpr std::size_t kMaxRowsPerTransaction = 2048;  // rows per transaction: a few ms of work

constexpr const char* kSchema = R"(
CREATE TABLE IF NOT EXISTS messages(id INTEGER PRIMARY KEY, exporter TEXT, domain INTEGER, version INTEGER,
  sequence INTEGER, export_time INTEGER, bytes INTEGER, UNIQUE(exporter, domain, version, sequence, export_time, bytes));
CREATE TABLE IF NOT EXISTS flows(message INTEGER, flow INTEGER, initiator TEXT, initiator_port INTEGER,
  responder TEXT, responder_port INTEGER, start REAL, end REAL, reason INTEGER, part INTEGER, outcome INTEGER,
  note INTEGER, depot INTEGER, node INTEGER, grade INTEGER, requests INTEGER, octets_out INTEGER, octets_in INTEGER,
  packets_out INTEGER, packets_in INTEGER, wire_out INTEGER, wire_in INTEGER, total_out INTEGER, total_in INTEGER);
CREATE TABLE IF NOT EXISTS names(exporter TEXT, domain INTEGER, kind INTEGER, number INTEGER, name TEXT,
  PRIMARY KEY(exporter, domain, kind, number));
CREATE TABLE IF NOT EXISTS not_sent(exporter TEXT, domain INTEGER, collector TEXT, flows INTEGER,
  packets INTEGER, octets INTEGER, PRIMARY KEY(exporter, domain, collector));
CREATE TABLE IF NOT EXISTS runs(exporter TEXT, domain INTEGER, started REAL, PRIMARY KEY(exporter, domain, started));
PRAGMA user_version = 1;
)";

std::int64_t to_int64(std::uint64_t value) { return static_cast<std::int64_t>(value); }

}  // namespace

bool DatabaseError::is_damage() const { return code == SQLITE_CORRUPT || code == SQLITE_NOTADB; }

Statement::Statement(sqlite3* database, const std::string& text) : database_(database) {
  const int result = sqlite3_prepare_v2(database, text.c_str(), -1, &raw_, nullptr);
  if (result != SQLITE_OK) throw DatabaseError(result, sqlite3_errmsg(database));
}
Statement::~Statement() { sqlite3_finalize(raw_); }
Statement& Statement::bind(int parameter, std::int64_t value) {
  sqlite3_bind_int64(raw_, parameter, value);
  return *this;
}
Statement& Statement::bind(int parameter, double value) {
  sqlite3_bind_double(raw_, parameter, value);
  return *this;
}
Statement& Statement::bind(int parameter, const std::string& value) {
  sqlite3_bind_text(raw_, parameter, value.data(), static_cast<int>(value.size()), SQLITE_TRANSIENT);
  return *this;
}
bool Statement::step() {
  const int code = sqlite3_step(raw_);
  if (code == SQLITE_ROW) return true;
  if (code == SQLITE_DONE) return false;
  const std::string error_text = sqlite3_errmsg(database_);
  sqlite3_reset(raw_);
  throw DatabaseError(code, error_text);
}
void Statement::reset() { sqlite3_reset(raw_); }
std::int64_t Statement::integer(int column) const { return sqlite3_column_int64(raw_, column); }
double Statement::real(int column) const { return sqlite3_column_double(raw_, column); }
std::string Statement::text(int column) const {
  const auto* at = sqlite3_column_text(raw_, column);
  return at ? std::string(reinterpret_cast<const char*>(at),
                          static_cast<std::size_t>(sqlite3_column_bytes(raw_, column)))
            : "";
}

Database::Database(const std::string& path, bool write) {
  const int flags = write ? SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE : SQLITE_OPEN_READONLY;
  const int result = sqlite3_open_v2(path.c_str(), &raw_, flags, nullptr);
  if (result != SQLITE_OK) {
    const std::string error_text = path + ": " + sqlite3_errmsg(raw_);
    sqlite3_close(raw_);
    throw DatabaseError(result, error_text);
  }
  sqlite3_busy_timeout(raw_, 5000);
}
Database::~Database() { sqlite3_close(raw_); }
void Database::run(const char* text) {
  char* error = nullptr;
  const int result = sqlite3_exec(raw_, text, nullptr, nullptr, &error);
  if (result == SQLITE_OK) return;
  const std::string error_text = error ? error : "?";
  sqlite3_free(error);
  throw DatabaseError(result, error_text);
}
bool Database::has_schema() {
  try {
    Statement version(raw_, "PRAGMA user_version");
    return version.step() && version.integer(0) > 0;
  } catch (const DatabaseError& failure) {
    // The process that created the partition was killed before it had switched to the write-ahead log. It
    // left a rollback journal, which only a writer may roll back.
    if (failure.code == SQLITE_READONLY) return false;
    throw;
  }
}
int Database::changes() const { return sqlite3_changes(raw_); }

struct Archive::Partition {
  explicit Partition(const std::string& path)
      : database(path, true),
        ready(prepare(database)),
        add_message(database.raw(), R"(INSERT OR IGNORE INTO
          messages(exporter, domain, version, sequence, export_time, bytes) VALUES(?,?,?,?,?,?))"),
        add_flow(database.raw(), "INSERT INTO flows VALUES(?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?)"),
        add_name(database.raw(), "INSERT OR REPLACE INTO names VALUES(?,?,?,?,?)"),
        add_not_sent(database.raw(), "INSERT OR REPLACE INTO not_sent VALUES(?,?,?,?,?,?)"),
        add_run(database.raw(), "INSERT OR IGNORE INTO runs VALUES(?,?,?)") {}

  static bool prepare(Database& database) {
    {
      Statement journal(database.raw(), "PRAGMA journal_mode=WAL");
      if (!journal.step() || journal.text(0) != "wal")
        throw DatabaseError(SQLITE_IOERR, "can't switch to the write-ahead log");
    }
    database.run("PRAGMA synchronous=NORMAL");
    // In one transaction, so that a reader, or a restart after a kill, finds the whole schema or none of it.
    database.run("BEGIN IMMEDIATE");
    database.run(kSchema);
    database.run("COMMIT");
    return true;
  }
  // Called in the first transaction after a partition was opened: writes the names learnt before.
  void write_names(const std::map<NameKey, std::string>& names) {
    if (names_written) return;
    for (const auto& [key, name] : names) write_name(key, name);
  }
  void write_name(const NameKey& key, const std::string& name) {
    add_name.bind(1, std::get<0>(key)).bind(2, std::int64_t{std::get<1>(key)});
    add_name.bind(3, std::int64_t{std::get<2>(key)}).bind(4, std::int64_t{std::get<3>(key)}).bind(5, name);
    add_name.step();
    add_name.reset();
  }

  Database database;
  bool ready, names_written = false;
  Statement add_message, add_flow, add_name, add_not_sent, add_run;
};

Archive::Archive(const std::string& directory, const ArchiveBounds& bounds)
    : directory_(directory), bounds_(bounds) {
  files::create_directories(directory);
}
Archive::~Archive() { finish(); }

std::int64_t Archive::Message::hour() const {
  return static_cast<std::int64_t>(header.export_time / kPartitionSpan);
}

std::string Archive::partition_path(std::int64_t hour) const {
  const auto name =
      fmt::format("flows-{:%Y%m%dT%H}.sqlite", fmt::gmtime(static_cast<std::time_t>(hour * 3600)));
  return (files::path(directory_) / name).string();
}

Archive::Partition& Archive::open_partition(std::int64_t hour) {
  const auto found = open_.find(hour);
  if (found != open_.end()) return *found->second;
  while (open_.size() >= bounds_.open) open_.erase(open_.begin());
  auto opened = std::make_unique<Partition>(partition_path(hour));
  return *open_.emplace(hour, std::move(opened)).first->second;
}

// Guards against a damaged file that would block all later messages: it is renamed, and a new file is
// created.
void Archive::rename_damaged(std::int64_t hour) {
  const std::string path = partition_path(hour);
  std::error_code ignored;  // if it can't be renamed, the next try fails in the same way
  files::rename(path, path + ".damaged", ignored);
  for (const char* suffix : {"-wal", "-shm"}) files::remove(path + suffix, ignored);
  ++counts_.damaged;
}

bool Archive::begin(const std::string& exporter, const MessageHeader& header, const ClockReading& now) {
  current_.reset();
  begin_time_ = now.steady;
  // Guards against an exporter whose clock is far off: it would create a partition for each wrong hour, or
  // its data would be removed at once as too old.
  const double oldest = now.earliest() - bounds_.keep_hours * kPartitionSpan - kClockTolerance;
  if (header.export_time > now.latest() + kMaxClockLead || header.export_time < oldest) {
    ++counts_.too_far;
    return false;
  }
  if (full()) {
    ++counts_.failed;
    return false;
  }
  current_ = std::make_unique<Message>();
  current_->exporter = exporter;
  current_->header = header;
  return true;
}

void Archive::flow(const FlowRow& row) {
  if (current_) current_->flows.push_back(row);
}
void Archive::name(const NameRow& row) {
  if (current_) current_->names.push_back(row);
}
void Archive::not_sent(const NotSentRow& row) {
  if (current_) current_->not_sent.push_back(row);
}
void Archive::run_started(double started) {
  if (current_) current_->runs.push_back(started);
}

void Archive::end() {
  if (!current_) return;
  rows_waiting_ += current_->rows();
  waiting_.push_back(std::move(*current_));
  current_.reset();
  if (rows_waiting_ >= kMaxRowsPerTransaction) store_waiting(begin_time_);
}

void Archive::commit(const ClockReading& now) {
  store_waiting(now.steady);
  if (now.steady < last_cleanup_ + kCleanupInterval) return;
  last_cleanup_ = now.steady;
  remove_old(now);
}

std::size_t Archive::finish() {
  retry_at_ = 0;
  store_waiting(retry_at_);
  return waiting_.size();
}

// Guards against a disk that rejects writes for a while: messages that were not committed stay in memory. A
// partition that failed is closed and opened again at the next try, as its connection may be in any state.
void Archive::store_waiting(double steady_now) {
  if (steady_now < retry_at_) return;
  while (!waiting_.empty()) {
    const std::int64_t hour = waiting_.front().hour();
    bool is_damage = false;
    try {
      store_batch();
      retry_pause_ = 0;
      continue;
    } catch (const DatabaseError& failure) {
      last_error_ = failure.what();
      is_damage = failure.is_damage();
    }
    ++counts_.commits_failed;
    open_.erase(hour);
    if (is_damage) rename_damaged(hour);
    retry_pause_ = retry_pause_ == 0 ? kFirstRetryPause : std::min(2 * retry_pause_, kLongestRetryPause);
    retry_at_ = steady_now + retry_pause_;
    return;
  }
}

// Stores, in one transaction, the waiting messages from the front of the queue that belong to the same hour,
// up to kMaxRowsPerTransaction rows.
void Archive::store_batch() {
  const std::int64_t hour = waiting_.front().hour();
  Partition& partition = open_partition(hour);
  partition.database.run("BEGIN IMMEDIATE");
  partition.write_names(names_);
  ArchiveCounts added;
  std::size_t rows = 0;
  std::size_t message_count = 0;
  for (; message_count < waiting_.size() && rows < kMaxRowsPerTransaction &&
         waiting_[message_count].hour() == hour;
       ++message_count) {
    const Message& message = waiting_[message_count];
    rows += message.rows();
    if (store_message(partition, message)) {
      ++added.messages;
      added.flows += message.flows.size();
    } else {
      ++added.duplicates;
    }
  }
  partition.database.run("COMMIT");
  partition.names_written = true;
  counts_.messages += added.messages;
  counts_.flows += added.flows;
  counts_.duplicates += added.duplicates;
  rows_waiting_ -= rows;
  waiting_.erase(waiting_.begin(), waiting_.begin() + static_cast<std::ptrdiff_t>(message_count));
}

// Returns false if the message is already stored.
bool Archive::store_message(Partition& partition, const Message& message) {
  const MessageHeader& header = message.header;
  Statement& add = partition.add_message;
  add.bind(1, message.exporter).bind(2, std::int64_t{header.domain}).bind(3, std::int64_t{header.version});
  add.bind(4, std::int64_t{header.sequence}).bind(5, std::int64_t{header.export_time});
  add.bind(6, to_int64(header.bytes));
  add.step();
  add.reset();
  if (partition.database.changes() == 0) return false;
  const std::int64_t number = sqlite3_last_insert_rowid(partition.database.raw());
  for (const FlowRow& row : message.flows) store_flow(partition, number, row);
  for (const NameRow& row : message.names) {
    const NameKey key{message.exporter, header.domain, row.kind, row.number};
    remember_name(key, row.name);
    partition.write_name(key, row.name);
  }
  for (const NotSentRow& row : message.not_sent) {
    Statement& not_sent = partition.add_not_sent;
    not_sent.bind(1, message.exporter).bind(2, std::int64_t{header.domain}).bind(3, row.collector);
    not_sent.bind(4, to_int64(row.flows)).bind(5, to_int64(row.packets)).bind(6, to_int64(row.octets));
    not_sent.step();
    not_sent.reset();
  }
  for (const double started : message.runs) {
    partition.add_run.bind(1, message.exporter).bind(2, std::int64_t{header.domain}).bind(3, started);
    partition.add_run.step();
    partition.add_run.reset();
  }
  return true;
}

void Archive::store_flow(Partition& partition, std::int64_t message, const FlowRow& row) {
  Statement& add = partition.add_flow;
  add.bind(1, message).bind(2, to_int64(row.id)).bind(3, row.initiator);
  add.bind(4, std::int64_t{row.initiator_port})
      .bind(5, row.responder)
      .bind(6, std::int64_t{row.responder_port});
  add.bind(7, row.start).bind(8, row.end);
  const std::array<std::uint64_t, 16> numbers = {static_cast<std::uint64_t>(row.reason),
                                                 static_cast<std::uint64_t>(row.node_role),
                                                 static_cast<std::uint64_t>(row.outcome),
                                                 static_cast<std::uint64_t>(row.answer_detail),
                                                 row.location,
                                                 row.node,
                                                 row.request_class,
                                                 row.requests,
                                                 row.octets[0],
                                                 row.octets[1],
                                                 row.packets[0],
                                                 row.packets[1],
                                                 row.wire[0],
                                                 row.wire[1],
                                                 row.total[0],
                                                 row.total[1]};
  for (std::size_t i = 0; i < numbers.size(); ++i) add.bind(static_cast<int>(9 + i), to_int64(numbers[i]));
  add.step();
  add.reset();
}

void Archive::remember_name(const NameKey& key, const std::string& name) {
  const auto found = names_.find(key);
  if (found == names_.end() && names_.size() >= bounds_.names) names_.erase(names_.begin());
  names_[key] = name;
}

// Removes the oldest partitions while they are too old or the archive is too large. The newest partition
// stays whatever its size.
void Archive::remove_old(const ClockReading& now) {
  std::vector<std::string> paths = partitions(directory_);
  std::uint64_t bytes = 0;
  for (const std::string& path : paths) bytes += files::file_size(path);
  const double kept_from = now.earliest() - bounds_.keep_hours * kPartitionSpan - kClockTolerance;
  const std::string oldest = fmt::format("flows-{:%Y%m%dT%H}.sqlite",
                                         fmt::gmtime(static_cast<std::time_t>(std::max(0.0, kept_from))));
  for (std::size_t i = 0; i + 1 < paths.size(); ++i) {
    if (files::path(paths[i]).filename().string() >= oldest && bytes <= bounds_.bytes) break;
    bytes -= files::file_size(paths[i]);
    std::erase_if(open_, [&](const auto& entry) {
      return files::path(paths[i]).filename() ==
             fmt::format("flows-{:%Y%m%dT%H}.sqlite",
                         fmt::gmtime(static_cast<std::time_t>(entry.first * 3600)));
    });
    for (const char* suffix : {"", "-wal", "-shm"}) files::remove(paths[i] + suffix);
    ++counts_.removed;
  }
}

std::vector<std::string> partitions(const std::string& directory) {
  std::vector<std::string> all;
  if (!files::is_directory(directory)) throw std::runtime_error(directory + ": no such directory");
  for (const auto& entry : files::directory_iterator(directory)) {
    const std::string name = entry.path().filename().string();
    if (name.starts_with("flows-") && name.ends_with(".sqlite")) all.push_back(entry.path().string());
  }
  std::sort(all.begin(), all.end());
  return all;
}

const char* node_role_name(int node_role) {
  constexpr std::array<const char*, 5> kNames = {"unknown", "client", "edge", "parent", "origin"};
  return node_role >= 0 && node_role < 5 ? kNames[static_cast<std::size_t>(node_role)] : "?";
}
const char* outcome_name(int outcome) {
  constexpr std::array<const char*, 5> kNames = {"none", "completed", "bounced", "forfeited", "left"};
  return outcome >= 0 && outcome < 5 ? kNames[static_cast<std::size_t>(outcome)] : "?";
}
const char* answer_detail_name(int answer_detail) {
  constexpr std::array<const char*, 11> kNames = {
      "none",           "hit",         "filled",       "filled_by_origin", "joined",       "stale",
      "source_refused", "source_lost", "source_lacks", "no_place",         "origin_failed"};
  return answer_detail >= 0 && answer_detail < 11 ? kNames[static_cast<std::size_t>(answer_detail)] : "?";
}

std::vector<ReportLine> report(const std::string& directory, const ReportQuery& query) {
  std::map<std::vector<std::string>, ReportLine> lines;
  std::map<std::tuple<std::string, std::int64_t, std::int64_t, std::int64_t>, std::string> names;
  // The records of one flow may be in several partitions; adding them up needs no match between them.
  for (const std::string& path : partitions(directory)) {
    Database database(path, false);
    database.run("BEGIN");
    if (!database.has_schema()) continue;
    Statement name(database.raw(), "SELECT exporter, domain, kind, number, name FROM names");
    while (name.step())
      names[{name.text(0), name.integer(1), name.integer(2), name.integer(3)}] = name.text(4);
    Statement rows(database.raw(), fmt::format(R"(
        SELECT m.exporter, m.domain, f.depot, f.grade, f.node, f.part, f.outcome, f.note,
          CAST(f.end / {0} AS INTEGER) * {0}, COUNT(*), SUM(f.reason <> 2), SUM(f.requests), SUM(f.octets_out),
          SUM(f.octets_in), SUM(f.packets_out), SUM(f.packets_in), SUM(f.wire_out), SUM(f.wire_in)
        FROM flows f JOIN messages m ON m.id = f.message WHERE f.end >= ? AND f.end < ?
        GROUP BY 1, 2, 3, 4, 5, 6, 7, 8, 9)",
                                               std::max(1.0, query.interval)));
    rows.bind(1, query.from).bind(2, query.to);
    while (rows.step()) {
      const std::string exporter = rows.text(0);
      const std::int64_t domain = rows.integer(1);
      if (!query.node_role.empty() && query.node_role != node_role_name(static_cast<int>(rows.integer(5))))
        continue;
      const auto named = [&](std::int64_t kind, int column) -> std::string {
        if (rows.integer(column) == 0) return "-";
        const auto found = names.find({exporter, domain, kind, rows.integer(column)});
        return found == names.end() ? fmt::format("#{}", rows.integer(column)) : found->second;
      };
      ReportLine result_line;
      for (const By by : query.by) {
        switch (by) {
          case By::kLocation:
            result_line.keys.push_back(named(1, 2));
            break;
          case By::kNode:
            result_line.keys.push_back(named(2, 4));
            break;
          case By::kRequestClass:
            result_line.keys.push_back(named(3, 3));
            break;
          case By::kNodeRole:
            result_line.keys.push_back(node_role_name(static_cast<int>(rows.integer(5))));
            break;
          case By::kOutcome:
            result_line.keys.push_back(outcome_name(static_cast<int>(rows.integer(6))));
            break;
          case By::kAnswerDetail:
            result_line.keys.push_back(answer_detail_name(static_cast<int>(rows.integer(7))));
            break;
          case By::kExporter:
            result_line.keys.push_back(fmt::format("{}/{}", exporter, domain));
            break;
          case By::kTime:
            result_line.keys.push_back(
                fmt::format("{:%FT%TZ}", fmt::gmtime(static_cast<std::time_t>(rows.integer(8)))));
            break;
        }
      }
      ReportLine& line = lines.try_emplace(result_line.keys, result_line).first->second;
      const auto add = [&](std::uint64_t& to, int column) {
        to += static_cast<std::uint64_t>(rows.integer(column));
      };
      add(line.records, 9), add(line.flows, 10), add(line.requests, 11);
      for (int direction = 0; direction < 2; ++direction)
        add(line.octets[direction], 12 + direction), add(line.packets[direction], 14 + direction),
            add(line.wire[direction], 16 + direction);
    }
  }
  std::vector<ReportLine> all;
  for (auto& [keys, line] : lines) all.push_back(std::move(line));
  return all;
}

}  // namespace hareramp::flows_tool
