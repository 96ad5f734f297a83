#include "routing/client_listener.hpp"

#include <algorithm>
#include <utility>

#include "routing/client_connection.hpp"

namespace hareramp::routing {

using transport::Scheduler;
using transport::Task;

namespace {

// How many clients that have sent part of a first request are refused in one search for room. A refusal must
// reach its client before the descriptor is free, which takes a round trip.
constexpr std::size_t kMaxRefusalsPerEviction = 8;

// s: between two checks for answers that are read too slowly while memory is short.
constexpr Seconds kSlowAnswerInterval = 0.1;

// The pause between a failed accept and the next one: 2 ms, doubled with each further failure up to 0.256 s.
constexpr Seconds kAcceptPause = 0.002;
constexpr int kAcceptPauseDoublings = 7;

}  // namespace

ClientListener::ClientListener(Scheduler& scheduler, const Limits& limits, Counters& counters,
                               const transport::Address& listen_address, const ConfiguredNames& names,
                               DirectorActor& director, flow::Exporter* flows)
    : scheduler_(scheduler),
      limits_(limits),
      counters_(counters),
      listener_(scheduler, listen_address, limits.listen_backlog),
      names_(names),
      director_(director),
      flows_(flows) {}

ClientListener::~ClientListener() = default;

void ClientListener::start() {
  scheduler_.spawn(accept_connections(*this));
  scheduler_.spawn(abort_slow_answers(*this));
}

// At the limit one more connection is accepted and held, unread, until there is room for it; the others wait
// in the backlog.
Task<> ClientListener::accept_connections(ClientListener& self) {
  for (;;) {
    transport::Listener::AcceptResult accepted;
    try {
      accepted = co_await self.listener_.accept();
    } catch (...) {  // no memory for the call
      self.report_failure(std::current_exception());
      accepted.status = transport::Listener::Status::kTransientFailure;
    }
    if (accepted.status == transport::Listener::Status::kClosed) co_return;
    if (accepted.status != transport::Listener::Status::kAccepted) {
      const Seconds pause = self.pause_after_failure(accepted.status);
      if (pause > 0) co_await self.scheduler_.sleep_until(Scheduler::now() + pause);
      continue;
    }
    self.accept_failures_ = 0;
    if (self.clients_.size() >= self.limits_.max_clients) {
      // Clients that have closed already, or have just sent a request, are processed first.
      co_await self.scheduler_.sleep_until(Scheduler::now());
    }
    while (self.clients_.size() >= self.limits_.max_clients && !self.evict_client()) {
      ++self.counters_.accept_paused;
      co_await self.scheduler_.sleep_until(Scheduler::now() + self.limits_.accept_retry_delay);
    }
    self.add_client(std::move(accepted.socket));
  }
}

// Guards against accepts that fail: most failures are brief, so the pause before the next accept is short;
// one that persists must not keep the loop busy. Closing a client helps only where descriptors are lacking,
// and is done only if that lasts longer than the first pause: at every second failure, at most one client is
// closed.
Seconds ClientListener::pause_after_failure(transport::Listener::Status failure) {
  ++counters_.accept_paused;
  ++accept_failures_;
  const bool lacks_descriptors = failure == transport::Listener::Status::kDescriptorLimit;
  if (lacks_descriptors && accept_failures_ % 2 == 0 && evict_client()) return 0;
  const int doublings = std::min(accept_failures_ - 1, kAcceptPauseDoublings);
  return kAcceptPause * (1 << doublings);
}

// Without memory for it, the connection is closed unread.
void ClientListener::add_client(transport::Socket socket) {
  try {
    const auto client = std::make_shared<ClientConnection>(*this, std::move(socket));
    clients_.push_back(client);
    ++counters_.clients_accepted;
    client->start();
  } catch (...) {
    report_failure(std::current_exception());
  }
}

// Guards against connections that stay open and unused while others wait to be accepted, and against floods
// of connections that send nothing or never a complete request: which one is closed first depends on what it
// has sent (EvictionPriority), and among equals on how long it has been inactive. The cost: a client that
// sends a request at that very moment has to send it again; a partly read request is answered 503 first.
// True: there is room now. False: there may be soon.
bool ClientListener::evict_client() {
  for (std::size_t refusals = 0; refusals < kMaxRefusalsPerEviction; ++refusals) {
    const auto client = next_to_evict();
    if (!client) return false;
    if (client->evict()) return true;
  }
  return false;
}

std::shared_ptr<ClientConnection> ClientListener::next_to_evict() const {
  using EvictionPriority = ClientConnection::EvictionPriority;
  std::shared_ptr<ClientConnection> first;
  EvictionPriority lowest = EvictionPriority::kNotEvictable;
  const Seconds now = Scheduler::now();
  for (const auto& client : clients_) {
    const EvictionPriority priority = client->eviction_priority(now);
    if (priority > lowest || priority == EvictionPriority::kNotEvictable) continue;
    if (priority == lowest && first && client->idle_since() >= first->idle_since()) continue;
    if (!client->may_be_evicted()) continue;
    first = client;
    lowest = priority;
  }
  return first;
}

// Guards against clients that send their requests slowly or not to the end and together take the memory that
// others need. A request that arrives without a pause is complete long before one that began earlier.
bool ClientListener::make_room(const ClientConnection& client, std::size_t bytes) {
  while (!director_.memory_budget().fits(policy::MemoryUse::kRequests, bytes)) {
    std::shared_ptr<ClientConnection> first;
    for (const auto& candidate : clients_)
      if (candidate.get() != &client && candidate->sheddable_bytes() > 0 &&
          candidate->idle_since() <= client.idle_since() &&
          (!first || candidate->idle_since() < first->idle_since()))
        first = candidate;
    if (!first) return false;
    first->shed();
  }
  return true;
}

Task<> ClientListener::abort_slow_answers(ClientListener& self) {
  for (;;) {
    co_await self.scheduler_.sleep_until(Scheduler::now() + kSlowAnswerInterval);
    self.make_room_for_answer();
  }
}

bool ClientListener::lacks_answer_memory() const {
  return pending_answer_bytes_ > limits_.max_pending_answers ||
         !director_.memory_budget().fits(policy::MemoryUse::kAnswers, limits_.max_answer_body);
}

// Guards against clients that read slowly and together take the memory that the answers to others need.
bool ClientListener::make_room_for_answer() {
  while (lacks_answer_memory()) {
    const auto first = std::min_element(
        clients_.begin(), clients_.end(),
        [](const auto& one, const auto& other) { return one->writing_since() < other->writing_since(); });
    if (first == clients_.end() ||
        (*first)->writing_since() > Scheduler::now() - limits_.min_answer_write_time)
      return false;
    const std::shared_ptr<ClientConnection> slow = *first;
    slow->abort_answer(ClientConnection::CloseReason::kSlowReader);
  }
  return true;
}

void ClientListener::close() {
  listener_.close();
  const auto clients = clients_;
  for (const auto& client : clients) client->close_unless_busy();
}

void ClientListener::report_failure(const std::exception_ptr& failure) noexcept {
  try {
    if (scheduler_.on_failure) scheduler_.on_failure(failure);
  } catch (...) {  // no handler is left that could report it
  }
}

void ClientListener::remove_client(ClientConnection& client) {
  ++counters_.clients_closed;
  clients_.remove_if([&](const auto& candidate) { return candidate.get() == &client; });
}

}  // namespace hareramp::routing
