// Stand-ins on loopback for everything that one director connects to or serves: nodes that speak the cache
// protocol, the source of the change stream, and clients. Nodes and clients each count the octets that they
// send and receive. They produce load and exact counts and do not model a real node.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "protocol/http.hpp"
#include "transport/scheduler.hpp"
#include "transport/socket.hpp"

namespace hareramp::rig {

struct Octets {
  std::uint64_t sent = 0, received = 0;  // by the stand-in
  bool operator==(const Octets&) const = default;
};

struct NodeBehavior {
  double reset_share = 0;     // share of the answers replaced by a connection reset
  double rejected_share = 0;  // share of the answers that are AGAIN
  double delay = 0.001;       // s from a command to its answer
};

// A node that answers every request with as many bytes as its request class has.
class Node {
 public:
  Node(transport::Scheduler& scheduler, std::map<std::string, std::size_t> sizes, NodeBehavior behavior,
       std::uint64_t seed);
  transport::Address address() const { return address_; }
  const Octets& octets() const { return octets_; }
  std::uint64_t requests() const { return requests_; }
  void set_behavior(NodeBehavior behavior) { behavior_ = behavior; }

 private:
  static transport::Task<> accept_connections(Node& self);
  static transport::Task<> serve_connection(Node& self, std::shared_ptr<transport::Socket> socket);
  static transport::Task<> write_answer(Node& self, std::shared_ptr<transport::Socket> socket,
                                        std::string text, bool reset);

  transport::Scheduler& scheduler_;
  std::map<std::string, std::size_t> sizes_;
  NodeBehavior behavior_;
  std::mt19937_64 random_;
  transport::Listener listener_;
  transport::Address address_;
  Octets octets_;
  std::uint64_t requests_ = 0;
};

// Source of a change stream that never sends an event, only comments.
class IdleChangeStream {
 public:
  explicit IdleChangeStream(transport::Scheduler& scheduler);
  transport::Address address() const { return address_; }

 private:
  static transport::Task<> accept_connections(IdleChangeStream& self);
  static transport::Task<> serve_connection(IdleChangeStream& self, transport::Socket socket);
  transport::Scheduler& scheduler_;
  transport::Listener listener_;
  transport::Address address_;
};

struct ClientCounts {
  std::uint64_t asked = 0, completed = 0, bounced = 0, forfeited = 0, lost = 0;
  Octets octets;
  std::uint64_t connections = 0;
  Octets segments;  // TCP segments as counted by the kernel, added when the client closes the connection
};

// How a client reads its answers.
struct ReadPattern {
  std::size_t bytes_per_read = 1 << 16;  // at most
  double pause = 0;                      // s between reads
  int receive_buffer = 0;                // bytes; 0: the system default
};

// A client that sends requests of one request class one after another over one connection, which it opens
// again after it was closed.
class Client {
 public:
  Client(transport::Scheduler& scheduler, transport::Address director, transport::Address from,
         std::string request_class, bool write, ReadPattern read_pattern, std::uint64_t number);
  // Sends `requests` requests with `pause` seconds between them. reset_last: resets the connection in the
  // middle of the last answer.
  void start(std::uint64_t requests, double pause, bool reset_last = false);
  bool busy() const { return busy_; }
  // Sends one request and measures its latency from the time when it was due; for open-loop load.
  void request(double due);
  bool done() const { return done_; }
  const ClientCounts& counts() const { return counts_; }
  std::vector<double>& latencies() { return latencies_; }

 private:
  struct Answer : protocol::HttpHandler {
    int status = 0;
    void start_line(std::string_view first, std::string_view second) override;
    void header(std::string_view, std::string_view) override {}
    void body(std::string_view) override {}
  };
  static transport::Task<> run_requests(Client& self, std::uint64_t requests, double pause, bool reset_last);
  static transport::Task<> run_timed_request(Client& self, double due);
  transport::Task<bool> connect();
  transport::Task<bool> send_request(bool reset_midway);
  void close();

  transport::Scheduler& scheduler_;
  transport::Address director_, from_;
  std::string request_class_;
  bool write_;
  ReadPattern read_pattern_;
  std::uint64_t number_, requests_sent_ = 0;
  transport::Socket socket_;
  transport::Buffer received_{1 << 16};
  ClientCounts counts_;
  std::vector<double> latencies_;
  bool done_ = false, busy_ = false;
};

// The nodes and addresses that one director is configured with. Request classes: clip and segment (reads),
// note (a write).
struct Site {
  std::string listen, change_log;
  std::vector<std::pair<std::string, std::string>> caches;  // id and address
  std::string origin;
  int memory_mb = 192, sockets = 1024;
  int cache_weight = 8, origin_weight = 1;  // capacity, in transfers at the full rate
};
std::string configuration(const Site& site);

}  // namespace hareramp::rig
