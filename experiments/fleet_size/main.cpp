// build/fleet_size_experiment [--seconds S] [--nodes N]: what a director needs in front of many times the
// usual nodes, held against what it needs for the same day in front of the usual ones. The days are played
// side by side. One line a bound on standard output: PASS or FAIL, name, value, bound; exit status 1 if any
// fails, 2 for a wrong command line. Counts of each day go to standard error.
#include <fmt/format.h>
#include <signal.h>
#include <sys/resource.h>

#include <algorithm>
#include <boost/program_options.hpp>
#include <iostream>
#include <memory>
#include <vector>

#include "fleet_size/bounds.hpp"
#include "fleet_size/day.hpp"

using namespace hareramp::fleet_size;
using hareramp::transport::Scheduler;
using hareramp::transport::Task;

namespace {

constexpr double kLookEvery = 0.1;  // s

// One process holds the sockets of all nodes and clients.
void raise_descriptor_limit() {
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
}

using Days = std::vector<std::unique_ptr<Day>>;

Task<> stop_when_over(Scheduler& scheduler, const Days& days) {
  while (!std::all_of(days.begin(), days.end(), [](const auto& day) { return day->over(); }))
    co_await scheduler.sleep_until(Scheduler::now() + kLookEvery);
  scheduler.stop();
}

// True if every bound holds. The first day is the usual fleet's.
bool report(const Days& days) {
  bool all_hold = true;
  for (const auto& day : days) fmt::print(stderr, "{}\n", day->details());
  for (std::size_t i = 1; i < days.size(); ++i) {
    const Day& large = *days[i];
    for (const Finding& finding : hold_against(days[0]->needs(), large.needs(), large.plan().nodes)) {
      fmt::print("{} {}.{} {:.3f} {:.3f}\n", finding.holds() ? "PASS" : "FAIL", large.plan().name,
                 finding.name, finding.value, finding.bound);
      all_hold = all_hold && finding.holds();
    }
  }
  return all_hold;
}

}  // namespace

int main(int count, char** words) {
  namespace po = boost::program_options;
  signal(SIGPIPE, SIG_IGN);
  raise_descriptor_limit();
  DayPlan plan;
  int nodes = 0;
  po::options_description options("fleet_size_experiment");
  options.add_options()("help", "print this")(
      "program", po::value(&plan.program)->default_value("build/hareramp"), "the director")(
      "nodes", po::value(&nodes)->default_value(16 * kUsualNodes), "of the large fleet")(
      "seconds", po::value(&plan.seconds)->default_value(20), "of each day")(
      "rate", po::value(&plan.traffic.rate)->default_value(50), "requests/s")(
      "objects", po::value(&plan.traffic.objects)->default_value(3000), "that are asked for")(
      "zipf", po::value(&plan.traffic.zipf)->default_value(0.9), "exponent of the objects' shares")(
      "change-each", po::value(&plan.seconds_per_node_change)->default_value(200),
      "s between two changes of a node")("seed", po::value(&plan.traffic.seed)->default_value(1),
                                         "of the traffic");
  po::variables_map given;
  try {
    po::store(po::parse_command_line(count, words, options), given);
    po::notify(given);
  } catch (const po::error& error) {
    std::cerr << "fleet_size_experiment: " << error.what() << "\n";
    return 2;
  }
  if (given.count("help") > 0) {
    std::cout << options;
    return 0;
  }
  try {
    Scheduler scheduler;
    Days days;
    const auto add = [&](const std::string& name, int size, Growth growth) {
      plan.name = name;
      plan.nodes = size;
      plan.growth = growth;
      days.push_back(std::make_unique<Day>(scheduler, plan));
    };
    add("usual", kUsualNodes, Growth::kMoreDirectors);
    add("more_directors", nodes, Growth::kMoreDirectors);
    add("smaller_nodes", nodes, Growth::kSmallerNodes);
    for (const auto& day : days) day->start();
    scheduler.spawn(stop_when_over(scheduler, days));
    scheduler.run();
    const bool all_hold = report(days);
    scheduler.clear();
    return all_hold ? 0 : 1;
  } catch (const std::exception& error) {
    std::cerr << "fleet_size_experiment: " << error.what() << "\n";
    return 1;
  }
}
