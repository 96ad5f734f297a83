// An actor's queue of callbacks, run in order. post() never runs a callback itself: the actor's own coroutine
// takes them out one by one.
#pragma once

#include <coroutine>
#include <deque>
#include <utility>

#include "transport/callback.hpp"
#include "transport/scheduler.hpp"
#include "transport/task.hpp"

namespace hareramp::transport {

class Mailbox {
 public:
  explicit Mailbox(Scheduler& scheduler) : scheduler_(scheduler) {}
  Mailbox(const Mailbox&) = delete;
  Mailbox& operator=(const Mailbox&) = delete;

  void post(Callback callback) {
    if (closed_) return;
    callbacks_.push_back(std::move(callback));
    wake();
  }
  // Callbacks posted before still run; then serve() returns. Later ones are discarded.
  void close() {
    closed_ = true;
    wake();
  }
  std::size_t waiting() const { return callbacks_.size(); }

  // The actor's main loop: runs each callback until the mailbox is closed and empty.
  Task<> serve() {
    for (Callback callback = co_await next(); callback; callback = co_await next())
      scheduler_.run_guarded(callback);
  }

  struct Next {
    Mailbox& mailbox;
    bool await_ready() const noexcept { return !mailbox.callbacks_.empty() || mailbox.closed_; }
    void await_suspend(std::coroutine_handle<> handle) noexcept { mailbox.actor_ = handle; }
    Callback await_resume() {
      if (mailbox.callbacks_.empty()) return {};
      Callback callback = std::move(mailbox.callbacks_.front());
      mailbox.callbacks_.pop_front();
      return callback;
    }
  };
  Next next() { return Next{*this}; }  // an empty callback once closed and empty

 private:
  void wake() {
    if (actor_) scheduler_.resume_soon(std::exchange(actor_, {}));
  }

  Scheduler& scheduler_;
  std::deque<Callback> callbacks_;
  std::coroutine_handle<> actor_;
  bool closed_ = false;
};

}  // namespace hareramp::transport
