// The event loop: one thread and one epoll instance. It resumes coroutines that are ready, fires timers and
// waits for sockets. All of the director's work happens inside Scheduler::run.
#pragma once

#include <coroutine>
#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "transport/callback.hpp"
#include "transport/task.hpp"

namespace hareramp::transport {

using Seconds = double;
constexpr Seconds kNever = std::numeric_limits<Seconds>::infinity();

class Scheduler {
 public:
  using TimerKey = std::pair<Seconds, std::uint64_t>;

  Scheduler();
  ~Scheduler();
  Scheduler(const Scheduler&) = delete;
  Scheduler& operator=(const Scheduler&) = delete;

  // Seconds on the monotonic clock; a step of the system's clock does not move it.
  static Seconds now();

  // Runs a task concurrently with the others. An exception that ends it goes to on_failure.
  void spawn(Task<> task);
  // Queues a coroutine to be resumed in the next turn of the loop.
  void resume_soon(std::coroutine_handle<> handle) { ready_.push_back(handle); }

  // Calls the callback once, when now() has reached this time.
  TimerKey at(Seconds time, Callback callback);
  void cancel(const TimerKey& timer) { timers_.erase(timer); }

  // Destroys all coroutines, wherever they are suspended, and all timers: for a shutdown in which objects
  // that the coroutines use are destroyed before the scheduler.
  void clear();

  // Runs until stop() is called, or until no coroutine is ready, no timer is set and no descriptor is
  // watched.
  void run();
  void stop() { stopped_ = true; }

  auto sleep_until(Seconds when) {
    struct Sleep {
      Scheduler& scheduler;
      Seconds when;
      bool await_ready() const noexcept { return false; }
      void await_suspend(std::coroutine_handle<> handle) {
        scheduler.at(when, [&to = scheduler, handle] { to.resume_soon(handle); });
      }
      void await_resume() const noexcept {}
    };
    return Sleep{*this, when};
  }

  // Suspends a coroutine until the next turn of the loop.
  auto next_turn() {
    struct NextTurn {
      Scheduler& scheduler;
      bool await_ready() const noexcept { return false; }
      void await_suspend(std::coroutine_handle<> handle) { scheduler.resume_soon(handle); }
      void await_resume() const noexcept {}
    };
    return NextTurn{*this};
  }

  // How late the last turn of the loop started, for a short time after a turn that started very late; else 0.
  // Guards against acting on outdated data after the process stood still (a stopped process, a frozen
  // machine, a turn that took long): data read now may have waited in a socket for this long. A machine
  // without a free core causes it as well. Data that only arrives during that time is taken for older than it
  // is.
  Seconds lateness() const { return now() < late_until_ ? late_by_ : 0; }
  // Called at the start of a very late turn, before anything else, with the time until which lateness() is
  // above 0.
  std::function<void(Seconds until)> on_late;

  // Calls the callback. An exception goes to on_failure and does not end the loop.
  void run_guarded(Callback& callback) noexcept;

  // Called with each exception that ended a task or a callback.
  std::function<void(std::exception_ptr)> on_failure;

 private:
  friend class Watch;
  void run_ready();
  void report(const std::exception_ptr& failure) noexcept;
  void destroy_finished_tasks();
  void wait_for_sockets();

  int epoll_;
  bool stopped_ = false;
  std::size_t watch_count_ = 0;
  Seconds turn_started_at_ = now(), late_by_ = 0, late_until_ = 0;
  std::uint64_t last_timer_number_ = 0;
  std::deque<std::coroutine_handle<>> ready_;
  std::map<TimerKey, Callback> timers_;
  std::vector<Task<>> spawned_;
  detail::PromiseBase* finished_ = nullptr;  // spawned tasks that have ended, a linked list
};

// How a wait for a descriptor ended.
enum class WaitResult { kReady, kTimedOut, kClosed };

// One descriptor registered with the scheduler's epoll instance. At most one coroutine may wait in each
// direction. The watch is edge-triggered: make the system call first, and wait only if it would block.
class Watch {
 public:
  Watch(Scheduler& scheduler, int descriptor);
  ~Watch();
  Watch(const Watch&) = delete;
  Watch& operator=(const Watch&) = delete;

  // One direction: the coroutine that waits for it, and its timeout.
  struct Direction {
    std::coroutine_handle<> waiter;
    Scheduler::TimerKey timer{};
    bool has_timer = false;
    WaitResult result = WaitResult::kReady;
  };
  struct Wait {
    Watch& watch;
    Direction& direction;
    Seconds until;
    WaitResult result_at_timeout = WaitResult::kTimedOut;
    bool await_ready() const noexcept { return watch.closed_; }
    void await_suspend(std::coroutine_handle<> handle);
    WaitResult await_resume() const noexcept {
      return watch.closed_ ? WaitResult::kClosed : direction.result;
    }
  };
  Wait readable(Seconds until) { return {*this, read_direction_, until}; }
  Wait writable(Seconds until) { return {*this, write_direction_, until}; }
  // For use after a system call failed because the kernel had no memory: epoll reports no event when the call
  // can be repeated, so the descriptor counts as ready by this time at the latest.
  Wait readable_by(Seconds time) { return {*this, read_direction_, time, WaitResult::kReady}; }
  Wait writable_by(Seconds time) { return {*this, write_direction_, time, WaitResult::kReady}; }

  Scheduler& scheduler() const { return scheduler_; }

  // Calls the callback once when the peer has closed or reset the connection; see Socket::on_peer_closed.
  void on_peer_closed(Callback callback) { on_peer_closed_ = std::move(callback); }

  // Wakes the waiting coroutines with kClosed; every later wait ends at once with kClosed.
  void close();

 private:
  friend class Scheduler;
  void wake(Direction& direction, WaitResult result);
  void notify_peer_closed() noexcept;

  Scheduler& scheduler_;
  int descriptor_;
  bool closed_ = false;
  Direction read_direction_, write_direction_;
  Callback on_peer_closed_;
};

}  // namespace hareramp::transport
