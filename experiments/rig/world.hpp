// Stand-ins for everything round one director, on loopback: nodes that speak the caches' protocol, the change
// log, and clients that request. Each counts the octets that pass it, by itself. No model of a real node:
// what they are for is load and exact counts.
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
  double resets = 0;      // share of answers that a reset takes the place of
  double turns_away = 0;  // share of AGAIN
  double delay = 0.001;   // s to an answer
};

// A node: answers every request with bytes, as many as its grade has.
class Node {
 public:
  Node(transport::Scheduler& scheduler, std::map<std::string, std::size_t> sizes, NodeBehavior ways,
       std::uint64_t seed);
  transport::Address address() const { return address_; }
  const Octets& octets() const { return octets_; }
  std::uint64_t requests() const { return requests_; }
  void set_ways(NodeBehavior ways) { ways_ = ways; }

 private:
  static transport::Task<> take(Node& self);
  static transport::Task<> talk(Node& self, std::shared_ptr<transport::Socket> socket);
  static transport::Task<> answer(Node& self, std::shared_ptr<transport::Socket> socket, std::string text,
                                  bool reset);

  transport::Scheduler& scheduler_;
  std::map<std::string, std::size_t> sizes_;
  NodeBehavior ways_;
  std::mt19937_64 chance_;
  transport::Listener listener_;
  transport::Address address_;
  Octets octets_;
  std::uint64_t requests_ = 0;
};

// The change log that never has anything new.
class IdleChangeStream {
 public:
  explicit IdleChangeStream(transport::Scheduler& scheduler);
  transport::Address address() const { return address_; }

 private:
  static transport::Task<> take(IdleChangeStream& self);
  static transport::Task<> talk(IdleChangeStream& self, transport::Socket socket);
  transport::Scheduler& scheduler_;
  transport::Listener listener_;
  transport::Address address_;
};

struct ClientCounts {
  std::uint64_t asked = 0, completed = 0, bounced = 0, forfeited = 0, lost = 0;
  Octets octets;
  std::uint64_t connections = 0;
  Octets segments;  // as the client's kernel counted, until the client closes
};

// How a client reads what it is sent.
struct ReadPattern {
  std::size_t at_once = 1 << 16;  // bytes a read
  double pause = 0;               // s between reads
  int receive_buffer = 0;         // bytes; 0: the system's own
};

// One connection that requests one grade, one request after another.
class Client {
 public:
  Client(transport::Scheduler& scheduler, transport::Address director, transport::Address from,
         std::string request_class, bool write, ReadPattern reading, std::uint64_t number);
  // So many requests with a pause between; leaves: resets the connection in the middle of the last answer.
  void start(std::uint64_t requests, double pause, bool leaves = false);
  // One request, timed from when it was due; for open loads.
  bool busy() const { return busy_; }
  void request(double due);
  bool done() const { return done_; }
  const ClientCounts& counts() const { return tally_; }
  std::vector<double>& latencies() { return latencies_; }

 private:
  struct Answer : protocol::HttpHandler {
    int status = 0;
    void start_line(std::string_view first, std::string_view second) override;
    void header(std::string_view, std::string_view) override {}
    void body(std::string_view) override {}
  };
  static transport::Task<> live(Client& self, std::uint64_t requests, double pause, bool leaves);
  static transport::Task<> one(Client& self, double due);
  transport::Task<bool> connect();
  transport::Task<bool> ask(bool leave);
  void close();

  transport::Scheduler& scheduler_;
  transport::Address director_, from_;
  std::string request_class_;
  bool write_;
  ReadPattern reading_;
  std::uint64_t number_, asked_ = 0;
  transport::Socket socket_;
  transport::Buffer in_{1 << 16};
  ClientCounts tally_;
  std::vector<double> latencies_;
  bool done_ = false, busy_ = false;
};

// A configuration for one director in front of these nodes. Grades: clip, segment (reads), note (a write).
struct Site {
  std::string listen, change_log;
  std::vector<std::pair<std::string, std::string>> caches;  // id and address
  std::string origin;
  int memory_mb = 192, sockets = 1024;
};
std::string configuration(const Site& site);

}  // namespace hareramp::rig
