// build/capacity_experiment MEASUREMENT [--sizes A,B,...] [--out FILE]: measures one part against the size to
// design for and writes a table; without a name it lists the measurements. "page" makes the figures of
// docs/CAPACITY.md anew from the tables. "source" and "directors" are the roles of its child processes.
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

// One process holds a socket for each simulated director or subscriber.
void raise_descriptor_limit() {
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
}

std::vector<double> numbers(const std::string& text) {
  std::vector<double> all;
  std::istringstream words(text);
  for (std::string word; std::getline(words, word, ',');) all.push_back(std::stod(word));
  return all;
}

}  // namespace

int main(int count, char** words) {
  namespace po = boost::program_options;
  signal(SIGPIPE, SIG_IGN);
  raise_descriptor_limit();
  std::string role, sizes, out, page, results;
  SourceRole source;
  DirectorsRole directors;
  Setup setup;
  setup.self = std::filesystem::read_symlink("/proc/self/exe");
  po::options_description options("capacity_experiment NAME");
  options.add_options()("help", "print this")("name", po::value(&role), "a measurement, or a child's role")(
      "sizes", po::value(&sizes), "in place of the usual ones, separated by commas")(
      "out", po::value(&out), "the table's file; without it the table is printed")(
      "page", po::value(&page)->default_value("docs/CAPACITY.md"),
      "page: the file whose figures are made anew")(
      "results", po::value(&results)->default_value("experiments/capacity/results"), "page: the tables")(
      "program", po::value(&setup.program)->default_value("build/hareramp"), "the director")(
      "seconds", po::value(&setup.seconds)->default_value(5), "of each span that is measured")(
      "processes", po::value(&setup.processes)->default_value(3), "that share simulated directors")(
      "nodes", po::value(&setup.nodes)->default_value(460), "in the list")(
      "rate", po::value(&setup.rate)->default_value(100), "purges/s")(
      "backlog", po::value(&source.backlog), "source: purges that are there at the start")(
      "node-changes", po::value(&source.node_changes), "source: among them")(
      "backlog-later", po::bool_switch(&source.backlog_later), "source: keeps them back until SIGALRM")(
      "first-purge", po::value(&source.first_purge), "source: number of the first")(
      "listen", po::value(&source.listen), "source: address and port")(
      "compressed", po::bool_switch(&directors.compressed), "directors: ask for gzip")(
      "list", po::value(&source.list), "source: file with the entries of the whole list")(
      "count", po::value(&directors.count), "directors: how many")(
      "source", po::value(&directors.source), "directors: addresses of the change stream")(
      "until", po::value(&directors.until), "directors: ready once told this event")(
      "spread", po::value(&directors.spread_s), "directors: s over which they start");
  po::variables_map given;
  try {
    po::store(po::command_line_parser(count, words)
                  .options(options)
                  .positional(po::positional_options_description().add("name", 1))
                  .run(),
              given);
    po::notify(given);
    if (role == "source") {
      source.nodes = setup.nodes, source.rate = setup.rate;
      return run_source(source);
    }
    if (role == "directors") {
      directors.rate = setup.rate;
      return run_directors(directors);
    }
    if (role == "page") {
      std::ifstream old(page);
      const std::string text{std::istreambuf_iterator<char>(old), {}};
      const std::string filled = fill_page(text, report_blocks(results));
      std::ofstream(page) << filled;
      return 0;
    }
    for (const Measurement& measurement : measurements()) {
      if (measurement.name != role) continue;
      setup.sizes = sizes.empty() ? measurement.sizes : numbers(sizes);
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
    fmt::print("  {:<20} {}\n", measurement.name, measurement.what);
  return given.count("help") ? 0 : 2;
}
