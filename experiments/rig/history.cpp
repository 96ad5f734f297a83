#include "rig/history.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>

namespace hareramp::rig {

void History::save(const std::string& path) const {
  std::ofstream file(path);
  for (const Event& event : events_)
    file << nlohmann::json{{"at", event.at},       {"what", event.type},   {"request", event.request},
                           {"id", event.id},       {"who", event.subject}, {"figure", event.value},
                           {"left", event.seconds}}
                .dump()
         << "\n";
}

std::vector<std::string> History::breaches(double tolerance, double drain_grace,
                                           const TimeSpans& excused) const {
  std::vector<std::string> found;
  struct ClientAttempt {
    std::string request, subject;
    double deadline = 0;
    int answers = 0, status = 0;
  };
  std::map<std::string, ClientAttempt> client_attempts;
  std::map<std::string, std::string> attempt_of_run;        // the first client attempt that ran, by request
  std::map<std::string, double> drain_announced;            // when the drain was announced, by node
  std::map<std::string, std::set<std::string>> refused_of;  // client attempts, by request that may be retried
  const auto is_excused = [&](const std::string& subject, double at) {
    const auto [first, last] = excused.equal_range(subject);
    return std::any_of(first, last,
                       [&](const auto& span) { return at >= span.second.first && at <= span.second.second; });
  };
  for (const Event& event : events_) {
    if (event.type == "ask")
      client_attempts[event.id] = {event.request, event.subject, event.at + event.seconds, 0, 0};
    if (event.type == "told") drain_announced.emplace(event.subject, event.at);
    if (event.type == "fallen")
      found.push_back(fmt::format("{:.3f} {} was overloaded", event.at, event.subject));
    if (event.type == "answer") {
      ClientAttempt& attempt = client_attempts[event.id];
      if (++attempt.answers > 1) found.push_back(fmt::format("{:.3f} {} answered twice", event.at, event.id));
      attempt.status = event.value;
      if (event.at > attempt.deadline + tolerance && !is_excused(event.subject, attempt.deadline))
        found.push_back(
            fmt::format("{:.3f} {} answered {:.3f} s late", event.at, event.id, event.at - attempt.deadline));
    }
    if (event.type == "unanswered" && !is_excused(event.subject, event.at))
      found.push_back(fmt::format("{:.3f} {} not answered by {}", event.at, event.id, event.subject));
    if (event.type == "attempt" && drain_announced.contains(event.subject) &&
        event.at > drain_announced[event.subject] + drain_grace + tolerance)
      found.push_back(fmt::format("{:.3f} {} sent to {} after its drain", event.at, event.id, event.subject));
    // A director that was paused must not send a request whose client has given up meanwhile.
    if (event.type == "attempt" && client_attempts.contains(event.id) &&
        event.at > client_attempts[event.id].deadline + tolerance)
      found.push_back(fmt::format("{:.3f} {} sent to {} {:.3f} s after its deadline", event.at, event.id,
                                  event.subject, event.at - client_attempts[event.id].deadline));
    if (event.type == "run") {
      const auto [first, is_first] = attempt_of_run.emplace(client_attempts[event.id].request, event.id);
      if (!is_first)
        found.push_back(fmt::format("{:.3f} {} ran again, first as {}", event.at, event.id, first->second));
    }
  }
  for (const auto& [request, id] : attempt_of_run)
    if (client_attempts[id].status == 503)
      found.push_back(fmt::format("{} of request {} had run and was answered as safe to retry", id, request));
  return found;
}

History::Count History::count(double from, double to, const std::string& director) const {
  Count counts;
  std::set<std::string> selected;
  for (const Event& event : events_) {
    if (event.type == "ask" && event.value == 0 && event.at >= from && event.at < to &&
        (director.empty() || event.subject == director))
      ++counts.requests, selected.insert(event.request);
    if (event.type == "ask" && selected.contains(event.request)) ++counts.client_attempts;
    if (event.type == "answer" && event.value == 200 && selected.contains(event.request)) ++counts.completed;
    if (event.at < from || event.at >= to) continue;
    counts.node_attempts += event.type == "attempt", counts.origin_calls += event.type == "origin";
  }
  return counts;
}

double History::recovered_at(double from, double to, double share, double window) const {
  double recovered_since = -1;
  for (double at = from; at + window <= to; at += window / 2)
    if (count(at, at + window).served_share() < share)
      recovered_since = -1;
    else if (recovered_since < 0)
      recovered_since = at;
  return recovered_since;
}

std::uint64_t History::attempts(const std::string& node, double from, double to,
                                const std::string& director) const {
  std::set<std::string> selected;
  std::uint64_t total = 0;
  for (const Event& event : events_) {
    if (event.type == "ask" && event.subject == director) selected.insert(event.id);
    total += event.type == "attempt" && event.subject == node && event.at >= from && event.at < to &&
             (director.empty() || selected.contains(event.id));
  }
  return total;
}

}  // namespace hareramp::rig
