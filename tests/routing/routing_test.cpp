// Clients, the DirectorActor and the change stream together, on loopback, with stand-in servers for the
// nodes and the change stream.
#include "distribution/subscription.hpp"
#include "helpers.hpp"
#include "program/serve.hpp"
#include "routing/client_listener.hpp"
#include "routing/director_actor.hpp"
#include "transport/clock.hpp"

using namespace hareramp;
using namespace hareramp::routing;
using transport::Scheduler;

namespace {

// A director with a cache c1, a parent P1 and the origin O; the nodes are stand-in servers.
class LoopbackFixture {
 public:
  explicit LoopbackFixture(const std::function<void(Limits&)>& adjust_limits = {}) {
    const auto empty_configuration = *protocol::Json::parse("{}");
    limits = program::fill_limits(empty_configuration, empty_configuration);
    limits.client_idle_timeout = 15, limits.suspect_timeout = 15, limits.answer_stall_timeout = 15,
    limits.max_connections_per_node = 1;
    limits.final_write_delay = 0;
    if (adjust_limits) adjust_limits(limits);
    Settings settings = DirectorFixture::usual_settings();
    settings["FamilyInfo.Direct"] = "true";
    const ConfiguredNames names{
        {"video", "docs", "write"}, {"z0", "z1", "z2"}, {"cache", "parent", "origin"}, {false, false, true}};
    actor.emplace(scheduler, limits, counters, log, names, settings, 7);
    actor->start();
    send_change("\"full\":true",
                {entry("c1", cache.address, "z2", "cache"), entry("P1", parent.address, "z0", "parent"),
                 entry("O", origin.address, "z1", "origin")},
                true);
    listener.emplace(scheduler, limits, counters, *transport::Address::parse("127.0.0.1:0"), names, *actor);
    listener->start();
  }
  static std::string entry(const std::string& id, transport::Address address, const std::string& zone,
                           const std::string& kind, const std::string& state = "active") {
    return R"({"id":")" + id + R"(","addr":")" + address.text() + R"(","zone":")" + zone + R"(","kind":")" +
           kind + R"(","cell":1,"state":")" + state + R"(","weight":6,"started_ms":0})";
  }
  static std::string fleet(const std::string& kind, const std::vector<std::string>& entries) {
    std::string servers;
    for (const auto& server : entries) servers += (servers.empty() ? "" : ",") + server;
    return "{\"seq\":5,\"fleet\":{" + kind + ",\"servers\":[" + servers + "]}}";
  }
  void send_change(const std::string& kind, const std::vector<std::string>& entries, bool known = false) {
    const protocol::Json change = *protocol::Json::parse(fleet(kind, entries));
    if (known)
      actor->known_change_arrived(change);
    else
      send_change(change);
  }
  void send_change(const protocol::Json& change) {
    actor->changes_arrived({{0, change}}, false, [](bool) {});
  }
  static std::string get(const std::string& id, const std::string& target = "/invoke/video/7f/block-3",
                         const std::string& extra_headers = "") {
    return "GET " + target + " HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: " + id +
           "\r\nX-Deadline-Ms: 15000\r\nX-Family: 17\r\nX-Need-Kb: 412.5\r\n" + extra_headers + "\r\n";
  }
  static std::string put(const std::string& id, const std::string& headers_and_body) {
    return "PUT /invoke/write/8/block-0 HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: " + id +
           "\r\nX-Deadline-Ms: 15000\r\n" + headers_and_body;
  }
  std::shared_ptr<TestConnection> client(bool reads = true) {
    return dial(scheduler, listener->address(), reads);
  }
  void wait_until(const std::function<bool()>& condition) { CHECK(run_until(scheduler, condition)); }
  void expect_received(StandInServer& node, const std::string& expected) {
    CHECK_MESSAGE(run_until(scheduler, [&] { return node.has_received(expected); }),
                  expected << " in " << node.received());
  }
  void expect_received(TestConnection& connection, const std::string& expected) {
    CHECK_MESSAGE(run_until(scheduler, [&] { return connection.has_received(expected); }),
                  expected << " in " << connection.received);
  }
  // This equation of the counters holds at any moment.
  void check_sums() const {
    CHECK(counters.taken ==
          counters.completed + counters.bounced + counters.forfeited + counters.left + counters.open);
  }
  static std::string without_carriage_returns(const std::string& received) {
    std::string clean = received;
    std::erase(clean, '\r');
    return clean + "\n";
  }

  Scheduler scheduler;
  Limits limits;
  Counters counters;
  std::FILE* log_file = std::tmpfile();
  Log log{fileno(log_file)};
  StandInServer cache{scheduler}, parent{scheduler}, origin{scheduler};
  std::optional<DirectorActor> actor;
  std::optional<ClientListener> listener;
  ~LoopbackFixture() { std::fclose(log_file); }
};

const std::string kId1 = "0000000000000001", kId2 = "0000000000000002", kId3 = "0000000000000003";

}  // namespace

TEST_CASE("requests: bytes, a copy that is still valid, a write, a rejection, a failure") {
  LoopbackFixture fixture;
  std::string trace;
  const auto client = fixture.client();
  client->send(LoopbackFixture::get(kId1));
  fixture.expect_received(fixture.cache, "serve " + kId1);
  fixture.cache.connections[0]->send(kId1 + " ACK sum=4be0,t0=1,why=mem 8\r\nbytes\r\n!\r\n");
  fixture.expect_received(*client, "bytes\r\n!");
  client->send(LoopbackFixture::get(kId2, "/invoke/docs/7f/block-0", "If-None-Match: \"4be0\"\r\n"));
  fixture.expect_received(fixture.cache, "serve " + kId2);
  fixture.cache.connections[0]->send(kId2 + " NOMOD sum=4be0,t0=1,why=mem 0\r\n\r\n");
  fixture.expect_received(*client, "304");
  client->send("PUT /invoke/write/8/block-0 HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: " + kId3 +
               "\r\nX-Deadline-Ms: 15000\r\nContent-Length: 6\r\n\r\nab\r\ncd");
  fixture.expect_received(fixture.origin, "serve " + kId3);
  fixture.origin.connections[0]->send(kId3 + " ACK sum=1,t0=1 2\r\nok\r\n");
  fixture.expect_received(*client, "\r\n\r\nok");
  trace += "-- received by the cache\n" + fixture.cache.received() + "-- received by the origin\n" +
           fixture.origin.received();
  trace += "-- received by the client\n" + LoopbackFixture::without_carriage_returns(client->received);

  const auto other = fixture.client();
  other->send(LoopbackFixture::put("00000000000000aa", "Content-Length: 2\r\n\r\nab"));
  fixture.expect_received(fixture.origin, "serve 00000000000000aa");
  fixture.origin.connections[0]->reset();
  fixture.expect_received(*other, "500");
  trace += "-- a binding request that may have run: failed\n" +
           LoopbackFixture::without_carriage_returns(other->received);
  const auto third = fixture.client();
  third->send(LoopbackFixture::get("00000000000000bb", "/invoke/video/7f/block-3"));
  for (int number = 0; number < 6 && !third->has_received("503"); ++number) {
    const std::string command = "serve 00000000000000bb";
    const auto count = [&] {
      std::size_t found = 0;
      for (const StandInServer* node : {&fixture.cache, &fixture.parent, &fixture.origin})
        for (const auto& connection : node->connections)
          for (auto at = connection->received.find(command); at != std::string::npos;
               at = connection->received.find(command, at + 1))
            ++found;
      return static_cast<int>(found);
    };
    fixture.wait_until([&] { return count() > number || third->has_received("503"); });
    for (StandInServer* node : {&fixture.cache, &fixture.parent, &fixture.origin})
      for (const auto& connection : node->connections)
        if (connection->has_received(command) && !connection->ended)
          connection->send("00000000000000bb AGAIN why=crowded 0\r\n\r\n");
  }
  fixture.expect_received(*third, "503");
  CHECK(third->has_received("X-Pushback-Ms: "));
  fixture.check_sums();
  CHECK(fixture.counters.completed == 3);
  CHECK(fixture.counters.not_modified == 1);
  CHECK(fixture.counters.bounced == 1);
  CHECK(fixture.counters.forfeited == 1);
  check_trace("requests", trace);
}

TEST_CASE("requests in pieces, pipelined, chunked, and with Expect: 100-continue") {
  LoopbackFixture fixture;
  const auto client = fixture.client();
  const std::string two = LoopbackFixture::get(kId1) + LoopbackFixture::get(kId2, "/invoke/video/80/block-1");
  for (const char byte : two) {
    client->send(std::string(1, byte));
    fixture.scheduler.at(Scheduler::now(), [&] { fixture.scheduler.stop(); });
    fixture.scheduler.run();
  }
  fixture.expect_received(fixture.cache, "serve " + kId1);
  CHECK_FALSE(fixture.cache.has_received(
      "serve " + kId2));  // requests of a connection are served one at a time, in order
  fixture.cache.connections[0]->send(kId1 + " ACK - 3\r\none\r\n");
  fixture.expect_received(fixture.cache, "serve " + kId2);
  fixture.cache.connections[0]->send(kId2 + " ACK - 3\r\ntwo\r\n");
  fixture.expect_received(*client, "two");
  client->send("PUT /invoke/write/8 HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: " + kId3 +
               "\r\nX-Deadline-Ms: 15000\r\nExpect: 100-continue\r\nTransfer-Encoding: chunked\r\n\r\n");
  fixture.expect_received(*client, "100 Continue");
  client->send("2\r\nab\r\n1\r\nc\r\n0\r\n\r\n");
  fixture.expect_received(fixture.origin, "abc\r\n");
  fixture.origin.connections[0]->send(kId3 + " ACK - 0\r\n\r\n");
  fixture.wait_until([&] { return fixture.counters.completed == 3; });
  client->send("GET /_health HTTP/1.1\r\nHost: s\r\nConnection: close\r\n\r\n");
  fixture.wait_until([&] { return client->ended; });
  check_trace("request_pieces", LoopbackFixture::without_carriage_returns(client->received));
}

TEST_CASE("invalid requests get a plain answer and never reach the DirectorActor") {
  LoopbackFixture fixture([](Limits& limits) { limits.linger_timeout = 0.01; });
  std::string trace;
  const std::string headers =
      " HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: 0000000000000001\r\nX-Deadline-Ms: 900\r\n";
  for (const std::string& text :
       {std::string("nonsense\r\n\r\n"),
        "GET /else" + headers + "\r\n",
        "DELETE /invoke/video/7f/block-0" + headers + "\r\n",
        "GET /invoke/audio/7f/block-0" + headers + "\r\n",
        "GET /invoke/video/xyz/block-0" + headers + "\r\n",
        "GET /invoke/video/7f/part-0" + headers + "\r\n",
        "GET /invoke/video/7f/block--1" + headers + "\r\n",
        "GET /invoke/video" + headers + "\r\n",
        "GET /invoke/video/7f/block-0" + headers + "X-Family: many\r\n\r\n",
        "GET /invoke/video/7f/block-0" + headers + "X-Need-Kb: nan\r\n\r\n",
        "GET /invoke/video/7f/block-0" + headers + "X-Family: 256\r\n\r\n",
        "GET /invoke/video/7f/block-0" + headers + "X-Need-Kb: 1e11\r\n\r\n",
        "GET /invoke/video/7f/block-0" + headers + "X-Correlation-Id: 0000000000000002\r\n\r\n",
        "GET /invoke/video/7f/block-0" + headers + "X-Deadline-Ms: 900000000\r\n\r\n",
        "GET /invoke/video/7f/block-0" + headers + "Content-Length: 2\r\n\r\nab",
        "GET /invoke/write/7f/block-0" + headers + "\r\n",
        "PUT /invoke/video/7f/block-0" + headers + "Content-Length: 2\r\n\r\nab",
        "PUT /invoke/write/7f/block-0" + headers + "Content-Length: 2\r\n\r\nabcdef",
        std::string("GET /invoke/video/7f/block-0 HTTP/1.1\r\nHost: s\r\n\r\n"),
        "PUT /invoke/write/7f/block-0" + headers + "Content-Length: 999999999\r\n\r\n",
        "GET /" + std::string(70000, 'a') + " HTTP/1.1\r\n\r\n",
        "GET / HTTP/3.0\r\n\r\n" + std::string(1000, 'x'),
        "PUT /invoke/write/7f/block-0" + headers + "Content-Length: 10\r\n\r\ncut"}) {
    const auto client = fixture.client();
    client->send(text);
    if (text.ends_with("cut")) client->finish();
    fixture.wait_until([&] { return client->ended || client->has_received("\r\n\r\n"); });
    trace += text.substr(0, text.find(" HTTP/1.1\r\n")).substr(0, 40) + " -> " +
             client->received.substr(0, client->received.find('\r')) + "\n";
  }
  CHECK(fixture.counters.taken == 0);
  CHECK(fixture.cache.connections.empty());
  check_trace("no_requests", trace);
}

TEST_CASE("a client that disconnects: its attempt is cancelled and nothing is kept") {
  LoopbackFixture fixture;
  const auto client = fixture.client();
  client->send(LoopbackFixture::get(kId1));
  fixture.expect_received(fixture.cache, "serve " + kId1);
  client->reset();
  fixture.expect_received(fixture.cache, "cancel " + kId1);
  CHECK(fixture.counters.left == 1);
  fixture.cache.connections[0]->send(kId1 + " ACK - 3\r\nold\r\n");
  fixture.wait_until([&] { return fixture.counters.late_answers == 1; });
  CHECK(fixture.listener->clients() == 0);
  fixture.check_sums();
}

TEST_CASE(
    "a client that does not read is reset; while too many answer bytes are pending, requests are rejected") {
  LoopbackFixture fixture([](Limits& limits) {
    limits.answer_write_timeout = 0.2;
    limits.max_answer_body = 64 << 20;
    limits.max_pending_answers = 1 << 20;
  });
  const auto non_reading = fixture.client(false);
  non_reading->send(LoopbackFixture::get(kId1));
  fixture.expect_received(fixture.cache, "serve " + kId1);
  const std::string large =
      kId1 + " ACK - " + std::to_string(48 << 20) + "\r\n" + std::string(48 << 20, 'x') + "\r\n";
  std::size_t sent = 0;
  const auto push = [&] {
    if (sent < large.size())
      sent += fixture.cache.connections[0]->try_send(std::string_view(large).substr(sent));
    return fixture.counters.completed == 1;
  };
  fixture.wait_until(push);
  const auto other = fixture.client();
  other->send(LoopbackFixture::get(kId2));
  fixture.expect_received(*other, "503");
  fixture.wait_until([&] { return fixture.counters.clients_slow == 1; });
  CHECK(fixture.counters.turned_back == 1);
  other->send(LoopbackFixture::get(kId3));
  fixture.expect_received(fixture.cache, "serve " + kId3);
  fixture.check_sums();
}

TEST_CASE("at the limit of clients an idle one is closed, or else accepting pauses") {
  LoopbackFixture fixture([](Limits& limits) { limits.max_clients = 2; });
  const auto idle = fixture.client(), busy = fixture.client();
  busy->send(LoopbackFixture::get(kId1));
  fixture.expect_received(fixture.cache, "serve " + kId1);
  const auto third = fixture.client();
  third->send(LoopbackFixture::get(kId2, "/invoke/video/80/block-1"));
  fixture.expect_received(fixture.cache, "serve " + kId2);
  CHECK(idle->ended);
  const auto fourth = fixture.client();
  fourth->send(LoopbackFixture::get(kId3, "/invoke/video/81/block-1"));
  fixture.wait_until([&] { return fixture.counters.accept_paused > 0; });
  CHECK(fixture.listener->clients() == 2);
  fixture.cache.connections[0]->send(kId1 + " ACK - 3\r\none\r\n");
  fixture.expect_received(fixture.cache, "serve " + kId3);
  CHECK(fixture.listener->clients() == 2);
}

TEST_CASE(
    "at the limit, clients without a complete request are closed before one that is idle after a valid one") {
  LoopbackFixture fixture([](Limits& limits) { limits.max_clients = 3, limits.first_request_grace = 0; });
  const auto valid = fixture.client();
  valid->send(LoopbackFixture::get(kId1));
  fixture.expect_received(fixture.cache, "serve " + kId1);
  fixture.cache.connections[0]->send(kId1 + " ACK - 3\r\none\r\n");
  fixture.expect_received(*valid, "one");
  const auto silent = fixture.client(), partial = fixture.client();
  partial->send("GET /invoke/vi");
  const auto next = fixture.client(), last = fixture.client();
  fixture.wait_until([&] { return silent->ended && partial->ended; });
  CHECK_FALSE(valid->ended);
  valid->send(LoopbackFixture::get(kId2));
  fixture.expect_received(fixture.cache, "serve " + kId2);
}

TEST_CASE(
    "a client with no or a partial request is closed in time; one idle after a valid request may stay") {
  LoopbackFixture fixture([](Limits& limits) { limits.request_read_timeout = 0.02; });
  const auto valid = fixture.client();
  valid->send("GET /_health HTTP/1.1\r\nHost: s\r\n\r\n");
  fixture.expect_received(*valid, "200 OK");
  const auto silent = fixture.client(), partial = fixture.client();
  partial->send("GET /invoke/vi");
  fixture.wait_until([&] { return silent->ended && partial->ended; });
  CHECK(silent->received.empty());
  CHECK(partial->has_received("HTTP/1.1 408"));
  CHECK_FALSE(valid->ended);
}

TEST_CASE(
    "a request that is too large is refused, and the rest of it read so that the client gets the refusal") {
  LoopbackFixture fixture([](Limits& limits) { limits.linger_timeout = 10, limits.max_linger = 15; });
  const auto client = fixture.client();
  client->send(LoopbackFixture::put(kId1, "Content-Length: 60000000\r\n\r\n"));
  const std::string piece(1 << 20, 'x');
  std::size_t sent = 0;
  fixture.wait_until([&] {
    sent += client->try_send(piece);
    return sent >= 60000000;
  });
  CHECK(client->received.starts_with("HTTP/1.1 413"));
  CHECK(fixture.counters.taken == 0);
}

TEST_CASE("a deadline: one whole answer before it, whatever the nodes do") {
  LoopbackFixture fixture;
  const auto client = fixture.client();
  std::string request = LoopbackFixture::get(kId1);
  request.replace(request.find("15000"), 5, "200");
  client->send(request);
  fixture.wait_until([&] { return client->has_received("\r\n\r\n"); });
  CHECK(client->has_received("HTTP/1.1 500"));
  CHECK(fixture.counters.overdue == 0);
  fixture.expect_received(fixture.cache, "cancel " + kId1);
  client->send(LoopbackFixture::get(kId1, "/invoke/video/82/block-0"));
  fixture.expect_received(fixture.cache, "serve " + kId1);
  fixture.check_sums();
}

TEST_CASE("an id that is already open gets no second answer") {
  LoopbackFixture fixture;
  const auto first = fixture.client(), second = fixture.client();
  first->send(LoopbackFixture::get(kId1));
  fixture.expect_received(fixture.cache, "serve " + kId1);
  second->send(LoopbackFixture::get(kId1));
  fixture.expect_received(*second, "500");
  fixture.cache.connections[0]->send(kId1 + " ACK - 3\r\none\r\n");
  fixture.expect_received(*first, "one");
  CHECK(fixture.counters.attempts == 1);
  fixture.check_sums();
}

// Guards against a client that sends under the id of an open request and goes at once (issue 65, review/6).
TEST_CASE("a client that leaves after sending an id in use takes no answer away") {
  class CountingSink : public ResponseSink {
   public:
    void completed(const RequestHandle&, Content) override { ++answers; }
    void rejected(const RequestHandle&, Seconds) override { ++answers; }
    void failed(const RequestHandle&) override { ++answers; }
    int answers = 0;
  };
  LoopbackFixture fixture;
  const auto client = fixture.client();
  client->send(LoopbackFixture::get(kId1));
  fixture.expect_received(fixture.cache, "serve " + kId1);
  const auto sink = std::make_shared<CountingSink>();
  const auto duplicate =
      fixture.actor->request_arrived({kId1}, {0}, {0x80}, {0}, {1}, Scheduler::now() + 15, 400, false, false,
                                     std::make_shared<protocol::ForwardedRequest>(), sink);
  fixture.actor->client_left(duplicate);
  fixture.wait_until([&] { return sink->answers == 1; });
  CHECK(!fixture.cache.has_received("cancel"));
  fixture.cache.connections[0]->send(kId1 + " ACK - 3\r\none\r\n");
  fixture.expect_received(*client, "one");
  CHECK(fixture.counters.left == 0);
  fixture.check_sums();
}

// The same for a handle that was kept while the id ended and came again.
TEST_CASE("a client that leaves late does not end a later request under its id") {
  LoopbackFixture fixture([](Limits& limits) { limits.max_connections_per_node = 2; });
  const auto client = fixture.client();
  client->send(LoopbackFixture::get(kId1));
  fixture.expect_received(fixture.cache, "serve " + kId1);
  const RequestHandle ended{kId1, 1};
  fixture.cache.connections[0]->send(kId1 + " ACK - 3\r\none\r\n");
  fixture.expect_received(*client, "one");
  client->send(LoopbackFixture::get(kId1, "/invoke/video/82/block-0"));
  fixture.wait_until([&] { return fixture.counters.attempts == 2; });
  fixture.actor->client_left(ended);
  fixture.wait_until([&] { return fixture.cache.has_received("serve " + kId1, 1); });
  fixture.cache.connections[1]->send(kId1 + " ACK - 3\r\ntwo\r\n");
  fixture.expect_received(*client, "two");
  CHECK(fixture.counters.left == 0);
  fixture.check_sums();
}

TEST_CASE("drains and purges reach the director before later requests do") {
  LoopbackFixture fixture;
  StandInServer spare(fixture.scheduler);
  fixture.send_change("\"full\":false",
                      {LoopbackFixture::entry("c2", spare.address, "z2", "cache"),
                       LoopbackFixture::entry("c1", fixture.cache.address, "z2", "cache", "leaving")});
  const std::string purged = std::to_string(static_cast<long long>(transport::Clock::unix_now() * 1000));
  fixture.send_change(
      *protocol::Json::parse(R"({"seq":6,"invalidate":{"object":"7f","time":)" + purged + "}}"));
  const auto client = fixture.client();
  client->send(LoopbackFixture::get(kId1));
  fixture.expect_received(spare, "serve " + kId1);
  CHECK(spare.has_received("agelim="));
  CHECK(fixture.cache.connections.empty());
}

TEST_CASE("after a late turn requests wait while the change stream has more, a bounded time at most") {
  for (const bool backlog_ends : {true, false}) {
    LoopbackFixture fixture(
        [&](Limits& limits) { limits.max_change_backlog_hold = backlog_ends ? 15 : 0.05; });
    const auto send_slice = [&](bool more_waits) {
      bool applied = false;
      fixture.actor->changes_arrived({}, more_waits, [&](bool) { applied = true; });
      fixture.wait_until([&] { return applied; });
    };
    send_slice(true);
    fixture.actor->woke_late(Scheduler::now());
    const auto client = fixture.client();
    client->send(LoopbackFixture::get(kId1));
    fixture.wait_until([&] { return fixture.counters.taken == 1; });
    send_slice(true);  // a turn in which a request that is not held would be sent
    if (backlog_ends) {
      CHECK(fixture.counters.attempts == 0);
      send_slice(false);
    }
    fixture.expect_received(fixture.cache, "serve " + kId1);
  }
}

// --- the change stream ---

namespace {
struct ChangeStreamFixture : LoopbackFixture {
  explicit ChangeStreamFixture(const std::function<void(Limits&)>& adjust_limits = {})
      : LoopbackFixture(adjust_limits) {
    subscription.emplace(scheduler, limits, counters, log,
                         std::vector<distribution::Endpoint>{{changes.address, "log"}}, 4, *actor);
    subscription->start({});
  }
  void expect_subscription(std::size_t connection_index, long long after) {
    wait_until([&] {
      return changes.has_received("Last-Event-ID: " + std::to_string(after) + "\r\n\r\n", connection_index);
    });
  }
  void send_event(std::size_t connection_index, const std::string& id, const std::string& data,
                  bool with_head = false) {
    std::string text = with_head ? "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n" : "";
    changes.connections[connection_index]->send(text + "id: " + id + "\ndata: " + data + "\n\n");
  }
  StandInServer changes{scheduler};
  std::optional<distribution::Subscription> subscription;
};
}  // namespace

TEST_CASE("the change stream: read from the last known event, resumed after a broken connection") {
  ChangeStreamFixture fixture;
  fixture.expect_subscription(0, 4);
  CHECK(fixture.changes.received() ==
        "GET /changes HTTP/1.1\nHost: log\nAccept: text/event-stream\nLast-Event-ID: 4\n\n");
  fixture.send_event(0, "5", R"({"seq":5,"invalidate":{"bucket":17,"time":1}})", true);
  fixture.send_event(0, "4", R"({"seq":4,"invalidate":{"bucket":17,"time":1}})");  // received before
  fixture.send_event(0, "6", "not JSON");
  fixture.wait_until([&] { return fixture.subscription->last() == 6 && fixture.counters.purges > 0; });
  CHECK(fixture.counters.purges == 1);
  CHECK(fixture.counters.events_skipped == 1);
  fixture.changes.connections[0]->send(
      "id: 7\ndata: {\"seq\":7,\"inval");  // the connection breaks in the middle of an event
  fixture.changes.connections[0]->reset();
  fixture.expect_subscription(1, 6);
  fixture.send_event(1, "7", R"({"seq":7,"invalidate":{"bucket":17,"time":1}})", true);
  fixture.wait_until([&] { return fixture.counters.purges == 2; });
}

TEST_CASE("the change stream: a source that is silent, refuses or sends garbage is retried") {
  ChangeStreamFixture fixture([](Limits& limits) {
    limits.change_stream_silence_timeout = 0.03, limits.change_stream_retry_delay = 0.001;
  });
  fixture.expect_subscription(0, 4);
  fixture.expect_subscription(1, 4);  // the first subscription was never answered
  CHECK(fixture.counters.log_silent >= 1);
  fixture.wait_until([&] { return fixture.changes.has_connections(3); });
  fixture.changes.connections.back()->send("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n");
  const std::size_t before = fixture.changes.connections.size();
  fixture.wait_until([&] { return fixture.changes.has_connections(before + 1); });
  fixture.changes.connections.back()->send("garbage\r\n\r\n");
  fixture.wait_until([&] { return fixture.changes.has_connections(before + 2); });
}

TEST_CASE("the change stream: requests are sent while a backlog is processed") {
  constexpr std::uint64_t kBacklog = 5000;
  ChangeStreamFixture fixture;
  fixture.expect_subscription(0, 4);
  const auto client = fixture.client();
  std::string backlog = "HTTP/1.1 200 OK\r\n\r\n";
  for (std::uint64_t number = 5; number < 5 + kBacklog; ++number)
    backlog += "data: {\"seq\":" + std::to_string(number) + ",\"invalidate\":{\"bucket\":17,\"time\":1}}\n\n";
  fixture.changes.connections[0]->send(backlog);
  client->send(LoopbackFixture::get(kId1));
  fixture.expect_received(fixture.cache, "serve " + kId1);
  CHECK(fixture.counters.events < kBacklog);
  CHECK(fixture.counters.events - fixture.counters.purges <=
        fixture.limits.change_stream_read_size / 50);  // bytes of the shortest event
  fixture.wait_until([&] { return fixture.counters.purges == kBacklog; });
  CHECK(fixture.subscription->last() == 4 + kBacklog);
}

TEST_CASE("the change stream: a new address is used at once, and events sent by both count once") {
  ChangeStreamFixture fixture;
  fixture.expect_subscription(0, 4);
  StandInServer second(fixture.scheduler), third(fixture.scheduler);
  const auto expect_subscribed = [&](StandInServer& server, const std::string& after) {
    fixture.wait_until([&] { return server.has_received("Last-Event-ID: " + after + "\r\n\r\n"); });
  };
  fixture.send_event(0, "5", R"({"seq":5,"invalidate":{"bucket":17,"time":1}})", true);
  fixture.wait_until([&] { return fixture.subscription->last() == 5; });
  fixture.subscription->set_endpoints(
      {{second.address, "second"}});  // the first connection stays open and silent
  expect_subscribed(second, "5");
  fixture.wait_until([&] { return fixture.changes.connections[0]->ended; });
  const std::string head = "HTTP/1.1 200 OK\r\n\r\n";
  second.connections[0]->send(head +
                              "id: 5\ndata: {\"seq\":5,\"invalidate\":{\"bucket\":17,\"time\":1}}\n\n" +
                              "id: 6\ndata: {\"seq\":6,\"invalidate\":{\"bucket\":18,\"time\":1}}\n\n");
  fixture.wait_until([&] { return fixture.subscription->last() == 6; });
  fixture.wait_until([&] { return fixture.counters.purges == 2; });
  fixture.subscription->set_endpoints(
      {{second.address, "second"}});  // the same address: the connection stays
  fixture.subscription->set_endpoints({{unused_address(fixture.scheduler), "unused"}});
  fixture.subscription->set_endpoints(
      {{third.address, "third"}});  // several moves at once: the last one counts
  expect_subscribed(third, "6");
  CHECK(second.connections.size() == 1);
}

TEST_CASE("the change stream: an address that another node takes over") {
  ChangeStreamFixture fixture([](Limits& limits) { limits.max_connections_per_node = 2; });
  fixture.expect_subscription(0, 4);
  const auto client = fixture.client();
  client->send(LoopbackFixture::get(kId1));
  fixture.expect_received(fixture.cache, "serve " + kId1);
  fixture.send_event(
      0, "5",
      LoopbackFixture::fleet("\"full\":false",
                             {LoopbackFixture::entry("c1", fixture.cache.address, "z2", "cache", "left"),
                              LoopbackFixture::entry("c9", fixture.cache.address, "z2", "cache")}),
      true);
  fixture.wait_until([&] { return fixture.subscription->last() == 5; });
  const auto other = fixture.client();
  other->send(LoopbackFixture::get(kId2));
  fixture.wait_until(
      [&] { return fixture.cache.has_received("serve " + kId2, 1); });  // on a connection of the new node
  fixture.cache.connections[0]->send(kId1 + " ACK - 3\r\none\r\n");
  fixture.expect_received(*client, "one");
  fixture.wait_until(
      [&] { return fixture.cache.connections[0]->ended; });  // the connection of the old node is closed
}
