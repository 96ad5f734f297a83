// The texts of clients' requests, and the record of what was sent under which id.
#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>

namespace hareramp::client_floods {

constexpr std::size_t kLargestWrite = 48000;    // bytes
constexpr std::size_t kLargestObject = 240000;  // bytes

// The first digits of ids and objects, by which the stand-ins know who sent a request and what to answer.
constexpr char kWellBehavedPrefix = 'a';
constexpr char kFloodPrefix = 'f';
constexpr std::uint64_t kFailingObjects = 0xe000000000000000;  // nodes answer an error for these

std::string request_id(char prefix, std::uint64_t number);
std::string read_request(const std::string& request_class, std::uint64_t object, const std::string& id,
                         int deadline_ms);
// A write up to the end of its head; body_bytes follow.
std::string write_head(const std::string& id, std::size_t body_bytes, int deadline_ms);
std::string write_request(const std::string& id, std::size_t body_bytes, int deadline_ms);

// What reached nodes, and which clients had left before. Shared by the threads of a run.
class Journal {
 public:
  // The client of these ids has closed its connection; it may not send any of them again.
  void client_left(const std::set<std::string>& ids, double at);
  // The client sends this id again on another connection.
  void sent_again(const std::string& id);
  // A node has read the command of this id, which runs; a write must not run twice.
  void ran(const std::string& id, bool write, double at);

  // Attempts that began more than `slack` seconds after their client had left.
  int begun_after_close(double slack) const;
  // Writes that ran more than once.
  int run_twice() const;

 private:
  struct Entry {
    double left_at = 1e18;
    bool write = false;
    int runs = 0;
    double last_run_at = 0, first_run_at = 0;
    bool again = false;
  };
  mutable std::mutex mutex_;
  std::map<std::string, Entry> entries_;
};

}  // namespace hareramp::client_floods
