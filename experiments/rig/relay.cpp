#include "rig/relay.hpp"

#include <utility>

namespace hareramp::rig {

using transport::IoStatus;
using transport::kNever;
using transport::Scheduler;
using transport::Task;

namespace {
constexpr std::size_t kBufferBytes = 1 << 14;
constexpr double kCutPollInterval = 0.005;  // s between checks whether a cut has healed
constexpr double kConnectTimeout = 2;       // s
}  // namespace

Relay::Relay(Scheduler& scheduler, transport::Address target)
    : scheduler_(scheduler),
      target_(target),
      listener_(scheduler, *transport::Address::parse("127.0.0.1:0"), 512),
      address_(listener_.address()) {
  scheduler.spawn(accept_connections(*this));
}
Relay::~Relay() { listener_.close(); }

void Relay::reset() {
  for (auto& open_pair : std::exchange(pairs_, {}))
    if (const auto pair = open_pair.lock()) pair->client.abort(), pair->target.abort();
}

Task<> Relay::accept_connections(Relay& self) {
  for (;;) {
    auto accepted = co_await self.listener_.accept();
    if (accepted.status == transport::Listener::Status::kClosed) co_return;
    if (accepted.status != transport::Listener::Status::kAccepted) continue;
    ++self.accepted_connections_;
    auto pair = std::make_shared<Pair>();
    pair->client = std::move(accepted.socket);
    std::erase_if(self.pairs_, [](const auto& open_pair) { return open_pair.expired(); });
    self.pairs_.push_back(pair);
    self.scheduler_.spawn(connect_pair(self, std::move(pair)));
  }
}

Task<> Relay::connect_pair(Relay& self, std::shared_ptr<Pair> pair) {
  while (self.to_target.cut) co_await self.scheduler_.sleep_until(Scheduler::now() + kCutPollInterval);
  auto connected =
      co_await transport::connect(self.scheduler_, self.target_, Scheduler::now() + kConnectTimeout);
  if (connected.status != transport::ConnectStatus::kConnected) {
    pair->client.abort();
    co_return;
  }
  pair->target = std::move(connected.socket);
  self.scheduler_.spawn(pump(self, pair, true));
  self.scheduler_.spawn(pump(self, std::move(pair), false));
}

Task<> Relay::pump(Relay& self, std::shared_ptr<Pair> pair, bool towards_target) {
  const Direction& direction = towards_target ? self.to_target : self.from_target;
  transport::Socket &from = towards_target ? pair->client : pair->target,
                    &to = towards_target ? pair->target : pair->client;
  transport::Buffer buffer(kBufferBytes);
  for (;;) {
    const auto io = co_await from.read(buffer, kBufferBytes, kNever);
    const double wait = direction.delay + (direction.bytes_per_s > 0 ? io.bytes / direction.bytes_per_s : 0);
    if (wait > 0) co_await self.scheduler_.sleep_until(Scheduler::now() + wait);
    while (direction.cut && from.open() && to.open())
      co_await self.scheduler_.sleep_until(Scheduler::now() + kCutPollInterval);
    if (!from.open() || !to.open()) co_return;
    if (io.status == IoStatus::kEndOfStream) {
      to.shutdown_write();
      co_return;
    }
    if (!io.ok() || !(co_await to.write(buffer.view(), kNever)).ok()) {
      from.abort(), to.abort();
      co_return;
    }
    buffer.consume(buffer.size());
  }
}

}  // namespace hareramp::rig
