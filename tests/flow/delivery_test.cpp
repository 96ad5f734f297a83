// How collectors are reached: pauses, standing in for one another, coming home, the pace of a replay, and the
// queue's bound.
#include "flow/delivery.hpp"

#include <fmt/format.h>

#include "flow/names.hpp"
#include "trace.hpp"

using namespace hareramp;
using namespace hareramp::flow;

namespace {
DeliveryTimes times() { return {0.2, 30, 10, 60, 1000, 100}; }
std::string next(const Delivery& delivery) {
  return delivery.next_try() > 1e9 ? "never" : fmt::format("{:.2f}", delivery.next_try());
}
}  // namespace

TEST_CASE("pauses double to their bound, and a collector that was well begins anew") {
  Delivery delivery(times(), 1, 5);
  std::string trace;
  double now = 0;
  for (int i = 0; i < 12; ++i) {
    REQUIRE(delivery.choose(now) == std::size_t{0});
    delivery.failed(now, 0);
    CHECK(delivery.next_try() - now <= 30);
    CHECK(delivery.next_try() > now);
    CHECK_FALSE(delivery.choose(now));
    trace += fmt::format("failed at {:.2f}, again at {}\n", now, next(delivery));
    now = delivery.next_try();
  }
  delivery.came_up(now, 0);
  CHECK_FALSE(delivery.choose(now));
  for (int i = 0; i < 20; ++i) delivery.message_sent(now, 0);
  delivery.failed(now, 0);
  CHECK(delivery.next_try() - now <= 0.2);
  // One that takes connections and loses them at once is not well.
  for (int i = 0; i < 6; ++i) {
    now = delivery.next_try();
    delivery.came_up(now, 0);
    delivery.message_sent(now, 0);
    delivery.failed(now, 0);
  }
  CHECK(delivery.next_try() - now > 3);
  check_trace("flow_pauses", trace);
}

TEST_CASE("failover: the first that can be reached, and home again when that is back") {
  Delivery delivery(times(), 3, 5);
  std::string trace;
  const auto say = [&](double now, const char* what) {
    const auto current = delivery.current();
    trace += fmt::format("{:.1f} {}: {}\n", now, what, current ? std::to_string(*current) : "none");
  };
  REQUIRE(delivery.choose(0) == std::size_t{0});
  delivery.failed(0, 0);
  REQUIRE(delivery.choose(0) == std::size_t{1});
  delivery.came_up(0, 1);
  say(0, "the second stands in");
  CHECK_FALSE(delivery.choose(0.05));
  double at = delivery.next_try();
  REQUIRE(delivery.choose(at) == std::size_t{0});
  delivery.failed(at, 0);
  say(at, "the first is still away");
  CHECK(delivery.next_try() >= at + 10);
  at = delivery.next_try();
  REQUIRE(delivery.choose(at) == std::size_t{0});
  delivery.came_up(at, 0);
  say(at, "the first is back");
  CHECK(delivery.next_try() > 1e9);
  delivery.failed(at + 1, 0);
  say(at + 1, "and gone");
  REQUIRE(delivery.choose(at + 1) == std::size_t{1});
  delivery.failed(at + 1, 1);
  REQUIRE(delivery.choose(at + 1) == std::size_t{2});
  delivery.came_up(at + 1, 2);
  say(at + 1, "the third stands in");
  check_trace("flow_failover", trace);
}

TEST_CASE("a replay keeps its pace, what is new goes at once, templates come by time and count") {
  Delivery delivery(times(), 1, 5);
  delivery.came_up(0, 0);
  CHECK(delivery.templates_due(0));
  delivery.templates_sent(0);
  CHECK_FALSE(delivery.templates_due(59));
  CHECK(delivery.templates_due(60));
  int sent = 0;
  double now = 1;
  for (std::uint64_t behind = 1000; behind > 64; --behind, ++sent) {
    now = std::max(now, delivery.may_send_at(behind));
    delivery.message_sent(now, behind);
  }
  CHECK(now > 1 + 0.9 * sent / 100);
  CHECK(now < 1 + 1.1 * sent / 100);
  CHECK(delivery.may_send_at(10) == 0);
  for (int i = 0; i < 100; ++i) delivery.message_sent(now, 1);
  CHECK(delivery.templates_due(2));
}

TEST_CASE("the queue is bounded in bytes; what is dropped is handed over once, oldest first") {
  Backlog backlog(5000, 100);
  std::uint64_t dropped = 0, next_dropped = 100;
  for (int i = 0; i < 200; ++i) {
    auto message = std::make_shared<ipfix::Message>();
    message->bytes = std::string(400, 'm');
    message->flows = 3;
    backlog.push(message);
    backlog.keep_bound([&](MessageNumber number, const ipfix::Message& gone) {
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

TEST_CASE("names have the same number everywhere, are told once, bounded and forgotten") {
  int told = 0;
  const Names::Tell count = [&](ipfix::NameKind, ipfix::NameNumber, const std::string&) { ++told; };
  Names one(100, 3), other(100, 3);
  const auto number = one.number(0, ipfix::NameKind::kNode, "s-00c41f7a", count);
  CHECK(number == other.number(5, ipfix::NameKind::kNode, "s-00c41f7a", count));
  CHECK(number == one.number(1, ipfix::NameKind::kNode, "s-00c41f7a", count));
  CHECK(told == 2);
  CHECK(one.number(1, ipfix::NameKind::kNode, "", count).value == 0);
  CHECK(one.number(1, ipfix::NameKind::kLocation, "a", count).value != 0);
  CHECK(one.number(1, ipfix::NameKind::kLocation, "b", count).value != 0);
  CHECK(one.number(1, ipfix::NameKind::kLocation, "c", count).value == 0);
  one.forget(101.5);
  CHECK(one.size() == 0);
  CHECK(one.number(200, ipfix::NameKind::kLocation, "c", count).value != 0);
}
