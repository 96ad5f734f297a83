#include "transport/signals.hpp"

#include <signal.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>

namespace hareramp::transport {

SignalSet::SignalSet(Scheduler& scheduler, std::initializer_list<int> which) {
  sigset_t set;
  sigemptyset(&set);
  for (const int one : which) sigaddset(&set, one);
  sigprocmask(SIG_BLOCK, &set, nullptr);
  descriptor_ = signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
  if (descriptor_ < 0) throw std::system_error(errno, std::generic_category(), "signalfd");
  watch_ = std::make_unique<Watch>(scheduler, descriptor_);
}

SignalSet::~SignalSet() {
  watch_.reset();
  ::close(descriptor_);
}

Task<int> SignalSet::next() {
  for (;;) {
    signalfd_siginfo info;
    if (::read(descriptor_, &info, sizeof info) == static_cast<ssize_t>(sizeof info))
      co_return static_cast<int>(info.ssi_signo);
    const WaitResult wake = co_await watch_->readable(kNever);
    if (wake == WaitResult::kClosed) co_return 0;
  }
}

}  // namespace hareramp::transport
