// Records what happened to a fleet, as observed by nodes, clients and the fault injection, and checks the
// record against the rules that directors must keep. What directors report about themselves is not used.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace hareramp::rig {

struct Event {
  double at = 0;  // s since the start
  // ask, answer, unanswered, attempt, run, origin, fallen, told, or the kind of a fault
  std::string type = {};
  std::string request = {};  // the client's number of the request, the same for its retries
  std::string id = {};       // of the client attempt
  std::string subject = {};  // the director for what clients observed, else the node
  int value = 0;             // ask: number of the retry, 0 for the first attempt; answer: the status
  double seconds = 0;        // s: until the deadline (ask, attempt), or the Retry-After time (answer)
};

class History {
 public:
  void add(Event event) { events_.push_back(std::move(event)); }
  const std::vector<Event>& events() const { return events_; }
  void save(const std::string& path) const;  // JSON lines

  // Checks the five rules as far as they apply to this fleet and returns one line for each breach, none if
  // they were kept. tolerance: seconds by which an answer, or an attempt after a drain or a deadline, may be
  // late. excused: time spans (from, to), by director, in which it may leave requests unanswered or answer
  // late because it was paused or killed.
  using TimeSpans = std::multimap<std::string, std::pair<double, double>>;
  std::vector<std::string> breaches(double tolerance, double drain_grace,
                                    const TimeSpans& excused = {}) const;

  struct Count {
    std::uint64_t requests = 0, completed = 0, client_attempts = 0, node_attempts = 0, origin_calls = 0;
    double served_share() const { return requests > 0 ? static_cast<double>(completed) / requests : 1; }
    double client_attempts_per_request() const {
      return requests > 0 ? static_cast<double>(client_attempts) / requests : 0;
    }
    double node_attempts_per_completed() const {
      return static_cast<double>(node_attempts) / (completed > 0 ? completed : 1);
    }
  };
  // Counts the requests whose first client attempt lies within [from, to), and what nodes were sent in that
  // time. If a director is named, the requests are those first sent to it; node counts are always of all
  // directors.
  Count count(double from, double to, const std::string& director = "") const;
  // The time from which on every window of `window` seconds up to the end served at least this share of its
  // requests; -1 if there is none.
  double recovered_at(double from, double to, double share, double window) const;
  std::uint64_t attempts(const std::string& node, double from, double to,
                         const std::string& director = "") const;

 private:
  std::vector<Event> events_;
};

}  // namespace hareramp::rig
