#include "capacity/report.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <deque>
#include <set>
#include <stdexcept>
#include <vector>

#include "capacity/fit.hpp"
#include "capacity/table.hpp"

namespace hareramp::capacity {

namespace {

// The deployment size to design for.
constexpr double kDirectors = 4500, kNodes = 460, kPurgesPerS = 100, kRequestsPerS = 778, kObjectKb = 193;
constexpr double kRegions = 13, kHourOfPurges = 360'000, kRestartsPerDay = 1100, kDay = 86'400;
constexpr double kConfigurationChangesPerDay = 5000;
constexpr double kRegionDirectors = 346;
constexpr double kMachines = 18;
// Budgets of a director's control traffic, and of the time until a purge or a configuration is in force.
constexpr double kControlProcessor = 0.02, kControlMb = 64, kControlKbPerS = 8, kPurgeInForceS = 2.3;
constexpr double kConfigurationInForceS = 17;
constexpr double kSmallestPlatformMb = 32;
// Number of subscribers above which the source's single thread is saturated.
constexpr double kSourceSaturatedSubscribers = 1000;
constexpr double kNoLimit = 1e18;

struct Fitted {
  std::string label, file, x, y;
  std::map<std::string, double> where;
  Line line;
  double largest = 0;  // largest x that was measured
  std::size_t points = 0;
};

class Results {
 public:
  explicit Results(std::string folder) : folder_(std::move(folder)) {}

  const Table& table(const std::string& name) {
    const auto found = tables_.find(name);
    if (found != tables_.end()) return found->second;
    return tables_.emplace(name, Table::load(folder_ + "/" + name + ".csv")).first->second;
  }
  // The value of the column in the row whose first column equals `first`.
  double value(const std::string& name, double first, const std::string& column) {
    const Table& all = table(name);
    for (const auto& row : all.rows())
      if (row[0] == first) return row[all.column(column)];
    throw std::runtime_error(fmt::format("{}: no row {}", name, first));
  }
  // Fits a line to two columns of a table. Points with x above max_x are left out: the measured process is
  // saturated there and the relation is no longer linear.
  const Fitted& line(const std::string& label, const std::string& name, const std::string& x,
                     const std::string& y, const std::map<std::string, double>& where = {},
                     double max_x = kNoLimit) {
    auto points = table(name).points(x, y, where);
    std::erase_if(points, [max_x](const auto& point) { return point.first > max_x; });
    Fitted fitted{label, name, x, y, where, fit(points), 0, points.size()};
    for (const auto& point : points) fitted.largest = std::max(fitted.largest, point.first);
    lines_.push_back(fitted);
    return lines_.back();
  }
  const std::deque<Fitted>& lines() const { return lines_; }
  const std::map<std::string, Table>& tables() const { return tables_; }

 private:
  std::string folder_;
  std::map<std::string, Table> tables_;
  std::deque<Fitted> lines_;  // a deque, since line() returns references to its elements
};

std::string describe_range(const Fitted& fitted, double x) {
  if (x <= fitted.largest) return fmt::format("measured to {:.0f}", fitted.largest);
  return fmt::format("extrapolated {:.1f} times, from {:.0f}", x / fitted.largest, fitted.largest);
}

// A row of the table of budgets of one part.
struct Row {
  std::string label;
  double value = 0;
  std::string unit;
  double budget = 0;  // 0: no budget is set
  std::string formula, measured, component;
};
std::string rows_as_text(const std::vector<Row>& rows) {
  std::string text =
      "| what | at the size | budget | | formula | measured | carried by |\n"
      "| --- | --- | --- | --- | --- | --- | --- |\n";
  for (const Row& row : rows)
    text += fmt::format("| {} | {:.4g} {} | {} | {} | {} | {} | {} |\n", row.label, row.value, row.unit,
                        row.budget > 0 ? fmt::format("{:.4g}", row.budget) : "-",
                        row.budget <= 0           ? "no budget set"
                        : row.value <= row.budget ? "holds"
                                                  : "**exceeds**",
                        row.formula, row.measured, row.component);
  return text;
}

Row at_size(const Fitted& fitted, const std::string& label, double x, const std::string& unit, double budget,
            const std::string& component) {
  return {label,
          fitted.line.at(x),
          unit,
          budget,
          fmt::format("{:.4g} + {:.4g} x {:.0f} {}", fitted.line.intercept, fitted.line.slope, x, fitted.x),
          fmt::format("{}: {}", fitted.file, describe_range(fitted, x)),
          component};
}

std::string director_block(Results& results) {
  std::vector<Row> rows;
  rows.push_back(at_size(results.line("a director's memory", "director_nodes", "nodes", "real_mb"),
                         "memory at rest", kNodes, "MB", kControlMb, "routing/, policy"));
  rows.push_back(
      at_size(results.line("a simulated director's memory", "director_nodes", "nodes", "simulated_mb"),
              "of it what a simulated one has too", kNodes, "MB", 0, "-"));
  rows.push_back(
      at_size(results.line("a director's start", "director_nodes", "nodes", "real_start_processor_s"),
              "processor time of a start", kNodes, "s", 0, "routing/, policy"));
  rows.push_back(at_size(
      results.line("control by purges, straight", "director_purges", "purges_per_s", "real_processor"),
      "control, straight from the source", kPurgesPerS, "cores", kControlProcessor,
      "distribution/subscription"));
  rows.push_back(at_size(results.line("the same of a simulated director", "director_purges", "purges_per_s",
                                      "simulated_processor"),
                         "the same of a simulated director", kPurgesPerS, "cores", kControlProcessor, "-"));
  rows.push_back(at_size(
      results.line("control bytes by purges, straight", "director_purges", "purges_per_s", "real_kb_per_s"),
      "control, straight from the source", kPurgesPerS, "KB/s", kControlKbPerS, "distribution/subscription"));
  const double relayed_kb = results.value("relay_subscribers", kDirectors, "kb_per_s") / kDirectors;
  rows.push_back({"control, gzip from a relay", relayed_kb, "KB/s", kControlKbPerS,
                  fmt::format("relay's KB/s at {:.0f} subscribers / {:.0f}", kDirectors, kDirectors),
                  "relay_subscribers: measured at 4500", "distribution/relay"});
  rows.push_back({"control, gzip from a relay",
                  results.value("relay_subscribers", kDirectors, "director_processor"), "cores",
                  kControlProcessor, "a simulated director's, with 4500 on the machine",
                  "relay_subscribers: measured at 4500", "distribution/subscription"});
  rows.push_back({"peak after an hour's cut, before",
                  results.value("catch_up_before", kHourOfPurges, "peak_mb"), "MB", kSmallestPlatformMb,
                  "highest resident memory", "catch_up_before: measured at 360000", "-"});
  rows.push_back({"peak after an hour's cut, at the source",
                  results.value("catch_up", kHourOfPurges, "peak_mb"), "MB", kSmallestPlatformMb,
                  "highest resident memory", "catch_up: measured at 360000", "distribution/subscription"});
  rows.push_back({"peak after an hour's cut, at a relay",
                  results.value("relay_catch_up", kHourOfPurges, "peak_mb"), "MB", kSmallestPlatformMb,
                  "highest resident memory", "relay_catch_up: measured at 360000", "distribution/snapshot"});
  const Fitted& small_requests = results.line("requests with 1 KB", "requests", "requests_per_s",
                                              "director_processor", {{"body_kb", 1}});
  const Fitted& large_requests = results.line("requests with 193 KB", "requests", "requests_per_s",
                                              "director_processor", {{"body_kb", kObjectKb}});
  rows.push_back(
      at_size(small_requests, "requests with 1 KB", kRequestsPerS, "cores", 1, "routing/, policy"));
  rows.push_back(at_size(large_requests, "requests with 193 KB", kRequestsPerS, "cores", 1, "routing/"));
  const double small = small_requests.line.slope, large = large_requests.line.slope;
  rows.push_back({"of it a MB of body", (large - small) / ((kObjectKb - 1) / 1024), "s", 0,
                  "difference of the two slopes over the difference of the bodies", "requests", "routing/"});
  const auto thrice = results.table("requests")
                          .points("requests_per_s", "director_processor",
                                  {{"body_kb", kObjectKb}, {"requests_per_s", 3 * kRequestsPerS}});
  rows.push_back({"three times the mean, 193 KB", thrice.at(0).second, "cores", 1, "-",
                  "requests: measured at 2334", "routing/"});
  return rows_as_text(rows);
}

std::string source_block(Results& results) {
  std::vector<Row> rows;
  rows.push_back(at_size(results.line("the source by subscribers", "source_subscribers", "subscribers",
                                      "server_processor", {}, kSourceSaturatedSubscribers),
                         "source, all directors straight", kDirectors, "cores", 1, "the operators' source"));
  rows.push_back(at_size(results.line("the source's bytes by subscribers", "source_subscribers",
                                      "subscribers", "kb_per_s", {}, kSourceSaturatedSubscribers),
                         "source, all directors straight", kDirectors, "KB/s", 0, "the operators' source"));
  rows.push_back({"source, all directors straight, as it went",
                  results.value("source_subscribers", kDirectors, "server_processor"), "cores", 1,
                  "one thread, full", "source_subscribers: measured at 4500", "-"});
  rows.push_back({"source, all directors straight, as it went",
                  results.value("source_subscribers", kDirectors, "kb_per_s"), "KB/s", 0, "what got through",
                  "source_subscribers: measured at 4500", "-"});
  rows.push_back({"source, all directors straight", results.value("source_subscribers", kDirectors, "p99_s"),
                  "s, p99", kPurgeInForceS, "issue to the module", "source_subscribers: measured at 4500",
                  "-"});
  rows.push_back({"source, all directors straight",
                  results.value("source_subscribers", kDirectors, "delivered_share"), "of purges told", 0,
                  "by the end of the span", "source_subscribers: measured at 4500", "-"});
  rows.push_back(at_size(results.line("the source by purges/s, 300 subscribers", "source_rate",
                                      "purges_per_s", "server_processor"),
                         "source, 300 subscribers", kPurgesPerS, "cores", 1, "the operators' source"));
  rows.push_back(
      at_size(results.line("a relay by subscribers", "relay_subscribers", "subscribers", "server_processor"),
              "relay of a region", kRegionDirectors, "cores", 1, "distribution/relay"));
  rows.push_back({"relay, all directors at one",
                  results.value("relay_subscribers", kDirectors, "server_processor"), "cores", 1, "-",
                  "relay_subscribers: measured at 4500", "distribution/relay"});
  rows.push_back({"relay, all directors at one", results.value("relay_subscribers", kDirectors, "p99_s"),
                  "s, p99", kPurgeInForceS, "issue to the module", "relay_subscribers: measured at 4500",
                  "distribution/relay"});
  rows.push_back({"relay, all directors at one", results.value("relay_subscribers", kDirectors, "most_s"),
                  "s, most", kPurgeInForceS, "issue to the module", "relay_subscribers: measured at 4500",
                  "distribution/relay"});
  rows.push_back({"relay, all directors at one", results.value("relay_subscribers", kDirectors, "server_mb"),
                  "MB", 0, "resident", "relay_subscribers: measured at 4500",
                  "distribution/window, snapshot"});
  rows.push_back(
      at_size(results.line("a relay's bytes by subscribers", "relay_subscribers", "subscribers", "kb_per_s"),
              "relay of a region", kRegionDirectors, "KB/s", 0, "distribution/relay"));
  rows.push_back(at_size(
      results.line("a relay by purges/s, 300 subscribers", "relay_rate", "purges_per_s", "server_processor"),
      "relay, 300 subscribers", kPurgesPerS, "cores", 1, "distribution/relay"));
  rows.push_back({"machines: a relay each region, two roots", kRegions + 2, "machines", kMachines,
                  "13 regions + 2", "by count", "distribution/relay"});
  return rows_as_text(rows);
}

const Fitted& region_stream(Results& results) {
  return results.line("a region's catch-up at the source", "catch_up_region", "purges", "stream_mb");
}

std::string catch_up_block(Results& results) {
  struct Variant {
    std::string name, single_director, region;
  };
  const std::vector<Variant> variants = {{"before", "catch_up_before", ""},
                                         {"source, read in slices", "catch_up", "catch_up_region"},
                                         {"relay", "relay_catch_up", "relay_catch_up_region"}};
  std::string text =
      "| 360,000 purges and 24 node changes behind | events | KB | seconds | director's processor s | "
      "director's peak MB | server's processor s | p99 of requests at rest, meanwhile |\n"
      "| --- | --- | --- | --- | --- | --- | --- | --- |\n";
  for (const Variant& variant : variants) {
    const auto at = [&](const char* column) {
      return results.value(variant.single_director, kHourOfPurges, column);
    };
    text += fmt::format("| {} | {:.0f} | {:.0f} | {:.2f} | {:.2f} | {:.1f} | {:.2f} | {:.1f}, {:.1f} ms |\n",
                        variant.name, at("events"), at("stream_kb"), at("caught_up_s"),
                        at("director_processor_s"), at("peak_mb"), at("server_processor_s"),
                        1000 * at("p99_rest_s"), 1000 * at("p99_meanwhile_s"));
  }
  const Fitted& source = region_stream(results);
  const Fitted& processor_time =
      results.line("the source's processor time for it", "catch_up_region", "purges", "server_processor_s");
  text += fmt::format(
      "\nA region's 346 directors together: at the source {:.0f} MB and {:.0f} s of its processor ({}, {}); "
      "at a relay "
      "{:.1f} MB and {:.2f} s, all ready after {:.2f} s (relay_catch_up_region, measured at 360000).\n",
      source.line.at(kHourOfPurges), processor_time.line.at(kHourOfPurges), "catch_up_region",
      describe_range(source, kHourOfPurges),
      results.value("relay_catch_up_region", kHourOfPurges, "stream_mb"),
      results.value("relay_catch_up_region", kHourOfPurges, "server_processor_s"),
      results.value("relay_catch_up_region", kHourOfPurges, "caught_up_s"));
  return text;
}

std::string failures_block(Results& results) {
  const double start_mb = results.value("relay_subscribers", 1000, "start_mb") / 1000;
  const double start_processor = results.value("relay_subscribers", 1000, "start_server_processor_s") / 1000;
  std::string text =
      "| event | how often | what it costs | who pays | from |\n| --- | --- | --- | --- | --- |\n";
  const auto row = [&](const std::string& event, const std::string& frequency, const std::string& cost,
                       const std::string& bearer, const std::string& from) {
    text += fmt::format("| {} | {} | {} | {} | {} |\n", event, frequency, cost, bearer, from);
  };
  row("a node fails", "8 a day",
      fmt::format("one change: {:.2f} KB to all directors together, uncompressed", kDirectors * 0.2),
      "relays", "an entry of some 0.2 KB, not measured");
  row("a director restarts", "1,100 a day",
      fmt::format("{:.1f} KB and {:.2f} ms of a relay each; {:.0f} MB and {:.1f} s a day, one every {:.0f} s",
                  1024 * start_mb, 1000 * start_processor, kRestartsPerDay * start_mb,
                  kRestartsPerDay * start_processor, kDay / kRestartsPerDay),
      "the region's relay", "relay_subscribers: start of 1000");
  row("1,000 start in the same second", "a release",
      fmt::format("all ready after {:.2f} s at a relay, {:.2f} s at the source",
                  results.value("relay_subscribers", 1000, "ready_s"),
                  results.value("source_subscribers", 1000, "ready_s")),
      "relays", "relay_subscribers, source_subscribers: start of 1000");
  row("a relay's machine fails", "of the 8 a day",
      fmt::format("its directors go on at another; latest purge {:.2f} s after its issue, {:.0f} late, "
                  "{:.0f} missing",
                  results.value("relay_faults", 1, "latest_s"), results.value("relay_faults", 1, "late"),
                  results.value("relay_faults", 1, "missing")),
      "the other relay", "relay_faults: fault 1");
  row("a relay stands still for 10 s", "-",
      fmt::format("latest purge {:.2f} s after its issue, {:.0f} late, {:.0f} missing",
                  results.value("relay_faults", 2, "latest_s"), results.value("relay_faults", 2, "late"),
                  results.value("relay_faults", 2, "missing")),
      "its directors, until they hear the silence", "relay_faults: fault 2");
  row("regions lose each other for an hour", "now and then",
      fmt::format("{:.1f} MB for the region's directors when it heals, in place of {:.0f} MB",
                  results.value("relay_catch_up_region", kHourOfPurges, "stream_mb"),
                  region_stream(results).line.at(kHourOfPurges)),
      "the region's relay", "relay_catch_up_region");
  row("a rack or a zone", "weekly, every other month",
      "not measured; nodes' changes as above, requests elsewhere", "the other zones' nodes", "-");
  return text;
}

const char* fault_name(int fault) {
  constexpr const char* kNames[] = {"none",
                                    "a relay killed, back after 5 s",
                                    "a relay stopped for 10 s",
                                    "one relay's answers cut off for 8 s",
                                    "the source restarted, counting from 1",
                                    "50 subscribers that never read",
                                    "both relays killed in turn, four times",
                                    "a region cut off for 20 s and 360,000 purges"};
  return kNames[fault];
}

std::string faults_block(Results& results) {
  const Table& all = results.table("relay_faults");
  std::string text =
      "| fault | directors | purges issued | not yet told at the end | missing | lapsed unheard | twice | "
      "out of order | later than 2.3 s | latest | director, relay: peak MB | bounds broken |\n"
      "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
  for (const auto& row : all.rows()) {
    const auto at = [&](const char* column) { return row[all.column(column)]; };
    text += fmt::format(
        "| {} | {:.0f} | {:.0f} | {:.0f} | {:.0f} | {:.0f} | {:.0f} | {:.0f} | {:.0f} | {:.2f} s | {:.1f}, "
        "{:.1f} | "
        "{:.0f} |\n",
        fault_name(static_cast<int>(at("fault"))), at("directors"), at("issued"), at("behind"), at("missing"),
        at("lapsed_unheard"), at("twice"), at("out_of_order"), at("late"), at("latest_s"),
        at("director_peak_mb"), at("relay_peak_mb"), at("bounds_broken"));
  }
  return text;
}

std::string quota_block(Results& results) {
  const Table& all = results.table("cold_quota");
  std::string text =
      "| directors | requests each may send a cold parent in 3 s | all together | it bears |\n"
      "| --- | --- | --- | --- |\n";
  for (const auto& row : all.rows())
    text += fmt::format("| {:.0f} | {:.0f} | {:.0f} | {:.0f} |\n", row[0], row[1], row[2], row[3]);
  return text;
}

std::string ranking_block(Results& results) {
  struct MissingMechanism {
    std::string label, figure, state;
    double need_over_budget = 0;  // required value divided by the budget
  };
  const double bytes =
      results.line("ranking: control bytes", "director_purges", "purges_per_s", "real_kb_per_s")
          .line.at(kPurgesPerS);
  const double peak = results.value("catch_up_before", kHourOfPurges, "peak_mb");
  const double source = results
                            .line("ranking: the source", "source_subscribers", "subscribers",
                                  "server_processor", {}, kSourceSaturatedSubscribers)
                            .line.at(kDirectors);
  const double each = results.value("cold_quota", kDirectors, "attempts_each");
  std::vector<MissingMechanism> all = {
      {"distribution of the change stream",
       fmt::format(
           "peak {:.0f} of {:.0f} MB after an hour's cut, {:.2f} of {:.0f} KB/s, {:.1f} cores of the source",
           peak, kSmallestPlatformMb, bytes, kControlKbPerS, source),
       "built: distribution/", std::max({peak / kSmallestPlatformMb, bytes / kControlKbPerS, source})},
      {"configuration to all directors within 17 s",
       fmt::format(
           "{:.0f} changes a day x {:.0f} directors: {:.0f} files and SIGHUPs a second, by a tool of the "
           "operator's that waits for none of them; nothing of ours says when one is in force",
           kConfigurationChangesPerDay, kDirectors, kConfigurationChangesPerDay * kDirectors / kDay),
       "missing", kConfigurationChangesPerDay * kDirectors / kDay / kDirectors * kConfigurationInForceS},
      {"quotas leased by need",
       fmt::format("{:.0f} request each in 3 s at {:.0f} directors, whatever its traffic", each, kDirectors),
       "missing", each > 0 ? 1 / each : 1}};
  std::stable_sort(all.begin(), all.end(),
                   [](const auto& a, const auto& b) { return a.need_over_budget > b.need_over_budget; });
  std::string text =
      "| rank | mechanism | need over budget | figure | state |\n| --- | --- | --- | --- | --- |\n";
  for (std::size_t index = 0; index < all.size(); ++index)
    text += fmt::format("| {} | {} | {:.1f} | {} | {} |\n", index + 1, all[index].label,
                        all[index].need_over_budget, all[index].figure, all[index].state);
  return text;
}

std::string slopes_block(Results& results) {
  std::string text =
      "| line | table: x, y | points | slope | intercept | R squared |\n"
      "| --- | --- | --- | --- | --- | --- |\n";
  std::set<std::string> shown;
  for (const Fitted& fitted : results.lines()) {
    if (fitted.label.starts_with("ranking") || !shown.insert(fitted.label).second) continue;
    text += fmt::format("| {} | {}: {}, {} | {} | {:.4g} | {:.4g} | {:.3f} |\n", fitted.label, fitted.file,
                        fitted.x, fitted.y, fitted.points, fitted.line.slope, fitted.line.intercept,
                        fitted.line.r_squared);
  }
  return text;
}

std::string commands_block(Results& results) {
  std::string text = "| table | command |\n| --- | --- |\n";
  for (const auto& [name, table] : results.tables())
    text += fmt::format("| {}.csv | `{}` |\n", name, table.command());
  return text;
}

}  // namespace

std::map<std::string, std::string> report_blocks(const std::string& folder) {
  Results results(folder);
  std::map<std::string, std::string> blocks;
  blocks["director"] = director_block(results);
  blocks["source"] = source_block(results);
  blocks["catch_up"] = catch_up_block(results);
  blocks["failures"] = failures_block(results);
  blocks["faults"] = faults_block(results);
  blocks["quota"] = quota_block(results);
  blocks["ranking"] = ranking_block(results);
  blocks["slopes"] = slopes_block(results);
  blocks["commands"] = commands_block(results);
  return blocks;
}

std::string fill_page(const std::string& page, const std::map<std::string, std::string>& blocks) {
  const std::string block_begin = "<!-- block ", block_end = "<!-- end -->";
  std::string filled;
  std::set<std::string> filled_blocks;
  std::size_t at = 0;
  for (auto begin = page.find(block_begin); begin != std::string::npos; begin = page.find(block_begin, at)) {
    const auto name_at = begin + block_begin.size();
    const auto name_end = page.find(" -->\n", name_at), end = page.find(block_end, name_at);
    if (name_end == std::string::npos || end == std::string::npos || name_end > end)
      throw std::runtime_error("a block of the page does not end");
    const std::string name = page.substr(name_at, name_end - name_at);
    const auto block = blocks.find(name);
    if (block == blocks.end()) throw std::runtime_error("the page has a block that is not made: " + name);
    filled_blocks.insert(name);
    filled += page.substr(at, name_end + 5 - at) + block->second;
    at = end;
  }
  for (const auto& [name, text] : blocks)
    if (!filled_blocks.contains(name)) throw std::runtime_error("the page has no block " + name);
  return filled + page.substr(at);
}

}  // namespace hareramp::capacity
