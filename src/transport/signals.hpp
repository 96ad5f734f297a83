// Signals of the system, read in turn with everything else.
#pragma once

#include <initializer_list>
#include <memory>

#include "transport/scheduler.hpp"
#include "transport/task.hpp"

namespace hareramp::transport {

class SignalSet {
 public:
  // From now on these come here and nowhere else.
  SignalSet(Scheduler& scheduler, std::initializer_list<int> which);
  ~SignalSet();
  SignalSet(const SignalSet&) = delete;
  SignalSet& operator=(const SignalSet&) = delete;

  Task<int> next();

 private:
  int descriptor_;
  std::unique_ptr<Watch> watch_;
};

}  // namespace hareramp::transport
