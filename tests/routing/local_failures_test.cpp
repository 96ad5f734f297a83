// Connections to nodes that fail on our own side: no local port, no descriptor, no network. This test program
// replaces system calls: they fail where a test says so, elsewhere they are the system's.
#include <dlfcn.h>
#include <sys/socket.h>

#include <cerrno>
#include <set>

#include "helpers.hpp"
#include "program/serve.hpp"
#include "routing/director_actor.hpp"
#include "routing/ends.hpp"

using namespace hareramp;
using namespace hareramp::routing;
using transport::Scheduler;

namespace {

// Makes the next calls fail; one for connect, one for socket.
struct InjectedFailure {
  int error = 0;  // errno
  int calls = 0;  // that will still fail
};
InjectedFailure connect_failure;
InjectedFailure socket_failure;

bool fails(InjectedFailure& failure) {
  if (failure.calls == 0) return false;
  --failure.calls;
  errno = failure.error;
  return true;
}

// Ends the failures with the test, even if that fails.
struct FailuresReset {
  ~FailuresReset() { connect_failure = socket_failure = InjectedFailure(); }
};

template <class Function>
Function* system_call(const char* name) {
  return reinterpret_cast<Function*>(dlsym(RTLD_NEXT, name));
}

// Counts the answers to requests.
class CountingSink : public ResponseSink {
 public:
  void completed(const RequestHandle&, Content) override { ++served; }
  void rejected(const RequestHandle&, Seconds) override { ++rejections; }
  void failed(const RequestHandle&) override { ++failures; }
  int served = 0, rejections = 0, failures = 0;
};

}  // namespace

extern "C" int connect(int descriptor, const sockaddr* to, socklen_t size) {
  if (fails(connect_failure)) return -1;
  return system_call<int(int, const sockaddr*, socklen_t)>("connect")(descriptor, to, size);
}

extern "C" int socket(int domain, int type, int protocol) noexcept {
  if (fails(socket_failure)) return -1;
  return system_call<int(int, int, int)>("socket")(domain, type, protocol);
}

TEST_CASE("a connection that fails locally: the attempt ends as a local failure, and the next one is sent") {
  const FailuresReset failures_reset;
  const std::vector<std::pair<InjectedFailure*, int>> failures = {
      {&connect_failure, EADDRNOTAVAIL}, {&connect_failure, ENETUNREACH}, {&connect_failure, ENOBUFS},
      {&socket_failure, EMFILE},         {&socket_failure, ENFILE},       {&socket_failure, ENOBUFS}};
  for (const auto& [failure, error] : failures) {
    CAPTURE(error);
    UpstreamNodeFixture upstream;
    *failure = {error, 1};
    upstream.attempt("p1");
    CHECK(upstream.wait_until([&] { return upstream.results.size() == 1; }));
    CHECK(upstream.resources.connections == 0);
    upstream.attempt("p1");
    CHECK(upstream.wait_until([&] { return upstream.server.has_received("serve p1"); }));
    upstream.server.connections.at(0)->send("p1 ACK - 0\r\n\r\n");
    CHECK(upstream.wait_until([&] { return upstream.results.size() == 2; }));
    CHECK(upstream.results == std::vector{Result::kLocalFailure, Result::kCompleted});
  }
}

TEST_CASE("an attempt that waits for a connection that fails locally is sent on one that is up") {
  const FailuresReset failures_reset;
  UpstreamNodeFixture upstream;
  upstream.attempt("p1");
  CHECK(upstream.wait_until([&] { return upstream.server.has_received("serve p1"); }));
  connect_failure = {EADDRNOTAVAIL, 1};
  upstream.attempt("p2");
  CHECK(upstream.wait_until(
      [&] { return upstream.server.has_received("serve p2") || !upstream.results.empty(); }));
  CHECK(connect_failure.calls == 0);
  CHECK(upstream.resources.connections == 1);
  REQUIRE(upstream.results.empty());
  upstream.server.connections.at(0)->send("p2 ACK - 0\r\n\r\np1 ACK - 0\r\n\r\n");
  CHECK(upstream.wait_until([&] { return upstream.results.size() == 2; }));
  CHECK(upstream.results == std::vector{Result::kCompleted, Result::kCompleted});
}

TEST_CASE("local failures: retried after pauses at the same node, which is not ejected") {
  DirectorFixture fixture;
  fixture.list(ListCompleteness::kFull, "c1 P1 O");
  for (const int request_class : {0, 2}) {  // a read, and a binding write, which never ran
    const std::string request = "p" + std::to_string(request_class);
    fixture.request(request, 7, request_class);
    for (int number = 0; number < 7; ++number) {
      REQUIRE(fixture.node_of[request].size() == static_cast<std::size_t>(number) + 1);
      fixture.end_attempt(request, number, Result::kLocalFailure, AnswerDetail::kNone, 0);
      CHECK(fixture.node_of[request].size() == static_cast<std::size_t>(number) + 1);
      fixture.run_until(fixture.now + 0.02 * (1 << number) + 0.001);
    }
    fixture.take_trace();
    fixture.end_attempt(request, 7, Result::kLocalFailure, AnswerDetail::kNone, 0);
    CHECK(fixture.take_trace().find(request + ": reject") != std::string::npos);
    for (const std::string& node : fixture.node_of[request]) CHECK(node == "c1");
  }
  fixture.request("next", 7);
  CHECK(fixture.node_of["next"] == std::vector<std::string>{"c1"});
}

TEST_CASE("a brief lack of local ports: every request is still answered") {
  const FailuresReset failures_reset;
  Scheduler scheduler;
  StandInServer cache(scheduler), parent(scheduler), origin(scheduler);
  const auto empty_configuration = *protocol::Json::parse("{}");
  Limits limits = program::fill_limits(empty_configuration, empty_configuration);
  limits.suspect_timeout = limits.answer_stall_timeout = limits.connect_timeout = limits.send_start_timeout =
      15;
  Counters counters;
  std::FILE* log_file = std::tmpfile();
  Log log{fileno(log_file)};
  const ConfiguredNames names{
      {"video", "docs", "write"}, {"z0", "z1", "z2"}, {"cache", "parent", "origin"}, {false, false, true}};
  DirectorActor actor(scheduler, limits, counters, log, names, DirectorFixture::usual_settings(), 7);
  actor.start();
  const auto entry = [](const char* id, const StandInServer& node, const char* zone, const char* kind) {
    return R"({"id":")" + std::string(id) + R"(","addr":")" + node.address.text() + R"(","zone":")" + zone +
           R"(","kind":")" + kind + R"(","cell":1,"state":"active","weight":6,"started_ms":0})";
  };
  const auto list = *protocol::Json::parse(
      R"({"seq":5,"fleet":{"full":true,"servers":[)" + entry("c1", cache, "z2", "cache") + "," +
      entry("P1", parent, "z0", "parent") + "," + entry("O", origin, "z1", "origin") + "]}}");
  bool listed = false;
  actor.changes_arrived({{0, list}}, false, [&](bool taken) { listed = taken; });
  REQUIRE(run_until(scheduler, [&] { return listed; }));

  // As many failures as the two requests have attempts together.
  const auto response_sink = std::make_shared<CountingSink>();
  connect_failure = {EADDRNOTAVAIL,
                     2 * std::stoi(DirectorFixture::usual_settings().at("Permissions.MaxAttempts"))};
  for (const bool write : {false, true}) {  // the write is binding: it may be retried only if it was not sent
    auto forwarded_request = std::make_shared<protocol::ForwardedRequest>();
    forwarded_request->lane = write ? "write" : "video", forwarded_request->name = "7f";
    actor.request_arrived({write ? "write" : "read"}, {write ? 2 : 0}, {7}, {0}, {1}, Scheduler::now() + 15,
                          400, false, write, forwarded_request, response_sink);
  }
  std::set<std::string> answered;
  const auto answer_all = [&] {
    for (const auto& connection : cache.connections) {
      for (const std::string request : {"read", "write"}) {
        if (!connection->has_received("serve " + request + " ") || !answered.insert(request).second) continue;
        connection->send(request + " ACK why=mem 2\r\nok\r\n");
      }
    }
    return response_sink->served + response_sink->rejections + response_sink->failures == 2;
  };
  CHECK(run_until(scheduler, answer_all));
  CHECK(response_sink->served == 2);
  CHECK(connect_failure.calls == 0);
  std::fclose(log_file);
}
