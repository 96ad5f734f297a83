// POSIX signals, read by a coroutine in the event loop (signalfd).
#pragma once

#include <initializer_list>
#include <memory>

#include "transport/scheduler.hpp"
#include "transport/task.hpp"

namespace hareramp::transport {

class SignalSet {
 public:
  // Blocks these signals for the process; from now on they are only delivered here. Throws std::system_error.
  SignalSet(Scheduler& scheduler, std::initializer_list<int> signals);
  ~SignalSet();
  SignalSet(const SignalSet&) = delete;
  SignalSet& operator=(const SignalSet&) = delete;

  // The number of the next signal; 0 once the set is closed.
  Task<int> next();

 private:
  int descriptor_;
  std::unique_ptr<Watch> watch_;
};

}  // namespace hareramp::transport
