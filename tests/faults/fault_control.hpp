// The test's side of fault injection: owns the mapped fault table, sets its rules and reads its counters.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "faults/fault_table.hpp"

namespace hareramp::faults {

// The value of `fail` for a fault that lasts until it is cleared.
inline constexpr std::int64_t kUntilCleared = std::int64_t{1} << 62;

class FaultControl {
 public:
  // Creates and maps the table in a new temporary file; throws std::system_error.
  FaultControl();
  ~FaultControl();
  FaultControl(const FaultControl&) = delete;
  FaultControl& operator=(const FaultControl&) = delete;

  // The environment variables that preload the library at this path into a program and pass it this table.
  std::map<std::string, std::string> environment(const std::string& library) const;

  // From now on, `skip` calls of this kind succeed as usual, and the next `fail` ones fail with this errno.
  void inject(SystemCall call, int error, std::int64_t skip = 0, std::int64_t fail = 1);
  // From now on a call of this kind reads or writes at most max_bytes; 0: no limit.
  void limit_bytes(SystemCall call, std::uint64_t max_bytes);
  // Removes the fault and the byte limit of this kind; its counters keep their values.
  void clear(SystemCall call);
  void clear_all();
  // An offset to the system's clock (CLOCK_REALTIME) as the program reads it.
  void set_clock_offset(double seconds);

  std::uint64_t seen(SystemCall call) const { return rule(call).seen; }
  std::uint64_t injected(SystemCall call) const { return rule(call).injected; }

 private:
  FaultRule& rule(SystemCall call) const { return table_->rules[static_cast<std::size_t>(call)]; }

  std::string path_;
  FaultTable* table_ = nullptr;
};

}  // namespace hareramp::faults
