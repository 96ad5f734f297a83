#include "faults/faulty_program.hpp"

#include <fmt/format.h>
#include <signal.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <utility>

#include "helpers.hpp"
#include "protocol/http.hpp"

namespace hareramp::faults {

using transport::Scheduler;
using transport::Task;

namespace {
constexpr int kCaches = 3;
constexpr std::size_t kAnswerBytes = 3000;
constexpr int kDeadlineMs = 5000;
constexpr double kAnswerTimeout = 8;     // s; an answer that has not arrived by then is lost
constexpr double kRecoveryTimeout = 15;  // s; reached only if a test fails
constexpr int kRecoveryRequests = 4;
constexpr std::size_t kReadBytes = 16384;

// A loopback address that only this process uses: connections of other processes come from 127.0.0.1 and take
// no port here.
std::string process_loopback() {
  const auto id = static_cast<unsigned>(getpid());
  return fmt::format("127.{}.{}.{}:0", 64 + (id >> 16) % 64, (id >> 8) % 256, id % 256);
}

struct ResponseRecorder : protocol::HttpHandler {
  int status = 0;
  std::size_t bytes = 0;
  void start_line(std::string_view status_code, std::string_view) override {
    status = std::atoi(std::string(status_code).c_str());
  }
  void header(std::string_view, std::string_view) override {}
  void body(std::string_view chunk) override { bytes += chunk.size(); }
};

std::string format_request(const std::string& request_class, std::uint64_t number) {
  const bool write = request_class == "note";
  return fmt::format(
      "{} /invoke/{}/{:x}/block-0 HTTP/1.1\r\nHost: test\r\nX-Correlation-Id: {:016x}\r\n"
      "X-Deadline-Ms: {}\r\nConnection: close\r\n{}\r\n{}",
      write ? "PUT" : "GET", request_class, 1000 + number, number, kDeadlineMs,
      write ? "Content-Length: 2\r\n" : "", write ? "ab" : "");
}

// The outcome of one request, from everything that its connection received.
Answers classify(std::string_view received) {
  Answers outcome;
  ResponseRecorder response;
  protocol::HttpParser parser(protocol::HttpParser::Message::kResponse, {kReadBytes, 1 << 20});
  auto step = protocol::HttpParser::Step::kHead;
  while (step == protocol::HttpParser::Step::kHead) {
    std::size_t consumed = 0;
    step = parser.parse(received, consumed, response);
    received.remove_prefix(consumed);
  }
  if (step == protocol::HttpParser::Step::kMore) {
    outcome.lost = 1;
  } else if (step != protocol::HttpParser::Step::kDone || !received.empty()) {
    outcome.malformed = 1;
  } else if (response.status == 200 && response.bytes == kAnswerBytes) {
    outcome.completed = 1;
  } else if (response.status == 503) {
    outcome.rejected = 1;
  } else if (response.status == 500) {
    outcome.failed = 1;
  } else {
    outcome.malformed = 1;
  }
  return outcome;
}
}  // namespace

Answers& Answers::operator+=(const Answers& other) {
  completed += other.completed;
  rejected += other.rejected;
  failed += other.failed;
  lost += other.lost;
  malformed += other.malformed;
  return *this;
}

std::ostream& operator<<(std::ostream& stream, const Answers& answers) {
  return stream << fmt::format("completed {}, rejected {}, failed {}, lost {}, malformed {}",
                               answers.completed, answers.rejected, answers.failed, answers.lost,
                               answers.malformed);
}

FaultyProgram::FaultyProgram(Scheduler& test_scheduler)
    : scheduler(test_scheduler),
      nodes(make_nodes(test_scheduler)),
      change_log(test_scheduler),
      listen(unused_address(test_scheduler, process_loopback().c_str())),
      configuration_(write_configuration()),
      process(HARERAMP_BINARY, {"serve", "--config", configuration_},
              faults.environment(HARERAMP_FAULTS_LIBRARY)) {}

FaultyProgram::~FaultyProgram() {
  std::filesystem::remove(configuration_);
  scheduler.clear();  // its coroutines use the simulated nodes
}

std::vector<std::unique_ptr<rig::Node>> FaultyProgram::make_nodes(Scheduler& scheduler) {
  const std::map<std::string, std::size_t> sizes = {{"segment", kAnswerBytes}, {"note", kAnswerBytes}};
  std::vector<std::unique_ptr<rig::Node>> created;
  for (std::uint64_t i = 0; i < kCaches + 1; ++i)  // the last one is the origin
    created.push_back(std::make_unique<rig::Node>(scheduler, sizes, rig::NodeBehavior{}, i));
  return created;
}

std::string FaultyProgram::write_configuration() const {
  rig::Site site;
  site.listen = listen.text();
  site.change_log = change_log.address().text();
  for (std::size_t i = 0; i < kCaches; ++i)
    site.caches.emplace_back("c" + std::to_string(i), nodes[i]->address().text());
  site.origin = nodes.back()->address().text();
  std::string path = std::filesystem::temp_directory_path() / "hareramp-faulty-XXXXXX";
  ::close(mkstemp(path.data()));
  std::ofstream(path) << rig::configuration(site);
  return path;
}

bool FaultyProgram::wait_until_serving() {
  run_until(scheduler, [&] { return process.has_printed("serving") || process.ended(); });
  if (running() && process.has_printed("serving")) return true;
  MESSAGE("the program did not start: ", process.printed());
  return false;
}

Task<Answers> FaultyProgram::send_request(FaultyProgram& self, std::string request_class,
                                          std::uint64_t number) {
  const double until = Scheduler::now() + kAnswerTimeout;
  auto connected = co_await transport::connect(self.scheduler, self.listen, until);
  if (connected.status != transport::ConnectStatus::kConnected) co_return Answers{.lost = 1};
  co_await connected.socket.write(format_request(request_class, number), until);
  transport::Buffer input(kReadBytes);
  // Reads until the connection ends, so that data after the first answer is noticed.
  while ((co_await connected.socket.read(input, kReadBytes, until)).ok()) {
  }
  co_return classify(input.view());
}

Task<> FaultyProgram::send_request_at(FaultyProgram& self, std::string request_class, double time,
                                      Answers& answers) {
  co_await self.scheduler.sleep_until(time);
  answers += co_await send_request(self, std::move(request_class), ++self.requests_sent_);
}

Answers FaultyProgram::send_requests(int count, const std::string& request_class, double spacing) {
  Answers answers;
  const double start = Scheduler::now();
  for (int i = 0; i < count; ++i)
    scheduler.spawn(send_request_at(*this, request_class, start + i * spacing, answers));
  REQUIRE(run_until(scheduler, [&] { return answers.total() == count; }));
  return answers;
}

bool FaultyProgram::wait_until_recovered() {
  const double until = Scheduler::now() + kRecoveryTimeout;
  while (Scheduler::now() < until) {
    if (send_requests(kRecoveryRequests).completed == kRecoveryRequests) return true;
  }
  return false;
}

bool FaultyProgram::shut_down() {
  process.send(SIGTERM);
  return run_until(scheduler, [&] { return process.ended(); }) && process.status() == 0;
}

std::uint64_t FaultyProgram::counter(const std::string& name) {
  const auto counter_lines = [&] {
    const std::string printed = process.printed();
    std::size_t count = 0;
    for (auto at = printed.find("counters "); at != std::string::npos; at = printed.find("counters ", at + 1))
      ++count;
    return printed.ends_with('\n') ? count : 0;
  };
  const std::size_t before = counter_lines();
  process.send(SIGUSR1);
  REQUIRE(run_until(scheduler, [&] { return counter_lines() > before; }));
  return process.counters().at(name);
}

std::uint64_t FaultyProgram::node_requests() const {
  std::uint64_t total = 0;
  for (const auto& node : nodes) total += node->requests();
  return total;
}

std::uint64_t FaultyProgram::system_calls() const {
  std::uint64_t total = 0;
  for (std::size_t i = 0; i < kSystemCalls; ++i) total += faults.seen(static_cast<SystemCall>(i));
  return total;
}

}  // namespace hareramp::faults
