// Clients, the module's actor and the change log together, on loopback, with stand-ins for all others.
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

// A director with a cache c1, a parent P1 and the origin O, each a stand-in.
class Site {
 public:
  explicit Site(const std::function<void(Limits&)>& change = {}) {
    const auto nothing = *protocol::Json::parse("{}");
    limits = program::fill_limits(nothing, nothing);
    limits.client_idle_timeout = 15, limits.suspect_timeout = 15, limits.answer_stall_timeout = 15,
    limits.max_connections_per_node = 1;
    limits.final_write_delay = 0;
    if (change) change(limits);
    Settings settings = DirectorFixture::usual_settings();
    settings["FamilyInfo.Direct"] = "true";
    const ConfiguredNames names{
        {"video", "docs", "write"}, {"z0", "z1", "z2"}, {"cache", "parent", "origin"}, {false, false, true}};
    module.emplace(scheduler, limits, counters, log, names, settings, 7);
    module->start();
    tell("\"full\":true",
         {entry("c1", cache.address, "z2", "cache"), entry("P1", parent.address, "z0", "parent"),
          entry("O", origin.address, "z1", "origin")},
         true);
    front.emplace(scheduler, limits, counters, *transport::Address::parse("127.0.0.1:0"), names, *module);
    front->start();
  }
  static std::string entry(const std::string& id, transport::Address at, const std::string& zone,
                           const std::string& kind, const std::string& state = "active") {
    return R"({"id":")" + id + R"(","addr":")" + at.text() + R"(","zone":")" + zone + R"(","kind":")" + kind +
           R"(","cell":1,"state":")" + state + R"(","weight":6,"started_ms":0})";
  }
  static std::string fleet(const std::string& kind, const std::vector<std::string>& entries) {
    std::string list;
    for (const auto& one : entries) list += (list.empty() ? "" : ",") + one;
    return "{\"seq\":5,\"fleet\":{" + kind + ",\"servers\":[" + list + "]}}";
  }
  void tell(const std::string& kind, const std::vector<std::string>& entries, bool known = false) {
    const protocol::Json change = *protocol::Json::parse(fleet(kind, entries));
    if (known)
      module->known_change_arrived(change);
    else
      tell(change);
  }
  void tell(const protocol::Json& change) {
    module->changes_arrived({{0, change}}, false, [](bool) {});
  }
  static std::string get(const std::string& id, const std::string& target = "/invoke/video/7f/block-3",
                         const std::string& more = "") {
    return "GET " + target + " HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: " + id +
           "\r\nX-Deadline-Ms: 15000\r\nX-Family: 17\r\nX-Need-Kb: 412.5\r\n" + more + "\r\n";
  }
  static std::string put(const std::string& id, const std::string& rest) {
    return "PUT /invoke/write/8/block-0 HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: " + id +
           "\r\nX-Deadline-Ms: 15000\r\n" + rest;
  }
  std::shared_ptr<TestConnection> client(bool reads = true) {
    return dial(scheduler, front->address(), reads);
  }
  void until(const std::function<bool()>& holds) { CHECK(run_until(scheduler, holds)); }
  void hears(StandInServer& node, const std::string& words) {
    CHECK_MESSAGE(run_until(scheduler, [&] { return node.has_received(words); }),
                  words << " in " << node.heard());
  }
  void hears(TestConnection& end, const std::string& words) {
    CHECK_MESSAGE(run_until(scheduler, [&] { return end.has_received(words); }),
                  words << " in " << end.heard);
  }
  // The sums agree at any moment.
  void check_sums() const {
    CHECK(counters.taken ==
          counters.completed + counters.bounced + counters.forfeited + counters.left + counters.open);
  }
  static std::string text(const std::string& heard) {
    std::string clean = heard;
    std::erase(clean, '\r');
    return clean + "\n";
  }

  Scheduler scheduler;
  Limits limits;
  Counters counters;
  std::FILE* sink = std::tmpfile();
  Log log{fileno(sink)};
  StandInServer cache{scheduler}, parent{scheduler}, origin{scheduler};
  std::optional<DirectorActor> module;
  std::optional<ClientListener> front;
  ~Site() { std::fclose(sink); }
};

const std::string kId1 = "0000000000000001", kId2 = "0000000000000002", kId3 = "0000000000000003";

}  // namespace

TEST_CASE("requests: bytes, a copy that holds, a write, a bounce, a failure") {
  Site site;
  std::string trace;
  const auto client = site.client();
  client->send(Site::get(kId1));
  site.hears(site.cache, "serve " + kId1);
  site.cache.connections[0]->send(kId1 + " ACK sum=4be0,t0=1,why=mem 8\r\nbytes\r\n!\r\n");
  site.hears(*client, "bytes\r\n!");
  client->send(Site::get(kId2, "/invoke/docs/7f/block-0", "If-None-Match: \"4be0\"\r\n"));
  site.hears(site.cache, "serve " + kId2);
  site.cache.connections[0]->send(kId2 + " NOMOD sum=4be0,t0=1,why=mem 0\r\n\r\n");
  site.hears(*client, "304");
  client->send("PUT /invoke/write/8/block-0 HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: " + kId3 +
               "\r\nX-Deadline-Ms: 15000\r\nContent-Length: 6\r\n\r\nab\r\ncd");
  site.hears(site.origin, "serve " + kId3);
  site.origin.connections[0]->send(kId3 + " ACK sum=1,t0=1 2\r\nok\r\n");
  site.hears(*client, "\r\n\r\nok");
  trace += "-- the cache heard\n" + site.cache.heard() + "-- the origin heard\n" + site.origin.heard();
  trace += "-- the client heard\n" + Site::text(client->heard);

  const auto other = site.client();
  other->send(Site::put("00000000000000aa", "Content-Length: 2\r\n\r\nab"));
  site.hears(site.origin, "serve 00000000000000aa");
  site.origin.connections[0]->reset();
  site.hears(*other, "500");
  trace += "-- a binding request that may have run: no promise\n" + Site::text(other->heard);
  const auto third = site.client();
  third->send(Site::get("00000000000000bb", "/invoke/video/7f/block-3"));
  for (int number = 0; number < 6 && !third->has_received("503"); ++number) {
    const std::string mark = "serve 00000000000000bb";
    const auto count = [&] {
      std::size_t found = 0;
      for (const StandInServer* node : {&site.cache, &site.parent, &site.origin})
        for (const auto& end : node->connections)
          for (auto at = end->heard.find(mark); at != std::string::npos; at = end->heard.find(mark, at + 1))
            ++found;
      return static_cast<int>(found);
    };
    site.until([&] { return count() > number || third->has_received("503"); });
    for (StandInServer* node : {&site.cache, &site.parent, &site.origin})
      for (const auto& end : node->connections)
        if (end->has_received(mark) && !end->ended) end->send("00000000000000bb AGAIN why=crowded 0\r\n\r\n");
  }
  site.hears(*third, "503");
  CHECK(third->has_received("X-Pushback-Ms: "));
  site.check_sums();
  CHECK(site.counters.completed == 3);
  CHECK(site.counters.not_modified == 1);
  CHECK(site.counters.bounced == 1);
  CHECK(site.counters.forfeited == 1);
  check_trace("requests", trace);
}

TEST_CASE("requests in pieces, pipelined, and with an ordinary HTTP client's habits") {
  Site site;
  const auto client = site.client();
  const std::string two = Site::get(kId1) + Site::get(kId2, "/invoke/video/80/block-1");
  for (const char byte : two) {
    client->send(std::string(1, byte));
    site.scheduler.at(Scheduler::now(), [&] { site.scheduler.stop(); });
    site.scheduler.run();
  }
  site.hears(site.cache, "serve " + kId1);
  CHECK_FALSE(site.cache.has_received("serve " + kId2));  // one at a time, in order
  site.cache.connections[0]->send(kId1 + " ACK - 3\r\none\r\n");
  site.hears(site.cache, "serve " + kId2);
  site.cache.connections[0]->send(kId2 + " ACK - 3\r\ntwo\r\n");
  site.hears(*client, "two");
  client->send("PUT /invoke/write/8 HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: " + kId3 +
               "\r\nX-Deadline-Ms: 15000\r\nExpect: 100-continue\r\nTransfer-Encoding: chunked\r\n\r\n");
  site.hears(*client, "100 Continue");
  client->send("2\r\nab\r\n1\r\nc\r\n0\r\n\r\n");
  site.hears(site.origin, "abc\r\n");
  site.origin.connections[0]->send(kId3 + " ACK - 0\r\n\r\n");
  site.until([&] { return site.counters.completed == 3; });
  client->send("GET /_health HTTP/1.1\r\nHost: s\r\nConnection: close\r\n\r\n");
  site.until([&] { return client->ended; });
  check_trace("request_pieces", Site::text(client->heard));
}

TEST_CASE("requests that are no requests get a plain answer, and the module never hears of them") {
  Site site([](Limits& limits) { limits.linger_timeout = 0.01; });
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
    const auto client = site.client();
    client->send(text);
    if (text.ends_with("cut")) client->finish();
    site.until([&] { return client->ended || client->has_received("\r\n\r\n"); });
    trace += text.substr(0, text.find(" HTTP/1.1\r\n")).substr(0, 40) + " -> " +
             client->heard.substr(0, client->heard.find('\r')) + "\n";
  }
  CHECK(site.counters.taken == 0);
  CHECK(site.cache.connections.empty());
  check_trace("no_requests", trace);
}

TEST_CASE("a client that leaves: its attempt is called off and nothing is held") {
  Site site;
  const auto client = site.client();
  client->send(Site::get(kId1));
  site.hears(site.cache, "serve " + kId1);
  client->reset();
  site.hears(site.cache, "cancel " + kId1);
  CHECK(site.counters.left == 1);
  site.cache.connections[0]->send(kId1 + " ACK - 3\r\nold\r\n");
  site.until([&] { return site.counters.late_answers == 1; });
  CHECK(site.front->clients() == 0);
  site.check_sums();
}

TEST_CASE("a client that does not read is cut off; while much waits, further requests are bounced") {
  Site site([](Limits& limits) {
    limits.answer_write_timeout = 0.2;
    limits.max_answer_body = 64 << 20;
    limits.max_pending_answers = 1 << 20;
  });
  const auto deaf = site.client(false);
  deaf->send(Site::get(kId1));
  site.hears(site.cache, "serve " + kId1);
  const std::string large =
      kId1 + " ACK - " + std::to_string(48 << 20) + "\r\n" + std::string(48 << 20, 'x') + "\r\n";
  std::size_t sent = 0;
  const auto push = [&] {
    if (sent < large.size())
      sent += site.cache.connections[0]->try_send(std::string_view(large).substr(sent));
    return site.counters.completed == 1;
  };
  site.until(push);
  const auto other = site.client();
  other->send(Site::get(kId2));
  site.hears(*other, "503");
  site.until([&] { return site.counters.clients_slow == 1; });
  CHECK(site.counters.turned_back == 1);
  other->send(Site::get(kId3));
  site.hears(site.cache, "serve " + kId3);
  site.check_sums();
}

TEST_CASE("at the limit of clients an idle one makes room, else accepting pauses") {
  Site site([](Limits& limits) { limits.max_clients = 2; });
  const auto two = site.client(), one = site.client();
  one->send(Site::get(kId1));
  site.hears(site.cache, "serve " + kId1);
  const auto three = site.client();
  three->send(Site::get(kId2, "/invoke/video/80/block-1"));
  site.hears(site.cache, "serve " + kId2);
  CHECK(two->ended);
  const auto four = site.client();
  four->send(Site::get(kId3, "/invoke/video/81/block-1"));
  site.until([&] { return site.counters.accept_paused > 0; });
  CHECK(site.front->clients() == 2);
  site.cache.connections[0]->send(kId1 + " ACK - 3\r\none\r\n");
  site.hears(site.cache, "serve " + kId3);
  CHECK(site.front->clients() == 2);
}

TEST_CASE("at the limit those that have shown nothing go before one that is idle after a good request") {
  Site site([](Limits& limits) { limits.max_clients = 3, limits.first_request_grace = 0; });
  const auto good = site.client();
  good->send(Site::get(kId1));
  site.hears(site.cache, "serve " + kId1);
  site.cache.connections[0]->send(kId1 + " ACK - 3\r\none\r\n");
  site.hears(*good, "one");
  const auto silent = site.client(), half = site.client();
  half->send("GET /invoke/vi");
  const auto next = site.client(), last = site.client();
  site.until([&] { return silent->ended && half->ended; });
  CHECK_FALSE(good->ended);
  good->send(Site::get(kId2));
  site.hears(site.cache, "serve " + kId2);
}

TEST_CASE("half a request, or none, is ended in time; one that is idle after a good request may stay") {
  Site site([](Limits& limits) { limits.request_read_timeout = 0.02; });
  const auto good = site.client();
  good->send("GET /_health HTTP/1.1\r\nHost: s\r\n\r\n");
  site.hears(*good, "200 OK");
  const auto silent = site.client(), half = site.client();
  half->send("GET /invoke/vi");
  site.until([&] { return silent->ended && half->ended; });
  CHECK(silent->heard.empty());
  CHECK(half->has_received("HTTP/1.1 408"));
  CHECK_FALSE(good->ended);
}

TEST_CASE("what is too large is refused, and the rest of it taken so that the refusal can be read") {
  Site site([](Limits& limits) { limits.linger_timeout = 10, limits.max_linger = 15; });
  const auto client = site.client();
  client->send(Site::put(kId1, "Content-Length: 60000000\r\n\r\n"));
  const std::string piece(1 << 20, 'x');
  std::size_t sent = 0;
  site.until([&] {
    sent += client->try_send(piece);
    return sent >= 60000000;
  });
  CHECK(client->heard.starts_with("HTTP/1.1 413"));
  CHECK(site.counters.taken == 0);
}

TEST_CASE("a hard stop: one whole answer before it, whatever the nodes do") {
  Site site;
  const auto client = site.client();
  std::string request = Site::get(kId1);
  request.replace(request.find("15000"), 5, "200");
  client->send(request);
  site.until([&] { return client->has_received("\r\n\r\n"); });
  CHECK(client->has_received("HTTP/1.1 500"));
  CHECK(site.counters.overdue == 0);
  site.hears(site.cache, "cancel " + kId1);
  client->send(Site::get(kId1, "/invoke/video/82/block-0"));
  site.hears(site.cache, "serve " + kId1);
  site.check_sums();
}

TEST_CASE("an id that is open already gets no second answer") {
  Site site;
  const auto one = site.client(), two = site.client();
  one->send(Site::get(kId1));
  site.hears(site.cache, "serve " + kId1);
  two->send(Site::get(kId1));
  site.hears(*two, "500");
  site.cache.connections[0]->send(kId1 + " ACK - 3\r\none\r\n");
  site.hears(*one, "one");
  CHECK(site.counters.attempts == 1);
  site.check_sums();
}

TEST_CASE("drains and purges reach the module before later requests do") {
  Site site;
  StandInServer spare(site.scheduler);
  site.tell("\"full\":false", {Site::entry("c2", spare.address, "z2", "cache"),
                               Site::entry("c1", site.cache.address, "z2", "cache", "leaving")});
  const std::string purged = std::to_string(static_cast<long long>(transport::Clock::unix_now() * 1000));
  site.tell(*protocol::Json::parse(R"({"seq":6,"invalidate":{"object":"7f","time":)" + purged + "}}"));
  const auto client = site.client();
  client->send(Site::get(kId1));
  site.hears(spare, "serve " + kId1);
  CHECK(spare.has_received("agelim="));
  CHECK(site.cache.connections.empty());
}

TEST_CASE("after a late turn requests wait while the change stream has more, a bounded time at most") {
  for (const bool backlog_ends : {true, false}) {
    Site site([&](Limits& limits) { limits.max_change_backlog_hold = backlog_ends ? 15 : 0.05; });
    const auto slice_with_more = [&](bool more_waits) {
      bool taken = false;
      site.module->changes_arrived({}, more_waits, [&](bool) { taken = true; });
      site.until([&] { return taken; });
    };
    slice_with_more(true);
    site.module->woke_late(Scheduler::now());
    const auto client = site.client();
    client->send(Site::get(kId1));
    site.until([&] { return site.counters.taken == 1; });
    slice_with_more(true);  // a turn in which the request would go out
    if (backlog_ends) {
      CHECK(site.counters.attempts == 0);
      slice_with_more(false);
    }
    site.hears(site.cache, "serve " + kId1);
  }
}

// --- the change log ---

namespace {
struct Followed : Site {
  explicit Followed(const std::function<void(Limits&)>& change = {}) : Site(change) {
    list.emplace(scheduler, limits, counters, log,
                 std::vector<distribution::Endpoint>{{changes.address, "log"}}, 4, *module);
    list->start({});
  }
  void asked(std::size_t place, long long after) {
    until(
        [&] { return changes.has_received("Last-Event-ID: " + std::to_string(after) + "\r\n\r\n", place); });
  }
  void says(std::size_t place, const std::string& id, const std::string& data, bool head = false) {
    std::string text = head ? "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n" : "";
    changes.connections[place]->send(text + "id: " + id + "\ndata: " + data + "\n\n");
  }
  StandInServer changes{scheduler};
  std::optional<distribution::Subscription> list;
};
}  // namespace

TEST_CASE("the change log: followed from what is known, resumed after a cut") {
  Followed site;
  site.asked(0, 4);
  CHECK(site.changes.heard() ==
        "GET /changes HTTP/1.1\nHost: log\nAccept: text/event-stream\nLast-Event-ID: 4\n\n");
  site.says(0, "5", R"({"seq":5,"invalidate":{"bucket":17,"time":1}})", true);
  site.says(0, "4", R"({"seq":4,"invalidate":{"bucket":17,"time":1}})");  // told before
  site.says(0, "6", "not JSON");
  site.until([&] { return site.list->last() == 6 && site.counters.purges > 0; });
  CHECK(site.counters.purges == 1);
  CHECK(site.counters.events_skipped == 1);
  site.changes.connections[0]->send("id: 7\ndata: {\"seq\":7,\"inval");  // cut in the middle
  site.changes.connections[0]->reset();
  site.asked(1, 6);
  site.says(1, "7", R"({"seq":7,"invalidate":{"bucket":17,"time":1}})", true);
  site.until([&] { return site.counters.purges == 2; });
}

TEST_CASE("the change log: silent, refusing or senseless, it is asked again") {
  Followed site([](Limits& limits) {
    limits.change_stream_silence_timeout = 0.03, limits.change_stream_retry_delay = 0.001;
  });
  site.asked(0, 4);
  site.asked(1, 4);  // never answered
  CHECK(site.counters.log_silent >= 1);
  site.until([&] { return site.changes.has_connections(3); });
  site.changes.connections.back()->send("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n");
  const std::size_t before = site.changes.connections.size();
  site.until([&] { return site.changes.has_connections(before + 1); });
  site.changes.connections.back()->send("garbage\r\n\r\n");
  site.until([&] { return site.changes.has_connections(before + 2); });
}

TEST_CASE("the change stream: requests go out while a backlog is worked off") {
  constexpr std::uint64_t kBacklog = 5000;
  Followed site;
  site.asked(0, 4);
  const auto client = site.client();
  std::string backlog = "HTTP/1.1 200 OK\r\n\r\n";
  for (std::uint64_t number = 5; number < 5 + kBacklog; ++number)
    backlog += "data: {\"seq\":" + std::to_string(number) + ",\"invalidate\":{\"bucket\":17,\"time\":1}}\n\n";
  site.changes.connections[0]->send(backlog);
  client->send(Site::get(kId1));
  site.hears(site.cache, "serve " + kId1);
  CHECK(site.counters.events < kBacklog);
  CHECK(site.counters.events - site.counters.purges <=
        site.limits.change_stream_read_size / 50);  // bytes of the shortest
  site.until([&] { return site.counters.purges == kBacklog; });
  CHECK(site.list->last() == 4 + kBacklog);
}

TEST_CASE("the change log: another address is followed at once, and what both tell counts once") {
  Followed site;
  site.asked(0, 4);
  StandInServer second(site.scheduler), third(site.scheduler);
  const auto asked = [&](StandInServer& feed, const std::string& after) {
    site.until([&] { return feed.has_received("Last-Event-ID: " + after + "\r\n\r\n"); });
  };
  site.says(0, "5", R"({"seq":5,"invalidate":{"bucket":17,"time":1}})", true);
  site.until([&] { return site.list->last() == 5; });
  site.list->moved({{second.address, "second"}});  // the first stays open and silent
  asked(second, "5");
  site.until([&] { return site.changes.connections[0]->ended; });
  const std::string head = "HTTP/1.1 200 OK\r\n\r\n";
  second.connections[0]->send(head +
                              "id: 5\ndata: {\"seq\":5,\"invalidate\":{\"bucket\":17,\"time\":1}}\n\n" +
                              "id: 6\ndata: {\"seq\":6,\"invalidate\":{\"bucket\":18,\"time\":1}}\n\n");
  site.until([&] { return site.list->last() == 6; });
  site.until([&] { return site.counters.purges == 2; });
  site.list->moved({{second.address, "second"}});  // nothing new: the connection stays
  site.list->moved({{unused_address(site.scheduler), "nobody"}});
  site.list->moved({{third.address, "third"}});  // several at once: the last counts
  asked(third, "6");
  CHECK(second.connections.size() == 1);
}

TEST_CASE("the change log: an address taken over by another node") {
  Followed site([](Limits& limits) { limits.max_connections_per_node = 2; });
  site.asked(0, 4);
  const auto client = site.client();
  client->send(Site::get(kId1));
  site.hears(site.cache, "serve " + kId1);
  site.says(0, "5",
            Site::fleet("\"full\":false", {Site::entry("c1", site.cache.address, "z2", "cache", "left"),
                                           Site::entry("c9", site.cache.address, "z2", "cache")}),
            true);
  site.until([&] { return site.list->last() == 5; });
  const auto other = site.client();
  other->send(Site::get(kId2));
  site.until(
      [&] { return site.cache.has_received("serve " + kId2, 1); });  // on a connection of the new one's
  site.cache.connections[0]->send(kId1 + " ACK - 3\r\none\r\n");
  site.hears(*client, "one");
  site.until([&] { return site.cache.connections[0]->ended; });  // the old one's is closed
}
