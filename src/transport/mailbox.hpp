// What an actor has been asked to do, in order. Posting never runs anything at once: the actor's own
// coroutine takes the calls out one by one.
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

  void post(Callback call) {
    if (closed_) return;
    calls_.push_back(std::move(call));
    wake();
  }
  // What was posted before is still carried out; then serve() ends.
  void close() {
    closed_ = true;
    wake();
  }
  std::size_t waiting() const { return calls_.size(); }

  // The actor's life: carries out each call until the mailbox is closed and empty.
  Task<> serve() {
    for (Callback call = co_await next(); call; call = co_await next()) scheduler_.run_guarded(call);
  }

  struct Next {
    Mailbox& box;
    bool await_ready() const noexcept { return !box.calls_.empty() || box.closed_; }
    void await_suspend(std::coroutine_handle<> handle) noexcept { box.actor_ = handle; }
    Callback await_resume() {
      if (box.calls_.empty()) return {};
      Callback call = std::move(box.calls_.front());
      box.calls_.pop_front();
      return call;
    }
  };
  Next next() { return Next{*this}; }  // an empty call once it is closed and empty

 private:
  void wake() {
    if (actor_) scheduler_.resume_soon(std::exchange(actor_, {}));
  }

  Scheduler& scheduler_;
  std::deque<Callback> calls_;
  std::coroutine_handle<> actor_;
  bool closed_ = false;
};

}  // namespace hareramp::transport
