// An experiment: a simulation plan, the policies and seeds to simulate it with, and the bounds that the
// metrics must satisfy. Read from a JSON file that is validated against experiments/experiment.schema.json.
#pragma once

#include <functional>
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

#include "lab/world/plan.hpp"
#include "lab/world/world.hpp"

namespace hareramp::lab {

// An experiment file that cannot be read, is not JSON or violates the schema, or an invalid command line
// value.
struct ExperimentError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Limits of one metric of one policy.
struct Bound {
  std::string policy, metric;
  double least = -1e300, most = 1e300;
};

struct Experiment {
  std::string title;
  Plan plan;
  std::vector<std::string> policies;
  std::vector<std::uint64_t> seeds;
  std::vector<Bound> bounds;
};

// Parses an experiment. Throws ExperimentError that names the file, the JSON pointer, the value found and the
// value expected. With quick, the file's "quick" object is merged over the document (JSON merge patch).
Experiment read_experiment(const std::string& text, const std::string& file, bool quick);

// The metrics of a simulation run by name: utility, completed, attempts, origin, p50, p99, recovery,
// broken_rules and each of the findings.
std::map<std::string, double> metrics(const Plan& plan, const RunResult& result);

// One simulation run of an experiment: its policy, seed and results.
struct ExperimentRun {
  std::string policy;
  std::uint64_t seed = 0;
  RunResult result;
  std::map<std::string, double> metric_values;
};

// Simulates every combination of policy and seed on `threads` threads. The result is in the order of policies
// and seeds, independent of the order of completion. progress is called with the number of runs done and the
// number of all runs; once it returns false no further run is started, and runs that were not simulated have
// empty metric_values.
std::vector<ExperimentRun> run_all(const Experiment& experiment, unsigned threads,
                                   const std::function<bool(std::size_t, std::size_t)>& progress);

// The mean of b minus a over paired seeds, with its 95% confidence interval (paired bootstrap with a fixed
// seed).
struct Difference {
  double mean = 0, low = 0, high = 0;
  std::string verdict(const std::string& a, const std::string& b, const std::string& metric) const;
};
Difference compare(const std::vector<double>& a, const std::vector<double>& b);

// Writes the samples of all runs to an HDF5 file: one group for each run, one data set for each column.
void write_columns(const std::string& path, const std::vector<ExperimentRun>& runs);

}  // namespace hareramp::lab
