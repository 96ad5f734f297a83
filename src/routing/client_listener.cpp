#include "routing/client_listener.hpp"

#include <algorithm>
#include <utility>

#include "routing/client_connection.hpp"

namespace hareramp::routing {

using transport::Scheduler;
using transport::Task;

namespace {

// Clients amid their first request that are refused at once to make room for one. What each was sent has to
// reach it before its descriptor is free, which takes a way there and back.
constexpr std::size_t kRefusedTogether = 8;

// Between an accept that failed and the next one: 2 ms, doubled with each further failure up to 0.256 s.
constexpr Seconds kAcceptPause = 0.002;
constexpr int kAcceptPauseDoublings = 7;

}  // namespace

ClientListener::ClientListener(Scheduler& scheduler, const Limits& limits, Counters& counters,
                               const transport::Address& at, const Names& names, DirectorActor& module,
                               flow::Exporter* flows)
    : scheduler_(scheduler),
      limits_(limits),
      counters_(counters),
      listener_(scheduler, at, limits.listen_backlog),
      names_(names),
      module_(module),
      flows_(flows) {}

ClientListener::~ClientListener() = default;

void ClientListener::start() { scheduler_.spawn(live(*this)); }

// Past the limit one more connection is held, unread, until there is room for it; the others wait in the
// backlog.
Task<> ClientListener::live(ClientListener& self) {
  for (;;) {
    transport::Listener::AcceptResult accepted;
    try {
      accepted = co_await self.listener_.accept();
    } catch (...) {  // no memory for the call
      self.report(std::current_exception());
      accepted.status = transport::Listener::Status::kTransientFailure;
    }
    if (accepted.status == transport::Listener::Status::kClosed) co_return;
    if (accepted.status != transport::Listener::Status::kAccepted) {
      const Seconds pause = self.pause_after(accepted.status);
      if (pause > 0) co_await self.scheduler_.sleep_until(Scheduler::now() + pause);
      continue;
    }
    self.accept_failures_ = 0;
    if (self.clients_.size() >= self.limits_.max_clients) {
      // Whoever has closed already, or has just asked for something, is heard of first.
      co_await self.scheduler_.sleep_until(Scheduler::now());
    }
    while (self.clients_.size() >= self.limits_.max_clients && !self.make_room()) {
      ++self.counters_.accept_paused;
      co_await self.scheduler_.sleep_until(Scheduler::now() + self.limits_.accept_retry_delay);
    }
    self.admit(std::move(accepted.socket));
  }
}

// Guards against accepts that fail: most do so for a moment, and the pause before the next one is short; one
// that goes on failing must not keep the loop busy. Only a lack of descriptors is mended by closing a client,
// and then only where it outlasts the first pause: at every other failure at most one goes.
Seconds ClientListener::pause_after(transport::Listener::Status failure) {
  ++counters_.accept_paused;
  ++accept_failures_;
  const bool lacks_descriptors = failure == transport::Listener::Status::kDescriptorLimit;
  if (lacks_descriptors && accept_failures_ % 2 == 0 && make_room()) return 0;
  const int doublings = std::min(accept_failures_ - 1, kAcceptPauseDoublings);
  return kAcceptPause * (1 << doublings);
}

// Where there is no memory for it, the connection is closed unread.
void ClientListener::admit(transport::Socket socket) {
  try {
    const auto client = std::make_shared<ClientConnection>(*this, std::move(socket));
    clients_.push_back(client);
    ++counters_.clients_accepted;
    client->start();
  } catch (...) {
    report(std::current_exception());
  }
}

// Guards against connections that are kept open and not used while others wait to be accepted, and against
// floods of those that say nothing or never a whole request: who goes first is decided by what a connection
// has shown, and among the same by how long ago. It hurts a client that asks in that very moment, and has to
// ask again; one of whose request something was read is answered 503 first. True: there is room now; where
// there is none, it may be soon.
bool ClientListener::make_room() {
  for (std::size_t refused = 0; refused < kRefusedTogether; ++refused) {
    const auto client = next_to_go();
    if (!client) return false;
    if (client->make_way()) return true;
  }
  return false;
}

std::shared_ptr<ClientConnection> ClientListener::next_to_go() const {
  using Standing = ClientConnection::Standing;
  std::shared_ptr<ClientConnection> first;
  Standing lowest = Standing::kStays;
  const Seconds now = Scheduler::now();
  for (const auto& client : clients_) {
    const Standing standing = client->standing(now);
    if (standing > lowest || standing == Standing::kStays) continue;
    if (standing == lowest && first && client->idle_since() >= first->idle_since()) continue;
    if (!client->may_go()) continue;
    first = client;
    lowest = standing;
  }
  return first;
}

void ClientListener::close() {
  listener_.close();
  const auto clients = clients_;
  for (const auto& client : clients) client->close_unless_busy();
}

void ClientListener::report(const std::exception_ptr& failure) noexcept {
  try {
    if (scheduler_.on_failure) scheduler_.on_failure(failure);
  } catch (...) {  // nobody is left to be told
  }
}

void ClientListener::ended(ClientConnection& client) {
  ++counters_.clients_closed;
  clients_.remove_if([&](const auto& held) { return held.get() == &client; });
}

}  // namespace hareramp::routing
