#include "fleet_size/traffic.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

#include "fleet_size/site.hpp"
#include "protocol/http.hpp"

namespace hareramp::fleet_size {

using transport::Scheduler;
using transport::Task;

namespace {

constexpr int kMaxOpenRequests = 64;  // at the same time
constexpr std::size_t kReadBytes = 4096;
constexpr double kDeadline = 3.0;      // s, of a request
constexpr double kAnswerMargin = 0.5;  // s after the deadline until an answer counts as missing
constexpr protocol::HttpLimits kAnswerBounds = {.head_bytes = 16384, .body_bytes = 1 << 20};

struct AnswerHead : protocol::HttpHandler {
  int status = 0;
  void start_line(std::string_view first, std::string_view) override {
    std::from_chars(first.data(), first.data() + first.size(), status);
  }
  void header(std::string_view, std::string_view) override {}
  void body(std::string_view) override {}
};

}  // namespace

Traffic::Traffic(Scheduler& scheduler, transport::Address director, TrafficPlan plan)
    : scheduler_(scheduler), director_(director), plan_(plan), random_(plan.seed) {
  double sum = 0;
  for (int rank = 1; rank <= plan_.objects; ++rank) {
    sum += std::pow(rank, -plan_.zipf);
    cumulative_.push_back(sum);
  }
}

void Traffic::start(double until) { scheduler_.spawn(generate_arrivals(*this, until)); }

int Traffic::draw_object() {
  const double draw = std::uniform_real_distribution<double>(0, cumulative_.back())(random_);
  const auto found = std::lower_bound(cumulative_.begin(), cumulative_.end(), draw);
  return static_cast<int>(found - cumulative_.begin());
}

Task<> Traffic::generate_arrivals(Traffic& self, double until) {
  std::exponential_distribution<double> gap(self.plan_.rate);
  double due = Scheduler::now();
  while (due < until) {
    co_await self.scheduler_.sleep_until(due);
    const int object = self.draw_object();
    ++self.counts_.offered;
    if (self.open_ >= kMaxOpenRequests)
      ++self.counts_.not_started;
    else
      self.scheduler_.spawn(request(self, object));
    due += gap(self.random_);
  }
}

Task<> Traffic::request(Traffic& self, int object) {
  ++self.open_;
  Connection connection{{}, transport::Buffer(kReadBytes)};
  while (!self.idle_.empty() && !connection.socket.open()) {
    connection = std::move(self.idle_.back());
    self.idle_.pop_back();
    if (connection.socket.closed_by_peer()) connection.socket.close();
  }
  const double until = Scheduler::now() + kDeadline;
  if (!connection.socket.open())
    connection.socket = (co_await transport::connect(self.scheduler_, self.director_, until)).socket;
  int status = 0;
  if (connection.socket.open()) {
    std::string text = fmt::format(
        "GET /invoke/segment/{:x}/block-0 HTTP/1.1\r\nHost: fleet\r\nX-Correlation-Id: {:016x}\r\n"
        "X-Deadline-Ms: {:.0f}\r\nX-Need-Kb: {}\r\n\r\n",
        object + 1, ++self.numbers_, kDeadline * 1000, kObjectKb);
    status = co_await self.send_request(connection, std::move(text));
  }
  TrafficCounts& counts = self.counts_;
  std::uint64_t& count = status == 200   ? counts.served
                         : status == 503 ? counts.rejected
                         : status == 0   ? counts.no_answer
                                         : counts.failed;
  ++count;
  if (status != 0) self.idle_.push_back(std::move(connection));
  --self.open_;
}

Task<int> Traffic::send_request(Connection& connection, std::string text) {
  const double until = Scheduler::now() + kDeadline + kAnswerMargin;
  if (!(co_await connection.socket.write(text, until)).ok()) co_return 0;
  protocol::HttpParser parser(protocol::HttpParser::Message::kResponse, kAnswerBounds);
  AnswerHead head;
  for (;;) {
    if (!(co_await connection.socket.read(connection.received, kReadBytes, until)).ok()) co_return 0;
    auto step = protocol::HttpParser::Step::kHead;
    while (step == protocol::HttpParser::Step::kHead) {
      std::size_t consumed = 0;
      step = parser.parse(connection.received.view(), consumed, head);
      connection.received.consume(consumed);
    }
    if (step == protocol::HttpParser::Step::kDone) co_return head.status;
    if (step != protocol::HttpParser::Step::kMore) co_return 0;
  }
}

}  // namespace hareramp::fleet_size
