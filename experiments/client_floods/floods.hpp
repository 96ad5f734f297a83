// Clients that do not keep to the protocol, or use it at its limits, each kind on a thread of its own.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "client_floods/requests.hpp"
#include "transport/scheduler.hpp"
#include "transport/socket.hpp"

namespace hareramp::client_floods {

enum class FloodKind {
  kHalfBodies,       // nine tenths of the largest write, then nothing
  kSlowBodies,       // the largest write in small pieces
  kChunkedBodies,    // the same as chunks, without a stated length
  kManyFields,       // a head of very many short fields that does not end
  kLongFields,       // a head of a few long fields that does not end
  kWholeWrites,      // the largest write, one after another
  kSlowReaders,      // the largest object, of which little is read
  kNewNames,         // one connection at full speed: reads under ever new names, with hardly any time left
  kFailingNames,     // the same with time left, and nodes answer an error
  kSmallRequests,    // one connection at full speed: health checks and paths that do not exist
  kEndlessNonsense,  // one connection at full speed: what can't be read, on and on after the refusal
  kChunkExtensions,  // one connection at full speed: chunks of one byte with very long extensions
  kLeavers,          // much sent at once, then a close; some ids come again on a new connection
  kCrowd             // idle connections
};

const char* name_of(FloodKind kind);
const std::vector<FloodKind>& all_flood_kinds();

// Whether a connection of this kind is owed a refusal, an error or a close within 3 s of connecting.
bool must_be_ended(FloodKind kind);

class Flood {
 public:
  // connections: for kinds that use many.
  Flood(FloodKind kind, transport::Address director, int connections, std::uint64_t seed, Journal& journal);
  ~Flood();
  Flood(const Flood&) = delete;
  Flood& operator=(const Flood&) = delete;

  void stop();  // waits for the thread to end
  // Connections that got no answer and no close within the time that they are owed one. Valid after stop().
  int overdue() const { return overdue_; }
  std::uint64_t connections_made() const { return connections_made_; }

 private:
  static transport::Task<> run_connections(Flood& self, std::uint64_t first_number);
  transport::Task<> read_and_discard(std::shared_ptr<transport::Socket> socket);
  transport::Task<std::shared_ptr<transport::Socket>> connect();
  transport::Task<> send_partial_request(std::shared_ptr<transport::Socket> socket);
  transport::Task<> send_slow_body(std::shared_ptr<transport::Socket> socket);
  transport::Task<> wait_for_end(std::shared_ptr<transport::Socket> socket, double connected_at);
  transport::Task<> send_whole_writes(std::shared_ptr<transport::Socket> socket);
  transport::Task<> read_slowly(std::shared_ptr<transport::Socket> socket);
  transport::Task<> send_at_full_speed(std::shared_ptr<transport::Socket> socket);
  transport::Task<> send_and_leave(std::shared_ptr<transport::Socket> socket);
  transport::Task<> use(std::shared_ptr<transport::Socket> socket);
  std::string full_speed_batch(bool first);
  std::string next_id() { return request_id(kFloodPrefix, ++ids_used_); }
  double draw() { return std::uniform_real_distribution<double>(0, 1)(random_); }
  transport::Task<> sleep(double seconds);

  FloodKind kind_;
  transport::Address director_;
  Journal& journal_;
  std::mt19937_64 random_;
  std::uint64_t ids_used_;
  transport::Scheduler scheduler_;
  std::uint64_t connections_made_ = 0;
  int overdue_ = 0, running_ = 0;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace hareramp::client_floods
