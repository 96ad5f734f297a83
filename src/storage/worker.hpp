// One thread beside the loop for what may block: disk, mostly. Jobs run in order; what is to be done with
// their results runs in the loop. Not started before the first job, so that it costs nothing where it is not
// used.
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
  // At most so many jobs wait.
  Worker(transport::Scheduler& scheduler, std::size_t most_waiting);
  ~Worker();  // waits for the job that is running; those behind it are dropped
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  // job runs on the thread and must not throw; done runs in the loop afterwards. False: too much is waiting,
  // and neither will run.
  bool post(transport::Callback job, transport::Callback done);
  std::size_t waiting() const { return out_; }  // posted and not yet done, the loop's part included

 private:
  struct Job {
    transport::Callback work, done;
  };
  void run();
  static transport::Task<> live(Worker& self);

  transport::Scheduler& scheduler_;
  std::size_t most_waiting_, out_ = 0;
  int bell_ = -1;
  std::unique_ptr<transport::Watch> watch_;
  std::thread thread_;
  std::mutex mutex_;
  std::condition_variable wanted_;
  std::deque<Job> jobs_;
  std::deque<transport::Callback> finished_;
  bool stopping_ = false;
};

}  // namespace hareramp::storage
