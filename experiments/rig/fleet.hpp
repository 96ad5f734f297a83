// A fleet on loopback: real directors as processes, stand-ins for nodes, origin and change log, clients that
// come again, and a relay between every pair. The nodes keep what they were asked for, have a bounded pace,
// start cold and are pushed over; they are no model of a real cache. One thread; bounded in processes, ports
// and time; it ends what it started.
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
  double cache_pace = 80, parent_pace = 100, origin_pace = 160;  // requests a second at most
  double rate = 220;                                             // requests a second of all clients
  double writes = 0.04;                                          // share of the requests
  int objects = 400;
  double zipf = 0.9, life = 30;  // life: s after which an object gives way to another
  double read_stop = 1.5, write_stop = 2.5;
  int repeats = 3;       // of a client's request that was bounced
  double honours = 0.6;  // share of the clients that heed the advice; the others come at once
  double cold_for = 60;  // s in which a node that starts warms up
  std::uint64_t seed = 1;
};

class Fleet {
 public:
  explicit Fleet(FleetPlan plan);
  ~Fleet();

  double now() const;  // s since the start
  History& history() { return history_; }
  const FleetPlan& plan() const { return plan_; }

  void play(double until);  // the clients request, nodes answer, until then
  void set_rate(double rate) { plan_.rate = rate; }
  void set_patience(double honours, int repeats) { plan_.honours = honours, plan_.repeats = repeats; }

  // Faults. Each is written into the history.
  void kill(int director);
  void start(int director);
  void pause(int director), wake(int director);
  void stop_node(const std::string& id);   // its connections are reset, new ones refused
  void start_node(const std::string& id);  // cold and empty, at the same address; told by the change log
  void drain(const std::string& id);
  void hang_origin(bool hangs);     // takes everything, answers nothing
  void slow_origin(double factor);  // bears that part of its pace
  Relay& link(int director, const std::string& node);
  Relay& feed(int director) { return *feeds_[director]; }
  const History::Spans& excused() const { return excused_; }
  std::string printed(int director) const { return processes_[director]->printed(); }
  // Every director runs and has ended nothing by its last resort.
  std::vector<std::string> crashes();
  // The largest part of what a cold node bears that came over any span; it falls at some more than 1.
  double cold_worst() const { return cold_worst_; }

 private:
  struct Node;
  struct Pending;
  enum class Fill { kHeld, kFetched, kLacks, kRefused, kLost, kOriginFailed };

  static transport::Task<> take(Node& node);
  static transport::Task<> talk(Fleet& self, Node& node, std::shared_ptr<transport::Socket> socket);
  static transport::Task<> say(std::shared_ptr<transport::Socket> socket, std::string text);
  static transport::Task<> tell(Fleet& self);
  static transport::Task<> feed_one(Fleet& self, transport::Socket socket);
  static transport::Task<> arrivals(Fleet& self, double until);
  static transport::Task<> request(Fleet& self, std::uint64_t number);
  bool draw_keeps_open();
  static transport::Task<> keep_open(Fleet& self, transport::Socket socket);
  transport::Task<int> ask(int director, const std::string& id, const std::string& request, bool write,
                           std::uint64_t object, int repeat, double& advice);
  void serve(Node& node, std::shared_ptr<transport::Socket> socket, std::string id, std::string fields);
  void fill(Node& from, std::uint64_t object, bool have_only, std::function<void(Fill)> done);
  std::optional<double> queue(Node& node);  // when it is through, or none: too much waits
  void announce(const std::string& entry);
  std::string entry(const Node& node, const std::string& state) const;
  std::uint64_t draw_object();
  double chance() { return std::uniform_real_distribution<double>(0, 1)(chance_); }
  void fault(const std::string& what, const std::string& who);

  FleetPlan plan_;
  transport::Scheduler scheduler_;
  double began_;
  std::mt19937_64 chance_;
  History history_;
  std::map<std::string, std::unique_ptr<Node>> nodes_;
  std::unique_ptr<transport::Listener> log_;
  std::vector<std::string> events_;  // of the change log, in order
  std::vector<std::unique_ptr<Relay>> feeds_, fronts_;
  std::vector<std::map<std::string, std::unique_ptr<Relay>>> links_;
  std::vector<transport::Address> listens_;
  std::vector<std::string> configs_;
  std::vector<std::unique_ptr<Process>> processes_;
  std::vector<bool> known_dead_, ended_by_us_;
  std::vector<double> shares_;
  History::Spans excused_;
  std::string folder_;
  std::uint64_t requests_ = 0, open_ = 0;
  double cold_worst_ = 0;
  bool stopping_ = false;
};

}  // namespace hareramp::rig
