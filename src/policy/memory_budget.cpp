#include "policy/memory_budget.hpp"

#include <algorithm>
#include <utility>

namespace hareramp::policy {

namespace {

// Share of the limit that is used at most. The platform's price for memory begins at nine tenths; the rest is
// for what grows between two measurements, and for copies that exist for a moment.
constexpr double kCeilingShare = 0.82;
// Share of the limit that requests and answers may take even where the rest of the process needs more than
// expected: without any the director could serve nothing.
constexpr double kMinBudgetShare = 1.0 / 16;
// Share of the budget that one use may take.
constexpr double kMaxShareOfOneUse = 0.625;
// A change of what is charged by this share of the limit causes a new measurement.
constexpr double kMeasureAfterShare = 1.0 / 32;
// Memory that is kept and not used, as a share of the limit, from which on it is returned.
constexpr double kTrimAfterShare = 1.0 / 16;

std::size_t share_of(std::size_t bytes, double share) {
  return static_cast<std::size_t>(static_cast<double>(bytes) * share);
}

}  // namespace

MemoryBudget::MemoryBudget(std::size_t limit, std::function<std::size_t()> in_use)
    : limit_(limit), in_use_(std::move(in_use)) {
  measure();
  other_at_start_ = other_;
}

void MemoryBudget::measure() {
  charged_when_measured_ = charged_in_all();
  const std::size_t in_use = in_use_ ? in_use_() : 0;
  // Charged bytes need not be in use yet, so the rest is at least what it was at the start.
  other_ = std::max(other_at_start_, in_use - std::min(in_use, charged_when_measured_));
}

std::size_t MemoryBudget::budget() const {
  const std::size_t ceiling = share_of(limit_, kCeilingShare);
  return std::max(share_of(limit_, kMinBudgetShare), ceiling - std::min(ceiling, other_));
}

bool MemoryBudget::fits(MemoryUse use, std::size_t bytes) {
  if (limit_ == 0) return true;
  const std::size_t charged_now = charged_in_all() + bytes;
  const std::size_t change = charged_now > charged_when_measured_ ? charged_now - charged_when_measured_
                                                                  : charged_when_measured_ - charged_now;
  if (change > share_of(limit_, kMeasureAfterShare)) measure();
  if (charged(use) == 0) return true;  // one request and one answer are always served
  const std::size_t available = budget();
  return charged_now <= available && charged(use) + bytes <= share_of(available, kMaxShareOfOneUse);
}

bool MemoryBudget::should_trim(std::size_t resident) const {
  return limit_ > 0 && resident > share_of(limit_, kCeilingShare) &&
         resident > other_ + charged_in_all() + share_of(limit_, kTrimAfterShare);
}

void MemoryCharge::resize(std::size_t bytes) {
  if (!budget_) return;
  budget_->release(use_, bytes_);
  budget_->charge(use_, bytes);
  bytes_ = bytes;
}

bool MemoryCharge::try_resize(std::size_t bytes) {
  const std::size_t before = bytes_;
  resize(0);
  const bool fits = !budget_ || bytes <= before || budget_->fits(use_, bytes);
  resize(fits ? bytes : before);
  return fits;
}

void MemoryCharge::swap(MemoryCharge& other) noexcept {
  std::swap(budget_, other.budget_);
  std::swap(use_, other.use_);
  std::swap(bytes_, other.bytes_);
}

}  // namespace hareramp::policy
