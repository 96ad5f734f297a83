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

constexpr std::size_t kHead = 8 + 4 + 8 + 8 + 4;  // bytes in front of a message's own
constexpr std::size_t kLeastMap = 1 << 20;        // bytes: LMDB itself needs some pages
// A transaction that frees pages needs some first: the oldest go while a part of the map is still free.
constexpr double kTrimFrom = 0.75, kTrimTo = 0.65;

std::string key_of(std::uint64_t number) {
  std::string key(8, '\0');
  endian::store_big_u64(reinterpret_cast<unsigned char*>(key.data()), number);
  return key;
}

std::string value_of(const SpoolEntry& entry) {
  std::string value(kHead, '\0');
  auto* at = reinterpret_cast<unsigned char*>(value.data());
  endian::store_big_u64(at, std::bit_cast<std::uint64_t>(entry.written_at));
  endian::store_big_u32(at + 8, entry.flows);
  endian::store_big_u64(at + 12, entry.packets);
  endian::store_big_u64(at + 20, entry.octets);
  endian::store_big_u32(at + 28, entry.next_sequence);
  return value += entry.bytes;
}

bool read_entry(const MDB_val& key, const MDB_val& value, SpoolEntry& entry, bool with_bytes) {
  if (key.mv_size != 8 || value.mv_size < kHead) return false;
  const auto* at = static_cast<const unsigned char*>(value.mv_data);
  entry.number = endian::load_big_u64(static_cast<const unsigned char*>(key.mv_data));
  entry.written_at = std::bit_cast<double>(endian::load_big_u64(at));
  entry.flows = endian::load_big_u32(at + 8);
  entry.packets = endian::load_big_u64(at + 12);
  entry.octets = endian::load_big_u64(at + 20);
  entry.next_sequence = endian::load_big_u32(at + 28);
  if (with_bytes) entry.bytes.assign(reinterpret_cast<const char*>(at) + kHead, value.mv_size - kHead);
  return true;
}

MDB_val view(const std::string& text) { return {text.size(), const_cast<char*>(text.data())}; }

struct Failed {
  int code;
};
void must(int code) {
  if (code != 0) throw Failed{code};
}

class Transaction {
 public:
  Transaction(MDB_env* environment, unsigned flags) {
    must(mdb_txn_begin(environment, nullptr, flags, &raw_));
  }
  ~Transaction() {
    if (raw_) mdb_txn_abort(raw_);
  }
  Transaction(const Transaction&) = delete;
  Transaction& operator=(const Transaction&) = delete;
  void commit() { must(mdb_txn_commit(std::exchange(raw_, nullptr))); }
  operator MDB_txn*() const { return raw_; }

 private:
  MDB_txn* raw_ = nullptr;
};

class Cursor {
 public:
  Cursor(MDB_txn* transaction, MDB_dbi table) { must(mdb_cursor_open(transaction, table, &raw_)); }
  ~Cursor() { mdb_cursor_close(raw_); }
  Cursor(const Cursor&) = delete;
  Cursor& operator=(const Cursor&) = delete;
  // False: there is none.
  bool get(MDB_val& key, MDB_val& value, MDB_cursor_op where) {
    const int code = mdb_cursor_get(raw_, &key, &value, where);
    if (code == MDB_NOTFOUND) return false;
    must(code);
    return true;
  }
  void remove() { must(mdb_cursor_del(raw_, 0)); }

 private:
  MDB_cursor* raw_ = nullptr;
};

}  // namespace

struct Spool::Environment {
  MDB_env* raw = nullptr;
  MDB_dbi messages = 0, cursors = 0;
  std::size_t map = 0;
  int owner = -1;
  std::string path;

  std::uint64_t end = 0;          // one past the last number that append() has acknowledged
  bool commit_failed = false;     // LMDB's environment may be unusable since
  bool reopened = false;          // and what the failed commits left is still to be looked for
  DroppedEntries drops_in_doubt;  // of failed commits
  DroppedEntries drops_found;     // of these, gone from the disk all the same: for the next caller

  ~Environment() {
    close_database();
    if (owner >= 0) ::close(owner);
  }
  void close_database() {
    if (raw) mdb_env_close(std::exchange(raw, nullptr));
  }
  // Runs an operation on a usable environment; false with words in error if it failed.
  template <class Work>
  bool guarded(std::string& error, const Work& work) {
    try {
      recover();
      work();
      return true;
    } catch (const Failed& failed) {
      error = mdb_strerror(failed.code);
      return false;
    }
  }
  void commit(Transaction& transaction, const DroppedEntries& gone) {
    try {
      transaction.commit();
    } catch (const Failed&) {
      commit_failed = true;
      drops_in_doubt.insert(drops_in_doubt.end(), gone.begin(), gone.end());
      throw;
    }
  }
  bool panicked() const {
    MDB_txn* transaction = nullptr;
    const int code = mdb_txn_begin(raw, nullptr, MDB_RDONLY, &transaction);
    if (code == 0) mdb_txn_abort(transaction);
    return code == MDB_PANIC;
  }
  // Guards against a disk that fails at a commit's last write: LMDB then refuses all further work, and can't
  // say whether the commit is on the disk. The environment is opened anew and the failed commits are undone,
  // as append() promises. Until that has succeeded every operation fails.
  void recover() {
    if (!commit_failed) return;
    if (!reopened && raw && !panicked()) {  // the commit failed before its last write: nothing of it is there
      drops_in_doubt.clear();
      commit_failed = false;
      return;
    }
    if (!raw || panicked()) {
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
    Transaction transaction(raw, 0);
    {
      Cursor cursor(transaction, messages);
      MDB_val key{};
      MDB_val value{};
      const std::string first_unacknowledged = key_of(end);
      for (;;) {
        key = view(first_unacknowledged);
        if (!cursor.get(key, value, MDB_SET_RANGE)) break;
        cursor.remove();
      }
      for (const SpoolEntry& entry : drops_in_doubt) {
        const std::string number = key_of(entry.number);
        key = view(number);
        if (entry.number < end && !cursor.get(key, value, MDB_SET)) found.push_back(entry);
      }
    }
    transaction.commit();
    drops_found.insert(drops_found.end(), found.begin(), found.end());
    drops_in_doubt.clear();
  }
  void hand_over(const DroppedEntries& gone, DroppedEntries& dropped) {
    dropped.insert(dropped.end(), drops_found.begin(), drops_found.end());
    dropped.insert(dropped.end(), gone.begin(), gone.end());
    drops_found.clear();
  }
  void open_or_close() {
    try {
      open();
    } catch (const Failed&) {
      close_database();  // one that is half open can't be asked anything
      throw;
    }
  }
  void open() {
    must(mdb_env_create(&raw));
    must(mdb_env_set_mapsize(raw, map));
    must(mdb_env_set_maxdbs(raw, 2));
    must(mdb_env_open(raw, path.c_str(), MDB_NOSUBDIR | MDB_NOMEMINIT, 0600));
    Transaction transaction(raw, 0);
    must(mdb_dbi_open(transaction, "messages", MDB_CREATE, &messages));
    must(mdb_dbi_open(transaction, "cursors", MDB_CREATE, &cursors));
    transaction.commit();
    check_length();
  }
  void find_end() {
    const Transaction transaction(raw, MDB_RDONLY);
    Cursor cursor(transaction, messages);
    MDB_val key{};
    MDB_val value{};
    SpoolEntry entry;
    if (cursor.get(key, value, MDB_LAST) && read_entry(key, value, entry, false)) end = entry.number + 1;
  }
  // Guards against a file that lost its end, where a look behind the end would be a bus error: the end is
  // made up with zeros, which no page is, and every page in use is looked at once. Costs a pass over such a
  // file.
  void check_length() const {
    MDB_envinfo info{};
    MDB_stat stat{};
    must(mdb_env_info(raw, &info));
    must(mdb_env_stat(raw, &stat));
    const auto whole = static_cast<off_t>((info.me_last_pgno + 1) * stat.ms_psize);
    struct stat file {};
    if (::stat(path.c_str(), &file) != 0) throw Failed{errno};
    if (file.st_size >= whole) return;
    if (::truncate(path.c_str(), whole) != 0) throw Failed{errno};
    const Transaction transaction(raw, MDB_RDONLY);
    Cursor cursor(transaction, messages);
    MDB_val key{}, value{};
    std::uint64_t before = 0;
    for (bool there = cursor.get(key, value, MDB_FIRST); there; there = cursor.get(key, value, MDB_NEXT)) {
      SpoolEntry entry;
      if (!read_entry(key, value, entry, false) || (before > 0 && entry.number <= before))
        throw Failed{MDB_CORRUPTED};
      before = entry.number;
    }
  }
  double full(MDB_txn* transaction) const {
    MDB_stat stat{};
    if (mdb_stat(transaction, messages, &stat) != 0) return 0;
    const std::size_t pages = stat.ms_branch_pages + stat.ms_leaf_pages + stat.ms_overflow_pages;
    return static_cast<double>(pages * stat.ms_psize) / static_cast<double>(map);
  }
  void drop_first(Cursor& cursor, DroppedEntries& dropped) const {
    MDB_val key{}, value{};
    if (!cursor.get(key, value, MDB_FIRST)) throw Failed{MDB_MAP_FULL};
    SpoolEntry entry;
    if (read_entry(key, value, entry, false)) dropped.push_back(std::move(entry));
    cursor.remove();
  }
};

Spool::Spool(std::unique_ptr<Environment> environment) : environment_(std::move(environment)) {}
Spool::~Spool() = default;

std::unique_ptr<Spool> Spool::open(const std::string& directory, std::size_t bytes, std::string& error,
                                   std::string& damaged) {
  std::error_code failed;
  files::create_directories(directory, failed);
  const std::string owner_path = directory + "/owner", path = directory + "/spool.mdb";
  const int owner = ::open(owner_path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  if (owner < 0) {
    error = owner_path + ": " + std::strerror(errno);
    return nullptr;
  }
  if (flock(owner, LOCK_EX | LOCK_NB) != 0) {
    error = directory + ": another process has it";
    ::close(owner);
    return nullptr;
  }
  for (const bool again : {false, true}) {
    auto environment = std::make_unique<Environment>();
    environment->owner = owner;
    environment->map = std::max(bytes, kLeastMap);
    int code = 0;
    try {
      environment->path = path;
      environment->open();
      environment->find_end();
      return std::unique_ptr<Spool>(new Spool(std::move(environment)));
    } catch (const Failed& failure) {
      code = failure.code;
    }
    const bool unreadable = code == MDB_INVALID || code == MDB_CORRUPTED || code == MDB_PAGE_NOTFOUND ||
                            code == MDB_VERSION_MISMATCH || code == MDB_PANIC;
    error = path + ": " + mdb_strerror(code);
    if (!unreadable || again) return nullptr;  // the environment closes the owner's descriptor
    damaged = error + "; moved to " + path + ".damaged, a new one is begun";
    environment->owner = -1;
    environment.reset();
    files::rename(path, path + ".damaged", failed);
    files::remove(path + "-lock", failed);
    error.clear();
  }
  return nullptr;
}

bool Spool::append(const std::vector<SpoolEntry>& entries, DroppedEntries& dropped, std::string& error) {
  DroppedEntries gone;
  const bool done = environment_->guarded(error, [&] {
    Transaction transaction(environment_->raw, 0);
    for (const SpoolEntry& entry : entries) {
      const std::string key = key_of(entry.number), value = value_of(entry);
      MDB_val raw_key = view(key), raw_value = view(value);
      must(mdb_put(transaction, environment_->messages, &raw_key, &raw_value, MDB_NOOVERWRITE));
    }
    if (environment_->full(transaction) > kTrimFrom) {
      Cursor cursor(transaction, environment_->messages);
      while (environment_->full(transaction) > kTrimTo) environment_->drop_first(cursor, gone);
    }
    environment_->commit(transaction, gone);
    if (!entries.empty()) environment_->end = entries.back().number + 1;
  });
  if (done) environment_->hand_over(gone, dropped);
  return done;
}

std::vector<SpoolEntry> Spool::read(std::uint64_t from, std::size_t bytes, std::string& error) {
  std::vector<SpoolEntry> entries;
  environment_->guarded(error, [&] {
    const Transaction transaction(environment_->raw, MDB_RDONLY);
    Cursor cursor(transaction, environment_->messages);
    const std::string start = key_of(from);
    MDB_val key = view(start), value{};
    std::size_t taken = 0;
    for (bool there = cursor.get(key, value, MDB_SET_RANGE); there && (taken < bytes || entries.empty());
         there = cursor.get(key, value, MDB_NEXT)) {
      SpoolEntry entry;
      if (!read_entry(key, value, entry, true)) continue;
      taken += entry.bytes.size();
      entries.push_back(std::move(entry));
    }
  });
  return entries;
}

bool Spool::trim(std::uint64_t before, double written_before, DroppedEntries& dropped, std::string& error) {
  DroppedEntries gone;
  const bool done = environment_->guarded(error, [&] {
    Transaction transaction(environment_->raw, 0);
    {
      Cursor cursor(transaction, environment_->messages);
      MDB_val key{}, value{};
      while (cursor.get(key, value, MDB_FIRST)) {
        SpoolEntry entry;
        if (read_entry(key, value, entry, false)) {
          if (entry.number >= before && entry.written_at >= written_before) break;
          gone.push_back(std::move(entry));
        }
        cursor.remove();
      }
    }
    environment_->commit(transaction, gone);
  });
  if (done) environment_->hand_over(gone, dropped);
  return done;
}

bool Spool::put_cursor(const std::string& reader, std::uint64_t next, std::string& error) {
  return environment_->guarded(error, [&] {
    Transaction transaction(environment_->raw, 0);
    const std::string value = key_of(next);
    MDB_val raw_key = view(reader), raw_value = view(value);
    must(mdb_put(transaction, environment_->cursors, &raw_key, &raw_value, 0));
    environment_->commit(transaction, {});
  });
}

std::map<std::string, std::uint64_t> Spool::cursors(std::string& error) {
  std::map<std::string, std::uint64_t> all;
  environment_->guarded(error, [&] {
    const Transaction transaction(environment_->raw, MDB_RDONLY);
    Cursor cursor(transaction, environment_->cursors);
    MDB_val key{}, value{};
    for (bool there = cursor.get(key, value, MDB_FIRST); there; there = cursor.get(key, value, MDB_NEXT))
      if (value.mv_size == 8)
        all[std::string(static_cast<const char*>(key.mv_data), key.mv_size)] =
            endian::load_big_u64(static_cast<const unsigned char*>(value.mv_data));
  });
  return all;
}

std::optional<SpoolEntry> Spool::last(std::string& error) {
  std::optional<SpoolEntry> found;
  environment_->guarded(error, [&] {
    const Transaction transaction(environment_->raw, MDB_RDONLY);
    Cursor cursor(transaction, environment_->messages);
    MDB_val key{}, value{};
    SpoolEntry entry;
    if (cursor.get(key, value, MDB_LAST) && read_entry(key, value, entry, false)) found = entry;
  });
  return found;
}

std::optional<std::uint64_t> Spool::first(std::string& error) {
  std::optional<std::uint64_t> found;
  environment_->guarded(error, [&] {
    const Transaction transaction(environment_->raw, MDB_RDONLY);
    Cursor cursor(transaction, environment_->messages);
    MDB_val key{}, value{};
    SpoolEntry entry;
    if (cursor.get(key, value, MDB_FIRST) && read_entry(key, value, entry, false)) found = entry.number;
  });
  return found;
}

double Spool::full() const {
  if (!environment_->raw) return 1;
  try {
    const Transaction transaction(environment_->raw, MDB_RDONLY);
    return environment_->full(transaction);
  } catch (const Failed&) {
    return 1;
  }
}

}  // namespace hareramp::storage
