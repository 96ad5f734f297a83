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
constexpr double kAnswerBound = 8;     // s; an answer that has not come by then is lost
constexpr double kRecoveryBound = 15;  // s; only bounds a test that fails
constexpr int kRequestsOfRecovery = 4;
constexpr std::size_t kReadRoom = 16384;

// An address of this process alone: connections of others, which come from 127.0.0.1, take no port there.
std::string own_loopback() {
  const auto id = static_cast<unsigned>(getpid());
  return fmt::format("127.{}.{}.{}:0", 64 + (id >> 16) % 64, (id >> 8) % 256, id % 256);
}

struct Answer : protocol::HttpHandler {
  int status = 0;
  std::size_t bytes = 0;
  void start_line(std::string_view version_or_status, std::string_view) override {
    status = std::atoi(std::string(version_or_status).c_str());
  }
  void header(std::string_view, std::string_view) override {}
  void body(std::string_view piece) override { bytes += piece.size(); }
};

std::string request_text(const std::string& request_class, std::uint64_t number) {
  const bool write = request_class == "note";
  return fmt::format(
      "{} /invoke/{}/{:x}/block-0 HTTP/1.1\r\nHost: test\r\nX-Correlation-Id: {:016x}\r\n"
      "X-Deadline-Ms: {}\r\nConnection: close\r\n{}\r\n{}",
      write ? "PUT" : "GET", request_class, 1000 + number, number, kDeadlineMs,
      write ? "Content-Length: 2\r\n" : "", write ? "ab" : "");
}

Answers judge(std::string_view received) {
  Answers one;
  Answer answer;
  protocol::HttpParser parser(protocol::HttpParser::Message::kResponse, {kReadRoom, 1 << 20});
  auto step = protocol::HttpParser::Step::kHead;
  while (step == protocol::HttpParser::Step::kHead) {
    std::size_t used = 0;
    step = parser.feed(received, used, answer);
    received.remove_prefix(used);
  }
  if (step == protocol::HttpParser::Step::kMore) {
    one.lost = 1;
  } else if (step != protocol::HttpParser::Step::kDone || !received.empty()) {
    one.malformed = 1;
  } else if (answer.status == 200 && answer.bytes == kAnswerBytes) {
    one.completed = 1;
  } else if (answer.status == 503) {
    one.rejected = 1;
  } else if (answer.status == 500) {
    one.failed = 1;
  } else {
    one.malformed = 1;
  }
  return one;
}
}  // namespace

Answers& Answers::operator+=(const Answers& more) {
  completed += more.completed;
  rejected += more.rejected;
  failed += more.failed;
  lost += more.lost;
  malformed += more.malformed;
  return *this;
}

std::ostream& operator<<(std::ostream& to, const Answers& answers) {
  return to << fmt::format("completed {}, rejected {}, failed {}, lost {}, malformed {}", answers.completed,
                           answers.rejected, answers.failed, answers.lost, answers.malformed);
}

FaultyProgram::FaultyProgram(Scheduler& given)
    : scheduler(given),
      nodes(make_nodes(given)),
      change_log(given),
      listen(unused_address(given, own_loopback().c_str())),
      configuration_(write_configuration()),
      process(HARERAMP_BINARY, {"serve", "--config", configuration_},
              faults.environment(HARERAMP_FAULTS_LIBRARY)) {}

FaultyProgram::~FaultyProgram() {
  std::filesystem::remove(configuration_);
  scheduler.clear();  // its coroutines use the stand-ins
}

std::vector<std::unique_ptr<rig::Node>> FaultyProgram::make_nodes(Scheduler& scheduler) {
  const std::map<std::string, std::size_t> sizes = {{"segment", kAnswerBytes}, {"note", kAnswerBytes}};
  std::vector<std::unique_ptr<rig::Node>> made;
  for (std::uint64_t i = 0; i < kCaches + 1; ++i)  // the last one is the origin
    made.push_back(std::make_unique<rig::Node>(scheduler, sizes, rig::NodeBehavior{}, i));
  return made;
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

bool FaultyProgram::serves() {
  run_until(scheduler, [&] { return process.has_printed("serving") || process.ended(); });
  if (running() && process.has_printed("serving")) return true;
  MESSAGE("the program did not start: ", process.printed());
  return false;
}

Task<Answers> FaultyProgram::ask(FaultyProgram& self, std::string request_class, std::uint64_t number) {
  const double until = Scheduler::now() + kAnswerBound;
  auto connected = co_await transport::connect(self.scheduler, self.listen, until);
  if (connected.status != transport::ConnectStatus::kConnected) co_return Answers{.lost = 1};
  co_await connected.socket.write(request_text(request_class, number), until);
  transport::Buffer in(kReadRoom);
  // To the end of the connection: behind a second answer there would be no other end either.
  while ((co_await connected.socket.read(in, kReadRoom, until)).ok()) {
  }
  co_return judge(in.view());
}

Task<> FaultyProgram::request(FaultyProgram& self, std::string request_class, double at, Answers& into) {
  co_await self.scheduler.sleep_until(at);
  into += co_await ask(self, std::move(request_class), ++self.requests_made_);
}

Answers FaultyProgram::answers(int requests, const std::string& request_class, double spacing) {
  Answers all;
  const double start = Scheduler::now();
  for (int i = 0; i < requests; ++i) scheduler.spawn(request(*this, request_class, start + i * spacing, all));
  REQUIRE(run_until(scheduler, [&] { return all.all() == requests; }));
  return all;
}

bool FaultyProgram::recovers() {
  const double until = Scheduler::now() + kRecoveryBound;
  while (Scheduler::now() < until) {
    if (answers(kRequestsOfRecovery).completed == kRequestsOfRecovery) return true;
  }
  return false;
}

bool FaultyProgram::stops() {
  process.send(SIGTERM);
  return run_until(scheduler, [&] { return process.ended(); }) && process.status() == 0;
}

std::uint64_t FaultyProgram::counter(const std::string& name) {
  const auto lines = [&] {
    const std::string printed = process.printed();
    std::size_t count = 0;
    for (auto at = printed.find("counters "); at != std::string::npos; at = printed.find("counters ", at + 1))
      ++count;
    return printed.ends_with('\n') ? count : 0;
  };
  const std::size_t before = lines();
  process.send(SIGUSR1);
  REQUIRE(run_until(scheduler, [&] { return lines() > before; }));
  return process.counters().at(name);
}

std::uint64_t FaultyProgram::requests_run() const {
  std::uint64_t all = 0;
  for (const auto& node : nodes) all += node->requests();
  return all;
}

std::uint64_t FaultyProgram::calls() const {
  std::uint64_t all = 0;
  for (std::size_t i = 0; i < kSystemCalls; ++i) all += faults.seen(static_cast<SystemCall>(i));
  return all;
}

}  // namespace hareramp::faults
