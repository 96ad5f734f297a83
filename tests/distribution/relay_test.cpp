// The core of a relay, and what it rests on, without sockets: what a subscriber is given for each cursor.
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

constexpr double kUnix = 1'800'000'000;  // s

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
  settings.window_bytes = 2000;  // some ten purges, in batches of one
  settings.purge_lifetime = 10;
  return settings;
}

// A relay with subscribers that take everything at once; time stands still but for pass().
class RelayRig {
 public:
  explicit RelayRig(const RelaySettings& settings = small_settings()) : relay(settings) {}

  void changes(std::vector<NumberedChange> all) { step(ChangesArrived{std::move(all)}); }
  void purge(long long number) {
    changes({numbered_change(number, purge_members(number, (kUnix + now) * 1000))});
  }
  void list(long long number, const std::string& ids) {
    changes({numbered_change(number, node_members(ids, true))});
  }
  void tick(bool alive = true) { step(Ticked{alive}); }
  void pass(double seconds) {
    now += seconds;
    tick();
  }
  // Joins with the reader's cursor.
  void join(SubscriberId id, StreamReader& reader, bool compressed = false) {
    readers[id] = &reader;
    is_compressed[id] = compressed;
    step(SubscriberArrived{id, reader.last, compressed});
  }
  void leave(SubscriberId id) {
    readers.erase(id);
    step(SubscriberLeft{id});
  }
  void step(const RelayEvent& event) {
    for (const RelayEffect& effect : relay.step(now, event)) {
      if (const auto* give = std::get_if<Give>(&effect)) {
        bytes[give->id] += give->bytes->size();
        const std::string plain = is_compressed[give->id] ? decoded(*give->bytes) : *give->bytes;
        if (readers.contains(give->id)) readers[give->id]->read(plain);
        if (plain == ":\n\n") ++comments;
        if (!held.contains(give->id)) step(PieceTaken{give->id});
      }
      if (const auto* refuse = std::get_if<Refuse>(&effect)) refused.push_back(refuse->why);
      if (const auto* close = std::get_if<Close>(&effect)) closed.insert(close->id);
    }
  }

  double now = 0;
  Relay relay;
  std::map<SubscriberId, StreamReader*> readers;
  std::map<SubscriberId, bool> is_compressed;
  std::map<SubscriberId, std::size_t> bytes;
  std::set<SubscriberId> held, closed;  // held: take nothing
  std::vector<Refusal> refused;
  int comments = 0;
};

}  // namespace

TEST_CASE("the window: the rest of a batch for a cursor inside it; what it gave up it does not reach") {
  Window window(400);
  const std::string event(50, 'e');
  for (long long number = 1; number <= 3; ++number) window.add(number, event);
  CHECK_FALSE(window.next(0).piece.plain);  // not closed yet
  window.close_batch();
  CHECK(window.next(0).piece.plain->size() == 150);
  CHECK(window.next(0).shared);
  CHECK(window.next(2).piece.plain->size() == 50);
  CHECK_FALSE(window.next(2).shared);
  CHECK_FALSE(window.next(3).piece.plain);
  CHECK(decoded(*window.next(1).piece.compressed) == *window.next(1).piece.plain);
  for (long long number = 4; number <= 6; ++number) window.add(number, event);
  window.close_batch();
  CHECK_FALSE(window.reaches(2));
  CHECK(window.reaches(3));
  CHECK(window.next(3).piece.last == 6);
  CHECK(window.bytes() <= 400);
}

TEST_CASE("the window: its bound holds while a backlog comes without a tick between") {
  Window window(200'000);
  const std::string event(100, 'e');
  for (long long number = 1; number <= 100'000; ++number) window.add(number, event);
  CHECK(window.bytes() <= 200'000);
  CHECK_FALSE(window.reaches(90'000));
  CHECK(window.last() > 99'000);
}

TEST_CASE("a subscriber within the window gets each change once and in order, plain and compressed alike") {
  RelayRig rig;
  StreamReader plain, compressed;
  rig.list(1, "ab");
  rig.tick();
  rig.join(1, plain);
  rig.join(2, compressed, true);
  for (long long number = 2; number <= 40; ++number) {
    rig.purge(number);
    if (number % 3 == 0) rig.pass(0.2);
  }
  rig.pass(0.2);
  CHECK(plain.numbers.size() == 40);
  CHECK(plain.numbers == compressed.numbers);
  CHECK(plain.nodes.size() == 2);
  CHECK(rig.relay.counts().snapshots == 0);
}

TEST_CASE(
    "behind the window: the whole list and the purges that live, under rising numbers behind the cursor") {
  RelayRig rig;
  StreamReader reader;
  rig.list(1, "abc");
  rig.pass(0.2);
  rig.join(1, reader);
  rig.pass(0.2);
  rig.leave(1);
  CHECK(reader.last == 1);
  for (long long number = 2; number <= 500; ++number) {
    rig.purge(number);
    if (number == 100) rig.changes({numbered_change(101, node_members("b", false, "left"))}), ++number;
    rig.pass(0.1);
  }
  rig.join(1, reader);
  rig.pass(0.2);
  CHECK(rig.relay.counts().snapshots == 1);
  CHECK(reader.nodes.size() == 2);
  CHECK(reader.purges.size() <= 110);  // a lifetime of 10 s at 10/s
  for (std::uint64_t number = 405; number <= 500; ++number) CHECK(reader.purges[number] == 1);
  CHECK(std::is_sorted(reader.numbers.begin(), reader.numbers.end()));
  CHECK(reader.last == 500);
  rig.purge(501);
  rig.pass(0.2);
  CHECK(reader.purges[501] == 1);
}

TEST_CASE("purges live from their receipt whatever their stamps say; of two the later event is kept") {
  RelayRig rig;
  rig.list(1, "a");
  rig.changes({numbered_change(2, purge_members(7, (kUnix + 5) * 1000)),
               numbered_change(3, purge_members(7, (kUnix + 1) * 1000)),
               numbered_change(4, purge_members(8, (kUnix - 3600) * 1000))});
  CHECK(rig.relay.live_purges() == 2);
  for (long long number = 5; number <= 60; ++number) {  // the window forgets them
    rig.changes({numbered_change(number, node_members("a", false))});
    rig.tick();
  }
  struct Times : protocol::SseHandler {
    void event(std::string_view, std::string_view data) override {
      const auto read = read_change(*protocol::Json::parse(data));
      if (read.purge) times.push_back(read.purge->unix_ms);
    }
    std::vector<double> times;
  } times;
  std::string given;
  for (const RelayEffect& effect : rig.relay.step(rig.now, SubscriberArrived{1, 0, false})) (void)effect;
  for (const RelayEffect& effect : rig.relay.step(rig.now, Ticked{true}))
    if (const auto* give = std::get_if<Give>(&effect)) given += *give->bytes;
  protocol::SseParser(1 << 20).parse(given, times);
  CHECK(times.times == std::vector<double>{(kUnix + 1) * 1000, (kUnix - 3600) * 1000});
  rig.pass(9.9);
  CHECK(rig.relay.live_purges() == 2);
  rig.pass(0.2);
  CHECK(rig.relay.live_purges() == 0);
}

TEST_CASE("at the bound of live purges there is no room until some expire") {
  RelaySettings settings = small_settings();
  settings.purges_most = 3;
  RelayRig rig(settings);
  rig.list(1, "a");
  for (long long number = 2; number <= 4; ++number) rig.purge(number);
  CHECK_FALSE(rig.relay.has_room());
  rig.pass(10.1);
  CHECK(rig.relay.has_room());
}

TEST_CASE("repeats of one purge count towards the bound each, until their time is over") {
  RelaySettings settings = small_settings();
  settings.purges_most = 3;
  RelayRig rig(settings);
  rig.list(1, "a");
  for (long long number = 2; number <= 4; ++number)
    rig.changes({numbered_change(number, purge_members(7, kUnix * 1000))});
  CHECK(rig.relay.live_purges() == 1);
  CHECK_FALSE(rig.relay.has_room());
  rig.pass(10.1);
  CHECK(rig.relay.has_room());
}

TEST_CASE("a backlog of 360,000 old purges: the bound holds, reading pauses once, and all are taken") {
  RelaySettings settings;
  RelayRig rig(settings);
  rig.list(1, "a");
  constexpr long long kBacklog = 360'000;
  std::size_t most = 0;
  int pauses = 0;
  for (long long number = 2; number <= kBacklog + 1; ++number) {
    if (!rig.relay.has_room()) {
      ++pauses;
      rig.pass(settings.purge_lifetime + 0.1);
    }
    REQUIRE(rig.relay.has_room());
    rig.changes(
        {numbered_change(number, purge_members(static_cast<std::uint64_t>(number), (kUnix - 3600) * 1000))});
    most = std::max(most, rig.relay.live_purges());
  }
  CHECK(pauses == 1);
  CHECK(most == settings.purges_most);
  CHECK(rig.relay.window_bytes() <= settings.window_bytes);
  rig.pass(settings.purge_lifetime + 0.1);
  CHECK(rig.relay.live_purges() == 0);
}

TEST_CASE("an hour of purges in one backlog: what its own stamps show to be over is not held") {
  RelayRig rig;
  rig.list(1, "a");
  constexpr long long kPurges = 36'000;  // one each 0.1 s
  std::size_t most = 0;
  for (long long number = 2; number <= kPurges + 1; ++number) {
    const double issued = kUnix - 3600 + 0.1 * static_cast<double>(number);
    rig.changes({numbered_change(number, purge_members(static_cast<std::uint64_t>(number), issued * 1000))});
    most = std::max(most, rig.relay.live_purges());
  }
  CHECK(most > 100);  // the lifetime of 10 s
  CHECK(most < 200);
}

TEST_CASE("a step of the issuer's clock shows nothing: live purges stay, whatever is stamped after it") {
  for (const double step : {-3600.0, -5.0, 5.0, 3600.0}) {
    RelayRig rig;
    rig.list(1, "a");
    for (long long number = 2; number <= 20; ++number) rig.purge(number);
    // 100 s of stamps after the step, all within a moment, as a source begun anew would tell its backlog.
    for (long long number = 21; number <= 1020; ++number) {
      const double issued = kUnix + step + 0.1 * static_cast<double>(number);
      rig.changes(
          {numbered_change(number, purge_members(static_cast<std::uint64_t>(number), issued * 1000))});
    }
    CHECK_MESSAGE(rig.relay.live_purges() >= 19 + 100, "step " << step);
    StreamReader reader;
    rig.tick();
    rig.join(1, reader);
    rig.tick();
    CHECK_MESSAGE(reader.purges.contains(2), "step " << step);
    rig.pass(10.1);
    CHECK(rig.relay.live_purges() == 0);
  }
}

TEST_CASE("a source that began anew: numbers still rise, and its list replaces the old one") {
  RelayRig rig;
  StreamReader reader;
  rig.list(1, "ab");
  rig.purge(2);
  rig.pass(0.2);
  rig.join(1, reader);
  rig.pass(0.2);
  CHECK(reader.last == 2);
  rig.list(1, "xyz");
  rig.purge(2);
  rig.pass(0.2);
  CHECK(rig.relay.counts().restarts == 1);
  CHECK(reader.nodes.size() == 3);
  CHECK(reader.last == numbered(1, 2));
  CHECK(reader.purges[2] == 2);
}

TEST_CASE("two relays that count a restart differently: who changes between them misses nothing") {
  RelayRig knows, does_not;
  StreamReader reader;
  knows.list(1, "ab");
  knows.list(1, "xyz");
  does_not.list(1, "xyz");
  for (RelayRig* rig : {&knows, &does_not}) {
    rig->purge(2);
    rig->pass(0.2);
  }
  knows.join(1, reader);
  knows.pass(0.2);
  CHECK(reader.last == numbered(1, 2));
  does_not.purge(3);
  does_not.join(1, reader);
  does_not.pass(0.2);
  CHECK(reader.purges[3] == 1);
  does_not.purge(4);
  does_not.pass(0.2);
  CHECK(reader.purges[4] == 1);
  CHECK(reader.last == numbered(1, 4));
  StreamReader absurd;
  absurd.last = numbered(1'000'000, 1);
  does_not.join(2, absurd);
  CHECK(does_not.refused == std::vector<Refusal>{Refusal::kBadCursor});
}

TEST_CASE("a cursor far ahead: refused while more waits at the source, else of an earlier life of it") {
  RelayRig rig;
  StreamReader reader, broken;
  rig.list(1, "ab");
  rig.purge(2);
  rig.step(ChangesArrived{{}, true});
  rig.tick();
  reader.last = 500'000;
  rig.join(1, reader);
  CHECK(rig.refused == std::vector<Refusal>{Refusal::kBehind});
  rig.step(ChangesArrived{{}, false});
  rig.join(1, reader);
  rig.pass(0.2);
  CHECK(reader.last == numbered(1, 2));
  CHECK(reader.purges[2] == 1);
  CHECK(reader.nodes.size() == 2);
  broken.last = numbered(5, 1);  // a second one within seconds would cost everybody another snapshot
  rig.join(2, broken);
  CHECK(rig.refused.back() == Refusal::kBadCursor);
  rig.pass(10);
  rig.join(2, broken);
  CHECK(rig.relay.subscribers() == 2);
}

TEST_CASE("refused without a list or a source; comments only while the source is heard") {
  RelaySettings settings = small_settings();
  settings.subscribers_most = 1;
  RelayRig rig(settings);
  StreamReader reader, other;
  rig.tick();
  rig.join(1, reader);
  rig.list(1, "a");
  rig.tick(false);
  rig.join(1, reader);
  rig.tick(true);
  rig.join(1, reader);
  rig.join(2, other);
  CHECK(rig.refused == std::vector<Refusal>{Refusal::kNoListYet, Refusal::kSourceLost, Refusal::kFull});
  rig.pass(0.2);
  rig.pass(1.1);
  CHECK(rig.comments == 1);
  rig.now += 5;
  rig.tick(false);
  CHECK(rig.comments == 1);
}

TEST_CASE("a subscriber that takes nothing is closed in time and costs the others nothing") {
  RelayRig rig;
  StreamReader reader, slow;
  rig.list(1, "a");
  rig.tick();
  rig.held.insert(2);
  rig.join(1, reader);
  rig.join(2, slow);
  for (long long number = 2; number <= 60; ++number) {
    rig.purge(number);
    rig.pass(0.2);
  }
  CHECK(rig.closed == std::set<SubscriberId>{2});
  CHECK(reader.numbers.size() == 60);
  CHECK(rig.relay.window_bytes() <= small_settings().window_bytes);
  CHECK(rig.relay.subscribers() == 1);
}

TEST_CASE("a region that comes back at once is spread over ticks") {
  RelaySettings settings = small_settings();
  settings.joins_per_tick = 10;
  RelayRig rig(settings);
  rig.list(1, "a");
  for (long long number = 2; number <= 200; ++number) {
    rig.purge(number);
    rig.tick();
  }
  std::vector<StreamReader> readers(35);
  for (std::size_t place = 0; place < readers.size(); ++place) rig.join(place + 1, readers[place]);
  for (const std::uint64_t given : {10u, 20u, 30u, 35u}) {
    rig.tick();
    CHECK(rig.relay.counts().snapshots == given);
  }
  for (const StreamReader& reader : readers) CHECK(reader.last == 200);
}

// Two relays with different windows follow one source that now and then begins anew; a relay may miss any
// span and then hears all that the source still tells, or what another relay's snapshot has; directors change
// between them at any moment. A director that is connected at the end knows the source's list and every purge
// within its lifetime.
TEST_CASE("any order of cuts, restarts and changes of relay: nothing that still matters is missed") {
  for (unsigned seed = 1; seed <= 300; ++seed) {
    std::mt19937 chance(seed);
    const auto draw = [&](int below) { return static_cast<int>(chance() % static_cast<unsigned>(below)); };
    RelaySettings narrow = small_settings(), wide = small_settings();
    narrow.window_bytes = 300, wide.window_bytes = 20000;
    RelayRig first(narrow), second(wide);
    RelayRig* relays[] = {&first, &second};
    std::vector<NumberedChange> told;  // by the source in this life
    std::map<std::uint64_t, double> purged_at;
    std::string nodes = "ab";
    std::size_t heard[] = {0, 0};
    StreamReader reader;
    int follows = -1;
    std::uint64_t groups = 0;
    const auto tell = [&](const std::string& members) {
      told.push_back(numbered_change(static_cast<long long>(told.size()) + 1, members));
    };
    const auto catch_up = [&](int place) {
      relays[place]->changes({told.begin() + static_cast<std::ptrdiff_t>(heard[place]), told.end()});
      heard[place] = told.size();
      relays[place]->tick();
    };
    tell(node_members(nodes, true));
    for (int turn = 0; turn < 120; ++turn) {
      first.now += 0.1, second.now += 0.1;
      switch (draw(8)) {
        case 0:
        case 1:
        case 2:
          purged_at[++groups] = first.now;
          tell(purge_members(groups, (kUnix + first.now) * 1000));
          break;
        case 3:
          nodes = std::string(1, static_cast<char>('a' + draw(20)));
          tell(node_members(nodes, true));
          break;
        case 4:
        case 5:
          catch_up(draw(2));
          break;
        case 6: {
          if (follows >= 0) relays[follows]->leave(1);
          follows = draw(2);
          if (heard[follows] == 0) catch_up(follows);
          relays[follows]->join(1, reader);
          break;
        }
        case 7:
          if (draw(10) != 0) break;
          told.clear();  // it begins anew, with its list; what it told before it no longer tells
          tell(node_members(nodes, true));
          for (const int place : {0, 1}) heard[place] = 0, catch_up(place);
          break;
      }
    }
    for (const int place : {0, 1}) catch_up(place);
    if (follows < 0) relays[follows = 0]->join(1, reader);
    for (int ticks = 0; ticks < 5; ++ticks) relays[follows]->tick();
    const std::string newest(1, nodes.back());
    CHECK_MESSAGE(reader.nodes.contains(newest), "seed " << seed);
    CHECK_MESSAGE(std::is_sorted(reader.numbers.begin(), reader.numbers.end()), "seed " << seed);
    // Purges told in this life of the source: those before it began anew may have reached no relay.
    for (const NumberedChange& change : told) {
      const auto read = read_change(change.change);
      if (!read.purge || first.now - purged_at[read.purge->subject.id] > 9.9) continue;
      CHECK_MESSAGE(reader.purges[read.purge->subject.id] >= 1,
                    "seed " << seed << ", purge " << read.purge->subject.id);
    }
  }
}
