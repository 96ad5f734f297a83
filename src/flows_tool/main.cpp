// hareramp-flows: collects flow records, reports on them, shows them.
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

struct BadCall : std::runtime_error {
  using std::runtime_error::runtime_error;
};

transport::Address address_of(const std::string& text, const char* option) {
  const auto address = transport::Address::parse(text);
  if (!address) throw BadCall(fmt::format("--{}: '{}' is not an address with a port", option, text));
  return *address;
}

Task<> until_told(Scheduler& scheduler, transport::SignalSet& signals, const Collector& collector) {
  for (;;) {
    const int signal = co_await signals.next();
    fmt::print(stderr, "{}\n", collector.counts_line());
    if (signal != SIGUSR1) break;
  }
  scheduler.stop();
}

int collect(const options::variables_map& given) {
  signal(SIGPIPE, SIG_IGN);
  ArchiveBounds bounds;
  bounds.keep_hours = given["keep-hours"].as<double>();
  bounds.bytes = given["max-mb"].as<std::uint64_t>() << 20;
  Archive archive(given["archive"].as<std::string>(), bounds);
  Scheduler scheduler;
  scheduler.on_failure = [](std::exception_ptr failure) {
    try {
      std::rethrow_exception(failure);
    } catch (const std::exception& error) {
      fmt::print(stderr, "hareramp-flows: {}\n", error.what());
    }
  };
  transport::SignalSet signals(scheduler, {SIGTERM, SIGINT, SIGUSR1});
  Collector collector(scheduler, archive, given["enterprise"].as<std::uint32_t>(),
                      given["connections"].as<std::size_t>());
  std::string where;
  if (const auto at = given["udp"].as<std::string>(); at != "off")
    where += " udp " + collector.listen_udp(address_of(at, "udp")).text();
  if (const auto at = given["tcp"].as<std::string>(); at != "off")
    where += " tcp " + collector.listen_tcp(address_of(at, "tcp")).text();
  fmt::print(stderr, "hareramp-flows: collecting at{}\n", where);
  collector.start_committing(given["commit"].as<double>());
  scheduler.spawn(until_told(scheduler, signals, collector));
  scheduler.run();
  if (const std::size_t lost = archive.finish(); lost > 0) {
    fmt::print(stderr, "hareramp-flows: {} messages lost, the archive does not take them: {}\n", lost,
               archive.last_error());
    return 1;
  }
  return 0;
}

const std::map<std::string, By> kBy = {{"depot", By::kLocation},    {"grade", By::kRequestClass},
                                       {"node", By::kNode},         {"part", By::kPart},
                                       {"outcome", By::kOutcome},   {"note", By::kNote},
                                       {"exporter", By::kExporter}, {"time", By::kTime}};

std::string quoted(const std::string& text) {  // RFC 4180
  if (text.find_first_of(",\"\n") == std::string::npos) return text;
  std::string all = "\"";
  for (const char c : text) all += c == '"' ? "\"\"" : std::string(1, c);
  return all + "\"";
}

int print_report(const options::variables_map& given) {
  ReportQuery query;
  std::vector<std::string> columns;
  std::istringstream words(given["by"].as<std::string>());
  for (std::string word; std::getline(words, word, ',');) {
    const auto known = kBy.find(word);
    if (known == kBy.end())
      throw BadCall(
          fmt::format("--by: '{}' is none of depot, grade, node, part, outcome, note, exporter, time", word));
    query.by.push_back(known->second);
    columns.push_back(word);
  }
  query.from = given["from"].as<double>();
  query.to = given["to"].as<double>();
  query.interval = given["interval"].as<double>();
  query.part = given["part"].as<std::string>();
  const std::string form = given["format"].as<std::string>();
  if (form != "table" && form != "csv" && form != "json")
    throw BadCall(fmt::format("--format: '{}' is none of table, csv, json", form));
  const auto lines = report(given["archive"].as<std::string>(), query);
  const std::vector<std::string> figures = {"records",    "flows",     "requests",
                                            "octets_out", "octets_in", "packets_out",
                                            "packets_in", "wire_out",  "wire_in"};
  const auto values = [](const ReportLine& line) {
    return std::vector<std::uint64_t>{line.records,    line.flows,     line.requests,
                                      line.octets[0],  line.octets[1], line.packets[0],
                                      line.packets[1], line.wire[0],   line.wire[1]};
  };
  if (form == "json") {
    nlohmann::ordered_json all = nlohmann::ordered_json::array();
    for (const ReportLine& line : lines) {
      nlohmann::ordered_json one;
      for (std::size_t i = 0; i < columns.size(); ++i) one[columns[i]] = line.keys[i];
      const auto numbers = values(line);
      for (std::size_t i = 0; i < figures.size(); ++i) one[figures[i]] = numbers[i];
      all.push_back(one);
    }
    fmt::print("{}\n", all.dump(2));
    return 0;
  }
  std::vector<std::vector<std::string>> cells = {columns};
  cells[0].insert(cells[0].end(), figures.begin(), figures.end());
  for (const ReportLine& line : lines) {
    cells.push_back(line.keys);
    for (const std::uint64_t value : values(line)) cells.back().push_back(std::to_string(value));
  }
  std::vector<std::size_t> widths(cells[0].size());
  for (const auto& row : cells)
    for (std::size_t i = 0; i < row.size(); ++i) widths[i] = std::max(widths[i], row[i].size());
  for (const auto& row : cells) {
    std::string text;
    for (std::size_t i = 0; i < row.size(); ++i) {
      if (form == "csv")
        text += (i > 0 ? "," : "") + quoted(row[i]);
      else if (i < columns.size())
        text += fmt::format("{:<{}}  ", row[i], widths[i]);
      else
        text += fmt::format("{:>{}}{}", row[i], widths[i], i + 1 < row.size() ? "  " : "");
    }
    fmt::print("{}\n", text);
  }
  return 0;
}

int dump(const options::variables_map& given) {
  std::int64_t left = given["most"].as<std::int64_t>();
  for (const std::string& path : partitions(given["archive"].as<std::string>())) {
    Database database(path, false);
    if (!database.has_schema()) continue;
    std::map<std::tuple<std::string, std::int64_t, std::int64_t, std::int64_t>, std::string> names;
    Statement name(database.raw(), "SELECT exporter, domain, kind, number, name FROM names");
    while (name.step()) names[{name.text(0), name.whole(1), name.whole(2), name.whole(3)}] = name.text(4);
    Statement rows(database.raw(),
                   R"(SELECT m.exporter, m.domain, f.flow, f.initiator, f.initiator_port, f.responder,
        f.responder_port, f.start, f.end, f.reason, f.part, f.outcome, f.note, f.depot, f.node, f.grade, f.requests,
        f.octets_out, f.octets_in, f.packets_out, f.packets_in, f.wire_out, f.wire_in, f.total_out, f.total_in
        FROM flows f JOIN messages m ON m.id = f.message ORDER BY f.rowid)");
    while (left > 0 && rows.step()) {
      --left;
      const auto named = [&](std::int64_t kind, int column) {
        const auto found = names.find({rows.text(0), rows.whole(1), kind, rows.whole(column)});
        return found == names.end() ? "" : found->second;
      };
      nlohmann::ordered_json one = {{"exporter", rows.text(0)},
                                    {"domain", rows.whole(1)},
                                    {"flow", rows.whole(2)},
                                    {"initiator", rows.text(3)},
                                    {"initiator_port", rows.whole(4)},
                                    {"responder", rows.text(5)},
                                    {"responder_port", rows.whole(6)},
                                    {"start", rows.real(7)},
                                    {"end", rows.real(8)},
                                    {"reason", rows.whole(9)},
                                    {"part", part_name(static_cast<int>(rows.whole(10)))},
                                    {"outcome", outcome_name(static_cast<int>(rows.whole(11)))},
                                    {"note", note_name(static_cast<int>(rows.whole(12)))},
                                    {"depot", named(1, 13)},
                                    {"node", named(2, 14)},
                                    {"grade", named(3, 15)},
                                    {"requests", rows.whole(16)},
                                    {"octets_out", rows.whole(17)},
                                    {"octets_in", rows.whole(18)},
                                    {"packets_out", rows.whole(19)},
                                    {"packets_in", rows.whole(20)},
                                    {"wire_out", rows.whole(21)},
                                    {"wire_in", rows.whole(22)},
                                    {"total_out", rows.whole(23)},
                                    {"total_in", rows.whole(24)}};
      fmt::print("{}\n", one.dump());
    }
  }
  return 0;
}

struct Command {
  const char* name;
  const char* what;
  int (*run)(const options::variables_map& given);
  options::options_description known;
};

std::vector<Command> commands() {
  std::vector<Command> all;
  options::options_description collecting("options"), reporting("options"), dumping("options");
  const auto archive = [] {
    return options::value<std::string>()->default_value("flows")->value_name("DIR");
  };
  collecting.add_options()("help", "print this")("archive", archive(),
                                                 "where the archive is, made if missing")(
      "udp", options::value<std::string>()->default_value("127.0.0.1:4739"), "address to listen at, or off")(
      "tcp", options::value<std::string>()->default_value("127.0.0.1:4739"), "address to listen at, or off")(
      "keep-hours", options::value<double>()->default_value(744), "hours of export time that are kept")(
      "max-mb", options::value<std::uint64_t>()->default_value(10240),
      "megabytes of the archive; the oldest hours go")(
      "connections", options::value<std::size_t>()->default_value(1024), "TCP exporters at once")(
      "commit", options::value<double>()->default_value(0.25), "seconds between commits")(
      "enterprise", options::value<std::uint32_t>()->default_value(32473),
      "private enterprise number of hareramp");
  reporting.add_options()("help", "print this")("archive", archive(), "where the archive is")(
      "by", options::value<std::string>()->default_value("depot,grade"),
      "what to add up by, with commas: depot, grade, node, part, outcome, note, exporter, time")(
      "part", options::value<std::string>()->default_value(""), "only client, edge, parent or origin")(
      "from", options::value<double>()->default_value(0), "Unix seconds: records that end from then on")(
      "to", options::value<double>()->default_value(1e12), "Unix seconds: and before then")(
      "interval", options::value<double>()->default_value(3600), "seconds of a step of time")(
      "format", options::value<std::string>()->default_value("table"), "table, csv or json");
  dumping.add_options()("help", "print this")("archive", archive(), "where the archive is")(
      "most", options::value<std::int64_t>()->default_value(100), "records to print, one JSON object a line");
  all.push_back(
      {"collect", "take flow records by UDP and TCP into an archive, until SIGTERM", collect, collecting});
  all.push_back(
      {"report", "octets, packets, flows and requests of an archive, added up", print_report, reporting});
  all.push_back({"dump", "the records of an archive as JSON lines", dump, dumping});
  return all;
}

}  // namespace

int main(int count, char** words) {
  const std::vector<std::string> given(words + 1, words + count);
  const auto all = commands();
  const auto usage = [&](std::FILE* to) {
    fmt::print(to, "usage: hareramp-flows COMMAND [OPTIONS]\n\ncommands:\n");
    for (const Command& command : all) fmt::print(to, "  {:<8} {}\n", command.name, command.what);
    fmt::print(to, "\nhareramp-flows COMMAND --help tells the options of a command.\n");
  };
  if (given.empty() || given[0] == "--help" || given[0] == "help") {
    usage(given.empty() ? stderr : stdout);
    return given.empty() ? 2 : 0;
  }
  for (const Command& command : all) {
    if (given[0] != command.name) continue;
    options::variables_map values;
    try {
      options::store(options::command_line_parser(std::vector<std::string>(given.begin() + 1, given.end()))
                         .options(command.known)
                         .positional(options::positional_options_description())
                         .run(),
                     values);
      if (values.count("help")) {
        std::ostringstream text;
        text << command.known;
        fmt::print("usage: hareramp-flows {0} [OPTIONS]\n\n{0}: {1}.\n\n{2}", command.name, command.what,
                   text.str());
        return 0;
      }
      return command.run(values);
    } catch (const options::error& error) {
      fmt::print(stderr, "hareramp-flows {}: {}\n", command.name, error.what());
      return 2;
    } catch (const BadCall& error) {
      fmt::print(stderr, "hareramp-flows {}: {}\n", command.name, error.what());
      return 2;
    } catch (const std::exception& error) {
      fmt::print(stderr, "hareramp-flows {}: {}\n", command.name, error.what());
      return 1;
    }
  }
  fmt::print(stderr, "hareramp-flows: no command '{}'\n", given[0]);
  usage(stderr);
  return 2;
}
