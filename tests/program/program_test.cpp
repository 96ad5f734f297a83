// The program as operators start it: its command line, a start that fails, and the way it leaves.
#include <signal.h>
#include <unistd.h>

#include <filesystem>

#include "helpers.hpp"
#include "program/config.hpp"
#include "rig/process.hpp"

using namespace hareramp;
using transport::Scheduler;

namespace {

// A new file of our own; its path goes into the string.
int temporary(std::string& path) {
  path = std::filesystem::temp_directory_path() / "hareramp-test-XXXXXX";
  return mkstemp(path.data());
}

// The director as a process of ours.
struct Process : rig::Process {
  Process(const std::vector<std::string>& words, const std::map<std::string, std::string>& variables,
          std::uint64_t descriptors = 0)
      : rig::Process(HARERAMP_BINARY, words, variables, descriptors) {}
};

// Runs to its end; what it printed and its status.
std::string run(const std::vector<std::string>& words,
                const std::map<std::string, std::string>& variables = {}) {
  Scheduler scheduler;
  Process process(words, variables);
  REQUIRE(run_until(scheduler, [&] { return process.ended(); }));
  return process.printed() + "-> " + std::to_string(process.status()) + "\n";
}

struct File {
  explicit File(const std::string& text) {
    ::close(temporary(path));
    std::ofstream(path) << text;
  }
  ~File() { std::filesystem::remove(path); }
  std::string path;
};

std::string configuration(const std::string& listen, const std::string& changes, const std::string& origin) {
  return R"({"name":"n3","listen":")" + listen +
         R"(","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,
    "sockets":1024},"changelog":")" +
         changes + R"(","known":{"seq":3,"results":[{"seq":1,"fleet":{"full":true,
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

TEST_CASE("command line and starts that fail") {
  const File good(configuration("127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"));
  const File no_list(R"({"listen":"127.0.0.1:1","seed":"1","changelog":"there","settings":{}})");
  const File cut("{\"name\":");
  std::string trace;
  const auto see = [&](const std::string& said, const std::vector<std::string>& words,
                       const std::map<std::string, std::string>& variables = {}) {
    std::string printed = run(words, variables);
    for (const File* file : {&good, &no_list, &cut})
      for (auto at = printed.find(file->path); at != std::string::npos; at = printed.find(file->path))
        printed.replace(at, file->path.size(), "FILE");
    trace += "$ hareramp" + said + "\n" + printed;
  };
  see("", {});
  see(" serve --help", {"serve", "--help"});
  see(" check --config FILE", {"check", "--config", good.path});
  see(" check, by variables", {"check"},
      {{"EDGE_CONFIG", good.path}, {"EDGE_NAME", "n7"}, {"EDGE_LISTEN", "127.0.0.9:80"}});
  see(" seve", {"seve"});
  see(" serve --fast", {"serve", "--fast"});
  see(" serve stray", {"serve", "stray"});
  see(" serve, with no variable", {"serve"});
  see(" check, with no such file", {"check", "--config", "/nowhere/config.json"});
  see(" check, with a bad address", {"check", "--config", no_list.path});
  see(" check, with half a file", {"check", "--config", cut.path});
  check_trace("command_line", trace);
  CHECK(run({"version"}).starts_with("hareramp "));

  Scheduler scheduler;
  StandInServer other(scheduler);
  const std::string taken =
      run({"serve"}, {{"EDGE_CONFIG", good.path}, {"EDGE_LISTEN", other.address.text()}});
  CHECK(taken ==
        "hareramp serve: can't listen at " + other.address.text() + ": Address already in use\n-> 1\n");
}

TEST_CASE("it serves, prints its counters, and leaves by SIGTERM with everything answered") {
  Scheduler scheduler;
  StandInServer origin(scheduler), changes(scheduler);
  const transport::Address listen = unused_address(scheduler);
  const File config(configuration(listen.text(), changes.address.text(), origin.address.text()));
  Process process({"serve", "--config", config.path}, {});
  REQUIRE(run_until(scheduler, [&] { return process.printed().find("serving") != std::string::npos; }));
  const auto one = dial(scheduler, listen);
  one->send("GET /_health HTTP/1.1\r\nHost: s\r\n\r\n" + put("0000000000000001"));
  REQUIRE(run_until(scheduler, [&] { return origin.has_received("serve 0000000000000001"); }));
  CHECK(changes.has_received("Last-Event-ID: 3"));
  process.send(SIGUSR1);
  REQUIRE(
      run_until(scheduler, [&] { return process.printed().find("counters taken=1") != std::string::npos; }));

  process.send(SIGTERM);
  REQUIRE(run_until(
      scheduler, [&] { return process.printed().find("shutting down, 1 requests") != std::string::npos; }));
  const auto two = dial(scheduler, listen);  // in the window after SIGTERM
  two->send(put("0000000000000002"));
  REQUIRE(run_until(scheduler, [&] { return origin.has_received("serve 0000000000000002", 1); }));
  // Past the window nobody is taken any more.
  for (int tries = 0; tries < 2000 && dial(scheduler, listen, false)->up; ++tries)
    scheduler.at(Scheduler::now() + 0.01, [&] { scheduler.stop(); }), scheduler.run();
  CHECK_FALSE(dial(scheduler, listen, false)->up);
  CHECK_FALSE(process.ended());
  origin.connections[1]->send("0000000000000002 ACK - 3\r\ntwo\r\n");
  origin.connections[0]->send("0000000000000001 ACK - 3\r\none\r\n");
  REQUIRE(run_until(scheduler, [&] { return process.ended(); }));
  CHECK(process.status() == 0);
  CHECK(one->heard.ends_with("one"));
  CHECK(two->heard.ends_with("two"));
  CHECK(process.printed().find("counters taken=2 completed=2 bounced=0 forfeited=0 left=0 open=0") !=
        std::string::npos);
}

TEST_CASE("SIGHUP: another change log is followed, a bad file changes nothing, requests go on") {
  Scheduler scheduler;
  StandInServer origin(scheduler), changes(scheduler), other(scheduler);
  const transport::Address listen = unused_address(scheduler);
  const std::string before = configuration(listen.text(), changes.address.text(), origin.address.text());
  const File config(before);
  Process process({"serve", "--config", config.path}, {});
  const auto prints = [&](const std::string& words) {
    CHECK_MESSAGE(run_until(scheduler, [&] { return process.printed().find(words) != std::string::npos; }),
                  words);
  };
  prints("serving");
  const auto client = dial(scheduler, listen);
  client->send(put("0000000000000001"));
  REQUIRE(run_until(scheduler, [&] { return origin.has_received("serve 0000000000000001"); }));
  std::ofstream(config.path) << before.substr(0, before.size() / 2);
  process.send(SIGHUP);
  prints("reload failed, the previous configuration stays in use");
  std::string after = configuration(listen.text(), other.address.text(), origin.address.text());
  after.replace(after.find("\"memory_mb\":192"), 15, "\"memory_mb\":64");
  std::ofstream(config.path) << after;
  process.send(SIGHUP);
  REQUIRE(run_until(scheduler, [&] { return other.has_received("Last-Event-ID: 3"); }));
  prints("takes effect only after a restart: limits");
  origin.connections[0]->send("0000000000000001 ACK - 3\r\none\r\n");
  REQUIRE(run_until(scheduler, [&] { return client->heard.ends_with("one"); }));
  process.send(SIGUSR1);
  prints("reloads=1 reloads_failed=1");
  process.send(SIGTERM);
  REQUIRE(run_until(scheduler, [&] { return process.ended(); }));
  CHECK(process.status() == 0);
}

TEST_CASE(
    "with no descriptor left it goes on: idle clients make room, requests that can't go out are bounced") {
  Scheduler scheduler;
  StandInServer origin(scheduler), changes(scheduler);
  const transport::Address listen = unused_address(scheduler);
  const File config(configuration(listen.text(), changes.address.text(), origin.address.text()));
  Process process({"serve", "--config", config.path}, {}, 20);
  REQUIRE(run_until(scheduler, [&] { return process.printed().find("serving") != std::string::npos; }));
  std::vector<std::shared_ptr<TestConnection>> clients;
  for (int i = 0; i < 40; ++i) clients.push_back(dial(scheduler, listen));
  // Whoever came last is served, and whoever is busy stays.
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
  REQUIRE(run_until(scheduler, [&] { return later->heard.ends_with("ok"); }));
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
  CHECK(limits.connect_timeout == 0.25);
  CHECK(limits.node_idle_timeout < 15);
  CHECK(limits.max_attempts_per_connection == 7);
}
