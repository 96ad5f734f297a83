#include "storage/spool.hpp"

#include <fcntl.h>
#include <lmdb.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <bit>
#include <boost/endian/conversion.hpp>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <system_error>
#include <utility>

namespace hareramp::storage {

namespace {

namespace endian = boost::endian;
namespace files = std::filesystem;

constexpr std::size_t kHeaderBytes = 8 + 4 + 8 + 8 + 4;  // bytes of the fields that precede a message
constexpr std::size_t kMinMapBytes = 1 << 20;            // LMDB needs some pages for itself
// Shares of the map at which removal of the oldest entries starts and stops. A transaction that frees pages
// needs free pages itself, so removal starts while part of the map is still free.
constexpr double kTrimThreshold = 0.75, kTrimTarget = 0.65;

std::string key_of(std::uint64_t number) {
  std::string key(8, '\0');
  endian::store_big_u64(reinterpret_cast<unsigned char*>(key.data()), number);
  return key;
}

std::string value_of(const SpoolEntry& entry) {
  std::string value(kHeaderBytes, '\0');
  auto* header = reinterpret_cast<unsigned char*>(value.data());
  endian::store_big_u64(header, std::bit_cast<std::uint64_t>(entry.written_at));
  endian::store_big_u32(header + 8, entry.flows);
  endian::store_big_u64(header + 12, entry.packets);
  endian::store_big_u64(header + 20, entry.octets);
  endian::store_big_u32(header + 28, entry.next_sequence);
  return value += entry.bytes;
}

bool read_entry(const MDB_val& key, const MDB_val& value, SpoolEntry& entry, bool with_bytes) {
  if (key.mv_size != 8 || value.mv_size < kHeaderBytes) return false;
  const auto* header = static_cast<const unsigned char*>(value.mv_data);
  entry.number = endian::load_big_u64(static_cast<const unsigned char*>(key.mv_data));
  entry.written_at = std::bit_cast<double>(endian::load_big_u64(header));
  entry.flows = endian::load_big_u32(header + 8);
  entry.packets = endian::load_big_u64(header + 12);
  entry.octets = endian::load_big_u64(header + 20);
  entry.next_sequence = endian::load_big_u32(header + 28);
  if (with_bytes)
    entry.bytes.assign(reinterpret_cast<const char*>(header) + kHeaderBytes, value.mv_size - kHeaderBytes);
  return true;
}

MDB_val mdb_value(const std::string& text) { return {text.size(), const_cast<char*>(text.data())}; }

struct LmdbError {
  int code;  // of LMDB, or an errno value
};
void check_code(int code) {
  if (code != 0) throw LmdbError{code};
}

class Transaction {
 public:
  Transaction(MDB_env* environment, unsigned flags) {
    check_code(mdb_txn_begin(environment, nullptr, flags, &handle_));
  }
  ~Transaction() {
    if (handle_) mdb_txn_abort(handle_);
  }
  Transaction(const Transaction&) = delete;
  Transaction& operator=(const Transaction&) = delete;
  void commit() { check_code(mdb_txn_commit(std::exchange(handle_, nullptr))); }
  operator MDB_txn*() const { return handle_; }

 private:
  MDB_txn* handle_ = nullptr;
};

class Cursor {
 public:
  Cursor(MDB_txn* transaction, MDB_dbi table) { check_code(mdb_cursor_open(transaction, table, &handle_)); }
  ~Cursor() { mdb_cursor_close(handle_); }
  Cursor(const Cursor&) = delete;
  Cursor& operator=(const Cursor&) = delete;
  // Returns false if there is no such entry.
  bool get(MDB_val& key, MDB_val& value, MDB_cursor_op operation) {
    const int code = mdb_cursor_get(handle_, &key, &value, operation);
    if (code == MDB_NOTFOUND) return false;
    check_code(code);
    return true;
  }
  void remove() { check_code(mdb_cursor_del(handle_, 0)); }

 private:
  MDB_cursor* handle_ = nullptr;
};

}  // namespace

struct Spool::Environment {
  MDB_env* handle = nullptr;
  MDB_dbi messages = 0, cursors = 0;
  std::size_t map_bytes = 0;
  int lock_descriptor = -1;
  std::string path;

  std::uint64_t acknowledged_end = 0;  // one past the last number that append() has acknowledged
  bool commit_failed = false;          // the LMDB environment may be unusable
  bool reopened = false;               // reopened after a failure, but the failed commits are not yet undone
  // Entries removed by failed commits; they may or may not still be on disk.
  DroppedEntries unconfirmed_drops;
  // Those of them that are no longer on disk; reported by the next successful append() or trim().
  DroppedEntries confirmed_drops;

  ~Environment() {
    close_database();
    if (lock_descriptor >= 0) ::close(lock_descriptor);
  }
  void close_database() {
    if (handle) mdb_env_close(std::exchange(handle, nullptr));
  }
  // Recovers the environment if necessary and runs an operation; returns false with a message in error on
  // failure.
  template <class Operation>
  bool run_operation(std::string& error, const Operation& operation) {
    try {
      recover();
      operation();
      return true;
    } catch (const LmdbError& failure) {
      error = mdb_strerror(failure.code);
      return false;
    }
  }
  void commit(Transaction& transaction, const DroppedEntries& removed) {
    try {
      transaction.commit();
    } catch (const LmdbError&) {
      commit_failed = true;
      unconfirmed_drops.insert(unconfirmed_drops.end(), removed.begin(), removed.end());
      throw;
    }
  }
  bool panicked() const {
    MDB_txn* transaction = nullptr;
    const int code = mdb_txn_begin(handle, nullptr, MDB_RDONLY, &transaction);
    if (code == 0) mdb_txn_abort(transaction);
    return code == MDB_PANIC;
  }
  // Guards against a disk that fails at a commit's last write: LMDB then refuses all further operations and
  // can't report whether the commit is on disk. The environment is reopened and the failed commits are
  // undone, as append() guarantees. Until that has succeeded every operation fails.
  void recover() {
    if (!commit_failed) return;
    // Without a panic the commit failed before its last write, so nothing of it is on disk.
    if (!reopened && handle && !panicked()) {
      unconfirmed_drops.clear();
      commit_failed = false;
      return;
    }
    if (!handle || panicked()) {
      close_database();
      reopened = true;
      open_or_close();
    }
    undo_failed_commits();
    reopened = false;
    commit_failed = false;
  }
  void undo_failed_commits() {
    DroppedEntries found;
    Transaction transaction(handle, 0);
    {
      Cursor cursor(transaction, messages);
      MDB_val key{};
      MDB_val value{};
      const std::string first_unacknowledged = key_of(acknowledged_end);
      for (;;) {
        key = mdb_value(first_unacknowledged);
        if (!cursor.get(key, value, MDB_SET_RANGE)) break;
        cursor.remove();
      }
      for (const SpoolEntry& entry : unconfirmed_drops) {
        const std::string number = key_of(entry.number);
        key = mdb_value(number);
        if (entry.number < acknowledged_end && !cursor.get(key, value, MDB_SET)) found.push_back(entry);
      }
    }
    transaction.commit();
    confirmed_drops.insert(confirmed_drops.end(), found.begin(), found.end());
    unconfirmed_drops.clear();
  }
  void report_dropped(const DroppedEntries& removed, DroppedEntries& dropped) {
    dropped.insert(dropped.end(), confirmed_drops.begin(), confirmed_drops.end());
    dropped.insert(dropped.end(), removed.begin(), removed.end());
    confirmed_drops.clear();
  }
  void open_or_close() {
    try {
      open();
    } catch (const LmdbError&) {
      close_database();  // a partially opened environment must not be used
      throw;
    }
  }
  void open() {
    check_code(mdb_env_create(&handle));
    check_code(mdb_env_set_mapsize(handle, map_bytes));
    check_code(mdb_env_set_maxdbs(handle, 2));
    check_code(mdb_env_open(handle, path.c_str(), MDB_NOSUBDIR | MDB_NOMEMINIT, 0600));
    Transaction transaction(handle, 0);
    check_code(mdb_dbi_open(transaction, "messages", MDB_CREATE, &messages));
    check_code(mdb_dbi_open(transaction, "cursors", MDB_CREATE, &cursors));
    transaction.commit();
    check_length();
  }
  void load_acknowledged_end() {
    const Transaction transaction(handle, MDB_RDONLY);
    Cursor cursor(transaction, messages);
    MDB_val key{};
    MDB_val value{};
    SpoolEntry entry;
    if (cursor.get(key, value, MDB_LAST) && read_entry(key, value, entry, false))
      acknowledged_end = entry.number + 1;
  }
  // Guards against a truncated file, where reading the map beyond the end of the file raises SIGBUS. The file
  // is extended with zeros, which are not a valid page, and every entry is read once to find damaged pages.
  // This costs one pass over a truncated file and nothing otherwise.
  void check_length() const {
    MDB_envinfo info{};
    MDB_stat stat{};
    check_code(mdb_env_info(handle, &info));
    check_code(mdb_env_stat(handle, &stat));
    const auto expected_bytes = static_cast<off_t>((info.me_last_pgno + 1) * stat.ms_psize);
    struct stat file {};
    if (::stat(path.c_str(), &file) != 0) throw LmdbError{errno};
    if (file.st_size >= expected_bytes) return;
    if (::truncate(path.c_str(), expected_bytes) != 0) throw LmdbError{errno};
    const Transaction transaction(handle, MDB_RDONLY);
    Cursor cursor(transaction, messages);
    MDB_val key{}, value{};
    std::uint64_t previous_number = 0;
    for (bool found_entry = cursor.get(key, value, MDB_FIRST); found_entry;
         found_entry = cursor.get(key, value, MDB_NEXT)) {
      SpoolEntry entry;
      if (!read_entry(key, value, entry, false) || (previous_number > 0 && entry.number <= previous_number))
        throw LmdbError{MDB_CORRUPTED};
      previous_number = entry.number;
    }
  }
  double used_share(MDB_txn* transaction) const {
    MDB_stat stat{};
    if (mdb_stat(transaction, messages, &stat) != 0) return 0;
    const std::size_t pages = stat.ms_branch_pages + stat.ms_leaf_pages + stat.ms_overflow_pages;
    return static_cast<double>(pages * stat.ms_psize) / static_cast<double>(map_bytes);
  }
  void drop_oldest(Cursor& cursor, DroppedEntries& dropped) const {
    MDB_val key{}, value{};
    if (!cursor.get(key, value, MDB_FIRST)) throw LmdbError{MDB_MAP_FULL};
    SpoolEntry entry;
    if (read_entry(key, value, entry, false)) dropped.push_back(std::move(entry));
    cursor.remove();
  }
};

Spool::Spool(std::unique_ptr<Environment> environment) : environment_(std::move(environment)) {}
Spool::~Spool() = default;

std::unique_ptr<Spool> Spool::open(const std::string& directory, std::size_t bytes, std::string& error,
                                   std::string& damaged) {
  std::error_code ignored;
  files::create_directories(directory, ignored);
  const std::string lock_path = directory + "/owner", path = directory + "/spool.mdb";
  const int lock_descriptor = ::open(lock_path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  if (lock_descriptor < 0) {
    error = lock_path + ": " + std::strerror(errno);
    return nullptr;
  }
  if (flock(lock_descriptor, LOCK_EX | LOCK_NB) != 0) {
    error = directory + ": locked by another process";
    ::close(lock_descriptor);
    return nullptr;
  }
  for (const bool retrying : {false, true}) {
    auto environment = std::make_unique<Environment>();
    environment->lock_descriptor = lock_descriptor;
    environment->map_bytes = std::max(bytes, kMinMapBytes);
    int code = 0;
    try {
      environment->path = path;
      environment->open();
      environment->load_acknowledged_end();
      return std::unique_ptr<Spool>(new Spool(std::move(environment)));
    } catch (const LmdbError& failure) {
      code = failure.code;
    }
    const bool unreadable = code == MDB_INVALID || code == MDB_CORRUPTED || code == MDB_PAGE_NOTFOUND ||
                            code == MDB_VERSION_MISMATCH || code == MDB_PANIC;
    error = path + ": " + mdb_strerror(code);
    if (!unreadable || retrying) return nullptr;  // ~Environment() closes the lock file's descriptor
    damaged = error + "; moved to " + path + ".damaged, created a new spool";
    environment->lock_descriptor = -1;
    environment.reset();
    files::rename(path, path + ".damaged", ignored);
    files::remove(path + "-lock", ignored);
    error.clear();
  }
  return nullptr;
}

bool Spool::append(const std::vector<SpoolEntry>& entries, DroppedEntries& dropped, std::string& error) {
  DroppedEntries removed;
  const bool done = environment_->run_operation(error, [&] {
    Transaction transaction(environment_->handle, 0);
    for (const SpoolEntry& entry : entries) {
      const std::string key = key_of(entry.number), value = value_of(entry);
      MDB_val mdb_key = mdb_value(key), mdb_data = mdb_value(value);
      check_code(mdb_put(transaction, environment_->messages, &mdb_key, &mdb_data, MDB_NOOVERWRITE));
    }
    if (environment_->used_share(transaction) > kTrimThreshold) {
      Cursor cursor(transaction, environment_->messages);
      while (environment_->used_share(transaction) > kTrimTarget) environment_->drop_oldest(cursor, removed);
    }
    environment_->commit(transaction, removed);
    if (!entries.empty()) environment_->acknowledged_end = entries.back().number + 1;
  });
  if (done) environment_->report_dropped(removed, dropped);
  return done;
}

std::vector<SpoolEntry> Spool::read(std::uint64_t from, std::size_t bytes, std::string& error) {
  std::vector<SpoolEntry> entries;
  environment_->run_operation(error, [&] {
    const Transaction transaction(environment_->handle, MDB_RDONLY);
    Cursor cursor(transaction, environment_->messages);
    const std::string start = key_of(from);
    MDB_val key = mdb_value(start), value{};
    std::size_t total_bytes = 0;
    for (bool found_entry = cursor.get(key, value, MDB_SET_RANGE);
         found_entry && (total_bytes < bytes || entries.empty());
         found_entry = cursor.get(key, value, MDB_NEXT)) {
      SpoolEntry entry;
      if (!read_entry(key, value, entry, true)) continue;
      total_bytes += entry.bytes.size();
      entries.push_back(std::move(entry));
    }
  });
  return entries;
}

bool Spool::trim(std::uint64_t before, double written_before, DroppedEntries& dropped, std::string& error) {
  DroppedEntries removed;
  const bool done = environment_->run_operation(error, [&] {
    Transaction transaction(environment_->handle, 0);
    {
      Cursor cursor(transaction, environment_->messages);
      MDB_val key{}, value{};
      while (cursor.get(key, value, MDB_FIRST)) {
        SpoolEntry entry;
        if (read_entry(key, value, entry, false)) {
          if (entry.number >= before && entry.written_at >= written_before) break;
          removed.push_back(std::move(entry));
        }
        cursor.remove();
      }
    }
    environment_->commit(transaction, removed);
  });
  if (done) environment_->report_dropped(removed, dropped);
  return done;
}

bool Spool::put_cursor(const std::string& reader, std::uint64_t next, std::string& error) {
  return environment_->run_operation(error, [&] {
    Transaction transaction(environment_->handle, 0);
    const std::string value = key_of(next);
    MDB_val mdb_key = mdb_value(reader), mdb_data = mdb_value(value);
    check_code(mdb_put(transaction, environment_->cursors, &mdb_key, &mdb_data, 0));
    environment_->commit(transaction, {});
  });
}

std::map<std::string, std::uint64_t> Spool::cursors(std::string& error) {
  std::map<std::string, std::uint64_t> all;
  environment_->run_operation(error, [&] {
    const Transaction transaction(environment_->handle, MDB_RDONLY);
    Cursor cursor(transaction, environment_->cursors);
    MDB_val key{}, value{};
    for (bool found_entry = cursor.get(key, value, MDB_FIRST); found_entry;
         found_entry = cursor.get(key, value, MDB_NEXT))
      if (value.mv_size == 8)
        all[std::string(static_cast<const char*>(key.mv_data), key.mv_size)] =
            endian::load_big_u64(static_cast<const unsigned char*>(value.mv_data));
  });
  return all;
}

std::optional<SpoolEntry> Spool::last(std::string& error) {
  std::optional<SpoolEntry> found;
  environment_->run_operation(error, [&] {
    const Transaction transaction(environment_->handle, MDB_RDONLY);
    Cursor cursor(transaction, environment_->messages);
    MDB_val key{}, value{};
    SpoolEntry entry;
    if (cursor.get(key, value, MDB_LAST) && read_entry(key, value, entry, false)) found = entry;
  });
  return found;
}

std::optional<std::uint64_t> Spool::first(std::string& error) {
  std::optional<std::uint64_t> found;
  environment_->run_operation(error, [&] {
    const Transaction transaction(environment_->handle, MDB_RDONLY);
    Cursor cursor(transaction, environment_->messages);
    MDB_val key{}, value{};
    SpoolEntry entry;
    if (cursor.get(key, value, MDB_FIRST) && read_entry(key, value, entry, false)) found = entry.number;
  });
  return found;
}

double Spool::used_share() const {
  if (!environment_->handle) return 1;
  try {
    const Transaction transaction(environment_->handle, MDB_RDONLY);
    return environment_->used_share(transaction);
  } catch (const LmdbError&) {
    return 1;
  }
}

}  // namespace hareramp::storage
