#include "policy/run_history.hpp"

#include <functional>

namespace hareramp::policy {

std::uint64_t RunHistory::hash(const RequestId& id) { return std::hash<std::string>()(id.value); }

void RunHistory::remember(const RequestId& id) {
  if (max_ids_ == 0 || !hashes_.insert(hash(id)).second) return;
  in_order_.push_back(hash(id));
  if (in_order_.size() <= max_ids_) return;
  hashes_.erase(in_order_.front());
  in_order_.pop_front();
}

}  // namespace hareramp::policy
