// Messages kept on a disk in the order of their numbers, with a cursor for each of those who read them, in an
// LMDB environment. Every call may block on the disk: for a worker, never for the loop. After a kill at any
// moment what append() had returned for is there, and nothing is there by half.
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
  double written_at = 0;  // Unix time of its writing
  std::uint32_t flows = 0;
  std::uint64_t packets = 0, octets = 0;
  std::uint32_t next_sequence = 0;
  std::string bytes;
};

// What went to keep the bound, without its bytes.
using DroppedEntries = std::vector<SpoolEntry>;

class Spool {
 public:
  ~Spool();
  Spool(const Spool&) = delete;
  Spool& operator=(const Spool&) = delete;

  // Opens the spool in a directory, which is made if it is missing, with a bound in bytes. One that can't be
  // read is moved aside (to NAME.damaged) and a new one begun; damaged then says so. Null with words in error
  // where there is no way: no permission, a full disk, another process that has it.
  static std::unique_ptr<Spool> open(const std::string& directory, std::size_t bytes, std::string& error,
                                     std::string& damaged);

  // All or none of them, on the disk when it returns. Numbers must go up. dropped gets the oldest, which go
  // to keep the bound. False with words in error: nothing has changed, and the same may be appended again. (A
  // kill before the next call may leave them on the disk after all.)
  bool append(const std::vector<SpoolEntry>& entries, DroppedEntries& dropped, std::string& error);
  // From number on, until so many bytes are there; at least one if there is one.
  std::vector<SpoolEntry> read(std::uint64_t from, std::size_t bytes, std::string& error);
  // Drops those before number and those written before a time.
  bool trim(std::uint64_t before, double written_before, DroppedEntries& dropped, std::string& error);
  bool put_cursor(const std::string& reader, std::uint64_t next, std::string& error);
  std::map<std::string, std::uint64_t> cursors(std::string& error);
  // The last entry, without its bytes.
  std::optional<SpoolEntry> last(std::string& error);
  std::optional<std::uint64_t> first(std::string& error);
  // The share of the bound that is in use.
  double full() const;

 private:
  struct Environment;
  explicit Spool(std::unique_ptr<Environment> environment);
  std::unique_ptr<Environment> environment_;
};

}  // namespace hareramp::storage
