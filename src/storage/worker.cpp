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

Worker::Worker(transport::Scheduler& scheduler, std::size_t most_waiting)
    : scheduler_(scheduler), most_waiting_(most_waiting) {}

Worker::~Worker() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wanted_.notify_all();
  if (thread_.joinable()) thread_.join();
  if (watch_) watch_->close();
  if (bell_ >= 0) ::close(bell_);
}

bool Worker::post(Callback job, Callback done) {
  if (out_ >= most_waiting_) return false;
  if (bell_ < 0) {
    bell_ = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    if (bell_ < 0) throw std::system_error(errno, std::generic_category(), "eventfd");
    watch_ = std::make_unique<transport::Watch>(scheduler_, bell_);
    scheduler_.spawn(live(*this));
    // The signals are the loop's, which reads them from a descriptor.
    sigset_t all, before;
    sigfillset(&all);
    pthread_sigmask(SIG_SETMASK, &all, &before);
    thread_ = std::thread([this] { run(); });
    pthread_sigmask(SIG_SETMASK, &before, nullptr);
  }
  ++out_;
  {
    const std::lock_guard lock(mutex_);
    jobs_.push_back({std::move(job), std::move(done)});
  }
  wanted_.notify_one();
  return true;
}

void Worker::run() {
  std::unique_lock lock(mutex_);
  for (;;) {
    wanted_.wait(lock, [this] { return stopping_ || !jobs_.empty(); });
    if (stopping_) return;
    Job job = std::move(jobs_.front());
    jobs_.pop_front();
    lock.unlock();
    job.work();
    lock.lock();
    finished_.push_back(std::move(job.done));
    const std::uint64_t one = 1;
    [[maybe_unused]] const ssize_t rung = ::write(bell_, &one, sizeof one);
  }
}

Task<> Worker::live(Worker& self) {
  for (;;) {
    std::uint64_t rung = 0;
    if (::read(self.bell_, &rung, sizeof rung) < 0) {
      if (co_await self.watch_->readable(kNever) == WaitResult::kClosed) co_return;
      continue;
    }
    std::deque<Callback> finished;
    {
      const std::lock_guard lock(self.mutex_);
      finished.swap(self.finished_);
    }
    for (Callback& done : finished) {
      --self.out_;
      self.scheduler_.run_guarded(done);
    }
  }
}

}  // namespace hareramp::storage
