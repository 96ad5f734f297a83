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

constexpr std::size_t kDefaultMemory = 192 << 20;  // bytes; used where no configuration gives the memory

struct FilePaths {
  std::string config, operator_file;
};

struct Command {
  const char* name;
  const char* summary;
  const char* details;
  bool has_file_options;
  int (*run)(const FilePaths& paths, std::FILE* out, std::FILE* err);
};

int run_serve(const FilePaths& paths, std::FILE*, std::FILE* err) {
  Log log(fileno(err));
  return serve(load_config(paths.config), paths.config, paths.operator_file, log);
}

int run_relay(const FilePaths& paths, std::FILE*, std::FILE* err) {
  Log log(fileno(err));
  return relay(load_operator_file(paths.operator_file, kDefaultMemory), paths.operator_file, log);
}

void print_operator_file(const OperatorFile& file, std::FILE* out) {
  if (file.change_stream.enabled)
    fmt::print(out, "operator's file: change stream from {} relays\n", file.change_stream.relays.size());
  if (file.relay.enabled)
    fmt::print(out, "operator's file: change stream relay at {}, {} sources, at most {} subscribers\n",
               file.relay.listen.text(), file.relay.sources.size(), file.relay.subscribers_most);
  const flow::ExportSettings& flows = file.flow_export;
  if (!flows.enabled) return fmt::print(out, "operator's file: flow export is off\n");
  fmt::print(out, "operator's file: flow export to {} collectors, at most {} flows, {} networks, spool {}\n",
             flows.collectors.size(), flows.max_flows, flows.networks->size(),
             flows.spool.enabled ? flows.spool.directory : "off");
}

// Checks the configuration and the operator's file. The operator's file can be checked alone, without a
// configuration of the platform.
int run_check(const FilePaths& paths, std::FILE* out, std::FILE*) {
  const bool operator_file_only =
      paths.config.empty() && !std::getenv("EDGE_CONFIG") && !paths.operator_file.empty();
  if (operator_file_only) {
    print_operator_file(load_operator_file(paths.operator_file, kDefaultMemory), out);
    return 0;
  }
  const Config config = load_config(paths.config);
  const OperatorFile operator_file = load_operator_file(paths.operator_file, config.memory);
  fmt::print(out, "{}: would listen at {}, follow the change stream at {} after event {}\n", config.name,
             config.listen.text(), config.change_stream_source.text(), config.last_known_event);
  const auto list = [&](const char* label, const std::vector<std::string>& names) {
    fmt::print(out, "{}: {}\n", label, fmt::join(names, ", "));
  };
  list("request classes", config.names.request_classes);
  list("zones", config.names.zones);
  list("kinds", config.names.kinds);
  fmt::print(out, "limits: {} clients, {} connections to nodes, {} MB of answers waiting for slow clients\n",
             config.limits.max_clients, config.limits.max_node_connections,
             config.limits.max_pending_answers >> 20);
  if (!paths.operator_file.empty() || std::getenv("HARERAMP_OPERATOR"))
    print_operator_file(operator_file, out);
  return 0;
}

int run_schema(const FilePaths&, std::FILE* out, std::FILE*) {
  fmt::print(out, "{}", kOperatorSchema);
  return 0;
}

int run_version(const FilePaths&, std::FILE* out, std::FILE*) {
  fmt::print(out, "hareramp {}\n", HARERAMP_VERSION);
  return 0;
}

const Command kCommands[] = {
    {"serve", "serve requests until SIGTERM",
     "Answers GET /_health with 200 once it serves. SIGUSR1 prints the counters. SIGHUP reads the\n"
     "configuration and the operator's file again and applies what can change without a restart.\n"
     "On SIGTERM or SIGINT it accepts new requests for a moment longer, answers all accepted\n"
     "requests and exits with status 0.\n",
     true, run_serve},
    {"relay", "relay the change stream to directors until SIGTERM",
     "Needs an operator's file with relay/enabled. Answers GET /changes with the change stream, or with\n"
     "503 while it has none to serve, and GET /_health with 200. SIGUSR1 prints the counters. SIGHUP\n"
     "reads the operator's file again and applies its sources and log settings.\n",
     true, run_relay},
    {"check", "check a configuration and print what would be served",
     "With --operator and no configuration it checks only the operator's file.\n", true, run_check},
    {"schema", "print the JSON Schema of the operator's file", "", false, run_schema},
    {"version", "print the version", "", false, run_version},
};

void print_usage(std::FILE* to) {
  fmt::print(to, "usage: hareramp COMMAND [OPTIONS]\n\ncommands:\n");
  for (const Command& command : kCommands) fmt::print(to, "  {:<9} {}\n", command.name, command.summary);
  fmt::print(to, "\nRun 'hareramp COMMAND --help' for the options of a command.\n");
}

int run(const Command& command, const std::vector<std::string>& arguments, std::FILE* out, std::FILE* err) {
  options::options_description descriptions("options");
  descriptions.add_options()("help", "print this help");
  if (command.has_file_options)
    descriptions.add_options()(
        "config", options::value<std::string>()->value_name("FILE"),
        "the configuration file; default: the file named by EDGE_CONFIG. EDGE_NAME and "
        "EDGE_LISTEN override its name and its address to listen at")(
        "operator", options::value<std::string>()->value_name("FILE"),
        "the operator's file; default: the file named by HARERAMP_OPERATOR, if set");
  options::variables_map values;
  try {
    // No positional arguments are allowed, so that a mistyped word is neither taken for an option's value nor
    // ignored.
    options::store(options::command_line_parser(arguments)
                       .options(descriptions)
                       .positional(options::positional_options_description())
                       .run(),
                   values);
  } catch (const options::error& error) {
    fmt::print(err, "hareramp {}: {}\n", command.name, error.what());
    return 2;
  }
  if (values.count("help")) {
    std::ostringstream text;
    text << descriptions;
    fmt::print(out, "usage: hareramp {} [OPTIONS]\n\n{}: {}.\n{}\n{}", command.name, command.name,
               command.summary, command.details, text.str());
    return 0;
  }
  try {
    const auto option_value = [&](const char* name) {
      return values.count(name) ? values[name].as<std::string>() : "";
    };
    return command.run({option_value("config"), option_value("operator")}, out, err);
  } catch (const std::exception& error) {
    fmt::print(err, "hareramp {}: {}\n", command.name, error.what());
    return 1;
  }
}

}  // namespace

int run_command(int argument_count, const char* const* arguments, std::FILE* out, std::FILE* err) {
  const std::vector<std::string> user_arguments(arguments + 1, arguments + argument_count);
  if (user_arguments.empty()) {
    print_usage(err);
    return 2;
  }
  if (user_arguments[0] == "--help" || user_arguments[0] == "help") {
    print_usage(out);
    return 0;
  }
  const std::string requested = user_arguments[0] == "--version" ? "version" : user_arguments[0];
  for (const Command& command : kCommands)
    if (requested == command.name)
      return run(command, {user_arguments.begin() + 1, user_arguments.end()}, out, err);
  fmt::print(err, "hareramp: unknown command '{}'\n", user_arguments[0]);
  print_usage(err);
  return 2;
}

}  // namespace hareramp::program
