#include "rig/relay.hpp"

#include <utility>

namespace hareramp::rig {

using transport::IoEnd;
using transport::kNever;
using transport::Scheduler;
using transport::Task;

namespace {
constexpr std::size_t kRoom = 1 << 14;
constexpr double kLook = 0.005;  // s between looks at a cut
constexpr double kConnect = 2;   // s
}  // namespace

Relay::Relay(Scheduler& scheduler, transport::Address to)
    : scheduler_(scheduler),
      to_(to),
      listener_(scheduler, *transport::Address::parse("127.0.0.1:0"), 512),
      address_(listener_.address()) {
  scheduler.spawn(take(*this));
}
Relay::~Relay() { listener_.close(); }

void Relay::reset() {
  for (auto& held : std::exchange(pairs_, {}))
    if (const auto pair = held.lock()) pair->near.abort(), pair->far.abort();
}

Task<> Relay::take(Relay& self) {
  for (;;) {
    auto accepted = co_await self.listener_.accept();
    if (accepted.end == transport::Listener::End::kClosed) co_return;
    if (accepted.end != transport::Listener::End::kTaken) continue;
    ++self.taken_;
    auto pair = std::make_shared<Pair>();
    pair->near = std::move(accepted.socket);
    std::erase_if(self.pairs_, [](const auto& held) { return held.expired(); });
    self.pairs_.push_back(pair);
    self.scheduler_.spawn(join(self, std::move(pair)));
  }
}

Task<> Relay::join(Relay& self, std::shared_ptr<Pair> pair) {
  while (self.to_target.cut) co_await self.scheduler_.sleep_until(Scheduler::now() + kLook);
  auto connected = co_await transport::connect(self.scheduler_, self.to_, Scheduler::now() + kConnect);
  if (connected.end != transport::ConnectEnd::kUp) {
    pair->near.abort();
    co_return;
  }
  pair->far = std::move(connected.socket);
  self.scheduler_.spawn(pump(self, pair, true));
  self.scheduler_.spawn(pump(self, std::move(pair), false));
}

Task<> Relay::pump(Relay& self, std::shared_ptr<Pair> pair, bool forth) {
  const Way& way = forth ? self.to_target : self.from_target;
  transport::Socket &from = forth ? pair->near : pair->far, &to = forth ? pair->far : pair->near;
  transport::Buffer in(kRoom);
  for (;;) {
    const auto io = co_await from.read(in, kRoom, kNever);
    const double wait = way.delay + (way.bytes_per_s > 0 ? io.bytes / way.bytes_per_s : 0);
    if (wait > 0) co_await self.scheduler_.sleep_until(Scheduler::now() + wait);
    while (way.cut && from.open() && to.open())
      co_await self.scheduler_.sleep_until(Scheduler::now() + kLook);
    if (!from.open() || !to.open()) co_return;
    if (io.end == IoEnd::kEnded) {
      to.finish();
      co_return;
    }
    if (!io.ok() || !(co_await to.write(in.view(), kNever)).ok()) {
      from.abort(), to.abort();
      co_return;
    }
    in.consume(in.size());
  }
}

}  // namespace hareramp::rig
