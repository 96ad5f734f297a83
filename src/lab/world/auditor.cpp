#include "lab/world/auditor.hpp"

#include <algorithm>

namespace hareramp::lab {

namespace {
constexpr Seconds kLate = 0.05;  // past the hard stop an answer may still be on its way
}

void Auditor::taken(std::uint64_t request, Seconds deadline) {
  ++findings_.taken;
  requests_[request] = {deadline, 0};
}

void Auditor::answered(Seconds now, std::uint64_t request, Answer how) {
  const auto found = requests_.find(request);
  if (found == requests_.end() || ++found->second.answers > 1) {
    ++findings_.answered_twice;
    return;
  }
  if (now > found->second.deadline + kLate) ++findings_.unanswered;
  switch (how) {
    case Answer::kCompleted:
      ++findings_.completed;
      break;
    case Answer::kBounced:
      ++findings_.bounced;
      break;
    case Answer::kForfeited:
      ++findings_.forfeited;
      break;
    case Answer::kLeft:
      ++findings_.left;
      break;
  }
}

void Auditor::ran(std::uint64_t request, Effect effect) {
  if (effect == Effect::kRetriable) return;
  // A fingerprinted repeat is known at the origin and has no second effect.
  if (++ran_[request] > 1 && effect == Effect::kBinding) ++findings_.double_effects;
}

void Auditor::came(Seconds now, Seconds told_to_drain) {
  ++findings_.attempts;
  if (told_to_drain > 0 && now > told_to_drain + world_.drain_grace) ++findings_.after_drain;
}

void Auditor::cold_work(Seconds now, std::size_t node, Seconds launched, double slots, double work) {
  auto& held = work_[node];
  while (!held.empty() && held.front().first <= now - world_.fall_span) held.pop_front();
  const Seconds age = now - launched;
  if (age >= world_.warms) {
    held.clear();
    return;
  }
  held.emplace_back(now, work);
  double sum = 0;
  for (const auto& [at, one] : held) sum += one;
  const double present =
      slots * (world_.start_share + (1 - world_.start_share) * std::max(0.0, age) / world_.warms);
  findings_.cold_worst =
      std::max(findings_.cold_worst, sum / (world_.fall_multiple * present * world_.fall_span));
}

void Auditor::copy_used(Seconds sent_at, Seconds copy_at, Seconds purged_at, Seconds told_at) {
  ++findings_.answers_checked;
  if (purged_at > 0 && copy_at < purged_at && sent_at > told_at + world_.purge_grace) ++findings_.stale;
}

void Auditor::look(std::uint64_t open) {
  const Findings& f = findings_;
  if (f.taken != f.completed + f.bounced + f.forfeited + f.left + open) ++findings_.out_of_balance;
}

void Auditor::ends(Seconds now) {
  for (const auto& [id, request] : requests_)
    if (request.answers == 0 && now > request.deadline + kLate) ++findings_.unanswered;
}

}  // namespace hareramp::lab
