// Decides how much memory requests and answers may take, so that the process as a whole stays below the limit
// that its platform sets. Independent of the system: what the process uses is passed in.
//
// Bytes that belong to a request or an answer are charged to one of two uses. Everything else that the
// process uses, such as lists and connections, is the difference between the memory in use and what is
// charged; it is measured again and again, and what remains below the ceiling is the budget of both uses.
// Neither may take all of it: clients that do not finish their requests can't keep answers from others, nor
// the other way round. A bound on each connection alone would not do: their number is in the settings, and
// the sum passes the least memory that the settings may name.
#pragma once

#include <array>
#include <cstddef>
#include <functional>

namespace hareramp::policy {

enum class MemoryUse { kRequests, kAnswers };

class MemoryBudget {
 public:
  // limit: bytes that the process may use; 0: no limit. in_use: returns the bytes that it uses now, without
  // what the allocator keeps for reuse; may be empty.
  explicit MemoryBudget(std::size_t limit, std::function<std::size_t()> in_use = {});
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  // Whether this many more bytes may be charged to the use.
  bool fits(MemoryUse use, std::size_t bytes);
  void charge(MemoryUse use, std::size_t bytes) { charged_[index(use)] += bytes; }
  void release(MemoryUse use, std::size_t bytes) { charged_[index(use)] -= bytes; }
  std::size_t charged(MemoryUse use) const { return charged_[index(use)]; }

  // Measures what the process uses besides; to be called from time to time. fits() does so when much has been
  // charged or released since.
  void measure();
  // Whether the allocator should return the memory that it keeps, as this much is resident.
  bool should_trim(std::size_t resident) const;
  // Bytes of both uses together that fit.
  std::size_t budget() const;

 private:
  static std::size_t index(MemoryUse use) { return static_cast<std::size_t>(use); }
  std::size_t charged_in_all() const { return charged_[0] + charged_[1]; }

  std::size_t limit_;
  std::function<std::size_t()> in_use_;
  std::array<std::size_t, 2> charged_{};
  std::size_t other_at_start_ = 0, other_ = 0;  // bytes that are not charged
  std::size_t charged_when_measured_ = 0;
};

// Bytes charged to a budget for as long as this object exists.
class MemoryCharge {
 public:
  MemoryCharge() = default;
  MemoryCharge(MemoryBudget& budget, MemoryUse use) : budget_(&budget), use_(use) {}
  MemoryCharge(MemoryCharge&& other) noexcept { swap(other); }
  MemoryCharge& operator=(MemoryCharge&& other) noexcept {
    MemoryCharge moved(static_cast<MemoryCharge&&>(other));
    swap(moved);
    return *this;
  }
  ~MemoryCharge() { resize(0); }

  std::size_t bytes() const { return bytes_; }
  // Charges this many bytes in place of those before, whether or not they fit.
  void resize(std::size_t bytes);
  // The same if they fit. False: nothing has changed.
  bool try_resize(std::size_t bytes);

 private:
  void swap(MemoryCharge& other) noexcept;

  MemoryBudget* budget_ = nullptr;  // null: nothing is charged
  MemoryUse use_ = MemoryUse::kRequests;
  std::size_t bytes_ = 0;
};

}  // namespace hareramp::policy
