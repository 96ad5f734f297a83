#include "client_floods/well_behaved.hpp"

#include <charconv>
#include <random>
#include <utility>

#include "client_floods/requests.hpp"
#include "protocol/http.hpp"

namespace hareramp::client_floods {

using protocol::HttpParser;
using transport::Scheduler;
using transport::Seconds;
using transport::Task;

namespace {

constexpr Seconds kDeadline = 2;
constexpr Seconds kLostAfter = 0.5;      // after the deadline
constexpr Seconds kCrossingTime = 0.05;  // a close within this time of the request: it is sent again, once
constexpr Seconds kIdleClose = 4;        // clients close connections that were idle for so long
constexpr std::uint64_t kObjects = 200;
constexpr std::uint64_t kIdsPerClient = 1ULL << 32;
constexpr double kWriteShare = 0.2, kLargeShare = 0.1;
constexpr std::size_t kReadBytes = 1 << 16;

struct Answer : protocol::HttpHandler {
  int status = 0;
  void start_line(std::string_view first, std::string_view) override {
    std::from_chars(first.data(), first.data() + first.size(), status);
  }
  void header(std::string_view, std::string_view) override {}
  void body(std::string_view) override {}
};

}  // namespace

struct WellBehavedClients::Client {
  Client(std::uint64_t client_number, std::uint64_t seed) : number(client_number), random(seed) {}
  double draw() { return std::uniform_real_distribution<double>(0, 1)(random); }
  std::string next_request() {
    const std::string id = request_id(kWellBehavedPrefix, number * kIdsPerClient + ++sent);
    const int deadline_ms = static_cast<int>(kDeadline * 1000);
    const double kind = draw();
    if (kind < kWriteShare) return write_request(id, 1 + random() % kLargestWrite, deadline_ms);
    return read_request(kind < kWriteShare + kLargeShare ? "clip" : "segment", 1 + random() % kObjects, id,
                        deadline_ms);
  }
  std::uint64_t number, sent = 0;
  std::mt19937_64 random;
  transport::Socket socket;
  transport::Buffer received{kReadBytes};
  double last_answer_at = 0;
  bool answered = false;  // something, on this connection
};

WellBehavedClients::WellBehavedClients(transport::Address director, int clients, double pause,
                                       std::uint64_t seed)
    : director_(director), pause_(pause), seed_(seed), running_(clients) {
  for (int number = 1; number <= clients; ++number)
    scheduler_.spawn(run(*this, static_cast<std::uint64_t>(number)));
  thread_ = std::thread([this] { scheduler_.run(); });
}

WellBehavedClients::~WellBehavedClients() {
  if (thread_.joinable()) finish();
}

ClientCounts WellBehavedClients::finish() {
  stopping_ = true;
  thread_.join();
  return counts_;
}

Task<> WellBehavedClients::run(WellBehavedClients& self, std::uint64_t number) {
  Client client(number, self.seed_ + number);
  while (!self.stopping_) {
    co_await self.scheduler_.sleep_until(Scheduler::now() + self.pause_ * (0.5 + client.draw()));
    if (client.socket.open() &&
        (client.socket.closed_by_peer() || Scheduler::now() > client.last_answer_at + kIdleClose))
      client.socket.close();
    if (!client.socket.open() && (self.only_open_connections_ || !co_await self.connect(client))) continue;
    co_await self.send_request(client);
  }
  if (--self.running_ == 0) self.scheduler_.stop();
}

Task<bool> WellBehavedClients::connect(Client& client) {
  auto connected = co_await transport::connect(scheduler_, director_, Scheduler::now() + 1);
  if (connected.status != transport::ConnectStatus::kConnected) co_return false;
  client.socket = std::move(connected.socket);
  client.received.consume(client.received.size());
  client.last_answer_at = Scheduler::now();
  client.answered = false;
  co_return true;
}

Task<> WellBehavedClients::send_request(Client& client) {
  const std::string request = client.next_request();
  for (int attempt = 0;; ++attempt) {
    const double sent_at = Scheduler::now();
    const int status = co_await exchange(client, request, sent_at + kDeadline + kLostAfter);
    const double now = Scheduler::now();
    if (status <= 0) client.socket.close();
    // A request that crosses the close of an idle connection is sent again on a new one.
    if (status == 0 && attempt == 0 && client.answered && now - sent_at < kCrossingTime) {
      if (only_open_connections_ || !co_await connect(client)) co_return;
      continue;
    }
    count(status, now - sent_at, kDeadline);
    client.last_answer_at = now;
    client.answered = true;
    co_return;
  }
}

Task<int> WellBehavedClients::exchange(Client& client, const std::string& request, double give_up_at) {
  if (!(co_await client.socket.write(request, give_up_at)).ok()) co_return 0;
  HttpParser parser(HttpParser::Message::kResponse, {1 << 14, 1 << 24});
  Answer answer;
  for (;;) {
    const auto io = co_await client.socket.read(client.received, kReadBytes, give_up_at);
    if (io.status == transport::IoStatus::kTimedOut) co_return -1;
    if (!io.ok()) co_return 0;
    auto step = HttpParser::Step::kHead;
    while (step == HttpParser::Step::kHead) {
      std::size_t consumed = 0;
      step = parser.parse(client.received.view(), consumed, answer);
      client.received.consume(consumed);
    }
    if (step == HttpParser::Step::kDone) break;
    if (step != HttpParser::Step::kMore) co_return 0;
  }
  if (!parser.keeps_alive()) client.socket.close();
  co_return answer.status;
}

void WellBehavedClients::count(int status, double latency, double deadline) {
  ++counts_.sent;
  if (status <= 0) ++counts_.lost;
  if (status > 0 && latency > deadline) ++counts_.late;
  if (status == 200) {
    ++counts_.served;
    counts_.latencies.push_back(latency);
  } else if (status == 503 || status == 429) {
    ++counts_.rejected;
  } else if (status > 0) {
    ++counts_.failed;
  }
}

}  // namespace hareramp::client_floods
