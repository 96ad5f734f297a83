#include "lab/world/invariant_checker.hpp"

#include <algorithm>

namespace hareramp::lab {

namespace {
constexpr Seconds kAnswerTravelTime = 0.05;  // an answer may still be in transit at the deadline
}

void InvariantChecker::request_arrived(std::uint64_t request, Seconds deadline) {
  ++findings_.taken;
  requests_[request] = {deadline, 0};
}

void InvariantChecker::request_ended(Seconds now, std::uint64_t request, Outcome outcome) {
  const auto found = requests_.find(request);
  if (found == requests_.end() || ++found->second.answers > 1) {
    ++findings_.answered_twice;
    return;
  }
  if (now > found->second.deadline + kAnswerTravelTime) ++findings_.unanswered;
  switch (outcome) {
    case Outcome::kCompleted:
      ++findings_.completed;
      break;
    case Outcome::kRejected:
      ++findings_.bounced;
      break;
    case Outcome::kFailed:
      ++findings_.forfeited;
      break;
    case Outcome::kConnectionLost:
      ++findings_.left;
      break;
  }
}

void InvariantChecker::executed_at_origin(std::uint64_t request, Effect effect) {
  if (effect == Effect::kRetriable) return;
  // A fingerprinted repeat is known at the origin and has no second effect.
  if (++executions_[request] > 1 && effect == Effect::kBinding) ++findings_.double_effects;
}

void InvariantChecker::attempt_arrived(Seconds now, Seconds drain_notified_at) {
  ++findings_.attempts;
  if (drain_notified_at > 0 && now > drain_notified_at + world_.drain_grace) ++findings_.after_drain;
}

void InvariantChecker::work_at_warming_node(Seconds now, std::size_t node, Seconds launched, double slots,
                                            double work) {
  auto& recent_work = recent_work_[node];
  while (!recent_work.empty() && recent_work.front().first <= now - world_.overload_window)
    recent_work.pop_front();
  const Seconds age = now - launched;
  if (age >= world_.warm_up) {
    recent_work.clear();
    return;
  }
  recent_work.emplace_back(now, work);
  double sum = 0;
  for (const auto& [at, part] : recent_work) sum += part;
  const double current_capacity =
      slots *
      (world_.start_capacity_share + (1 - world_.start_capacity_share) * std::max(0.0, age) / world_.warm_up);
  findings_.cold_worst = std::max(findings_.cold_worst,
                                  sum / (world_.overload_factor * current_capacity * world_.overload_window));
}

void InvariantChecker::copy_answered(Seconds sent_at, Seconds copy_origin_time, Seconds purged_at,
                                     Seconds purge_notified_at) {
  ++findings_.answers_checked;
  if (purged_at > 0 && copy_origin_time < purged_at && sent_at > purge_notified_at + world_.purge_grace)
    ++findings_.stale;
}

void InvariantChecker::check_balance(std::uint64_t open) {
  const Findings& findings = findings_;
  if (findings.taken != findings.completed + findings.bounced + findings.forfeited + findings.left + open)
    ++findings_.out_of_balance;
}

void InvariantChecker::finish(Seconds now) {
  for (const auto& [id, request] : requests_)
    if (request.answers == 0 && now > request.deadline + kAnswerTravelTime) ++findings_.unanswered;
}

}  // namespace hareramp::lab
