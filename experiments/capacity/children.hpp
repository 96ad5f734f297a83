// The processes that an experiment plays with: the source, relays, real directors and simulated ones. Each
// ends with its object, by its id.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "capacity/simulated_director.hpp"
#include "capacity/usage.hpp"
#include "rig/process.hpp"
#include "transport/socket.hpp"

namespace hareramp::capacity {

struct Setup {
  std::string self;     // this program, for its child processes
  std::string program;  // the director
  std::string command;  // written into the table
  std::vector<double> sizes;
  double seconds = 5;  // of each span in which processor time and bytes are counted
  int processes = 3;   // that share simulated directors among them
  int nodes = 460;
  double rate = 100;  // purges/s
};

// Blocks this process.
void pause(double seconds);
// Throws std::runtime_error naming what was waited for once that takes too long.
void wait_until(const std::string& what, const std::function<bool()>& holds);

// A folder that goes with its object.
class Folder {
 public:
  Folder();
  ~Folder();
  Folder(const Folder&) = delete;
  Folder& operator=(const Folder&) = delete;
  // The file's path.
  std::string write(const std::string& name, const std::string& text) const;

 private:
  std::string path_;
};

struct SourceOptions {
  int nodes = 460;
  double rate = 0;
  long long backlog = 0;
  int node_changes = 0;
  bool backlog_later = false;
  std::uint64_t first_purge = 1;
  std::string listen = "127.0.0.1:0";
  std::string list = {};
};

class Source {
 public:
  Source(const Setup& setup, const SourceOptions& options);
  const std::string& address() const { return address_; }
  rig::Process& process() { return process_; }
  ProcessUsage usage() const { return usage_of(process_.id()); }
  nlohmann::json report();

 private:
  rig::Process process_;
  std::string address_;
};

// What a process of ours prints at SIGUSR1.
using PrintedCounters = std::map<std::string, std::uint64_t>;

// hareramp relay.
struct RelayOptions {
  std::string listen;
  std::vector<std::string> sources;
  bool compressed = false;  // asks its sources for gzip
  int window_kb = 1024;
  int subscribers_most = 5000;
};
class RelayProcess {
 public:
  RelayProcess(const Setup& setup, const Folder& folder, const RelayOptions& options);
  const std::string& address() const { return address_; }
  rig::Process& process() { return *process_; }
  ProcessUsage usage() const { return usage_of(process_->id()); }
  PrintedCounters counters();

 private:
  std::string address_;
  std::unique_ptr<rig::Process> process_;
};
// An address on loopback that no other experiment uses; place tells those of one experiment apart.
std::string own_address(int place);

// hareramp serve.
class RealDirector {
 public:
  RealDirector(const Setup& setup, const Folder& folder, DirectorPlan plan, int place);
  transport::Address address() const { return *transport::Address::parse(plan_.listen); }
  double age() const;  // s since its start
  ProcessUsage usage() const { return usage_of(process_->id()); }
  pid_t id() const { return process_->id(); }
  // Another change stream, by a new configuration and SIGHUP.
  void follow(const std::string& change_stream);
  // Asks for the counters and returns those printed before, without waiting.
  PrintedCounters counters_so_far();
  PrintedCounters counters();

 private:
  const Folder& folder_;
  DirectorPlan plan_;
  std::string file_name_;
  double began_ = 0;
  std::unique_ptr<rig::Process> process_;
};

// Simulated directors, shared out among processes.
struct DirectorsOptions {
  int count = 1;
  long long until = 1;  // ready once told this event
  bool compressed = false;
  double spread_s = 0;  // over which they start
};
class SimulatedDirectors {
 public:
  // source: addresses of the change stream, separated by commas.
  SimulatedDirectors(const Setup& setup, const std::string& source, const DirectorsOptions& options);
  // Seconds until the last was ready.
  double wait_ready();
  void send(int signal);
  double processor_s() const;
  double resident_mb() const;
  double peak_mb() const;
  std::vector<nlohmann::json> reports();

 private:
  std::vector<std::unique_ptr<rig::Process>> processes_;
};

double largest(const std::vector<nlohmann::json>& reports, const char* name);
double sum(const std::vector<nlohmann::json>& reports, const char* name);

// Begins the purges at the source, and the watch for them; returns once they have begun.
void begin_purges(Source& source, SimulatedDirectors& directors);

}  // namespace hareramp::capacity
