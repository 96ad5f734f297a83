// build/fleet_experiment [--scene NAME] [--seeds N] [--minutes M] [--program FILE] [--history FOLDER]: runs
// the failure scenarios of rig/scenes with real processes and prints one line for each finding; the exit
// status is 1 if a bound is not held.
#include <fmt/format.h>

#include <boost/program_options.hpp>
#include <iostream>

#include "rig/scenes.hpp"
#include "transport/clock.hpp"

using namespace hareramp;

int main(int argument_count, char** arguments) {
  namespace po = boost::program_options;
  std::string scene, program, history_directory;
  int seeds = 1, directors = 5;
  double minutes = 60, rate = 120;
  po::options_description options("fleet_experiment");
  options.add_options()("help", "print this")("scene", po::value(&scene),
                                              "name of one scenario; default: all")(
      "seeds", po::value(&seeds), "number of seeds for each scenario, from 1")("minutes", po::value(&minutes),
                                                                               "no run starts later")(
      "program", po::value(&program)->default_value("build/hareramp"), "the director")(
      "directors", po::value(&directors), "number of processes, 2 to 40")(
      "rate", po::value(&rate), "requests/s in all")("history", po::value(&history_directory),
                                                     "directory for the recorded events, as JSON lines");
  po::variables_map parsed;
  try {
    po::store(po::parse_command_line(argument_count, arguments, options), parsed);
    po::notify(parsed);
  } catch (const po::error& error) {
    std::cerr << "fleet_experiment: " << error.what() << "\n" << options;
    return 2;
  }
  if (parsed.count("help") || directors < 2 || directors > 40) {
    std::cout << options;
    return parsed.count("help") ? 0 : 2;
  }
  int failed = 0, runs = 0;
  const double until = transport::Scheduler::now() + 60 * minutes;
  for (int seed = 1; seed <= seeds; ++seed)
    for (const auto& scenario : rig::scenes()) {
      if (!scene.empty() && scenario.name != scene) continue;
      if (transport::Scheduler::now() > until) continue;
      rig::FleetPlan plan;
      plan.program = program, plan.directors = directors, plan.rate = rate, plan.seed = seed;
      rig::Fleet fleet(plan);
      for (const auto& finding : scenario.run(fleet)) {
        failed += !finding.holds();
        fmt::print("{} {} seed={} {}={:.3f}{}{}\n", finding.holds() ? "PASS" : "FAIL", scenario.name, seed,
                   finding.name, finding.value,
                   finding.lower_bound > -1e17 ? fmt::format(" least {}", finding.lower_bound) : "",
                   finding.upper_bound < 1e17 ? fmt::format(" most {}", finding.upper_bound) : "");
      }
      if (!history_directory.empty())
        fleet.history().save(fmt::format("{}/{}-{}.jsonl", history_directory, scenario.name, seed));
      ++runs;
      std::fflush(stdout);
    }
  fmt::print("{} plays, {} bounds not held\n", runs, failed);
  return failed > 0 || runs == 0 ? 1 : 0;
}
