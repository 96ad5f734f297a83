// A relay on real sockets between a stand-in source and subscriptions as directors have them.
#include "distribution/relay_actor.hpp"

#include <optional>

#include "helpers.hpp"
#include "program/config.hpp"
#include "stream.hpp"

using namespace hareramp;
using namespace hareramp::distribution;
using transport::Scheduler;

namespace {

struct KeepingReceiver : ChangeReceiver {
  void known_change_arrived(protocol::Json) override {}
  void changes_arrived(std::vector<NumberedChange> changes, bool, std::function<void(bool)> done) override {
    for (const NumberedChange& change : changes) numbers.push_back(change.number);
    done(true);
  }
  std::vector<long long> numbers;
};

struct Site {
  Site() {
    const protocol::Json nothing;
    limits = program::fill_limits(nothing, nothing);
    limits.change_stream_retry_delay = 0.01;
    settings.listen = *transport::Address::parse("127.0.0.1:0");
    settings.sources = {{source.address, "source"}};
    settings.tick_interval = 0.005;
    settings.stalled = 0.3;
    settings.source_silent = 15;
    settings.window_bytes = 4000;
  }
  ~Site() { std::fclose(sink); }
  void until(const std::function<bool()>& holds) { REQUIRE(run_until(scheduler, holds)); }
  RelayActor& start_relay() {
    relays.push_back(std::make_unique<RelayActor>(scheduler, limits, counters, log, settings, 1));
    relays.back()->start();
    return *relays.back();
  }
  std::unique_ptr<Subscription> subscribe(std::vector<Endpoint> to, KeepingReceiver& receiver,
                                          bool compressed) {
    auto subscription =
        std::make_unique<Subscription>(scheduler, limits, counters, log, std::move(to), 0, receiver,
                                       SubscriptionOptions{.compressed = compressed});
    subscription->start({});
    return subscription;
  }
  void tell(const std::string& members) {
    const std::string number = std::to_string(++last);
    source.connections.back()->send("id: " + number + "\ndata: {\"seq\":" + number + "," + members + "}\n\n");
  }
  void begin_stream() {
    until([&] { return source.has_connections(1) && source.has_received("\r\n\r\n"); });
    source.connections[0]->send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n");
    tell(node_members("abc", true));
  }

  Scheduler scheduler;
  Limits limits;
  Counters counters;
  std::FILE* sink = std::tmpfile();
  Log log{fileno(sink)};
  StandInServer source{scheduler};
  RelaySettings settings;
  std::vector<std::unique_ptr<RelayActor>> relays;
  long long last = 0;
};

double unix_ms() { return transport::Clock::unix_now() * 1000; }

}  // namespace

TEST_CASE(
    "a relay on sockets: plain and compressed subscribers, and a relay behind it, get every change in "
    "order") {
  Site site;
  RelayActor& relay = site.start_relay();
  site.begin_stream();
  site.until([&] { return relay.relay().last() == 1; });
  site.settings.sources = {{relay.address(), "relay"}};
  site.settings.compressed = true;
  RelayActor& behind = site.start_relay();
  KeepingReceiver plain, compressed, far;
  const auto first = site.subscribe({{relay.address(), "relay"}}, plain, false);
  const auto second = site.subscribe({{relay.address(), "relay"}}, compressed, true);
  const auto third = site.subscribe({{behind.address(), "behind"}}, far, true);
  for (std::uint64_t group = 0; group < 200; ++group) {
    site.tell(purge_members(group, unix_ms()));
    if (group % 20 == 0) site.until([&] { return relay.relay().last() == site.last; });
  }
  std::vector<long long> all;
  for (long long number = 1; number <= site.last; ++number) all.push_back(number);
  for (const KeepingReceiver* receiver : {&plain, &compressed, &far})
    site.until([&] { return !receiver->numbers.empty() && receiver->numbers.back() == site.last; });
  CHECK(plain.numbers == all);
  CHECK(compressed.numbers == all);
  CHECK(far.numbers == all);
  CHECK(relay.writes() < 2 * 203);  // batches: fewer than an event each to three subscribers
}

TEST_CASE("a relay that ends: its subscribers go on at the other one, behind the last change they took in") {
  Site site;
  RelayActor& first = site.start_relay();
  RelayActor& second = site.start_relay();
  site.until([&] { return site.source.has_connections(2) && site.source.has_received("\r\n\r\n", 1); });
  const auto tell_both = [&](const std::string& members) {
    const std::string number = std::to_string(++site.last);
    for (const auto& end : site.source.connections)
      if (!end->ended) end->send("id: " + number + "\ndata: {\"seq\":" + number + "," + members + "}\n\n");
  };
  for (const auto& end : site.source.connections) end->send("HTTP/1.1 200 OK\r\n\r\n");
  tell_both(node_members("ab", true));
  site.until([&] { return first.relay().last() == 1 && second.relay().last() == 1; });
  KeepingReceiver receiver;
  const auto subscription = site.subscribe({{first.address(), "1"}, {second.address(), "2"}}, receiver, true);
  tell_both(purge_members(1, unix_ms()));
  site.until([&] { return subscription->last() == 2; });
  const bool at_first =
      first.relay().subscribers() == 1;  // it may have asked before the first knew its source
  RelayActor& followed = at_first ? first : second;
  RelayActor& other = at_first ? second : first;
  CHECK(followed.relay().subscribers() == 1);
  followed.close();
  site.until([&] { return other.relay().subscribers() == 1; });
  tell_both(purge_members(2, unix_ms()));
  site.until([&] { return subscription->last() == 3; });
  CHECK(receiver.numbers == std::vector<long long>{1, 2, 3});
}

TEST_CASE("a subscriber that does not read is closed; what waits for it stays bounded") {
  Site site;
  RelayActor& relay = site.start_relay();
  site.begin_stream();
  site.until([&] { return relay.relay().counts().batches == 1; });  // a tick that found the source alive
  const auto silent = dial(site.scheduler, relay.address(), false);
  silent->send("GET /changes HTTP/1.1\r\nHost: r\r\nLast-Event-ID: 0\r\n\r\n");
  site.until([&] { return relay.relay().subscribers() == 1; });
  // Changes of 200 KB fill what the system holds for the connection.
  const std::string large =
      "\"fleet\":{\"version\":1,\"full\":false,\"servers\":[{\"id\":\"a\",\"state\":\"active\",\"zone\":\"" +
      std::string(200'000, 'z') + "\"}]}";
  for (int i = 0; i < 5000 && relay.relay().counts().stalled == 0; ++i) {
    site.tell(large);
    site.until([&] { return relay.relay().last() == site.last; });
  }
  site.until([&] { return relay.relay().counts().stalled == 1; });
  site.until([&] { return relay.relay().subscribers() == 0; });
  CHECK(relay.relay().window_bytes() < 500'000);  // the last batch alone is over the bound
}

TEST_CASE("what is no subscription gets a plain answer; refused ones are told why and closed") {
  Site site;
  RelayActor& relay = site.start_relay();
  const auto asks = [&](const std::string& head, const std::string& answer) {
    const auto end = dial(site.scheduler, relay.address());
    end->send(head + "\r\nHost: r\r\n\r\n");
    site.until([&] { return end->has_received(answer); });
    site.until([&] { return end->ended; });
  };
  asks("GET /changes HTTP/1.1", "503 No Node List Yet");
  asks("GET /_health HTTP/1.1", "200 OK");
  asks("GET /elsewhere HTTP/1.1", "404 Not Found");
  asks("PUT /changes HTTP/1.1", "404 Not Found");
  CHECK(relay.relay().counts().refused == 1);
}
