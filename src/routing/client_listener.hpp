// Accepts clients' connections, up to the limit of clients.
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

// Accepts connections as long as there is room for them, and owns those that are open.
class ClientListener {
 public:
  ClientListener(transport::Scheduler& scheduler, const Limits& limits, Counters& counters,
                 const transport::Address& listen_address, const ConfiguredNames& names,
                 DirectorActor& director, flow::Exporter* flows = nullptr);
  ~ClientListener();

  void start();
  transport::Address address() const { return listener_.address(); }
  // Stops accepting, and closes the connections on which no request is open; a partly read request is
  // answered 503 first. To be called again until no client is left: the other connections can be closed once
  // their requests are answered.
  void close();
  std::size_t clients() const { return clients_.size(); }

 private:
  friend class ClientConnection;
  static transport::Task<> accept_connections(ClientListener& self);
  // How long to wait after a failed accept before the next one.
  Seconds pause_after_failure(transport::Listener::Status failure);
  void add_client(transport::Socket socket);
  bool evict_client();
  // Makes room in the memory budget for so many more bytes of the requests that this client is sending: those
  // partly read requests that began earliest give way. False: there is none.
  bool make_room(const ClientConnection& client, std::size_t bytes);
  std::shared_ptr<ClientConnection> next_to_evict() const;
  static transport::Task<> abort_slow_answers(ClientListener& self);
  bool lacks_answer_memory() const;
  // While there is no memory for a further answer: aborts those that have been written for longest, if that
  // is longer than limits.min_answer_write_time. True: there is room now.
  bool make_room_for_answer();
  // Reports an exception that has been handled.
  void report_failure(const std::exception_ptr& failure) noexcept;
  void remove_client(ClientConnection& client);

  transport::Scheduler& scheduler_;
  const Limits& limits_;
  Counters& counters_;
  transport::Listener listener_;
  const ConfiguredNames names_;
  DirectorActor& director_;
  flow::Exporter* const flows_;  // null: flows are not exported
  std::list<std::shared_ptr<ClientConnection>> clients_;
  std::size_t pending_answer_bytes_ = 0;  // of answers that are being written
  int accept_failures_ = 0;               // in a row
};

}  // namespace hareramp::routing
