// Tests the delivery policy: retry delays, failover and return to the primary collector, and the replay rate.
// Also tests the queue's size limit and the numbering of names.
#include "flow/delivery.hpp"

#include <fmt/format.h>

#include "flow/names.hpp"
#include "trace.hpp"

using namespace hareramp;
using namespace hareramp::flow;

namespace {
DeliveryTimes times() { return {0.2, 30, 10, 60, 1000, 100}; }
std::string next_attempt_text(const Delivery& delivery) {
  return delivery.next_attempt_at() > 1e9 ? "never" : fmt::format("{:.2f}", delivery.next_attempt_at());
}
}  // namespace

TEST_CASE("retry delays double up to the maximum, and are reset for a collector that was healthy") {
  Delivery delivery(times(), 1, 5);
  std::string trace;
  double now = 0;
  for (int i = 0; i < 12; ++i) {
    REQUIRE(delivery.choose_collector(now) == std::size_t{0});
    delivery.failed(now, 0);
    CHECK(delivery.next_attempt_at() - now <= 30);
    CHECK(delivery.next_attempt_at() > now);
    CHECK_FALSE(delivery.choose_collector(now));
    trace += fmt::format("failed at {:.2f}, next attempt at {}\n", now, next_attempt_text(delivery));
    now = delivery.next_attempt_at();
  }
  delivery.connected(now, 0);
  CHECK_FALSE(delivery.choose_collector(now));
  for (int i = 0; i < 20; ++i) delivery.message_sent(now, 0);
  delivery.failed(now, 0);
  CHECK(delivery.next_attempt_at() - now <= 0.2);
  // A collector that accepts connections and closes them at once does not count as healthy.
  for (int i = 0; i < 6; ++i) {
    now = delivery.next_attempt_at();
    delivery.connected(now, 0);
    delivery.message_sent(now, 0);
    delivery.failed(now, 0);
  }
  CHECK(delivery.next_attempt_at() - now > 3);
  check_trace("flow_pauses", trace);
}

TEST_CASE("failover: the first reachable collector is used, and the primary again once it is back") {
  Delivery delivery(times(), 3, 5);
  std::string trace;
  const auto record_state = [&](double now, const char* what) {
    const auto current = delivery.current_collector();
    trace += fmt::format("{:.1f} {}: {}\n", now, what, current ? std::to_string(*current) : "none");
  };
  REQUIRE(delivery.choose_collector(0) == std::size_t{0});
  delivery.failed(0, 0);
  REQUIRE(delivery.choose_collector(0) == std::size_t{1});
  delivery.connected(0, 1);
  record_state(0, "second collector in use");
  CHECK_FALSE(delivery.choose_collector(0.05));
  double attempt_time = delivery.next_attempt_at();
  REQUIRE(delivery.choose_collector(attempt_time) == std::size_t{0});
  delivery.failed(attempt_time, 0);
  record_state(attempt_time, "first collector still unreachable");
  CHECK(delivery.next_attempt_at() >= attempt_time + 10);
  attempt_time = delivery.next_attempt_at();
  REQUIRE(delivery.choose_collector(attempt_time) == std::size_t{0});
  delivery.connected(attempt_time, 0);
  record_state(attempt_time, "first collector back in use");
  CHECK(delivery.next_attempt_at() > 1e9);
  delivery.failed(attempt_time + 1, 0);
  record_state(attempt_time + 1, "first collector failed again");
  REQUIRE(delivery.choose_collector(attempt_time + 1) == std::size_t{1});
  delivery.failed(attempt_time + 1, 1);
  REQUIRE(delivery.choose_collector(attempt_time + 1) == std::size_t{2});
  delivery.connected(attempt_time + 1, 2);
  record_state(attempt_time + 1, "third collector in use");
  check_trace("flow_failover", trace);
}

TEST_CASE("a replay keeps its rate, new messages are sent at once, templates are due by time and by count") {
  Delivery delivery(times(), 1, 5);
  delivery.connected(0, 0);
  CHECK(delivery.templates_due(0));
  delivery.templates_sent(0);
  CHECK_FALSE(delivery.templates_due(59));
  CHECK(delivery.templates_due(60));
  int sent = 0;
  double now = 1;
  for (std::uint64_t behind = 1000; behind > 64; --behind, ++sent) {
    now = std::max(now, delivery.next_send_at(behind));
    delivery.message_sent(now, behind);
  }
  CHECK(now > 1 + 0.9 * sent / 100);
  CHECK(now < 1 + 1.1 * sent / 100);
  CHECK(delivery.next_send_at(10) == 0);
  for (int i = 0; i < 100; ++i) delivery.message_sent(now, 1);
  CHECK(delivery.templates_due(2));
}

TEST_CASE("the queue is bounded in bytes; each dropped message is reported once, oldest first") {
  Backlog backlog(5000, 100);
  std::uint64_t dropped = 0, next_dropped = 100;
  for (int i = 0; i < 200; ++i) {
    auto message = std::make_shared<ipfix::Message>();
    message->bytes = std::string(400, 'm');
    message->flows = 3;
    backlog.push(message);
    backlog.drop_excess([&](MessageNumber number, const ipfix::Message& gone) {
      CHECK(number == next_dropped++);
      dropped += gone.flows;
    });
    CHECK(backlog.bytes() <= 5000);
  }
  CHECK(dropped + 3 * (backlog.end() - backlog.first()) == 600);
  CHECK(backlog.at(backlog.first()) != nullptr);
  CHECK(backlog.at(backlog.first() - 1) == nullptr);
  CHECK(backlog.at(backlog.end()) == nullptr);
  backlog.release(backlog.end());
  CHECK(backlog.bytes() == 0);
}

TEST_CASE("names: same number everywhere, reported once, bounded, and removed when unused") {
  int new_names = 0;
  const Names::Visitor count_new_name = [&](ipfix::NameKind, ipfix::NameNumber, const std::string&) {
    ++new_names;
  };
  Names names(100, 3), other_names(100, 3);
  const auto number = names.number(0, ipfix::NameKind::kNode, "s-00c41f7a", count_new_name);
  CHECK(number == other_names.number(5, ipfix::NameKind::kNode, "s-00c41f7a", count_new_name));
  CHECK(number == names.number(1, ipfix::NameKind::kNode, "s-00c41f7a", count_new_name));
  CHECK(new_names == 2);
  CHECK(names.number(1, ipfix::NameKind::kNode, "", count_new_name).value == 0);
  CHECK(names.number(1, ipfix::NameKind::kLocation, "a", count_new_name).value != 0);
  CHECK(names.number(1, ipfix::NameKind::kLocation, "b", count_new_name).value != 0);
  CHECK(names.number(1, ipfix::NameKind::kLocation, "c", count_new_name).value == 0);
  names.remove_unused(101.5);
  CHECK(names.size() == 0);
  CHECK(names.number(200, ipfix::NameKind::kLocation, "c", count_new_name).value != 0);
}
