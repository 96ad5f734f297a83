// build/capacity_experiment MEASUREMENT [--sizes A,B,...] [--out FILE]: runs one measurement of the capacity
// experiment and writes a table; without a name it lists the measurements. "page" regenerates the figures of
// docs/CAPACITY.md from the tables. "source" and "directors" are the roles of its child processes.
#include <fmt/format.h>
#include <signal.h>
#include <sys/resource.h>

#include <boost/program_options.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

#include "capacity/measurements.hpp"
#include "capacity/report.hpp"
#include "capacity/roles.hpp"

using namespace hareramp::capacity;

namespace {

// Sets the descriptor limit to the maximum allowed: one process holds a socket for each simulated director or
// subscriber.
void raise_descriptor_limit() {
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
}

std::vector<double> parse_numbers(const std::string& text) {
  std::vector<double> values;
  std::istringstream stream(text);
  for (std::string value; std::getline(stream, value, ',');) values.push_back(std::stod(value));
  return values;
}

}  // namespace

int main(int argc, char** argv) {
  namespace po = boost::program_options;
  signal(SIGPIPE, SIG_IGN);
  raise_descriptor_limit();
  std::string role, sizes, out, page, results;
  SourceRole source;
  DirectorsRole directors;
  Setup setup;
  setup.self = std::filesystem::read_symlink("/proc/self/exe");
  po::options_description options("capacity_experiment NAME");
  options.add_options()("help", "print this")("name", po::value(&role),
                                              "a measurement, or the role of a child process")(
      "sizes", po::value(&sizes), "comma-separated sizes to use instead of the defaults")(
      "out", po::value(&out), "file for the table; default: standard output")(
      "page", po::value(&page)->default_value("docs/CAPACITY.md"),
      "page: the file whose figures are regenerated")(
      "results", po::value(&results)->default_value("experiments/capacity/results"),
      "page: directory of the tables")("program", po::value(&setup.program)->default_value("build/hareramp"),
                                       "path of the hareramp executable")(
      "seconds", po::value(&setup.seconds)->default_value(5), "length of each measured interval")(
      "processes", po::value(&setup.processes)->default_value(3),
      "processes that the simulated directors are distributed over")(
      "nodes", po::value(&setup.nodes)->default_value(460), "number of nodes in the list")(
      "rate", po::value(&setup.rate)->default_value(100), "purges/s")(
      "backlog", po::value(&source.backlog), "source: number of purges issued before the start")(
      "node-changes", po::value(&source.node_changes), "source: number of node changes among them")(
      "backlog-later", po::bool_switch(&source.backlog_later),
      "source: issue the backlog on SIGALRM instead of at the start")(
      "first-purge", po::value(&source.first_purge), "source: number of the first purge")(
      "listen", po::value(&source.listen), "source: address and port")(
      "compressed", po::bool_switch(&directors.compressed), "directors: request gzip")(
      "list", po::value(&source.list), "source: file with the entries of the whole list")(
      "count", po::value(&directors.count), "directors: number of directors")(
      "source", po::value(&directors.source), "directors: addresses of the change stream")(
      "until", po::value(&directors.until), "directors: number of the event after which a director is ready")(
      "spread", po::value(&directors.spread_s), "directors: seconds over which their starts are spread");
  po::variables_map variables;
  try {
    po::store(po::command_line_parser(argc, argv)
                  .options(options)
                  .positional(po::positional_options_description().add("name", 1))
                  .run(),
              variables);
    po::notify(variables);
    if (role == "source") {
      source.nodes = setup.nodes, source.rate = setup.rate;
      return run_source(source);
    }
    if (role == "directors") {
      directors.rate = setup.rate;
      return run_directors(directors);
    }
    if (role == "page") {
      std::ifstream input(page);
      const std::string text{std::istreambuf_iterator<char>(input), {}};
      const std::string filled = fill_page(text, report_blocks(results));
      std::ofstream(page) << filled;
      return 0;
    }
    for (const Measurement& measurement : measurements()) {
      if (measurement.name != role) continue;
      setup.sizes = sizes.empty() ? measurement.sizes : parse_numbers(sizes);
      setup.command = fmt::format(
          "build/capacity_experiment {} --sizes {} --seconds {} --processes {} --nodes {} "
          "--rate {}",
          role, fmt::join(setup.sizes, ","), setup.seconds, setup.processes, setup.nodes, setup.rate);
      const Table table = measurement.run(setup);
      if (out.empty()) {
        table.save(std::cout);
        return 0;
      }
      std::ofstream file(out);
      table.save(file);
      return file.good() ? 0 : 1;
    }
  } catch (const std::exception& error) {
    std::cerr << "capacity_experiment: " << error.what() << "\n";
    return 1;
  }
  std::cout << options << "\nmeasurements:\n";
  for (const Measurement& measurement : measurements())
    fmt::print("  {:<20} {}\n", measurement.name, measurement.description);
  return variables.count("help") ? 0 : 2;
}
