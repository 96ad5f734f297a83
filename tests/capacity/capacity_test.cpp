// Tests of the capacity experiment: docs/CAPACITY.md agrees with the committed tables, the arithmetic is
// correct, and measurements at a small size keep bounds on counts and ratios.
#include <filesystem>
#include <fstream>

#include "capacity/cold_quota.hpp"
#include "capacity/faults.hpp"
#include "capacity/fit.hpp"
#include "capacity/measurements.hpp"
#include "capacity/recorder.hpp"
#include "capacity/report.hpp"
#include "helpers.hpp"

using namespace hareramp;
using namespace hareramp::capacity;

namespace {

std::string contents(const std::string& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), {}};
}

Setup small_setup() {
  Setup setup;
  setup.self = HARERAMP_CAPACITY;
  setup.program = HARERAMP_BINARY;
  setup.nodes = 20;
  setup.seconds = 1;
  setup.processes = 2;
  return setup;
}

// The value of a column in the table's only row.
double value(const Table& table, const std::string& column) {
  return table.rows().at(0).at(table.column(column));
}

Table run_measurement(const std::string& name, double size, Setup setup = small_setup()) {
  setup.sizes = {size};
  for (const Measurement& measurement : measurements())
    if (measurement.name == name) return measurement.run(setup);
  throw std::runtime_error("no measurement " + name);
}

}  // namespace

TEST_CASE("the page contains the figures computed from the committed tables") {
  const std::string results = std::string(HARERAMP_SOURCE) + "/experiments/capacity/results";
  const std::string page = contents(std::string(HARERAMP_SOURCE) + "/docs/CAPACITY.md");
  const auto blocks = report_blocks(results);
  CHECK(fill_page(page, blocks) == page);
  auto changed = blocks;
  changed["director"].replace(changed["director"].find_first_of("123456789"), 1, "0");
  CHECK_FALSE(fill_page(page, changed) == page);
  CHECK_THROWS(fill_page("no blocks", blocks));
  CHECK_THROWS(report_blocks("/nowhere"));
}

TEST_CASE("linear fit: slope, intercept and R squared") {
  const Line exact = fit({{0, 1}, {1, 3}, {2, 5}, {10, 21}});
  CHECK(exact.slope == doctest::Approx(2));
  CHECK(exact.intercept == doctest::Approx(1));
  CHECK(exact.r_squared == doctest::Approx(1));
  CHECK(exact.at(100) == doctest::Approx(201));
  CHECK(fit({{0, 0}, {1, 1}, {2, 0}, {3, 1}}).r_squared < 0.5);
}

TEST_CASE("the number of a purge can be recovered from its object id") {
  for (const std::uint64_t purge : {1u, 2u, 99'999u}) CHECK(purge_of_object(object_of_purge(purge)) == purge);
}

TEST_CASE(
    "even split of a starting parent's quota: more directors get less each and stay within its limit "
    "together") {
  const ColdQuota few = measure_cold_quota(4), many = measure_cold_quota(300);
  CHECK(few.attempts_each > 50 * many.attempts_each);
  CHECK(many.attempts_each > 0);
  CHECK(300 * many.attempts_each <=
        1.05 * many.limit_all);  // its capacity has grown a little by the end of the interval
}

TEST_CASE(
    "small size: a director catches up with a backlog in bounded memory, at the source and at a relay") {
  const Table direct = run_measurement("catch_up", 40'000);
  CHECK(value(direct, "events") >= 40'000);
  CHECK(value(direct, "over_rest_mb") < 8);
  CHECK(value(direct, "stream_kb") > 3000);
  const Table relayed = run_measurement("relay_catch_up", 40'000);
  CHECK(value(relayed, "events") < 4'000);  // the relay leaves out changes that no longer matter
  CHECK(value(relayed, "stream_kb") < value(direct, "stream_kb") / 5);
}

TEST_CASE(
    "small size: a relay delivers purges to each director in a fraction of the source's bytes and writes") {
  const Table direct = run_measurement("source_subscribers", 40),
              relayed = run_measurement("relay_subscribers", 40);
  CHECK(value(relayed, "delivered_share") > 0.5);  // the rest is in transit: late on busy cores, not lost
  CHECK(value(relayed, "kb_per_s") < value(direct, "kb_per_s") / 2);
  CHECK(value(relayed, "writes_per_s") < value(direct, "writes_per_s") / 4);
}

TEST_CASE("small size: after a relay is killed, no director misses a purge or receives one twice") {
  const Table table = run_measurement("relay_faults", static_cast<double>(Fault::kRelayKilled));
  CHECK(value(table, "issued") > 1000);
  CHECK(value(table, "behind") == 0);
  CHECK(value(table, "missing") == 0);
  CHECK(value(table, "twice") == 0);
  CHECK(value(table, "out_of_order") == 0);
  CHECK(value(table, "connections") > value(table, "directors"));
}
