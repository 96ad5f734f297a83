// build/fleet_size_experiment [--seconds S] [--nodes N]: compares the resources that a director uses in front
// of a large fleet with those that it uses for the same traffic in front of the usual fleet. All runs are in
// parallel. Prints one line for each bound on standard output: PASS or FAIL, name, value, bound. The exit
// status is 1 if any bound fails, 2 for a wrong command line. Counts of each run go to standard error.
#include <fmt/format.h>
#include <signal.h>
#include <sys/resource.h>

#include <algorithm>
#include <boost/program_options.hpp>
#include <iostream>
#include <memory>
#include <vector>

#include "fleet_size/bounds.hpp"
#include "fleet_size/director_run.hpp"

using namespace hareramp::fleet_size;
using hareramp::transport::Scheduler;
using hareramp::transport::Task;

namespace {

constexpr double kPollInterval = 0.1;  // s

// This process holds the sockets of all nodes and clients.
void raise_descriptor_limit() {
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
}

using Runs = std::vector<std::unique_ptr<DirectorRun>>;

Task<> stop_when_finished(Scheduler& scheduler, const Runs& runs) {
  while (!std::all_of(runs.begin(), runs.end(), [](const auto& run) { return run->finished(); }))
    co_await scheduler.sleep_until(Scheduler::now() + kPollInterval);
  scheduler.stop();
}

// Returns true if every bound holds. The first run is that of the usual fleet.
bool report(const Runs& runs) {
  bool all_hold = true;
  for (const auto& run : runs) fmt::print(stderr, "{}\n", run->details());
  for (std::size_t i = 1; i < runs.size(); ++i) {
    const DirectorRun& large = *runs[i];
    for (const Finding& finding :
         compare_with_usual(runs[0]->resource_use(), large.resource_use(), large.plan().nodes)) {
      fmt::print("{} {}.{} {:.3f} {:.3f}\n", finding.holds() ? "PASS" : "FAIL", large.plan().name,
                 finding.name, finding.value, finding.bound);
      all_hold = all_hold && finding.holds();
    }
  }
  return all_hold;
}

}  // namespace

int main(int argument_count, char** arguments) {
  namespace po = boost::program_options;
  signal(SIGPIPE, SIG_IGN);
  raise_descriptor_limit();
  RunPlan plan;
  int nodes = 0;
  po::options_description options("fleet_size_experiment");
  options.add_options()("help", "print this")(
      "program", po::value(&plan.program)->default_value("build/hareramp"), "the director")(
      "nodes", po::value(&nodes)->default_value(16 * kUsualNodes), "number of nodes of the large fleet")(
      "seconds", po::value(&plan.seconds)->default_value(20), "length of each run")(
      "rate", po::value(&plan.traffic.rate)->default_value(50), "requests/s")(
      "objects", po::value(&plan.traffic.objects)->default_value(3000),
      "number of objects that are requested")("zipf", po::value(&plan.traffic.zipf)->default_value(0.9),
                                              "exponent of the popularity of objects")(
      "change-each", po::value(&plan.seconds_per_node_change)->default_value(200),
      "s between two changes of one node")("seed", po::value(&plan.traffic.seed)->default_value(1),
                                           "seed of the traffic");
  po::variables_map parsed;
  try {
    po::store(po::parse_command_line(argument_count, arguments, options), parsed);
    po::notify(parsed);
  } catch (const po::error& error) {
    std::cerr << "fleet_size_experiment: " << error.what() << "\n";
    return 2;
  }
  if (parsed.count("help") > 0) {
    std::cout << options;
    return 0;
  }
  try {
    Scheduler scheduler;
    Runs runs;
    const auto add = [&](const std::string& name, int size, Growth growth) {
      plan.name = name;
      plan.nodes = size;
      plan.growth = growth;
      runs.push_back(std::make_unique<DirectorRun>(scheduler, plan));
    };
    add("usual", kUsualNodes, Growth::kMoreDirectors);
    add("more_directors", nodes, Growth::kMoreDirectors);
    add("smaller_nodes", nodes, Growth::kSmallerNodes);
    for (const auto& run : runs) run->start();
    scheduler.spawn(stop_when_finished(scheduler, runs));
    scheduler.run();
    const bool all_hold = report(runs);
    scheduler.clear();
    return all_hold ? 0 : 1;
  } catch (const std::exception& error) {
    std::cerr << "fleet_size_experiment: " << error.what() << "\n";
    return 1;
  }
}
