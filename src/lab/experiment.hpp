// An experiment: a plan, the policies and seeds to play it with, and the bounds that must hold. Read from a
// JSON file that is held against experiments/experiment.schema.json.
#pragma once

#include <functional>
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

#include "lab/world/plan.hpp"
#include "lab/world/world.hpp"

namespace hareramp::lab {

struct BadExperiment : std::runtime_error {
  using std::runtime_error::runtime_error;
};

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

// Throws BadExperiment with file, pointer, what is there and what is wanted. quick takes what the file says
// of its short form.
Experiment read_experiment(const std::string& text, const std::string& file, bool quick);

// The figures of a day by name: utility, completed, attempts, origin, p50, p99, recovery, broken_rules and
// each finding.
std::map<std::string, double> metrics(const Plan& plan, const Day& day);

struct Played {
  std::string policy;
  std::uint64_t seed = 0;
  Day day;
  std::map<std::string, double> figures;
};

// All days, over so many threads; in the order of policies and seeds, whatever ended first. progress is told
// the number of days done; once it returns false no further day begins, and those not played have no figures.
std::vector<Played> play_all(const Experiment& experiment, unsigned threads,
                             const std::function<bool(std::size_t, std::size_t)>& progress);

// The mean difference of b to a over the seeds, with its 95% interval by the bootstrap (paired, fixed seed).
struct Difference {
  double mean = 0, low = 0, high = 0;
  std::string verdict(const std::string& a, const std::string& b, const std::string& metric) const;
};
Difference compare(const std::vector<double>& a, const std::vector<double>& b);

// The samples of all days as columns, one group a day, in HDF5.
void write_columns(const std::string& path, const std::vector<Played>& played);

}  // namespace hareramp::lab
