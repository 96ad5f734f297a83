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

constexpr double kHour = 3600;  // s a partition
constexpr double kFuture =
    2 * 3600;                      // s that an exporter's clock may be ahead; beyond, it would fill the disk
constexpr double kLookEvery = 30;  // s between looks for old partitions
// s by which this machine's clock may be wrong against the exporters', as after a start with a wrong clock:
// so much longer nothing is taken for old.
constexpr double kClockTolerance = 3600;
constexpr double kFirstPause = 0.2;  // s after a failure of the disk, doubling up to the longest
constexpr double kLongestPause = 10;
constexpr std::size_t kRowsAtOnce = 2048;  // in a transaction: a few ms of work

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

std::int64_t signed_of(std::uint64_t value) { return static_cast<std::int64_t>(value); }

}  // namespace

bool DatabaseError::is_damage() const { return code == SQLITE_CORRUPT || code == SQLITE_NOTADB; }

Statement::Statement(sqlite3* database, const std::string& text) : database_(database) {
  const int result = sqlite3_prepare_v2(database, text.c_str(), -1, &raw_, nullptr);
  if (result != SQLITE_OK) throw DatabaseError(result, sqlite3_errmsg(database));
}
Statement::~Statement() { sqlite3_finalize(raw_); }
Statement& Statement::bind(int place, std::int64_t value) {
  sqlite3_bind_int64(raw_, place, value);
  return *this;
}
Statement& Statement::bind(int place, double value) {
  sqlite3_bind_double(raw_, place, value);
  return *this;
}
Statement& Statement::bind(int place, const std::string& value) {
  sqlite3_bind_text(raw_, place, value.data(), static_cast<int>(value.size()), SQLITE_TRANSIENT);
  return *this;
}
bool Statement::step() {
  const int code = sqlite3_step(raw_);
  if (code == SQLITE_ROW) return true;
  if (code == SQLITE_DONE) return false;
  const std::string words = sqlite3_errmsg(database_);
  sqlite3_reset(raw_);
  throw DatabaseError(code, words);
}
void Statement::reset() { sqlite3_reset(raw_); }
std::int64_t Statement::whole(int column) const { return sqlite3_column_int64(raw_, column); }
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
    const std::string words = path + ": " + sqlite3_errmsg(raw_);
    sqlite3_close(raw_);
    throw DatabaseError(result, words);
  }
  sqlite3_busy_timeout(raw_, 5000);
}
Database::~Database() { sqlite3_close(raw_); }
void Database::run(const char* text) {
  char* error = nullptr;
  const int result = sqlite3_exec(raw_, text, nullptr, nullptr, &error);
  if (result == SQLITE_OK) return;
  const std::string words = error ? error : "?";
  sqlite3_free(error);
  throw DatabaseError(result, words);
}
bool Database::has_schema() {
  try {
    Statement version(raw_, "PRAGMA user_version");
    return version.step() && version.whole(0) > 0;
  } catch (const DatabaseError& failure) {
    // A kill before the write-ahead log was set up left a journal, which only a writer may roll back.
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
        throw DatabaseError(SQLITE_IOERR, "no write-ahead log");
    }
    database.run("PRAGMA synchronous=NORMAL");
    // In one transaction: a reader and a kill find all of it or nothing.
    database.run("BEGIN IMMEDIATE");
    database.run(kSchema);
    database.run("COMMIT");
    return true;
  }
  // In the first transaction of a partition that was opened: what was named before it began.
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

std::int64_t Archive::Message::hour() const { return static_cast<std::int64_t>(head.export_time / kHour); }

std::string Archive::path_of(std::int64_t hour) const {
  const auto name =
      fmt::format("flows-{:%Y%m%dT%H}.sqlite", fmt::gmtime(static_cast<std::time_t>(hour * 3600)));
  return (files::path(directory_) / name).string();
}

Archive::Partition& Archive::partition(std::int64_t hour) {
  const auto found = open_.find(hour);
  if (found != open_.end()) return *found->second;
  while (open_.size() >= bounds_.open) open_.erase(open_.begin());
  auto made = std::make_unique<Partition>(path_of(hour));
  return *open_.emplace(hour, std::move(made)).first->second;
}

// Guards against a damaged file that would hold back all that comes after it: a new one is begun.
void Archive::move_aside(std::int64_t hour) {
  const std::string path = path_of(hour);
  std::error_code ignored;  // where it can't be moved, the next try finds it and fails again
  files::rename(path, path + ".damaged", ignored);
  for (const char* end : {"-wal", "-shm"}) files::remove(path + end, ignored);
  ++counts_.damaged;
}

bool Archive::begin(const std::string& exporter, const MessageHead& head, const ClockReading& now) {
  current_.reset();
  begun_at_ = now.steady;
  // Guards against an exporter whose clock is far off: a partition for each hour it makes up, or none kept.
  const double oldest = now.earliest() - bounds_.keep_hours * kHour - kClockTolerance;
  if (head.export_time > now.latest() + kFuture || head.export_time < oldest) {
    ++counts_.too_far;
    return false;
  }
  if (full()) {
    ++counts_.failed;
    return false;
  }
  current_ = std::make_unique<Message>();
  current_->exporter = exporter;
  current_->head = head;
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
  if (rows_waiting_ >= kRowsAtOnce) store_waiting(begun_at_);
}

void Archive::commit(const ClockReading& now) {
  store_waiting(now.steady);
  if (now.steady < looked_at_ + kLookEvery) return;
  looked_at_ = now.steady;
  remove_old(now);
}

std::size_t Archive::finish() {
  again_at_ = 0;
  store_waiting(again_at_);
  return waiting_.size();
}

// Guards against a disk that takes nothing for a while: what was not committed stays in memory. A partition
// that failed is opened anew at the next try, whatever state SQLite has left it in.
void Archive::store_waiting(double steady_now) {
  if (steady_now < again_at_) return;
  while (!waiting_.empty()) {
    const std::int64_t hour = waiting_.front().hour();
    bool is_damage = false;
    try {
      store_some();
      pause_ = 0;
      continue;
    } catch (const DatabaseError& failure) {
      last_error_ = failure.what();
      is_damage = failure.is_damage();
    }
    ++counts_.commits_failed;
    open_.erase(hour);
    if (is_damage) move_aside(hour);
    pause_ = pause_ == 0 ? kFirstPause : std::min(2 * pause_, kLongestPause);
    again_at_ = steady_now + pause_;
    return;
  }
}

// The first of those that wait, as many as belong to one hour and go into one transaction.
void Archive::store_some() {
  const std::int64_t hour = waiting_.front().hour();
  Partition& held = partition(hour);
  held.database.run("BEGIN IMMEDIATE");
  held.write_names(names_);
  ArchiveCounts made;
  std::size_t rows = 0;
  std::size_t taken = 0;
  for (; taken < waiting_.size() && rows < kRowsAtOnce && waiting_[taken].hour() == hour; ++taken) {
    const Message& message = waiting_[taken];
    rows += message.rows();
    if (store_message(held, message)) {
      ++made.messages;
      made.flows += message.flows.size();
    } else {
      ++made.duplicates;
    }
  }
  held.database.run("COMMIT");
  held.names_written = true;
  counts_.messages += made.messages;
  counts_.flows += made.flows;
  counts_.duplicates += made.duplicates;
  rows_waiting_ -= rows;
  waiting_.erase(waiting_.begin(), waiting_.begin() + static_cast<std::ptrdiff_t>(taken));
}

// False: it is there already.
bool Archive::store_message(Partition& held, const Message& message) {
  const MessageHead& head = message.head;
  Statement& add = held.add_message;
  add.bind(1, message.exporter).bind(2, std::int64_t{head.domain}).bind(3, std::int64_t{head.version});
  add.bind(4, std::int64_t{head.sequence}).bind(5, std::int64_t{head.export_time});
  add.bind(6, signed_of(head.bytes));
  add.step();
  add.reset();
  if (held.database.changes() == 0) return false;
  const std::int64_t number = sqlite3_last_insert_rowid(held.database.raw());
  for (const FlowRow& row : message.flows) store_flow(held, number, row);
  for (const NameRow& row : message.names) {
    const NameKey key{message.exporter, head.domain, row.kind, row.number};
    remember_name(key, row.name);
    held.write_name(key, row.name);
  }
  for (const NotSentRow& row : message.not_sent) {
    Statement& not_sent = held.add_not_sent;
    not_sent.bind(1, message.exporter).bind(2, std::int64_t{head.domain}).bind(3, row.collector);
    not_sent.bind(4, signed_of(row.flows)).bind(5, signed_of(row.packets)).bind(6, signed_of(row.octets));
    not_sent.step();
    not_sent.reset();
  }
  for (const double started : message.runs) {
    held.add_run.bind(1, message.exporter).bind(2, std::int64_t{head.domain}).bind(3, started);
    held.add_run.step();
    held.add_run.reset();
  }
  return true;
}

void Archive::store_flow(Partition& held, std::int64_t message, const FlowRow& row) {
  Statement& add = held.add_flow;
  add.bind(1, message).bind(2, signed_of(row.id)).bind(3, row.initiator);
  add.bind(4, std::int64_t{row.initiator_port})
      .bind(5, row.responder)
      .bind(6, std::int64_t{row.responder_port});
  add.bind(7, row.start).bind(8, row.end);
  const std::array<std::uint64_t, 16> numbers = {static_cast<std::uint64_t>(row.reason),
                                                 static_cast<std::uint64_t>(row.part),
                                                 static_cast<std::uint64_t>(row.outcome),
                                                 static_cast<std::uint64_t>(row.note),
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
  for (std::size_t i = 0; i < numbers.size(); ++i) add.bind(static_cast<int>(9 + i), signed_of(numbers[i]));
  add.step();
  add.reset();
}

void Archive::remember_name(const NameKey& key, const std::string& name) {
  const auto found = names_.find(key);
  if (found == names_.end() && names_.size() >= bounds_.names) names_.erase(names_.begin());
  names_[key] = name;
}

// The oldest hours go, whole files at a time; the newest stays whatever its size.
void Archive::remove_old(const ClockReading& now) {
  std::vector<std::string> all = partitions(directory_);
  std::uint64_t bytes = 0;
  for (const std::string& path : all) bytes += files::file_size(path);
  const double kept_from = now.earliest() - bounds_.keep_hours * kHour - kClockTolerance;
  const std::string oldest = fmt::format("flows-{:%Y%m%dT%H}.sqlite",
                                         fmt::gmtime(static_cast<std::time_t>(std::max(0.0, kept_from))));
  for (std::size_t i = 0; i + 1 < all.size(); ++i) {
    if (files::path(all[i]).filename().string() >= oldest && bytes <= bounds_.bytes) break;
    bytes -= files::file_size(all[i]);
    std::erase_if(open_, [&](const auto& entry) {
      return files::path(all[i]).filename() ==
             fmt::format("flows-{:%Y%m%dT%H}.sqlite",
                         fmt::gmtime(static_cast<std::time_t>(entry.first * 3600)));
    });
    for (const char* end : {"", "-wal", "-shm"}) files::remove(all[i] + end);
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

const char* part_name(int part) {
  constexpr std::array<const char*, 5> kNames = {"unknown", "client", "edge", "parent", "origin"};
  return part >= 0 && part < 5 ? kNames[static_cast<std::size_t>(part)] : "?";
}
const char* outcome_name(int outcome) {
  constexpr std::array<const char*, 5> kNames = {"none", "completed", "bounced", "forfeited", "left"};
  return outcome >= 0 && outcome < 5 ? kNames[static_cast<std::size_t>(outcome)] : "?";
}
const char* note_name(int note) {
  constexpr std::array<const char*, 11> kNames = {
      "none",           "hit",         "filled",       "filled_by_origin", "joined",       "stale",
      "source_refused", "source_lost", "source_lacks", "no_place",         "origin_failed"};
  return note >= 0 && note < 11 ? kNames[static_cast<std::size_t>(note)] : "?";
}

std::vector<ReportLine> report(const std::string& directory, const ReportQuery& query) {
  std::map<std::vector<std::string>, ReportLine> lines;
  std::map<std::tuple<std::string, std::int64_t, std::int64_t, std::int64_t>, std::string> names;
  // An end stands in one partition and a flow's start in another; sums alone are needed here.
  for (const std::string& path : partitions(directory)) {
    Database database(path, false);
    database.run("BEGIN");
    if (!database.has_schema()) continue;
    Statement name(database.raw(), "SELECT exporter, domain, kind, number, name FROM names");
    while (name.step()) names[{name.text(0), name.whole(1), name.whole(2), name.whole(3)}] = name.text(4);
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
      const std::int64_t domain = rows.whole(1);
      if (!query.node_role.empty() && query.node_role != part_name(static_cast<int>(rows.whole(5)))) continue;
      const auto named = [&](std::int64_t kind, int column) -> std::string {
        if (rows.whole(column) == 0) return "-";
        const auto found = names.find({exporter, domain, kind, rows.whole(column)});
        return found == names.end() ? fmt::format("#{}", rows.whole(column)) : found->second;
      };
      ReportLine one;
      for (const By by : query.by) {
        switch (by) {
          case By::kLocation:
            one.keys.push_back(named(1, 2));
            break;
          case By::kNode:
            one.keys.push_back(named(2, 4));
            break;
          case By::kRequestClass:
            one.keys.push_back(named(3, 3));
            break;
          case By::kNodeRole:
            one.keys.push_back(part_name(static_cast<int>(rows.whole(5))));
            break;
          case By::kOutcome:
            one.keys.push_back(outcome_name(static_cast<int>(rows.whole(6))));
            break;
          case By::kAnswerDetail:
            one.keys.push_back(note_name(static_cast<int>(rows.whole(7))));
            break;
          case By::kExporter:
            one.keys.push_back(fmt::format("{}/{}", exporter, domain));
            break;
          case By::kTime:
            one.keys.push_back(
                fmt::format("{:%FT%TZ}", fmt::gmtime(static_cast<std::time_t>(rows.whole(8)))));
            break;
        }
      }
      ReportLine& line = lines.try_emplace(one.keys, one).first->second;
      const auto add = [&](std::uint64_t& to, int column) {
        to += static_cast<std::uint64_t>(rows.whole(column));
      };
      add(line.records, 9), add(line.flows, 10), add(line.requests, 11);
      for (int way = 0; way < 2; ++way)
        add(line.octets[way], 12 + way), add(line.packets[way], 14 + way), add(line.wire[way], 16 + way);
    }
  }
  std::vector<ReportLine> all;
  for (auto& [keys, line] : lines) all.push_back(std::move(line));
  return all;
}

}  // namespace hareramp::flows_tool
