// A persistent queue of messages in an LMDB environment, ordered by number, with a stored cursor for each
// reader. Every call may block on the disk, so calls belong on a worker thread, never in the event loop. If
// the process is killed at any moment, every append() that had returned true is on disk, and no append is
// there in part.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hareramp::storage {

struct SpoolEntry {
  std::uint64_t number = 0;
  double written_at = 0;  // Unix time
  std::uint32_t flows = 0;
  std::uint64_t packets = 0, octets = 0;
  std::uint32_t next_sequence = 0;
  std::string bytes;
};

// Entries removed to stay within the size limit or by trim(), without their bytes.
using DroppedEntries = std::vector<SpoolEntry>;

class Spool {
 public:
  ~Spool();
  Spool(const Spool&) = delete;
  Spool& operator=(const Spool&) = delete;

  // Opens the spool in a directory, which is created if missing, with a size limit in bytes. An unreadable
  // spool file is renamed to NAME.damaged and a new one is created; damaged then describes this. Returns null
  // with a message in error if the spool can't be opened: no permission, a full disk, or another process has
  // it open.
  static std::unique_ptr<Spool> open(const std::string& directory, std::size_t bytes, std::string& error,
                                     std::string& damaged);

  // Appends all entries or none; they are on disk when it returns true. Numbers must rise. The oldest entries
  // that are removed to stay within the size limit are added to dropped. On failure it returns
  // false with a message in error; nothing has changed then, and the same entries may be appended again. (If
  // the process is killed before the next call, they may still turn out to be on disk.)
  bool append(const std::vector<SpoolEntry>& entries, DroppedEntries& dropped, std::string& error);
  // Reads entries from a number on until their size reaches the given bytes; at least one entry if there is
  // any.
  std::vector<SpoolEntry> read(std::uint64_t from, std::size_t bytes, std::string& error);
  // Removes the oldest entries whose number is below before or which were written earlier than
  // written_before.
  bool trim(std::uint64_t before, double written_before, DroppedEntries& dropped, std::string& error);
  bool put_cursor(const std::string& reader, std::uint64_t next, std::string& error);
  std::map<std::string, std::uint64_t> cursors(std::string& error);
  // The last entry, without its bytes.
  std::optional<SpoolEntry> last(std::string& error);
  std::optional<std::uint64_t> first(std::string& error);
  // The share of the size limit that is in use; 1 while the environment is not usable.
  double used_share() const;

 private:
  struct Environment;
  explicit Spool(std::unique_ptr<Environment> environment);
  std::unique_ptr<Environment> environment_;
};

}  // namespace hareramp::storage
