// build/client_floods_experiment [--program FILE] [--first SEED] [--seeds N] [--flood NAME] [--memory MB]
// ...: plays runs against a real director process (client_floods/run.hpp) and prints one line for each
// finding; the exit status is 1 if a bound is not held.
#include <fmt/format.h>

#include <algorithm>
#include <boost/program_options.hpp>
#include <iostream>

#include "client_floods/run.hpp"

using namespace hareramp;
using namespace hareramp::client_floods;

namespace {

double quantile(std::vector<double> values, double share) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

// The price for clients that keep to the protocol.
std::string price(const ClientCounts& clients) {
  return fmt::format(
      "sent={} served={} rejected={} failed={} late={} lost={} p50={:.4f} p99={:.4f} max={:.3f}",
      clients.sent, clients.served, clients.rejected, clients.failed, clients.late, clients.lost,
      quantile(clients.latencies, 0.5), quantile(clients.latencies, 0.99), quantile(clients.latencies, 1));
}

int play_and_print(const RunPlan& plan, bool print_log) {
  const RunResult result = play(plan);
  int failed = 0;
  fmt::print("RUN  {} peak={:.1f} clients {}\n", describe(plan), result.peak_memory_mb,
             price(result.clients));
  for (const Finding& finding : result.findings) {
    failed += !finding.holds();
    if (!finding.holds())
      fmt::print("FAIL seed={} {}={:.1f} most {:.1f}\n", plan.seed, finding.name, finding.value,
                 finding.most);
  }
  if (print_log && failed > 0) fmt::print("{}\n", result.log);
  std::fflush(stdout);
  return failed;
}

}  // namespace

int main(int argument_count, char** arguments) {
  namespace po = boost::program_options;
  std::string program;
  std::vector<std::string> floods;
  std::uint64_t first = 1;
  int seeds = 1, memory = 0, descriptors = 0, connections = 0;
  double seconds = 0, delay = -1, silent = -1, minutes = 60;
  po::options_description options("client_floods_experiment");
  options.add_options()("help", "print this")("program", po::value(&program)->default_value("build/hareramp"),
                                              "the director")("first", po::value(&first), "first seed")(
      "seeds", po::value(&seeds), "number of seeds")("minutes", po::value(&minutes), "no run starts later")(
      "flood", po::value(&floods),
      "name of a kind of flood in place of the drawn ones; may be repeated; none: "
      "no flood")("memory", po::value(&memory), "MB, in place of the drawn limit")(
      "descriptors", po::value(&descriptors), "in place of the drawn limit")(
      "connections", po::value(&connections), "of each flood")("seconds", po::value(&seconds),
                                                               "of each flood")(
      "delay", po::value(&delay), "s, of the nodes' answers")("silent", po::value(&silent),
                                                              "share of requests that nodes never answer")(
      "log", "print the director's log where a bound is not held");
  po::variables_map parsed;
  try {
    po::store(po::parse_command_line(argument_count, arguments, options), parsed);
    po::notify(parsed);
  } catch (const po::error& error) {
    std::cerr << "client_floods_experiment: " << error.what() << "\n" << options;
    return 2;
  }
  if (parsed.count("help")) {
    std::cout << options;
    return 0;
  }
  int failed = 0, runs = 0;
  const double until = transport::Scheduler::now() + 60 * minutes;
  for (std::uint64_t seed = first; seed < first + static_cast<std::uint64_t>(seeds); ++seed) {
    if (transport::Scheduler::now() > until) break;
    RunPlan plan = draw_plan(program, seed);
    if (memory > 0) plan.memory_mb = memory;
    if (descriptors > 0) plan.descriptors = descriptors;
    if (connections > 0) plan.connections_per_flood = connections;
    if (seconds > 0) plan.seconds = seconds;
    if (delay >= 0) plan.node_delay = delay;
    if (silent >= 0) plan.silent_share = silent;
    if (!floods.empty()) plan.floods.clear();
    for (const FloodKind kind : all_flood_kinds())
      if (std::find(floods.begin(), floods.end(), name_of(kind)) != floods.end()) plan.floods.push_back(kind);
    failed += play_and_print(plan, parsed.count("log") > 0);
    ++runs;
  }
  fmt::print("{} runs, {} bounds not held\n", runs, failed);
  return failed > 0 || runs == 0 ? 1 : 0;
}
