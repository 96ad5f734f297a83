// One thread, one epoll: runs coroutines that are ready, fires timers, and waits for sockets. Everything that
// the director does happens inside Scheduler::run.
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

  // Seconds on a clock that only goes forward; a step of the system's clock does not move it.
  static Seconds now();

  // Runs a task to its end beside the others. What it throws goes to on_failure.
  void spawn(Task<> task);
  void resume_soon(std::coroutine_handle<> handle) { ready_.push_back(handle); }

  TimerKey at(Seconds when, Callback what);
  void cancel(const TimerKey& timer) { timers_.erase(timer); }

  // Ends every coroutine where it stands, and every timer: for an end in which those go first that they use.
  void clear();

  void run();  // until stop() is called, or nothing is left that could ever happen
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

  // Guards against acting on old knowledge after the process stood still (stopped, a frozen machine, a turn
  // that took long): by how much the last turn came late, for a moment after one that came very late; else 0.
  // What is read then may have waited for so long. It also meets a machine without a free core; what comes
  // newly in that moment is taken for older than it is.
  Seconds lateness() const { return now() < late_until_ ? late_by_ : 0; }
  std::function<void(Seconds until)> on_late;  // called before anything else is done in such a turn

  // Carries a call out; what it throws goes to on_failure, and the loop goes on.
  void run_guarded(Callback& call) noexcept;

  std::function<void(std::exception_ptr)> on_failure;

 private:
  friend class Watch;
  void run_ready();
  void tell(const std::exception_ptr& failure) noexcept;
  void clear_away();
  void wait_for_sockets();

  int epoll_;
  bool stopped_ = false;
  std::size_t watched_ = 0;
  Seconds turned_at_ = now(), late_by_ = 0, late_until_ = 0;
  std::uint64_t timers_made_ = 0;
  std::deque<std::coroutine_handle<>> ready_;
  std::map<TimerKey, Callback> timers_;
  std::vector<Task<>> spawned_;
  detail::PromiseBase* done_ = nullptr;
};

enum class WaitResult { kReady, kTimedOut, kClosed };

// One descriptor in the scheduler's epoll. At most one coroutine waits for each direction. The watch is
// edge-triggered: try the call first, and wait only after it said that it would block.
class Watch {
 public:
  Watch(Scheduler& scheduler, int descriptor);
  ~Watch();
  Watch(const Watch&) = delete;
  Watch& operator=(const Watch&) = delete;

  struct Side {
    std::coroutine_handle<> waiting;
    Scheduler::TimerKey timer{};
    bool timed = false;
    WaitResult result = WaitResult::kReady;
  };
  struct Wait {
    Watch& watch;
    Side& side;
    Seconds until;
    WaitResult when_over = WaitResult::kTimedOut;  // the result at that time
    bool await_ready() const noexcept { return watch.closed_; }
    void await_suspend(std::coroutine_handle<> handle);
    WaitResult await_resume() const noexcept { return watch.closed_ ? WaitResult::kClosed : side.result; }
  };
  Wait readable(Seconds until) { return {*this, reading_, until}; }
  Wait writable(Seconds until) { return {*this, writing_, until}; }
  // After a call that failed for want of kernel memory: no event tells when to try again, so by then at the
  // latest it is taken for ready.
  Wait readable_by(Seconds then) { return {*this, reading_, then, WaitResult::kReady}; }
  Wait writable_by(Seconds then) { return {*this, writing_, then, WaitResult::kReady}; }

  // Called once when the other side has closed or reset the connection; see Socket.
  void on_peer_closed(Callback what) { on_peer_closed_ = std::move(what); }

  // Whoever waits is woken with kClosed, and nobody can wait any more.
  void close();

 private:
  friend class Scheduler;
  void wake(Side& side, WaitResult result);
  void peer_closed() noexcept;

  Scheduler& scheduler_;
  int descriptor_;
  bool closed_ = false;
  Side reading_, writing_;
  Callback on_peer_closed_;
};

}  // namespace hareramp::transport
