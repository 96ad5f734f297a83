#include "storage/worker.hpp"

#include <signal.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>
#include <utility>

namespace hareramp::storage {

using transport::Callback;
using transport::kNever;
using transport::Task;
using transport::WaitResult;

Worker::Worker(transport::Scheduler& scheduler, std::size_t max_pending)
    : scheduler_(scheduler), max_pending_(max_pending) {}

Worker::~Worker() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_worker_.notify_all();
  if (thread_.joinable()) thread_.join();
  if (watch_) watch_->close();
  if (event_descriptor_ >= 0) ::close(event_descriptor_);
}

bool Worker::post(Callback job, Callback done) {
  if (pending_ >= max_pending_) return false;
  if (event_descriptor_ < 0) {
    event_descriptor_ = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    if (event_descriptor_ < 0) throw std::system_error(errno, std::generic_category(), "eventfd");
    watch_ = std::make_unique<transport::Watch>(scheduler_, event_descriptor_);
    scheduler_.spawn(deliver_results(*this));
    // The thread blocks all signals: the event loop receives them through a descriptor.
    sigset_t all, before;
    sigfillset(&all);
    pthread_sigmask(SIG_SETMASK, &all, &before);
    thread_ = std::thread([this] { run(); });
    pthread_sigmask(SIG_SETMASK, &before, nullptr);
  }
  ++pending_;
  {
    const std::lock_guard lock(mutex_);
    jobs_.push_back({std::move(job), std::move(done)});
  }
  wake_worker_.notify_one();
  return true;
}

void Worker::run() {
  std::unique_lock lock(mutex_);
  for (;;) {
    wake_worker_.wait(lock, [this] { return stopping_ || !jobs_.empty(); });
    if (stopping_) return;
    Job job = std::move(jobs_.front());
    jobs_.pop_front();
    lock.unlock();
    job.work();
    lock.lock();
    finished_.push_back(std::move(job.done));
    const std::uint64_t increment = 1;
    [[maybe_unused]] const ssize_t written = ::write(event_descriptor_, &increment, sizeof increment);
  }
}

Task<> Worker::deliver_results(Worker& self) {
  for (;;) {
    std::uint64_t event_count = 0;
    if (::read(self.event_descriptor_, &event_count, sizeof event_count) < 0) {
      if (co_await self.watch_->readable(kNever) == WaitResult::kClosed) co_return;
      continue;
    }
    std::deque<Callback> finished;
    {
      const std::lock_guard lock(self.mutex_);
      finished.swap(self.finished_);
    }
    for (Callback& done : finished) {
      --self.pending_;
      self.scheduler_.run_guarded(done);
    }
  }
}

}  // namespace hareramp::storage
