#include "routing/late_answers.hpp"

namespace hareramp::routing {

void LateAnswers::expect(const RequestId& request, Seconds now) {
  in_order_.emplace_back(now, request);
  if (expected_since_.insert_or_assign(request, now).second) ++total_;
}

void LateAnswers::expire(Seconds before) {
  for (; !in_order_.empty() && in_order_.front().first < before; in_order_.pop_front()) {
    const auto& [since, request] = in_order_.front();
    const auto found = expected_since_.find(request);
    if (found == expected_since_.end() || found->second != since) continue;  // expected again since
    expected_since_.erase(found);
    --total_;
  }
}

void LateAnswers::clear() {
  total_ -= expected_since_.size();
  expected_since_.clear();
  in_order_.clear();
}

}  // namespace hareramp::routing
