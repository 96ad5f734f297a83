// A thread for operations that may block, mostly on the disk, so that the event loop does not. Jobs run in
// order; the callbacks for their results run in the loop. The thread is started with the first job, so that
// an unused worker costs nothing.
#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <memory>
#include <mutex>
#include <thread>

#include "transport/callback.hpp"
#include "transport/scheduler.hpp"
#include "transport/task.hpp"

namespace hareramp::storage {

class Worker {
 public:
  // max_pending: post() fails while this many jobs are pending.
  Worker(transport::Scheduler& scheduler, std::size_t max_pending);
  ~Worker();  // waits for the running job; queued jobs are dropped
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  // job runs on the thread and must not throw; done runs in the loop afterwards. Returns false, and runs
  // neither, if too many jobs are pending.
  bool post(transport::Callback job, transport::Callback done);
  std::size_t pending() const { return pending_; }  // posted jobs whose done has not yet run

 private:
  struct Job {
    transport::Callback work, done;
  };
  void run();
  static transport::Task<> deliver_results(Worker& self);

  transport::Scheduler& scheduler_;
  std::size_t max_pending_, pending_ = 0;
  int event_descriptor_ = -1;
  std::unique_ptr<transport::Watch> watch_;
  std::thread thread_;
  std::mutex mutex_;
  std::condition_variable wake_worker_;
  std::deque<Job> jobs_;
  std::deque<transport::Callback> finished_;
  bool stopping_ = false;
};

}  // namespace hareramp::storage
