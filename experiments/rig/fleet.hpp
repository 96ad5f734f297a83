// A fleet on loopback: real director processes, stand-ins for nodes, the origin and the source of the change
// stream, clients that retry, and a relay between every pair that communicates. Nodes keep the objects that
// they were asked for, have a limited capacity, start cold and crash when overloaded; they do not model a
// real cache. Single-threaded; processes, ports and time are bounded, and the destructor ends all processes.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_set>
#include <vector>

#include "rig/history.hpp"
#include "rig/process.hpp"
#include "rig/relay.hpp"
#include "transport/scheduler.hpp"
#include "transport/socket.hpp"

namespace hareramp::rig {

struct FleetPlan {
  std::string program;  // the director's
  int directors = 5, caches = 5, parents = 2;
  double cache_capacity = 80, parent_capacity = 100, origin_capacity = 160;  // requests/s at most
  double rate = 220;                                                         // requests/s of all clients
  double writes = 0.04;                                                      // share of the requests
  int objects = 400;
  double zipf = 0.9, object_lifetime = 30;  // object_lifetime: s until an object is replaced by another
  double read_deadline = 1.5, write_deadline = 2.5;
  int max_retries = 3;  // by the client, of a rejected request or of a read without an answer
  // Share of the clients that wait for the Retry-After time; the others retry immediately.
  double honors_retry_after = 0.6;
  double warmup_duration = 60;  // s of slow start of a node
  std::uint64_t seed = 1;
};

class Fleet {
 public:
  explicit Fleet(FleetPlan plan);
  ~Fleet();

  double now() const;  // s since the start
  History& history() { return history_; }
  const FleetPlan& plan() const { return plan_; }

  void run_until(double until);  // runs clients and nodes until `until`, in s since the start
  void set_rate(double rate) { plan_.rate = rate; }
  void set_retry_behavior(double honors_retry_after, int max_retries) {
    plan_.honors_retry_after = honors_retry_after, plan_.max_retries = max_retries;
  }

  // Fault injection. Each fault is recorded in the history.
  void kill(int director);
  void start(int director);
  void pause(int director), resume(int director);
  void stop_node(const std::string& id);  // resets its connections and refuses new ones
  // Starts the node cold and empty at the same address and announces it in the change stream.
  void start_node(const std::string& id);
  void drain(const std::string& id);
  void hang_origin(bool hanging);   // hanging: accepts all requests, answers none
  void slow_origin(double factor);  // reduces its capacity to this share
  Relay& node_relay(int director, const std::string& node);
  Relay& change_stream_relay(int director) { return *change_stream_relays_[director]; }
  const History::TimeSpans& excused() const { return excused_; }
  std::string printed(int director) const { return processes_[director]->printed(); }
  // One line for each director that ended by itself and for each that logged a failed task; empty if none
  // did.
  std::vector<std::string> crashes();
  // The highest load of a node that was warming up, in any overload window, as a share of what it bears. A
  // node crashes at somewhat more than 1.
  double highest_warmup_load() const { return highest_warmup_load_; }

 private:
  struct Node;
  struct Pending;
  enum class Fill { kCached, kFetched, kNotCached, kRefused, kUnreachable, kOriginFailed };

  static transport::Task<> accept_connections(Node& node);
  static transport::Task<> serve_connection(Fleet& self, Node& node,
                                            std::shared_ptr<transport::Socket> socket);
  static transport::Task<> write_answer(std::shared_ptr<transport::Socket> socket, std::string text);
  static transport::Task<> accept_subscribers(Fleet& self);
  static transport::Task<> serve_subscriber(Fleet& self, transport::Socket socket);
  static transport::Task<> generate_arrivals(Fleet& self, double until);
  static transport::Task<> request(Fleet& self, std::uint64_t number);
  bool draw_keeps_open();
  static transport::Task<> keep_open(Fleet& self, transport::Socket socket);
  transport::Task<int> send_request(int director, const std::string& id, const std::string& request,
                                    bool write, std::uint64_t object, int retry, double& retry_after);
  void serve(Node& node, std::shared_ptr<transport::Socket> socket, std::string id, std::string fields);
  void fill(Node& source, std::uint64_t object, bool cache_only, std::function<void(Fill)> done);
  std::optional<double> admit(Node& node);  // time of completion; none if the queue is too long
  void append_event(const std::string& entry);
  std::string list_entry(const Node& node, const std::string& state) const;
  std::uint64_t draw_object();
  double draw_uniform() { return std::uniform_real_distribution<double>(0, 1)(random_); }
  void record_fault(const std::string& kind, const std::string& subject);

  FleetPlan plan_;
  transport::Scheduler scheduler_;
  double started_at_;
  std::mt19937_64 random_;
  History history_;
  std::map<std::string, std::unique_ptr<Node>> nodes_;
  std::unique_ptr<transport::Listener> change_stream_listener_;
  std::vector<std::string> events_;  // of the change stream, in order
  std::vector<std::unique_ptr<Relay>> change_stream_relays_, client_relays_;
  std::vector<std::map<std::string, std::unique_ptr<Relay>>> node_relays_;
  std::vector<transport::Address> listen_addresses_;
  std::vector<std::string> config_paths_;
  std::vector<std::unique_ptr<Process>> processes_;
  std::vector<bool> known_down_, killed_;
  std::vector<double> cumulative_weights_;
  History::TimeSpans excused_;
  std::string directory_;
  std::uint64_t requests_started_ = 0, open_requests_ = 0;
  double highest_warmup_load_ = 0;
  bool stopping_ = false;
};

}  // namespace hareramp::rig
