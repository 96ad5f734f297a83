// Shutdown by SIGTERM while nodes stay silent and clients do not read: every request gets a final answer
// before the program exits.
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <filesystem>

#include "helpers.hpp"
#include "program/config.hpp"
#include "rig/process.hpp"

using namespace hareramp;
using transport::Scheduler;

namespace {

struct TemporaryFile {
  explicit TemporaryFile(const std::string& text) {
    path = std::filesystem::temp_directory_path() / "hareramp-test-XXXXXX";
    ::close(mkstemp(path.data()));
    std::ofstream(path) << text;
  }
  ~TemporaryFile() { std::filesystem::remove(path); }
  std::string path;
};

// The real program with one cache and an origin, which answer only when a test makes them.
class Site {
 public:
  explicit Site(double deadline)
      : listen(unused_address(scheduler)),
        config(configuration(deadline)),
        process(HARERAMP_BINARY, {"serve", "--config", config.path}) {
    CHECK(wait_until([&] { return process.has_printed("serving"); }));
  }
  bool wait_until(const std::function<bool()>& condition) { return run_until(scheduler, condition); }
  void wait_for(Seconds duration) {
    const Seconds end_time = Scheduler::now() + duration;
    wait_until([&] { return Scheduler::now() >= end_time; });
  }
  std::shared_ptr<TestConnection> send(const std::string& request) {
    auto client = dial(scheduler, listen);
    client->send(request);
    return client;
  }
  static std::string get(int number, int deadline_ms) {
    return "GET /invoke/read/" + std::to_string(number) +
           "/block-0 HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: " + id(number) +
           "\r\nX-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\n\r\n";
  }
  static std::string put(int number, int deadline_ms) {
    return "PUT /invoke/write/" + std::to_string(number) +
           "/block-0 HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: " + id(number) +
           "\r\nX-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\nContent-Length: 2\r\n\r\nab";
  }
  static std::string id(int number) {
    const std::string digits = std::to_string(number);
    return std::string(16 - digits.size(), '0') + digits;
  }
  // Whether an attempt of the request has reached a node.
  bool has_reached_node(int number) const {
    for (const StandInServer* node : {&cache, &origin})
      for (const auto& connection : node->connections)
        if (connection->has_received("serve " + id(number))) return true;
    return false;
  }

  Scheduler scheduler;
  StandInServer cache{scheduler}, origin{scheduler}, change_stream{scheduler};
  const transport::Address listen;
  const TemporaryFile config;
  rig::Process process;

 private:
  static std::string entry(const std::string& id, const StandInServer& node, const std::string& kind) {
    return R"({"id":")" + id + R"(","addr":")" + node.address.text() + R"(","zone":"hub","kind":")" + kind +
           R"(","cell":1,"state":"active","weight":60,"started_ms":0})";
  }
  std::string configuration(double deadline) const {
    const std::string class_limits = R"("DeadlineS":)" + std::to_string(deadline) + R"(,"PromiseS":0.3)";
    return R"({"name":"n3","listen":")" + listen.text() +
           R"(","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"changelog":")" +
           change_stream.address.text() +
           R"(","known":{"seq":3,"results":[{"seq":1,"fleet":{"full":true,"servers":[)" +
           entry("c1", cache, "cache") + "," + entry("O", origin, "origin") +
           R"(]}}]},"settings":{"Kinds":["cache","parent","origin"],"Zones":["hub"],"Locality":0,
    "FamilyInfo":{"OriginKind":2,"ShieldKind":1,"Direct":true,"GoesThrough":[false,true]},"Weights":"nominal",
    "Permissions":{"MaxAttempts":6,"Cancel":true},"RequestClasses":[{"Name":"read","Effect":"retryable",)" +
           class_limits + R"(},{"Name":"write","Effect":"fragile",)" + class_limits + "}]}}";
  }
};

// A client that never reads its answers, with a small receive buffer.
class NonReadingClient {
 public:
  NonReadingClient(const transport::Address& to, const std::string& request) {
    const int receive_buffer = 2048;
    setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    const std::string address = to.text();
    sockaddr_in destination{};
    destination.sin_family = AF_INET;
    destination.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    destination.sin_port =
        htons(static_cast<std::uint16_t>(std::stoi(address.substr(address.rfind(':') + 1))));
    REQUIRE(connect(socket_, reinterpret_cast<const sockaddr*>(&destination), sizeof destination) == 0);
    REQUIRE(write(socket_, request.data(), request.size()) == static_cast<ssize_t>(request.size()));
  }
  ~NonReadingClient() { close(socket_); }

 private:
  const int socket_ = socket(AF_INET, SOCK_STREAM, 0);
};

bool is_answered(const TestConnection& client) { return client.has_received("\r\n\r\n"); }

}  // namespace

TEST_CASE("the times after SIGTERM follow from the longest deadline, up to 3 s") {
  const auto limits_of = [](const std::string& deadlines) {
    return program::fill_limits(*protocol::Json::parse("{}"),
                                *protocol::Json::parse("{\"RequestClasses\":[" + deadlines + "]}"));
  };
  const Limits longest = limits_of(R"({"DeadlineS":0.4},{"DeadlineS":6})");
  CHECK(longest.shutdown_answer_deadline == doctest::Approx(3.4));
  CHECK(longest.shutdown_exit_deadline < 3.7);
  CHECK(limits_of("").shutdown_answer_deadline == doctest::Approx(3.4));
  CHECK(limits_of(R"({"DeadlineS":1.5})").shutdown_answer_deadline == doctest::Approx(1.9));
  const Limits shortest = limits_of(R"({"DeadlineS":0.4})");
  CHECK(shortest.shutdown_answer_deadline == doctest::Approx(1.0));  // 0.6 s and the whole deadline
  CHECK(shortest.shutdown_exit_deadline < 1.1);
  for (const Limits& limits : {longest, shortest}) {
    CHECK(limits.drain_accept_window == 0.75);
    CHECK(limits.drain_accept_window < limits.shutdown_answer_deadline);
    CHECK(limits.shutdown_answer_deadline < limits.shutdown_close_deadline);
    CHECK(limits.shutdown_close_deadline < limits.shutdown_exit_deadline);
  }
}

TEST_CASE(
    "SIGTERM with deadlines of 6 s, silent nodes and a client that does not read: all answered, then the "
    "program exits") {
  constexpr int kDeadlineMs = 6000;
  constexpr Seconds kLateRequests = 0.55;  // s after SIGTERM
  // SIGKILL comes at 3.7 s. The bound allows for busy cores; a deadline that is not shortened would take 6 s.
  constexpr Seconds kBound = 5;
  Site site(6);
  std::vector<std::shared_ptr<TestConnection>> readers, writers, idle_clients;
  for (int number = 0; number < 5; ++number) idle_clients.push_back(dial(site.scheduler, site.listen));
  // More answers than all buffers on the way can hold, so that one of them waits in the director.
  constexpr int kFirstUnread = 100, kUnreadRequests = 24;
  std::string pipelined;
  for (int number = kFirstUnread; number < kFirstUnread + kUnreadRequests; ++number)
    pipelined += Site::get(number, kDeadlineMs);
  const NonReadingClient non_reading_client(site.listen, pipelined);
  int next_unread = kFirstUnread;
  std::string unsent_bytes;
  const auto answer_unread = [&] {
    if (unsent_bytes.empty() && next_unread < kFirstUnread + kUnreadRequests &&
        site.has_reached_node(next_unread))
      unsent_bytes = Site::id(next_unread++) + " ACK - 500000\r\n" + std::string(500'000, 'x') + "\r\n";
    if (!unsent_bytes.empty()) unsent_bytes.erase(0, site.cache.connections[0]->try_send(unsent_bytes));
  };
  REQUIRE(site.wait_until([&] {
    answer_unread();
    return next_unread > kFirstUnread + 1;
  }));

  for (int number = 1; number <= 5; ++number) {
    readers.push_back(site.send(Site::get(number, kDeadlineMs)));
    writers.push_back(site.send(Site::put(10 + number, kDeadlineMs)));
  }
  // A read may be rejected at once if the silent cache has been ejected.
  REQUIRE(site.wait_until([&] {
    answer_unread();
    for (int number = 1; number <= 5; ++number) {
      const bool is_read_settled =
          site.has_reached_node(number) || is_answered(*readers[static_cast<std::size_t>(number - 1)]);
      if (!is_read_settled || !site.has_reached_node(10 + number)) return false;
    }
    return true;
  }));
  site.process.send(SIGTERM);
  const Seconds start = Scheduler::now();
  REQUIRE(site.wait_until([&] { return site.process.has_printed("shutting down"); }));
  site.wait_for(kLateRequests - (Scheduler::now() - start));
  for (int number = 0; number < 5; ++number)
    idle_clients[static_cast<std::size_t>(number)]->send(
        number % 2 == 0 ? Site::get(20 + number, kDeadlineMs) : Site::put(20 + number, kDeadlineMs));
  const auto all_answered = [&] {
    for (const auto* clients : {&readers, &writers, &idle_clients})
      for (const auto& client : *clients)
        if (!is_answered(*client)) return false;
    return true;
  };
  REQUIRE(site.wait_until([&] {
    answer_unread();
    return all_answered() || site.process.ended();
  }));
  const Seconds answered = Scheduler::now() - start;
  CHECK(all_answered());
  REQUIRE(site.wait_until([&] { return site.process.ended(); }));
  MESSAGE("answered " << answered << " s, ended " << Scheduler::now() - start << " s after SIGTERM");
  CHECK(answered < kBound);
  CHECK(Scheduler::now() - start < kBound);
  CHECK(site.process.status() == 0);
  CHECK(next_unread < kFirstUnread + kUnreadRequests);
  for (const auto& client : readers) CHECK(client->received.starts_with("HTTP/1.1 503"));
  for (const auto& client : writers) CHECK(client->received.starts_with("HTTP/1.1 500"));
}

TEST_CASE(
    "SIGTERM under load with deadlines of 0.4 s: all accepted requests are answered, then the program "
    "exits") {
  constexpr int kDeadlineMs = 400, kRequests = 100;
  constexpr Seconds kBound = 4;  // SIGKILL comes at 1.1 s; the bound allows for busy cores
  Site site(0.4);
  std::vector<std::shared_ptr<TestConnection>> clients;
  for (int number = 1; number <= kRequests; ++number) clients.push_back(dial(site.scheduler, site.listen));
  const auto send = [&](int number) {
    clients[static_cast<std::size_t>(number - 1)]->send(number % 3 == 0 ? Site::put(number, kDeadlineMs)
                                                                        : Site::get(number, kDeadlineMs));
  };
  for (int number = 1; number <= kRequests / 2; ++number) send(number);
  site.process.send(SIGTERM);
  const Seconds start = Scheduler::now();
  REQUIRE(site.wait_until([&] { return site.process.has_printed("shutting down"); }));
  for (int number = kRequests / 2 + 1; number <= kRequests; ++number) send(number);
  const auto all_answered = [&] {
    return std::all_of(clients.begin(), clients.end(),
                       [](const auto& client) { return is_answered(*client); });
  };
  REQUIRE(site.wait_until([&] { return all_answered() || site.process.ended(); }));
  const Seconds answered = Scheduler::now() - start;
  CHECK(all_answered());
  REQUIRE(site.wait_until([&] { return site.process.ended(); }));
  MESSAGE("answered " << answered << " s, ended " << Scheduler::now() - start << " s after SIGTERM");
  CHECK(Scheduler::now() - start < kBound);
  CHECK(site.process.status() == 0);
}
