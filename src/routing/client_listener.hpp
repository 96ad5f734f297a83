// Takes clients' connections, as long as there is room for them.
#pragma once

#include <exception>
#include <list>
#include <memory>

#include "base/counters.hpp"
#include "base/limits.hpp"
#include "flow/exporter.hpp"
#include "routing/director_actor.hpp"
#include "transport/scheduler.hpp"
#include "transport/socket.hpp"

namespace hareramp::routing {

class ClientConnection;

// Takes connections as long as there is room for them, and knows those that are open.
class ClientListener {
 public:
  ClientListener(transport::Scheduler& scheduler, const Limits& limits, Counters& counters,
                 const transport::Address& at, const Names& names, DirectorActor& module,
                 flow::Exporter* flows = nullptr);
  ~ClientListener();

  void start();
  transport::Address address() const { return listener_.address(); }
  // No new connections, and an end to those on which no request is open; one of which a part was read is
  // answered 503 first. Called again until no client is left: others end once their requests are answered.
  void close();
  std::size_t clients() const { return clients_.size(); }

 private:
  friend class ClientConnection;
  static transport::Task<> live(ClientListener& self);
  // After an accept that failed: how long to wait before the next one.
  Seconds pause_after(transport::Listener::Status failure);
  void admit(transport::Socket socket);
  bool make_room();
  std::shared_ptr<ClientConnection> next_to_go() const;
  // Tells of a failure that was dealt with.
  void report(const std::exception_ptr& failure) noexcept;
  void ended(ClientConnection& client);

  transport::Scheduler& scheduler_;
  const Limits& limits_;
  Counters& counters_;
  transport::Listener listener_;
  const Names names_;
  DirectorActor& module_;
  flow::Exporter* const flows_;  // null: flows are not exported
  std::list<std::shared_ptr<ClientConnection>> clients_;
  std::size_t waiting_answers_ = 0;  // bytes
  int accept_failures_ = 0;          // in a row
};

}  // namespace hareramp::routing
