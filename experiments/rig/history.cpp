#include "rig/history.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>

namespace hareramp::rig {

void History::save(const std::string& path) const {
  std::ofstream file(path);
  for (const Row& row : rows_)
    file << nlohmann::json{{"at", row.at},   {"what", row.what},     {"request", row.request}, {"id", row.id},
                           {"who", row.who}, {"figure", row.figure}, {"left", row.left}}
                .dump()
         << "\n";
}

std::vector<std::string> History::breaches(double slack, double drain_grace, const Spans& excused) const {
  std::vector<std::string> found;
  struct Try {
    std::string request, who;
    double stop = 0;
    int answers = 0, status = 0;
  };
  std::map<std::string, Try> tries;
  std::map<std::string, std::string> try_of_run;            // a request's effect, by the try that had it
  std::map<std::string, double> told;                       // of a drain, by node
  std::map<std::string, std::set<std::string>> refused_of;  // tries of a request that may be repeated
  const auto is_excused = [&](const std::string& who, double at) {
    const auto [first, last] = excused.equal_range(who);
    return std::any_of(first, last,
                       [&](const auto& span) { return at >= span.second.first && at <= span.second.second; });
  };
  for (const Row& row : rows_) {
    if (row.what == "ask") tries[row.id] = {row.request, row.who, row.at + row.left, 0, 0};
    if (row.what == "told") told.emplace(row.who, row.at);
    if (row.what == "fallen") found.push_back(fmt::format("{:.3f} {} was pushed over", row.at, row.who));
    if (row.what == "answer") {
      Try& one = tries[row.id];
      if (++one.answers > 1) found.push_back(fmt::format("{:.3f} {} answered twice", row.at, row.id));
      one.status = row.figure;
      if (row.at > one.stop + slack && !is_excused(row.who, one.stop))
        found.push_back(fmt::format("{:.3f} {} answered {:.3f} s late", row.at, row.id, row.at - one.stop));
    }
    if (row.what == "unanswered" && !is_excused(row.who, row.at))
      found.push_back(fmt::format("{:.3f} {} not answered by {}", row.at, row.id, row.who));
    if (row.what == "attempt" && told.contains(row.who) && row.at > told[row.who] + drain_grace + slack)
      found.push_back(fmt::format("{:.3f} {} sent to {} after its drain", row.at, row.id, row.who));
    // A director that woke late must not send what its client has given up.
    if (row.what == "attempt" && tries.contains(row.id) && row.at > tries[row.id].stop + slack)
      found.push_back(fmt::format("{:.3f} {} sent to {} {:.3f} s after its hard stop", row.at, row.id,
                                  row.who, row.at - tries[row.id].stop));
    if (row.what == "run") {
      const auto [first, is_first] = try_of_run.emplace(tries[row.id].request, row.id);
      if (!is_first)
        found.push_back(fmt::format("{:.3f} {} ran again, first as {}", row.at, row.id, first->second));
    }
  }
  for (const auto& [request, id] : try_of_run)
    if (tries[id].status == 503)
      found.push_back(
          fmt::format("{} of request {} had run and was answered as harmless to repeat", id, request));
  return found;
}

History::Count History::count(double from, double to, const std::string& director) const {
  Count all;
  std::set<std::string> mine;
  for (const Row& row : rows_) {
    if (row.what == "ask" && row.figure == 0 && row.at >= from && row.at < to &&
        (director.empty() || row.who == director))
      ++all.requests, mine.insert(row.request);
    if (row.what == "ask" && mine.contains(row.request)) ++all.tries;
    if (row.what == "answer" && row.figure == 200 && mine.contains(row.request)) ++all.completed;
    if (row.at < from || row.at >= to) continue;
    all.attempts += row.what == "attempt", all.origin += row.what == "origin";
  }
  return all;
}

double History::back_at(double from, double to, double share, double span) const {
  double back = -1;
  for (double at = from; at + span <= to; at += span / 2)
    if (count(at, at + span).good() < share)
      back = -1;
    else if (back < 0)
      back = at;
  return back;
}

std::uint64_t History::attempts(const std::string& node, double from, double to,
                                const std::string& director) const {
  std::set<std::string> mine;
  std::uint64_t all = 0;
  for (const Row& row : rows_) {
    if (row.what == "ask" && row.who == director) mine.insert(row.id);
    all += row.what == "attempt" && row.who == node && row.at >= from && row.at < to &&
           (director.empty() || mine.contains(row.id));
  }
  return all;
}

}  // namespace hareramp::rig
