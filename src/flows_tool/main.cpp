// hareramp-flows: the command-line tool that collects flow records into an archive, reports on them and dumps
// them.
#include <fmt/chrono.h>
#include <fmt/format.h>
#include <signal.h>

#include <algorithm>
#include <boost/program_options.hpp>
#include <exception>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>

#include "flows_tool/archive.hpp"
#include "flows_tool/collector.hpp"
#include "transport/signals.hpp"

using namespace hareramp;
using namespace hareramp::flows_tool;
namespace options = boost::program_options;
using transport::Scheduler;
using transport::Task;

namespace {

struct UsageError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

transport::Address address_of(const std::string& text, const char* option) {
  const auto address = transport::Address::parse(text);
  if (!address) throw UsageError(fmt::format("--{}: '{}' is not an address with a port", option, text));
  return *address;
}

Task<> wait_for_stop(Scheduler& scheduler, transport::SignalSet& signals, const Collector& collector) {
  for (;;) {
    const int signal = co_await signals.next();
    fmt::print(stderr, "{}\n", collector.counts_line());
    if (signal != SIGUSR1) break;
  }
  scheduler.stop();
}

int collect(const options::variables_map& values) {
  signal(SIGPIPE, SIG_IGN);
  ArchiveBounds bounds;
  bounds.keep_hours = values["keep-hours"].as<double>();
  bounds.bytes = values["max-mb"].as<std::uint64_t>() << 20;
  Archive archive(values["archive"].as<std::string>(), bounds);
  Scheduler scheduler;
  scheduler.on_failure = [](std::exception_ptr failure) {
    try {
      std::rethrow_exception(failure);
    } catch (const std::exception& error) {
      fmt::print(stderr, "hareramp-flows: {}\n", error.what());
    }
  };
  transport::SignalSet signals(scheduler, {SIGTERM, SIGINT, SIGUSR1});
  Collector collector(scheduler, archive, values["enterprise"].as<std::uint32_t>(),
                      values["connections"].as<std::size_t>());
  std::string listening;
  if (const auto at = values["udp"].as<std::string>(); at != "off")
    listening += " udp " + collector.listen_udp(address_of(at, "udp")).text();
  if (const auto at = values["tcp"].as<std::string>(); at != "off")
    listening += " tcp " + collector.listen_tcp(address_of(at, "tcp")).text();
  fmt::print(stderr, "hareramp-flows: collecting at{}\n", listening);
  collector.start_committing(values["commit"].as<double>());
  scheduler.spawn(wait_for_stop(scheduler, signals, collector));
  scheduler.run();
  if (const std::size_t lost = archive.finish(); lost > 0) {
    fmt::print(stderr, "hareramp-flows: the archive could not store {} messages, which are lost: {}\n", lost,
               archive.last_error());
    return 1;
  }
  return 0;
}

const std::map<std::string, By> kBy = {{"depot", By::kLocation},    {"grade", By::kRequestClass},
                                       {"node", By::kNode},         {"part", By::kNodeRole},
                                       {"outcome", By::kOutcome},   {"note", By::kAnswerDetail},
                                       {"exporter", By::kExporter}, {"time", By::kTime}};

std::string csv_field(const std::string& text) {  // quoted by RFC 4180 if necessary
  if (text.find_first_of(",\"\n") == std::string::npos) return text;
  std::string all = "\"";
  for (const char c : text) all += c == '"' ? "\"\"" : std::string(1, c);
  return all + "\"";
}

int print_report(const options::variables_map& option_values) {
  ReportQuery query;
  std::vector<std::string> columns;
  std::istringstream key_list(option_values["by"].as<std::string>());
  for (std::string key; std::getline(key_list, key, ',');) {
    const auto known = kBy.find(key);
    if (known == kBy.end())
      throw UsageError(
          fmt::format("--by: '{}' is none of depot, grade, node, part, outcome, note, exporter, time", key));
    query.by.push_back(known->second);
    columns.push_back(key);
  }
  query.from = option_values["from"].as<double>();
  query.to = option_values["to"].as<double>();
  query.interval = option_values["interval"].as<double>();
  query.node_role = option_values["part"].as<std::string>();
  const std::string format = option_values["format"].as<std::string>();
  if (format != "table" && format != "csv" && format != "json")
    throw UsageError(fmt::format("--format: '{}' is none of table, csv, json", format));
  const auto lines = report(option_values["archive"].as<std::string>(), query);
  const std::vector<std::string> sum_names = {"records",    "flows",     "requests",
                                              "octets_out", "octets_in", "packets_out",
                                              "packets_in", "wire_out",  "wire_in"};
  const auto sums_of = [](const ReportLine& line) {
    return std::vector<std::uint64_t>{line.records,    line.flows,     line.requests,
                                      line.octets[0],  line.octets[1], line.packets[0],
                                      line.packets[1], line.wire[0],   line.wire[1]};
  };
  if (format == "json") {
    nlohmann::ordered_json all = nlohmann::ordered_json::array();
    for (const ReportLine& line : lines) {
      nlohmann::ordered_json object;
      for (std::size_t i = 0; i < columns.size(); ++i) object[columns[i]] = line.keys[i];
      const auto numbers = sums_of(line);
      for (std::size_t i = 0; i < sum_names.size(); ++i) object[sum_names[i]] = numbers[i];
      all.push_back(object);
    }
    fmt::print("{}\n", all.dump(2));
    return 0;
  }
  std::vector<std::vector<std::string>> cells = {columns};
  cells[0].insert(cells[0].end(), sum_names.begin(), sum_names.end());
  for (const ReportLine& line : lines) {
    cells.push_back(line.keys);
    for (const std::uint64_t value : sums_of(line)) cells.back().push_back(std::to_string(value));
  }
  std::vector<std::size_t> widths(cells[0].size());
  for (const auto& row : cells)
    for (std::size_t i = 0; i < row.size(); ++i) widths[i] = std::max(widths[i], row[i].size());
  for (const auto& row : cells) {
    std::string text;
    for (std::size_t i = 0; i < row.size(); ++i) {
      if (format == "csv")
        text += (i > 0 ? "," : "") + csv_field(row[i]);
      else if (i < columns.size())
        text += fmt::format("{:<{}}  ", row[i], widths[i]);
      else
        text += fmt::format("{:>{}}{}", row[i], widths[i], i + 1 < row.size() ? "  " : "");
    }
    fmt::print("{}\n", text);
  }
  return 0;
}

int dump(const options::variables_map& values) {
  std::int64_t remaining = values["most"].as<std::int64_t>();
  for (const std::string& path : partitions(values["archive"].as<std::string>())) {
    Database database(path, false);
    if (!database.has_schema()) continue;
    std::map<std::tuple<std::string, std::int64_t, std::int64_t, std::int64_t>, std::string> names;
    Statement name(database.raw(), "SELECT exporter, domain, kind, number, name FROM names");
    while (name.step())
      names[{name.text(0), name.integer(1), name.integer(2), name.integer(3)}] = name.text(4);
    Statement rows(database.raw(),
                   R"(SELECT m.exporter, m.domain, f.flow, f.initiator, f.initiator_port, f.responder,
        f.responder_port, f.start, f.end, f.reason, f.part, f.outcome, f.note, f.depot, f.node, f.grade, f.requests,
        f.octets_out, f.octets_in, f.packets_out, f.packets_in, f.wire_out, f.wire_in, f.total_out, f.total_in
        FROM flows f JOIN messages m ON m.id = f.message ORDER BY f.rowid)");
    while (remaining > 0 && rows.step()) {
      --remaining;
      const auto named = [&](std::int64_t kind, int column) {
        const auto found = names.find({rows.text(0), rows.integer(1), kind, rows.integer(column)});
        return found == names.end() ? "" : found->second;
      };
      nlohmann::ordered_json object = {{"exporter", rows.text(0)},
                                       {"domain", rows.integer(1)},
                                       {"flow", rows.integer(2)},
                                       {"initiator", rows.text(3)},
                                       {"initiator_port", rows.integer(4)},
                                       {"responder", rows.text(5)},
                                       {"responder_port", rows.integer(6)},
                                       {"start", rows.real(7)},
                                       {"end", rows.real(8)},
                                       {"reason", rows.integer(9)},
                                       {"part", node_role_name(static_cast<int>(rows.integer(10)))},
                                       {"outcome", outcome_name(static_cast<int>(rows.integer(11)))},
                                       {"note", answer_detail_name(static_cast<int>(rows.integer(12)))},
                                       {"depot", named(1, 13)},
                                       {"node", named(2, 14)},
                                       {"grade", named(3, 15)},
                                       {"requests", rows.integer(16)},
                                       {"octets_out", rows.integer(17)},
                                       {"octets_in", rows.integer(18)},
                                       {"packets_out", rows.integer(19)},
                                       {"packets_in", rows.integer(20)},
                                       {"wire_out", rows.integer(21)},
                                       {"wire_in", rows.integer(22)},
                                       {"total_out", rows.integer(23)},
                                       {"total_in", rows.integer(24)}};
      fmt::print("{}\n", object.dump());
    }
  }
  return 0;
}

struct Command {
  const char* name;
  const char* summary;
  int (*run)(const options::variables_map& values);
  options::options_description description;
};

std::vector<Command> commands() {
  std::vector<Command> all;
  options::options_description collecting("options"), reporting("options"), dumping("options");
  const auto archive = [] {
    return options::value<std::string>()->default_value("flows")->value_name("DIR");
  };
  collecting.add_options()("help", "print this help")("archive", archive(),
                                                      "directory of the archive, created if missing")(
      "udp", options::value<std::string>()->default_value("127.0.0.1:4739"), "address to listen on, or off")(
      "tcp", options::value<std::string>()->default_value("127.0.0.1:4739"), "address to listen on, or off")(
      "keep-hours", options::value<double>()->default_value(744), "hours of export time to keep")(
      "max-mb", options::value<std::uint64_t>()->default_value(10240),
      "maximum size of the archive in megabytes; the oldest hours are removed")(
      "connections", options::value<std::size_t>()->default_value(1024),
      "maximum number of simultaneous TCP connections")(
      "commit", options::value<double>()->default_value(0.25), "seconds between commits")(
      "enterprise", options::value<std::uint32_t>()->default_value(32473),
      "private enterprise number of hareramp");
  reporting.add_options()("help", "print this help")("archive", archive(), "directory of the archive")(
      "by", options::value<std::string>()->default_value("depot,grade"),
      "comma-separated columns to group by: depot, grade, node, part, outcome, note, exporter, time")(
      "part", options::value<std::string>()->default_value(""),
      "only records of this node role: client, edge, parent or origin")(
      "from", options::value<double>()->default_value(0),
      "Unix seconds; only records that end at or after this time")(
      "to", options::value<double>()->default_value(1e12),
      "Unix seconds; only records that end before this time")(
      "interval", options::value<double>()->default_value(3600),
      "length in seconds of an interval of the column time")(
      "format", options::value<std::string>()->default_value("table"), "table, csv or json");
  dumping.add_options()("help", "print this help")("archive", archive(), "directory of the archive")(
      "most", options::value<std::int64_t>()->default_value(100),
      "maximum number of records to print, one JSON object per line");
  all.push_back({"collect", "receive flow records over UDP and TCP into an archive, until SIGTERM", collect,
                 collecting});
  all.push_back(
      {"report", "sums of octets, packets, flows and requests in an archive", print_report, reporting});
  all.push_back({"dump", "print the records of an archive as JSON lines", dump, dumping});
  return all;
}

}  // namespace

int main(int argc, char** argv) {
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  const auto all = commands();
  const auto usage = [&](std::FILE* to) {
    fmt::print(to, "usage: hareramp-flows COMMAND [OPTIONS]\n\ncommands:\n");
    for (const Command& command : all) fmt::print(to, "  {:<8} {}\n", command.name, command.summary);
    fmt::print(to, "\nhareramp-flows COMMAND --help lists the options of a command.\n");
  };
  if (arguments.empty() || arguments[0] == "--help" || arguments[0] == "help") {
    usage(arguments.empty() ? stderr : stdout);
    return arguments.empty() ? 2 : 0;
  }
  for (const Command& command : all) {
    if (arguments[0] != command.name) continue;
    options::variables_map values;
    try {
      options::store(
          options::command_line_parser(std::vector<std::string>(arguments.begin() + 1, arguments.end()))
              .options(command.description)
              .positional(options::positional_options_description())
              .run(),
          values);
      if (values.count("help")) {
        std::ostringstream text;
        text << command.description;
        fmt::print("usage: hareramp-flows {0} [OPTIONS]\n\n{0}: {1}.\n\n{2}", command.name, command.summary,
                   text.str());
        return 0;
      }
      return command.run(values);
    } catch (const options::error& error) {
      fmt::print(stderr, "hareramp-flows {}: {}\n", command.name, error.what());
      return 2;
    } catch (const UsageError& error) {
      fmt::print(stderr, "hareramp-flows {}: {}\n", command.name, error.what());
      return 2;
    } catch (const std::exception& error) {
      fmt::print(stderr, "hareramp-flows {}: {}\n", command.name, error.what());
      return 1;
    }
  }
  fmt::print(stderr, "hareramp-flows: no command '{}'\n", arguments[0]);
  usage(stderr);
  return 2;
}
