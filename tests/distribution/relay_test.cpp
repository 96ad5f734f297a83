// The core of a relay and its window, without sockets: what a subscriber receives for each cursor.
#include "distribution/relay.hpp"

#include <random>
#include <set>

#include "distribution/epoch.hpp"
#include "helpers.hpp"
#include "protocol/content_coding.hpp"
#include "stream.hpp"

using namespace hareramp;
using namespace hareramp::distribution;

namespace {

constexpr double kStartUnixTime = 1'800'000'000;  // s

std::string decoded(const std::string& compressed) {
  protocol::GzipDecoder decoder;
  std::string plain;
  REQUIRE(decoder.decode(compressed, [&](std::string_view piece) {
    plain += piece;
    return true;
  }));
  return plain;
}

RelaySettings small_settings() {
  RelaySettings settings;
  settings.window_bytes = 2000;  // about ten purges, in batches of one
  settings.purge_lifetime = 10;
  return settings;
}

// A relay with subscribers whose writes complete at once. Time passes only in advance().
class RelayFixture {
 public:
  explicit RelayFixture(const RelaySettings& settings = small_settings()) : relay(settings) {}

  void send_changes(std::vector<NumberedChange> changes) { step(ChangesArrived{std::move(changes)}); }
  void send_purge(long long number) {
    send_changes({numbered_change(number, purge_members(number, (kStartUnixTime + now) * 1000))});
  }
  void send_list(long long number, const std::string& ids) {
    send_changes({numbered_change(number, node_members(ids, true))});
  }
  void tick(bool source_alive = true) { step(Ticked{source_alive}); }
  void advance(double seconds) {
    now += seconds;
    tick();
  }
  // Connects with the reader's cursor.
  void connect(SubscriberId id, StreamReader& reader, bool compressed = false) {
    readers[id] = &reader;
    is_compressed[id] = compressed;
    step(SubscriberConnected{id, reader.last, compressed});
  }
  void disconnect(SubscriberId id) {
    readers.erase(id);
    step(SubscriberDisconnected{id});
  }
  void step(const RelayEvent& event) {
    for (const RelayEffect& effect : relay.step(now, event)) {
      if (const auto* send = std::get_if<Send>(&effect)) {
        bytes[send->id] += send->bytes->size();
        const std::string plain = is_compressed[send->id] ? decoded(*send->bytes) : *send->bytes;
        if (readers.contains(send->id)) readers[send->id]->read(plain);
        if (plain == ":\n\n") ++comments;
        if (!stalled.contains(send->id)) step(WriteCompleted{send->id});
      }
      if (const auto* refuse = std::get_if<Refuse>(&effect)) refused.push_back(refuse->reason);
      if (const auto* close = std::get_if<Close>(&effect)) closed.insert(close->id);
    }
  }

  double now = 0;
  Relay relay;
  std::map<SubscriberId, StreamReader*> readers;
  std::map<SubscriberId, bool> is_compressed;
  std::map<SubscriberId, std::size_t> bytes;
  std::set<SubscriberId> stalled, closed;  // stalled: their writes never complete
  std::vector<Refusal> refused;
  int comments = 0;
};

}  // namespace

TEST_CASE("window: a cursor inside a batch gets the rest of it; evicted events are not covered") {
  Window window(400);
  const std::string event(50, 'e');
  for (long long number = 1; number <= 3; ++number) window.add(number, event);
  CHECK_FALSE(window.next(0).chunk.plain);  // not closed yet
  window.close_batch();
  CHECK(window.next(0).chunk.plain->size() == 150);
  CHECK(window.next(0).shared);
  CHECK(window.next(2).chunk.plain->size() == 50);
  CHECK_FALSE(window.next(2).shared);
  CHECK_FALSE(window.next(3).chunk.plain);
  CHECK(decoded(*window.next(1).chunk.compressed) == *window.next(1).chunk.plain);
  for (long long number = 4; number <= 6; ++number) window.add(number, event);
  window.close_batch();
  CHECK_FALSE(window.covers(2));
  CHECK(window.covers(3));
  CHECK(window.next(3).chunk.last == 6);
  CHECK(window.bytes() <= 400);
}

TEST_CASE("window: the size limit holds during a backlog without ticks in between") {
  Window window(200'000);
  const std::string event(100, 'e');
  for (long long number = 1; number <= 100'000; ++number) window.add(number, event);
  CHECK(window.bytes() <= 200'000);
  CHECK_FALSE(window.covers(90'000));
  CHECK(window.last() > 99'000);
}

TEST_CASE("relay: a subscriber within the window gets each change once and in order, plain or compressed") {
  RelayFixture fixture;
  StreamReader plain, compressed;
  fixture.send_list(1, "ab");
  fixture.tick();
  fixture.connect(1, plain);
  fixture.connect(2, compressed, true);
  for (long long number = 2; number <= 40; ++number) {
    fixture.send_purge(number);
    if (number % 3 == 0) fixture.advance(0.2);
  }
  fixture.advance(0.2);
  CHECK(plain.numbers.size() == 40);
  CHECK(plain.numbers == compressed.numbers);
  CHECK(plain.nodes.size() == 2);
  CHECK(fixture.relay.counts().snapshots == 0);
}

TEST_CASE(
    "relay: a cursor before the window gets the complete list and the live purges under rising numbers") {
  RelayFixture fixture;
  StreamReader reader;
  fixture.send_list(1, "abc");
  fixture.advance(0.2);
  fixture.connect(1, reader);
  fixture.advance(0.2);
  fixture.disconnect(1);
  CHECK(reader.last == 1);
  for (long long number = 2; number <= 500; ++number) {
    fixture.send_purge(number);
    if (number == 100)
      fixture.send_changes({numbered_change(101, node_members("b", false, "left"))}), ++number;
    fixture.advance(0.1);
  }
  fixture.connect(1, reader);
  fixture.advance(0.2);
  CHECK(fixture.relay.counts().snapshots == 1);
  CHECK(reader.nodes.size() == 2);
  CHECK(reader.purges.size() <= 110);  // a lifetime of 10 s at 10/s
  for (std::uint64_t number = 405; number <= 500; ++number) CHECK(reader.purges[number] == 1);
  CHECK(std::is_sorted(reader.numbers.begin(), reader.numbers.end()));
  CHECK(reader.last == 500);
  fixture.send_purge(501);
  fixture.advance(0.2);
  CHECK(reader.purges[501] == 1);
}

TEST_CASE(
    "relay: a purge's lifetime starts when it arrives, whatever its timestamp; of two the later event is "
    "kept") {
  RelayFixture fixture;
  fixture.send_list(1, "a");
  fixture.send_changes({numbered_change(2, purge_members(7, (kStartUnixTime + 5) * 1000)),
                        numbered_change(3, purge_members(7, (kStartUnixTime + 1) * 1000)),
                        numbered_change(4, purge_members(8, (kStartUnixTime - 3600) * 1000))});
  CHECK(fixture.relay.live_purges() == 2);
  for (long long number = 5; number <= 60; ++number) {  // evicts them from the window
    fixture.send_changes({numbered_change(number, node_members("a", false))});
    fixture.tick();
  }
  struct TimestampCollector : protocol::SseHandler {
    void event(std::string_view, std::string_view data) override {
      const auto parsed = parse_change(*protocol::Json::parse(data));
      if (parsed.purge) timestamps.push_back(parsed.purge->unix_ms);
    }
    std::vector<double> timestamps;
  } collector;
  std::string sent_bytes;
  for (const RelayEffect& effect : fixture.relay.step(fixture.now, SubscriberConnected{1, 0, false}))
    (void)effect;
  for (const RelayEffect& effect : fixture.relay.step(fixture.now, Ticked{true}))
    if (const auto* send = std::get_if<Send>(&effect)) sent_bytes += *send->bytes;
  protocol::SseParser(1 << 20).parse(sent_bytes, collector);
  CHECK(collector.timestamps ==
        std::vector<double>{(kStartUnixTime + 1) * 1000, (kStartUnixTime - 3600) * 1000});
  fixture.advance(9.9);
  CHECK(fixture.relay.live_purges() == 2);
  fixture.advance(0.2);
  CHECK(fixture.relay.live_purges() == 0);
}

TEST_CASE("relay: at the limit of live purges no changes are accepted until some expire") {
  RelaySettings settings = small_settings();
  settings.purges_most = 3;
  RelayFixture fixture(settings);
  fixture.send_list(1, "a");
  for (long long number = 2; number <= 4; ++number) fixture.send_purge(number);
  CHECK_FALSE(fixture.relay.can_accept_changes());
  fixture.advance(10.1);
  CHECK(fixture.relay.can_accept_changes());
}

TEST_CASE("relay: each repeat of a purge counts towards the limit until it expires") {
  RelaySettings settings = small_settings();
  settings.purges_most = 3;
  RelayFixture fixture(settings);
  fixture.send_list(1, "a");
  for (long long number = 2; number <= 4; ++number)
    fixture.send_changes({numbered_change(number, purge_members(7, kStartUnixTime * 1000))});
  CHECK(fixture.relay.live_purges() == 1);
  CHECK_FALSE(fixture.relay.can_accept_changes());
  fixture.advance(10.1);
  CHECK(fixture.relay.can_accept_changes());
}

TEST_CASE(
    "relay: with a backlog of 360,000 old purges the limit holds, reading pauses once, all are processed") {
  RelaySettings settings;
  RelayFixture fixture(settings);
  fixture.send_list(1, "a");
  constexpr long long kBacklogSize = 360'000;
  std::size_t most_live = 0;
  int pauses = 0;
  for (long long number = 2; number <= kBacklogSize + 1; ++number) {
    if (!fixture.relay.can_accept_changes()) {
      ++pauses;
      fixture.advance(settings.purge_lifetime + 0.1);
    }
    REQUIRE(fixture.relay.can_accept_changes());
    fixture.send_changes({numbered_change(
        number, purge_members(static_cast<std::uint64_t>(number), (kStartUnixTime - 3600) * 1000))});
    most_live = std::max(most_live, fixture.relay.live_purges());
  }
  CHECK(pauses == 1);
  CHECK(most_live == settings.purges_most);
  CHECK(fixture.relay.window_bytes() <= settings.window_bytes);
  fixture.advance(settings.purge_lifetime + 0.1);
  CHECK(fixture.relay.live_purges() == 0);
}

TEST_CASE("relay: of a one-hour backlog, purges that its own timestamps show to have expired are not kept") {
  RelayFixture fixture;
  fixture.send_list(1, "a");
  constexpr long long kPurgeCount = 36'000;  // one every 0.1 s
  std::size_t most_live = 0;
  for (long long number = 2; number <= kPurgeCount + 1; ++number) {
    const double issued_at = kStartUnixTime - 3600 + 0.1 * static_cast<double>(number);
    fixture.send_changes(
        {numbered_change(number, purge_members(static_cast<std::uint64_t>(number), issued_at * 1000))});
    most_live = std::max(most_live, fixture.relay.live_purges());
  }
  CHECK(most_live > 100);  // those of the last 10 s, one lifetime
  CHECK(most_live < 200);
}

TEST_CASE("relay: a step of the issuer's clock drops no live purges, whatever timestamps follow it") {
  for (const double step : {-3600.0, -5.0, 5.0, 3600.0}) {
    RelayFixture fixture;
    fixture.send_list(1, "a");
    for (long long number = 2; number <= 20; ++number) fixture.send_purge(number);
    // 100 s of timestamps after the step, all at once, as a restarted source sends its backlog.
    for (long long number = 21; number <= 1020; ++number) {
      const double issued_at = kStartUnixTime + step + 0.1 * static_cast<double>(number);
      fixture.send_changes(
          {numbered_change(number, purge_members(static_cast<std::uint64_t>(number), issued_at * 1000))});
    }
    CHECK_MESSAGE(fixture.relay.live_purges() >= 19 + 100, "step " << step);
    StreamReader reader;
    fixture.tick();
    fixture.connect(1, reader);
    fixture.tick();
    CHECK_MESSAGE(reader.purges.contains(2), "step " << step);
    fixture.advance(10.1);
    CHECK(fixture.relay.live_purges() == 0);
  }
}

TEST_CASE("relay: after a restart of the source numbers still rise, and its list replaces the old one") {
  RelayFixture fixture;
  StreamReader reader;
  fixture.send_list(1, "ab");
  fixture.send_purge(2);
  fixture.advance(0.2);
  fixture.connect(1, reader);
  fixture.advance(0.2);
  CHECK(reader.last == 2);
  fixture.send_list(1, "xyz");
  fixture.send_purge(2);
  fixture.advance(0.2);
  CHECK(fixture.relay.counts().restarts == 1);
  CHECK(reader.nodes.size() == 3);
  CHECK(reader.last == number_in_epoch(1, 2));
  CHECK(reader.purges[2] == 2);
}

TEST_CASE("relay: a subscriber that switches between relays with different restart counts misses nothing") {
  RelayFixture saw_restart, missed_restart;
  StreamReader reader;
  saw_restart.send_list(1, "ab");
  saw_restart.send_list(1, "xyz");
  missed_restart.send_list(1, "xyz");
  for (RelayFixture* fixture : {&saw_restart, &missed_restart}) {
    fixture->send_purge(2);
    fixture->advance(0.2);
  }
  saw_restart.connect(1, reader);
  saw_restart.advance(0.2);
  CHECK(reader.last == number_in_epoch(1, 2));
  missed_restart.send_purge(3);
  missed_restart.connect(1, reader);
  missed_restart.advance(0.2);
  CHECK(reader.purges[3] == 1);
  missed_restart.send_purge(4);
  missed_restart.advance(0.2);
  CHECK(reader.purges[4] == 1);
  CHECK(reader.last == number_in_epoch(1, 4));
  StreamReader invalid;
  invalid.last = number_in_epoch(1'000'000, 1);
  missed_restart.connect(2, invalid);
  CHECK(missed_restart.refused == std::vector<Refusal>{Refusal::kBadCursor});
}

TEST_CASE(
    "relay: a cursor far ahead is refused during catch-up, and otherwise taken as from before a restart") {
  RelayFixture fixture;
  StreamReader reader, faulty;
  fixture.send_list(1, "ab");
  fixture.send_purge(2);
  fixture.step(ChangesArrived{{}, true});
  fixture.tick();
  reader.last = 500'000;
  fixture.connect(1, reader);
  CHECK(fixture.refused == std::vector<Refusal>{Refusal::kBehind});
  fixture.step(ChangesArrived{{}, false});
  fixture.connect(1, reader);
  fixture.advance(0.2);
  CHECK(reader.last == number_in_epoch(1, 2));
  CHECK(reader.purges[2] == 1);
  CHECK(reader.nodes.size() == 2);
  // A second epoch within seconds would cost every subscriber another snapshot.
  faulty.last = number_in_epoch(5, 1);
  fixture.connect(2, faulty);
  CHECK(fixture.refused.back() == Refusal::kBadCursor);
  fixture.advance(10);
  fixture.connect(2, faulty);
  CHECK(fixture.relay.subscribers() == 2);
}

TEST_CASE(
    "relay: refuses subscribers without a list or a source; sends comments only while the source is alive") {
  RelaySettings settings = small_settings();
  settings.subscribers_most = 1;
  RelayFixture fixture(settings);
  StreamReader reader, other;
  fixture.tick();
  fixture.connect(1, reader);
  fixture.send_list(1, "a");
  fixture.tick(false);
  fixture.connect(1, reader);
  fixture.tick(true);
  fixture.connect(1, reader);
  fixture.connect(2, other);
  CHECK(fixture.refused == std::vector<Refusal>{Refusal::kNoListYet, Refusal::kSourceLost, Refusal::kFull});
  fixture.advance(0.2);
  fixture.advance(1.1);
  CHECK(fixture.comments == 1);
  fixture.now += 5;
  fixture.tick(false);
  CHECK(fixture.comments == 1);
}

TEST_CASE("relay: a subscriber that reads nothing is closed in time and does not affect the others") {
  RelayFixture fixture;
  StreamReader reader, slow;
  fixture.send_list(1, "a");
  fixture.tick();
  fixture.stalled.insert(2);
  fixture.connect(1, reader);
  fixture.connect(2, slow);
  for (long long number = 2; number <= 60; ++number) {
    fixture.send_purge(number);
    fixture.advance(0.2);
  }
  CHECK(fixture.closed == std::set<SubscriberId>{2});
  CHECK(reader.numbers.size() == 60);
  CHECK(fixture.relay.window_bytes() <= small_settings().window_bytes);
  CHECK(fixture.relay.subscribers() == 1);
}

TEST_CASE("relay: many subscribers that reconnect at once are spread over ticks") {
  RelaySettings settings = small_settings();
  settings.max_joins_per_tick = 10;
  RelayFixture fixture(settings);
  fixture.send_list(1, "a");
  for (long long number = 2; number <= 200; ++number) {
    fixture.send_purge(number);
    fixture.tick();
  }
  std::vector<StreamReader> readers(35);
  for (std::size_t index = 0; index < readers.size(); ++index) fixture.connect(index + 1, readers[index]);
  for (const std::uint64_t expected : {10u, 20u, 30u, 35u}) {
    fixture.tick();
    CHECK(fixture.relay.counts().snapshots == expected);
  }
  for (const StreamReader& reader : readers) CHECK(reader.last == 200);
}

// Two relays with different window sizes follow one source that restarts now and then. A relay may miss any
// number of changes and then receives all that the source still has. A director switches between the relays
// at random moments. At the end it must know the source's node list and every purge within its lifetime.
TEST_CASE(
    "relay: with random disconnections, restarts and relay switches no change that still applies is missed") {
  for (unsigned seed = 1; seed <= 300; ++seed) {
    std::mt19937 random(seed);
    const auto draw = [&](int below) { return static_cast<int>(random() % static_cast<unsigned>(below)); };
    RelaySettings small_window = small_settings(), large_window = small_settings();
    small_window.window_bytes = 300, large_window.window_bytes = 20000;
    RelayFixture first(small_window), second(large_window);
    RelayFixture* relays[] = {&first, &second};
    std::vector<NumberedChange> sent;  // by the source since its last restart
    std::map<std::uint64_t, double> purge_times;
    std::string nodes = "ab";
    std::size_t received[] = {0, 0};
    StreamReader reader;
    int connected_to = -1;
    std::uint64_t last_group = 0;
    const auto send_from_source = [&](const std::string& members) {
      sent.push_back(numbered_change(static_cast<long long>(sent.size()) + 1, members));
    };
    const auto deliver_to = [&](int index) {
      relays[index]->send_changes({sent.begin() + static_cast<std::ptrdiff_t>(received[index]), sent.end()});
      received[index] = sent.size();
      relays[index]->tick();
    };
    send_from_source(node_members(nodes, true));
    for (int round = 0; round < 120; ++round) {
      first.now += 0.1, second.now += 0.1;
      switch (draw(8)) {
        case 0:
        case 1:
        case 2:
          purge_times[++last_group] = first.now;
          send_from_source(purge_members(last_group, (kStartUnixTime + first.now) * 1000));
          break;
        case 3:
          nodes = std::string(1, static_cast<char>('a' + draw(20)));
          send_from_source(node_members(nodes, true));
          break;
        case 4:
        case 5:
          deliver_to(draw(2));
          break;
        case 6: {
          if (connected_to >= 0) relays[connected_to]->disconnect(1);
          connected_to = draw(2);
          if (received[connected_to] == 0) deliver_to(connected_to);
          relays[connected_to]->connect(1, reader);
          break;
        }
        case 7:
          if (draw(10) != 0) break;
          sent.clear();  // the source restarts with its list and no longer has its earlier changes
          send_from_source(node_members(nodes, true));
          for (const int index : {0, 1}) received[index] = 0, deliver_to(index);
          break;
      }
    }
    for (const int index : {0, 1}) deliver_to(index);
    if (connected_to < 0) relays[connected_to = 0]->connect(1, reader);
    for (int ticks = 0; ticks < 5; ++ticks) relays[connected_to]->tick();
    const std::string last_node(1, nodes.back());
    CHECK_MESSAGE(reader.nodes.contains(last_node), "seed " << seed);
    CHECK_MESSAGE(std::is_sorted(reader.numbers.begin(), reader.numbers.end()), "seed " << seed);
    // Purges since the last restart of the source: earlier ones may have reached no relay.
    for (const NumberedChange& change : sent) {
      const auto parsed = parse_change(change.change);
      if (!parsed.purge || first.now - purge_times[parsed.purge->target.id] > 9.9) continue;
      CHECK_MESSAGE(reader.purges[parsed.purge->target.id] >= 1,
                    "seed " << seed << ", purge " << parsed.purge->target.id);
    }
  }
}
