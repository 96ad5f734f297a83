#include "program/command_line.hpp"

#include <fmt/format.h>

#include <boost/program_options.hpp>
#include <cstdlib>
#include <exception>
#include <sstream>
#include <string>
#include <vector>

#include "program/operator.hpp"
#include "program/relay.hpp"
#include "program/serve.hpp"

namespace hareramp::program {

namespace options = boost::program_options;

namespace {

constexpr std::size_t kUsualMemory = 192 << 20;  // bytes; where no configuration says how much there is

struct Paths {
  std::string config, operator_file;
};

struct Command {
  const char* name;
  const char* what;
  const char* more;
  bool configured;
  int (*run)(const Paths& paths, std::FILE* out, std::FILE* err);
};

int run_serve(const Paths& paths, std::FILE*, std::FILE* err) {
  Log log(fileno(err));
  return serve(load_config(paths.config), paths.config, paths.operator_file, log);
}

int run_relay(const Paths& paths, std::FILE*, std::FILE* err) {
  Log log(fileno(err));
  return relay(load_operator(paths.operator_file, kUsualMemory), paths.operator_file, log);
}

void print_operator(const OperatorFile& file, std::FILE* out) {
  if (file.change_stream.enabled)
    fmt::print(out, "operator's file: the change stream from {} relays\n", file.change_stream.relays.size());
  if (file.relay.enabled)
    fmt::print(out,
               "operator's file: a relay of the change stream at {}, of {} sources, {} subscribers at most\n",
               file.relay.listen.text(), file.relay.sources.size(), file.relay.subscribers_most);
  const flow::ExportSettings& flows = file.flow_export;
  if (!flows.enabled) return fmt::print(out, "operator's file: flow export is off\n");
  fmt::print(out, "operator's file: flow export to {} collectors, {} flows at most, {} networks, spool {}\n",
             flows.collectors.size(), flows.max_flows, flows.networks->size(),
             flows.spool.enabled ? flows.spool.directory : "off");
}

// The operator's file may be looked at alone, without a platform's configuration.
int run_check(const Paths& paths, std::FILE* out, std::FILE*) {
  const bool alone = paths.config.empty() && !std::getenv("EDGE_CONFIG") && !paths.operator_file.empty();
  if (alone) {
    print_operator(load_operator(paths.operator_file, kUsualMemory), out);
    return 0;
  }
  const Config config = load_config(paths.config);
  const OperatorFile operator_file = load_operator(paths.operator_file, config.memory);
  fmt::print(out, "{}: would listen at {}, follow the change log at {} after event {}\n", config.name,
             config.listen.text(), config.change_log.text(), config.known_to);
  const auto list = [&](const char* what, const std::vector<std::string>& names) {
    fmt::print(out, "{}: {}\n", what, fmt::join(names, ", "));
  };
  list("service grades", config.names.request_classes);
  list("zones", config.names.zones);
  list("kinds", config.names.kinds);
  fmt::print(out, "limits: {} clients, {} connections to nodes, {} MB of answers not yet taken\n",
             config.limits.max_clients, config.limits.max_node_connections,
             config.limits.max_pending_answers >> 20);
  if (!paths.operator_file.empty() || std::getenv("HARERAMP_OPERATOR")) print_operator(operator_file, out);
  return 0;
}

int run_schema(const Paths&, std::FILE* out, std::FILE*) {
  fmt::print(out, "{}", kOperatorSchema);
  return 0;
}

int run_version(const Paths&, std::FILE* out, std::FILE*) {
  fmt::print(out, "hareramp {}\n", HARERAMP_VERSION);
  return 0;
}

const Command kCommands[] = {
    {"serve", "serve requests until SIGTERM",
     "Answers GET /_health with 200 once it serves. SIGUSR1 prints the counters, SIGHUP reads the\n"
     "configuration and the operator's file again and takes what they allow, SIGTERM or SIGINT ends it: new "
     "work is taken for a moment\n"
     "longer, all that was taken is answered, and it exits with 0.\n",
     true, run_serve},
    {"relay", "pass the change stream on to directors until SIGTERM",
     "Needs an operator's file with relay/enabled. Answers GET /changes with the stream, or with 503 while "
     "it "
     "has none,\nand GET /_health with 200. SIGUSR1 prints the counters, SIGHUP reads the sources again.\n",
     true, run_relay},
    {"check", "read a configuration and say what would be served",
     "With --operator alone it looks at the operator's file alone.\n", true, run_check},
    {"schema", "print the JSON Schema of the operator's file", "", false, run_schema},
    {"version", "print the version", "", false, run_version},
};

void print_usage(std::FILE* to) {
  fmt::print(to, "usage: hareramp COMMAND [OPTIONS]\n\ncommands:\n");
  for (const Command& command : kCommands) fmt::print(to, "  {:<9} {}\n", command.name, command.what);
  fmt::print(to, "\nhareramp COMMAND --help tells the options of a command.\n");
}

int run(const Command& command, const std::vector<std::string>& words, std::FILE* out, std::FILE* err) {
  options::options_description known("options");
  known.add_options()("help", "print this");
  if (command.configured)
    known.add_options()("config", options::value<std::string>()->value_name("FILE"),
                        "the configuration; without it the one that EDGE_CONFIG names. EDGE_NAME and "
                        "EDGE_LISTEN go before what it says of name and address")(
        "operator", options::value<std::string>()->value_name("FILE"),
        "the operator's own file; without it the one that HARERAMP_OPERATOR names, if any");
  options::variables_map given;
  try {
    // A mistyped word must not be taken for an option's value, nor pass unseen.
    options::store(options::command_line_parser(words)
                       .options(known)
                       .positional(options::positional_options_description())
                       .run(),
                   given);
  } catch (const options::error& error) {
    fmt::print(err, "hareramp {}: {}\n", command.name, error.what());
    return 2;
  }
  if (given.count("help")) {
    std::ostringstream text;
    text << known;
    fmt::print(out, "usage: hareramp {} [OPTIONS]\n\n{}: {}.\n{}\n{}", command.name, command.name,
               command.what, command.more, text.str());
    return 0;
  }
  try {
    const auto text = [&](const char* name) {
      return given.count(name) ? given[name].as<std::string>() : "";
    };
    return command.run({text("config"), text("operator")}, out, err);
  } catch (const std::exception& error) {
    fmt::print(err, "hareramp {}: {}\n", command.name, error.what());
    return 1;
  }
}

}  // namespace

int run_command(int count, const char* const* words, std::FILE* out, std::FILE* err) {
  const std::vector<std::string> given(words + 1, words + count);
  if (given.empty()) {
    print_usage(err);
    return 2;
  }
  if (given[0] == "--help" || given[0] == "help") {
    print_usage(out);
    return 0;
  }
  const std::string asked = given[0] == "--version" ? "version" : given[0];
  for (const Command& command : kCommands)
    if (asked == command.name) return run(command, {given.begin() + 1, given.end()}, out, err);
  fmt::print(err, "hareramp: no command '{}'\n", given[0]);
  print_usage(err);
  return 2;
}

}  // namespace hareramp::program
