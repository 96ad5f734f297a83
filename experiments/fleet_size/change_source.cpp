#include "fleet_size/change_source.hpp"

#include <fmt/format.h>

#include <utility>

namespace hareramp::fleet_size {

using transport::Scheduler;
using transport::Socket;
using transport::Task;

namespace {
constexpr int kBacklog = 16;
constexpr int kFirstChange = 2;           // event 1 is the full node list
constexpr double kPollInterval = 0.05;    // s between checks for new events
constexpr double kCommentInterval = 1.0;  // s, as the protocol specifies
constexpr double kWriteTimeout = 10.0;
}  // namespace

ChangeSource::ChangeSource(Scheduler& scheduler)
    : scheduler_(scheduler), listener_(scheduler, *transport::Address::parse("127.0.0.1:0"), kBacklog) {
  scheduler.spawn(accept_subscribers(*this));
}

void ChangeSource::append_node_change(const std::string& entry) {
  const std::size_t number = events_.size() + kFirstChange;
  events_.push_back(
      fmt::format("id: {0}\ndata: {{\"seq\":{0},\"fleet\":{{\"version\":{0},\"full\":false,"
                  "\"servers\":[{1}]}}}}\n\n",
                  number, entry));
}

Task<> ChangeSource::accept_subscribers(ChangeSource& self) {
  for (;;) {
    auto accepted = co_await self.listener_.accept();
    if (accepted.status == transport::Listener::Status::kClosed) co_return;
    if (accepted.status == transport::Listener::Status::kAccepted)
      self.scheduler_.spawn(serve(self, std::move(accepted.socket)));
  }
}

Task<> ChangeSource::serve(ChangeSource& self, Socket socket) {
  std::size_t next = 0;
  double commented_at = Scheduler::now();
  std::string text = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
  for (;;) {
    for (; next < self.events_.size(); ++next) text += self.events_[next];
    if (Scheduler::now() - commented_at >= kCommentInterval) {
      commented_at = Scheduler::now();
      text += ":\n\n";
    }
    const auto io = co_await socket.write(text, Scheduler::now() + kWriteTimeout);
    self.bytes_written_ += io.bytes;
    if (!io.ok()) co_return;
    text.clear();
    co_await self.scheduler_.sleep_until(Scheduler::now() + kPollInterval);
  }
}

}  // namespace hareramp::fleet_size
