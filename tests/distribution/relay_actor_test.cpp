// A relay on real sockets between a stand-in source and subscriptions as directors use them.
#include "distribution/relay_actor.hpp"

#include <optional>

#include "helpers.hpp"
#include "program/config.hpp"
#include "stream.hpp"

using namespace hareramp;
using namespace hareramp::distribution;
using transport::Scheduler;

namespace {

struct RecordingReceiver : ChangeReceiver {
  void known_change_arrived(protocol::Json) override {}
  void changes_arrived(std::vector<NumberedChange> changes, bool, std::function<void(bool)> done) override {
    for (const NumberedChange& change : changes) numbers.push_back(change.number);
    done(true);
  }
  std::vector<long long> numbers;
};

struct RelayActorFixture {
  RelayActorFixture() {
    const protocol::Json nothing;
    limits = program::fill_limits(nothing, nothing);
    limits.change_stream_retry_delay = 0.01;
    settings.listen = *transport::Address::parse("127.0.0.1:0");
    settings.sources = {{source.address, "source"}};
    settings.tick_interval = 0.005;
    settings.stall_timeout = 0.3;
    settings.source_silence_timeout = 15;
    settings.window_bytes = 4000;
  }
  ~RelayActorFixture() { std::fclose(sink); }
  void wait_until(const std::function<bool()>& condition) { REQUIRE(run_until(scheduler, condition)); }
  RelayActor& start_relay() {
    relays.push_back(std::make_unique<RelayActor>(scheduler, limits, counters, log, settings, 1));
    relays.back()->start();
    return *relays.back();
  }
  std::unique_ptr<Subscription> subscribe(std::vector<Endpoint> endpoints, RecordingReceiver& receiver,
                                          bool compressed) {
    auto subscription =
        std::make_unique<Subscription>(scheduler, limits, counters, log, std::move(endpoints), 0, receiver,
                                       SubscriptionOptions{.compressed = compressed});
    subscription->start({});
    return subscription;
  }
  void send_change(const std::string& members) {
    const std::string number = std::to_string(++last_number);
    source.connections.back()->send("id: " + number + "\ndata: {\"seq\":" + number + "," + members + "}\n\n");
  }
  void start_stream() {
    wait_until([&] { return source.has_connections(1) && source.has_received("\r\n\r\n"); });
    source.connections[0]->send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n");
    send_change(node_members("abc", true));
  }

  Scheduler scheduler;
  Limits limits;
  Counters counters;
  std::FILE* sink = std::tmpfile();
  Log log{fileno(sink)};
  StandInServer source{scheduler};
  RelaySettings settings;
  std::vector<std::unique_ptr<RelayActor>> relays;
  long long last_number = 0;
};

double unix_ms() { return transport::Clock::unix_now() * 1000; }

}  // namespace

TEST_CASE(
    "relay on sockets: plain and compressed subscribers and a chained relay receive every change in "
    "order") {
  RelayActorFixture fixture;
  RelayActor& relay = fixture.start_relay();
  fixture.start_stream();
  fixture.wait_until([&] { return relay.relay().last() == 1; });
  fixture.settings.sources = {{relay.address(), "relay"}};
  fixture.settings.compressed = true;
  RelayActor& downstream = fixture.start_relay();
  RecordingReceiver plain, compressed, chained;
  const auto first = fixture.subscribe({{relay.address(), "relay"}}, plain, false);
  const auto second = fixture.subscribe({{relay.address(), "relay"}}, compressed, true);
  const auto third = fixture.subscribe({{downstream.address(), "behind"}}, chained, true);
  for (std::uint64_t group = 0; group < 200; ++group) {
    fixture.send_change(purge_members(group, unix_ms()));
    if (group % 20 == 0) fixture.wait_until([&] { return relay.relay().last() == fixture.last_number; });
  }
  std::vector<long long> expected;
  for (long long number = 1; number <= fixture.last_number; ++number) expected.push_back(number);
  for (const RecordingReceiver* receiver : {&plain, &compressed, &chained})
    fixture.wait_until(
        [&] { return !receiver->numbers.empty() && receiver->numbers.back() == fixture.last_number; });
  CHECK(plain.numbers == expected);
  CHECK(compressed.numbers == expected);
  CHECK(chained.numbers == expected);
  CHECK(relay.writes() < 2 * 203);  // batching: fewer writes than one per event to each of three subscribers
}

TEST_CASE("relay shutdown: its subscribers continue at another relay after the last change they processed") {
  RelayActorFixture fixture;
  RelayActor& first = fixture.start_relay();
  RelayActor& second = fixture.start_relay();
  fixture.wait_until(
      [&] { return fixture.source.has_connections(2) && fixture.source.has_received("\r\n\r\n", 1); });
  const auto send_to_both = [&](const std::string& members) {
    const std::string number = std::to_string(++fixture.last_number);
    for (const auto& connection : fixture.source.connections)
      if (!connection->ended)
        connection->send("id: " + number + "\ndata: {\"seq\":" + number + "," + members + "}\n\n");
  };
  for (const auto& connection : fixture.source.connections) connection->send("HTTP/1.1 200 OK\r\n\r\n");
  send_to_both(node_members("ab", true));
  fixture.wait_until([&] { return first.relay().last() == 1 && second.relay().last() == 1; });
  RecordingReceiver receiver;
  const auto subscription =
      fixture.subscribe({{first.address(), "1"}, {second.address(), "2"}}, receiver, true);
  send_to_both(purge_members(1, unix_ms()));
  fixture.wait_until([&] { return subscription->last() == 2; });
  // It may have connected before the first relay had data from its source.
  const bool at_first = first.relay().subscribers() == 1;
  RelayActor& current = at_first ? first : second;
  RelayActor& other = at_first ? second : first;
  CHECK(current.relay().subscribers() == 1);
  current.close();
  fixture.wait_until([&] { return other.relay().subscribers() == 1; });
  send_to_both(purge_members(2, unix_ms()));
  fixture.wait_until([&] { return subscription->last() == 3; });
  CHECK(receiver.numbers == std::vector<long long>{1, 2, 3});
}

TEST_CASE("relay: a subscriber that does not read is closed, and the data buffered for it is bounded") {
  RelayActorFixture fixture;
  RelayActor& relay = fixture.start_relay();
  fixture.start_stream();
  fixture.wait_until([&] { return relay.relay().counts().batches == 1; });  // a tick with a live source
  const auto stalled_connection = dial(fixture.scheduler, relay.address(), false);
  stalled_connection->send("GET /changes HTTP/1.1\r\nHost: r\r\nLast-Event-ID: 0\r\n\r\n");
  fixture.wait_until([&] { return relay.relay().subscribers() == 1; });
  // Changes of 200 KB fill the kernel's buffers of the connection.
  const std::string large_change =
      "\"fleet\":{\"version\":1,\"full\":false,\"servers\":[{\"id\":\"a\",\"state\":\"active\",\"zone\":\"" +
      std::string(200'000, 'z') + "\"}]}";
  for (int i = 0; i < 5000 && relay.relay().counts().stalled == 0; ++i) {
    fixture.send_change(large_change);
    fixture.wait_until([&] { return relay.relay().last() == fixture.last_number; });
  }
  fixture.wait_until([&] { return relay.relay().counts().stalled == 1; });
  fixture.wait_until([&] { return relay.relay().subscribers() == 0; });
  CHECK(relay.relay().window_bytes() < 500'000);  // the last batch alone exceeds the window's limit
}

TEST_CASE(
    "relay: requests that are no subscription get an HTTP response; refused subscribers get a reason and are "
    "closed") {
  RelayActorFixture fixture;
  RelayActor& relay = fixture.start_relay();
  const auto check_response = [&](const std::string& request, const std::string& response) {
    const auto connection = dial(fixture.scheduler, relay.address());
    connection->send(request + "\r\nHost: r\r\n\r\n");
    fixture.wait_until([&] { return connection->has_received(response); });
    fixture.wait_until([&] { return connection->ended; });
  };
  check_response("GET /changes HTTP/1.1", "503 No Node List Yet");
  check_response("GET /_health HTTP/1.1", "200 OK");
  check_response("GET /elsewhere HTTP/1.1", "404 Not Found");
  check_response("PUT /changes HTTP/1.1", "404 Not Found");
  CHECK(relay.relay().counts().refused == 1);
}

TEST_CASE("relay: half sent requests of many connections do not grow its memory without end") {
  RelayActorFixture fixture;
  fixture.limits.request_read_timeout = 100;
  RelayActor& relay = fixture.start_relay();
  std::vector<std::shared_ptr<TestConnection>> connections;
  std::size_t most = 0;
  while (connections.size() < 600) {
    connections.push_back(dial(fixture.scheduler, relay.address(), false));
    connections.back()->send("GET /changes HTTP/1.1\r\n");
    most = std::max(most, relay.unfinished_requests());
  }
  CHECK(most == 512);
  // Who waits behind them is answered once they have been closed.
  const auto waiting = dial(fixture.scheduler, relay.address());
  for (const auto& connection : connections) connection->close();
  waiting->send("GET /_health HTTP/1.1\r\nHost: r\r\n\r\n");
  fixture.wait_until([&] { return waiting->has_received("200 OK"); });
}
