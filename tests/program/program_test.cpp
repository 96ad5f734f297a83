// The program as operators run it: the command line, failed startups, counters, reloading, shutdown, and a
// lack of descriptors.
#include <signal.h>
#include <unistd.h>

#include <filesystem>

#include "helpers.hpp"
#include "program/config.hpp"
#include "rig/process.hpp"

using namespace hareramp;
using transport::Scheduler;

namespace {

// Creates a temporary file, stores its path in path, and returns its descriptor.
int create_temporary_file(std::string& path) {
  path = std::filesystem::temp_directory_path() / "hareramp-test-XXXXXX";
  return mkstemp(path.data());
}

// The director as a child process.
struct Process : rig::Process {
  Process(const std::vector<std::string>& arguments, const std::map<std::string, std::string>& variables,
          std::uint64_t descriptors = 0)
      : rig::Process(HARERAMP_BINARY, arguments, variables, descriptors) {}
};

// Runs the program until it exits. Returns what it printed and its exit status.
std::string run(const std::vector<std::string>& arguments,
                const std::map<std::string, std::string>& variables = {}) {
  Scheduler scheduler;
  Process process(arguments, variables);
  REQUIRE(run_until(scheduler, [&] { return process.ended(); }));
  return process.printed() + "-> " + std::to_string(process.status()) + "\n";
}

struct TemporaryFile {
  explicit TemporaryFile(const std::string& text) {
    ::close(create_temporary_file(path));
    std::ofstream(path) << text;
  }
  ~TemporaryFile() { std::filesystem::remove(path); }
  std::string path;
};

std::string configuration(const std::string& listen, const std::string& change_stream,
                          const std::string& origin) {
  return R"({"name":"n3","listen":")" + listen +
         R"(","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,
    "sockets":1024},"changelog":")" +
         change_stream + R"(","known":{"seq":3,"results":[{"seq":1,"fleet":{"full":true,
    "servers":[{"id":"O","addr":")" +
         origin + R"(","zone":"hub","kind":"origin","cell":1,"state":"active","weight":1,
    "started_ms":0}]}}]},"settings":{"Kinds":["cache","parent","origin"],"Zones":["hub"],"Locality":0,
    "FamilyInfo":{"OriginKind":2,"ShieldKind":1,"Direct":true,"GoesThrough":[true]},
    "Permissions":{"MaxAttempts":6,"Cancel":true},
    "RequestClasses":[{"Name":"write","Effect":"fragile","DeadlineS":15.0,"PromiseS":1.0}]}})";
}

std::string put(const std::string& id) {
  return "PUT /invoke/write/8/block-0 HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: " + id +
         "\r\nX-Deadline-Ms: 15000\r\nContent-Length: 2\r\n\r\nab";
}

}  // namespace

TEST_CASE("command line and failed startups") {
  const TemporaryFile valid(configuration("127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"));
  const TemporaryFile bad_address(R"({"listen":"127.0.0.1:1","seed":"1","changelog":"there","settings":{}})");
  const TemporaryFile truncated("{\"name\":");
  std::string trace;
  const auto record = [&](const std::string& label, const std::vector<std::string>& arguments,
                          const std::map<std::string, std::string>& variables = {}) {
    std::string printed = run(arguments, variables);
    for (const TemporaryFile* file : {&valid, &bad_address, &truncated})
      for (auto at = printed.find(file->path); at != std::string::npos; at = printed.find(file->path))
        printed.replace(at, file->path.size(), "FILE");
    trace += "$ hareramp" + label + "\n" + printed;
  };
  record("", {});
  record(" serve --help", {"serve", "--help"});
  record(" check --config FILE", {"check", "--config", valid.path});
  record(" check, by variables", {"check"},
         {{"EDGE_CONFIG", valid.path}, {"EDGE_NAME", "n7"}, {"EDGE_LISTEN", "127.0.0.9:80"}});
  record(" seve", {"seve"});
  record(" serve --fast", {"serve", "--fast"});
  record(" serve stray", {"serve", "stray"});
  record(" serve, with no variable", {"serve"});
  record(" check, with no such file", {"check", "--config", "/nowhere/config.json"});
  record(" check, with a bad address", {"check", "--config", bad_address.path});
  record(" check, with half a file", {"check", "--config", truncated.path});
  check_trace("command_line", trace);
  CHECK(run({"version"}).starts_with("hareramp "));

  Scheduler scheduler;
  StandInServer occupant(scheduler);
  const std::string output =
      run({"serve"}, {{"EDGE_CONFIG", valid.path}, {"EDGE_LISTEN", occupant.address.text()}});
  CHECK(output ==
        "hareramp serve: can't listen at " + occupant.address.text() + ": Address already in use\n-> 1\n");
}

TEST_CASE("the director serves, prints its counters, and on SIGTERM answers everything before it exits") {
  Scheduler scheduler;
  StandInServer origin(scheduler), change_stream(scheduler);
  const transport::Address listen = unused_address(scheduler);
  const TemporaryFile config(
      configuration(listen.text(), change_stream.address.text(), origin.address.text()));
  Process process({"serve", "--config", config.path}, {});
  REQUIRE(run_until(scheduler, [&] { return process.printed().find("serving") != std::string::npos; }));
  const auto first_client = dial(scheduler, listen);
  first_client->send("GET /_health HTTP/1.1\r\nHost: s\r\n\r\n" + put("0000000000000001"));
  REQUIRE(run_until(scheduler, [&] { return origin.has_received("serve 0000000000000001"); }));
  CHECK(change_stream.has_received("Last-Event-ID: 3"));
  process.send(SIGUSR1);
  REQUIRE(
      run_until(scheduler, [&] { return process.printed().find("counters taken=1") != std::string::npos; }));

  process.send(SIGTERM);
  REQUIRE(run_until(
      scheduler, [&] { return process.printed().find("shutting down, 1 requests") != std::string::npos; }));
  const auto second_client = dial(scheduler, listen);  // within the accept window after SIGTERM
  second_client->send(put("0000000000000002"));
  REQUIRE(run_until(scheduler, [&] { return origin.has_received("serve 0000000000000002", 1); }));
  // After the window no connection is accepted any more.
  for (int attempts = 0; attempts < 2000 && dial(scheduler, listen, false)->up; ++attempts)
    scheduler.at(Scheduler::now() + 0.01, [&] { scheduler.stop(); }), scheduler.run();
  CHECK_FALSE(dial(scheduler, listen, false)->up);
  CHECK_FALSE(process.ended());
  origin.connections[1]->send("0000000000000002 ACK - 3\r\ntwo\r\n");
  origin.connections[0]->send("0000000000000001 ACK - 3\r\none\r\n");
  REQUIRE(run_until(scheduler, [&] { return process.ended(); }));
  CHECK(process.status() == 0);
  CHECK(first_client->received.ends_with("one"));
  CHECK(second_client->received.ends_with("two"));
  CHECK(process.printed().find("counters taken=2 completed=2 bounced=0 forfeited=0 left=0 open=0") !=
        std::string::npos);
}

TEST_CASE(
    "SIGHUP: a new change stream source is followed, an invalid file changes nothing, requests are not "
    "lost") {
  Scheduler scheduler;
  StandInServer origin(scheduler), change_stream(scheduler), new_source(scheduler);
  const transport::Address listen = unused_address(scheduler);
  const std::string old_text =
      configuration(listen.text(), change_stream.address.text(), origin.address.text());
  const TemporaryFile config(old_text);
  Process process({"serve", "--config", config.path}, {});
  const auto wait_for_output = [&](const std::string& expected) {
    CHECK_MESSAGE(run_until(scheduler, [&] { return process.printed().find(expected) != std::string::npos; }),
                  expected);
  };
  wait_for_output("serving");
  const auto client = dial(scheduler, listen);
  client->send(put("0000000000000001"));
  REQUIRE(run_until(scheduler, [&] { return origin.has_received("serve 0000000000000001"); }));
  std::ofstream(config.path) << old_text.substr(0, old_text.size() / 2);
  process.send(SIGHUP);
  wait_for_output("reload failed, the previous configuration stays in use");
  std::string new_text = configuration(listen.text(), new_source.address.text(), origin.address.text());
  new_text.replace(new_text.find("\"memory_mb\":192"), 15, "\"memory_mb\":64");
  std::ofstream(config.path) << new_text;
  process.send(SIGHUP);
  REQUIRE(run_until(scheduler, [&] { return new_source.has_received("Last-Event-ID: 3"); }));
  wait_for_output("takes effect only after a restart: limits");
  origin.connections[0]->send("0000000000000001 ACK - 3\r\none\r\n");
  REQUIRE(run_until(scheduler, [&] { return client->received.ends_with("one"); }));
  process.send(SIGUSR1);
  wait_for_output("reloads=1 reloads_failed=1");
  process.send(SIGTERM);
  REQUIRE(run_until(scheduler, [&] { return process.ended(); }));
  CHECK(process.status() == 0);
}

TEST_CASE(
    "with no descriptor left the director keeps serving: idle clients are closed, requests that can't be "
    "sent are rejected") {
  Scheduler scheduler;
  StandInServer origin(scheduler), change_stream(scheduler);
  const transport::Address listen = unused_address(scheduler);
  const TemporaryFile config(
      configuration(listen.text(), change_stream.address.text(), origin.address.text()));
  Process process({"serve", "--config", config.path}, {}, 20);
  REQUIRE(run_until(scheduler, [&] { return process.printed().find("serving") != std::string::npos; }));
  std::vector<std::shared_ptr<TestConnection>> clients;
  for (int i = 0; i < 40; ++i) clients.push_back(dial(scheduler, listen));
  // The newest client is served, and a client with an open request keeps its connection.
  clients.back()->send(put("0000000000000001"));
  REQUIRE(run_until(
      scheduler, [&] { return clients.back()->has_received("\r\n\r\n") || origin.has_received("serve"); }));
  if (origin.has_received("serve")) origin.connections[0]->send("0000000000000001 ACK - 0\r\n\r\n");
  REQUIRE(run_until(scheduler, [&] { return clients.back()->has_received("\r\n\r\n"); }));
  for (const auto& client : clients) client->close();
  const auto later = dial(scheduler, listen);
  later->send(put("0000000000000002"));
  REQUIRE(run_until(scheduler, [&] { return origin.has_received("serve 0000000000000002"); }));
  origin.connections.back()->send("0000000000000002 ACK - 2\r\nok\r\n");
  REQUIRE(run_until(scheduler, [&] { return later->received.ends_with("ok"); }));
  CHECK_FALSE(process.ended());
}

TEST_CASE("limits follow the configuration") {
  const auto limits =
      program::fill_limits(*protocol::Json::parse(R"({"memory_mb":96,"sockets":300})"),
                           *protocol::Json::parse(R"({"Permissions":{"ConnectTimeoutS":0.25,"ConnIdleS":15.0,
                                               "StreamsPerConn":7}})"));
  CHECK(limits.max_clients == 100);
  CHECK(limits.max_clients + limits.max_node_connections <= 300 - 32);
  CHECK(limits.max_pending_answers == 24u << 20);
  // Many descriptors and little memory: connections alone must not take all of it.
  const auto crowded = program::fill_limits(*protocol::Json::parse(R"({"memory_mb":32,"sockets":100000})"),
                                            *protocol::Json::parse("{}"));
  CHECK(crowded.max_clients == 1024);
  CHECK(crowded.max_node_connections == 2048);
  const auto named = program::fill_limits(*protocol::Json::parse(R"({"memory_mb":32,"sockets":1024})"),
                                          *protocol::Json::parse("{}"));
  CHECK(named.max_clients == 341);
  CHECK(named.max_node_connections == 650);
  CHECK(limits.connect_timeout == 0.25);
  CHECK(limits.node_idle_timeout < 15);
  CHECK(limits.max_attempts_per_connection == 7);
}
