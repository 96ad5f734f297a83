// The child processes of an experiment: the source of the change stream, relays, real directors and simulated
// directors. The destructor of each object kills its process by its process id.
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

// Options of one measurement.
struct Setup {
  std::string self;           // path of this program, to start child processes with
  std::string program;        // path of the hareramp executable
  std::string command;        // command line, written to the first line of the table
  std::vector<double> sizes;  // values of the measured variable; one row each
  double seconds = 5;         // length of each interval in which processor time and bytes are counted
  int processes = 3;          // processes that the simulated directors are distributed over
  int nodes = 460;
  double rate = 100;  // purges/s
};

// Blocks this process for the given time.
void pause(double seconds);
// Blocks until the condition holds. Throws std::runtime_error with the description on timeout.
void wait_until(const std::string& description, const std::function<bool()>& condition);

// A temporary directory; the destructor removes it with its files.
class TemporaryDirectory {
 public:
  TemporaryDirectory();
  ~TemporaryDirectory();
  TemporaryDirectory(const TemporaryDirectory&) = delete;
  TemporaryDirectory& operator=(const TemporaryDirectory&) = delete;
  // Writes a file and returns its path.
  std::string write(const std::string& name, const std::string& text) const;

 private:
  std::string path_;
};

// Command line of a source process; the fields are those of SourceRole.
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

// A child process that serves the change stream (run_source).
class SourceProcess {
 public:
  SourceProcess(const Setup& setup, const SourceOptions& options);
  const std::string& address() const { return address_; }
  rig::Process& process() { return process_; }
  ProcessUsage usage() const { return usage_of(process_.id()); }
  nlohmann::json report();

 private:
  rig::Process process_;
  std::string address_;
};

// The counters that a hareramp process prints on SIGUSR1, by name.
using PrintedCounters = std::map<std::string, std::uint64_t>;

// Configuration of a relay process.
struct RelayOptions {
  std::string listen;
  std::vector<std::string> sources;
  bool compressed = false;  // requests gzip from its sources
  int window_kb = 1024;
  int max_subscribers = 5000;
};
// A child process that runs `hareramp relay`.
class RelayProcess {
 public:
  RelayProcess(const Setup& setup, const TemporaryDirectory& folder, const RelayOptions& options);
  const std::string& address() const { return address_; }
  rig::Process& process() { return *process_; }
  ProcessUsage usage() const { return usage_of(process_->id()); }
  PrintedCounters counters();

 private:
  std::string address_;
  std::unique_ptr<rig::Process> process_;
};
// A loopback address derived from the process id, so that concurrent experiments use different ones; index
// distinguishes the addresses of one experiment.
std::string loopback_address(int index);

// A child process that runs `hareramp serve`.
class RealDirector {
 public:
  RealDirector(const Setup& setup, const TemporaryDirectory& folder, DirectorParameters parameters,
               int index);
  transport::Address address() const { return *transport::Address::parse(parameters_.listen); }
  double uptime() const;  // s since its start
  ProcessUsage usage() const { return usage_of(process_->id()); }
  pid_t id() const { return process_->id(); }
  // Switches the director to another change stream by a new configuration file and SIGHUP.
  void switch_change_stream(const std::string& change_stream);
  // Requests the counters and returns the last ones already printed, without waiting for the new ones.
  PrintedCounters last_printed_counters();
  // Requests the counters and waits for them.
  PrintedCounters counters();

 private:
  const TemporaryDirectory& folder_;
  DirectorParameters parameters_;
  std::string file_name_;
  double started_at_ = 0;
  std::unique_ptr<rig::Process> process_;
};

// How many simulated directors to start, and when they count as ready.
struct DirectorsOptions {
  int count = 1;
  long long until = 1;  // number of the event after which a director is ready
  bool compressed = false;
  double spread_s = 0;  // interval over which their starts are spread evenly
};
// Simulated directors, distributed over several child processes (run_directors).
class SimulatedDirectors {
 public:
  // source: comma-separated addresses of the change stream.
  SimulatedDirectors(const Setup& setup, const std::string& source, const DirectorsOptions& options);
  // Waits until all are ready; returns the seconds that the slowest process needed.
  double wait_ready();
  void send(int signal);
  double processor_s() const;
  double resident_mb() const;
  double peak_mb() const;
  std::vector<nlohmann::json> reports();

 private:
  std::vector<std::unique_ptr<rig::Process>> processes_;
};

// Maximum and sum of one field over the reports.
double largest(const std::vector<nlohmann::json>& reports, const char* name);
double sum(const std::vector<nlohmann::json>& reports, const char* name);

// Starts the purges at the source and the measurement of their latency in the directors; returns once both
// have begun.
void begin_purges(SourceProcess& source, SimulatedDirectors& directors);

}  // namespace hareramp::capacity
