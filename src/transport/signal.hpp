// Lets one coroutine wait until another one notifies it. A notification while no coroutine waits is lost.
#pragma once

#include <coroutine>
#include <utility>

#include "transport/scheduler.hpp"

namespace hareramp::transport {

class Signal {
 public:
  explicit Signal(Scheduler& scheduler) : scheduler_(scheduler) {}
  void notify() {
    if (waiting_) scheduler_.resume_soon(std::exchange(waiting_, {}));
  }
  auto wait() {
    struct Wait {
      Signal& signal;
      bool await_ready() const noexcept { return false; }
      void await_suspend(std::coroutine_handle<> handle) noexcept { signal.waiting_ = handle; }
      void await_resume() const noexcept {}
    };
    return Wait{*this};
  }

 private:
  Scheduler& scheduler_;
  std::coroutine_handle<> waiting_;
};

}  // namespace hareramp::transport
