// What happened to a fleet, as nodes, clients and whoever put the faults saw it, and the judge over it. No
// director is asked: what one says of itself counts for nothing here.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace hareramp::rig {

struct Row {
  double at = 0;             // s since the start
  std::string what = {};     // ask, answer, unanswered, attempt, run, origin, fallen, told, fault
  std::string request = {};  // the client's number of the request, the same for its repeats
  std::string id = {};       // of the try
  std::string who = {};      // the director, for what clients saw, or the node
  int figure = 0;            // ask: which try; answer: the status
  double left = 0;           // s: until the hard stop (ask, attempt), or the advice (answer)
};

class History {
 public:
  void add(Row row) { rows_.push_back(std::move(row)); }
  const std::vector<Row>& rows() const { return rows_; }
  void save(const std::string& path) const;  // JSON lines

  // The five rules as far as this world has them; a line for each breach, none if they were kept. A director
  // may leave requests unanswered while it was paused or after it was killed (excused, by director: from,
  // to).
  using Spans = std::multimap<std::string, std::pair<double, double>>;
  std::vector<std::string> breaches(double slack, double drain_grace, const Spans& excused = {}) const;

  struct Count {
    std::uint64_t requests = 0, completed = 0, tries = 0, attempts = 0, origin = 0;
    double good() const { return requests > 0 ? static_cast<double>(completed) / requests : 1; }
    double tries_each() const { return requests > 0 ? static_cast<double>(tries) / requests : 0; }
    double work_each() const { return static_cast<double>(attempts) / (completed > 0 ? completed : 1); }
  };
  // Requests first asked for within the span, and what nodes were sent in it; by director if one is named.
  Count count(double from, double to, const std::string& director = "") const;
  // From when on each span of so many seconds up to the end served at least this share; -1 if never.
  double back_at(double from, double to, double share, double span) const;
  std::uint64_t attempts(const std::string& node, double from, double to,
                         const std::string& director = "") const;

 private:
  std::vector<Row> rows_;
};

}  // namespace hareramp::rig
