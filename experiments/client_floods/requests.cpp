#include "client_floods/requests.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace hareramp::client_floods {

std::string request_id(char prefix, std::uint64_t number) { return fmt::format("{}{:015x}", prefix, number); }

std::string read_request(const std::string& request_class, std::uint64_t object, const std::string& id,
                         int deadline_ms) {
  return fmt::format(
      "GET /invoke/{}/{:x}/block-0 HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: {}\r\nX-Deadline-Ms: {}\r\n\r\n",
      request_class, object, id, deadline_ms);
}

std::string write_head(const std::string& id, std::size_t body_bytes, int deadline_ms) {
  return fmt::format(
      "PUT /invoke/note/8/block-0 HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: {}\r\nX-Deadline-Ms: {}\r\n"
      "Content-Length: {}\r\n\r\n",
      id, deadline_ms, body_bytes);
}

std::string write_request(const std::string& id, std::size_t body_bytes, int deadline_ms) {
  return write_head(id, body_bytes, deadline_ms) + std::string(body_bytes, 'b');
}

void Journal::client_left(const std::set<std::string>& ids, double at) {
  const std::lock_guard lock(mutex_);
  for (const std::string& id : ids) entries_[id].left_at = at;
}

void Journal::sent_again(const std::string& id) {
  const std::lock_guard lock(mutex_);
  entries_[id].again = true;
}

void Journal::ran(const std::string& id, bool write, double at) {
  const std::lock_guard lock(mutex_);
  Entry& entry = entries_[id];
  if (entry.runs++ == 0) entry.first_run_at = at;
  entry.last_run_at = at;
  entry.write = write;
}

int Journal::begun_after_close(double slack) const {
  const std::lock_guard lock(mutex_);
  return static_cast<int>(std::count_if(entries_.begin(), entries_.end(), [slack](const auto& entry) {
    const auto& [id, request] = entry;
    return !request.again && request.runs > 0 && request.last_run_at > request.left_at + slack;
  }));
}

int Journal::run_twice() const {
  const std::lock_guard lock(mutex_);
  return static_cast<int>(std::count_if(entries_.begin(), entries_.end(), [](const auto& entry) {
    return entry.second.write && entry.second.runs > 1;
  }));
}

}  // namespace hareramp::client_floods
