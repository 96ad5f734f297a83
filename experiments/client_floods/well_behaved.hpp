// Clients that keep to the protocol, on a thread of their own: one request at a time on a connection, which
// is kept open. What they are answered, and when, is the price of a flood and of what is done against it.
#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "transport/scheduler.hpp"
#include "transport/socket.hpp"

namespace hareramp::client_floods {

struct ClientCounts {
  int sent = 0, served = 0, rejected = 0, failed = 0;
  int late = 0;                   // answered after the deadline
  int lost = 0;                   // no whole answer by half a second after the deadline
  std::vector<double> latencies;  // s, of the served
};

class WellBehavedClients {
 public:
  // clients: connections; pause: s between a client's requests.
  WellBehavedClients(transport::Address director, int clients, double pause, std::uint64_t seed);
  ~WellBehavedClients();

  // No new connection is opened from now on; requests go on where a connection is open.
  void keep_to_open_connections() { only_open_connections_ = true; }
  // Ends all clients after their open requests, and returns what they counted.
  ClientCounts finish();

 private:
  struct Client;
  static transport::Task<> run(WellBehavedClients& self, std::uint64_t number);
  transport::Task<bool> connect(Client& client);
  transport::Task<> send_request(Client& client);
  // The status of the answer: 0 if the connection ended without one, -1 if none came in time.
  transport::Task<int> exchange(Client& client, const std::string& request, double give_up_at);
  void count(int status, double latency, double deadline);

  transport::Address director_;
  double pause_;
  std::uint64_t seed_;
  transport::Scheduler scheduler_;
  ClientCounts counts_;
  int running_ = 0;
  std::atomic<bool> stopping_{false}, only_open_connections_{false};
  std::thread thread_;
};

}  // namespace hareramp::client_floods
