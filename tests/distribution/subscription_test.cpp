// The subscription against a stand-in for the source: slices, what could not be taken in, several endpoints,
// gzip.
#include "distribution/subscription.hpp"

#include <optional>

#include "helpers.hpp"
#include "program/config.hpp"
#include "protocol/content_coding.hpp"

using namespace hareramp;
using namespace hareramp::distribution;
using transport::Scheduler;

// A receiver that answers when the test says so.
namespace {
struct SlowReceiver : ChangeReceiver {
  void known_change_arrived(protocol::Json) override {}
  void changes_arrived(std::vector<NumberedChange> changes, bool, std::function<void(bool)> done) override {
    for (const auto& change : changes) seen.push_back(change.number);
    waiting.push_back(std::move(done));
  }
  void answer(bool taken) {
    const auto done = std::move(waiting.front());
    waiting.erase(waiting.begin());
    done(taken);
  }
  std::vector<long long> seen;
  std::vector<std::function<void(bool)>> waiting;
};

struct Slices {
  explicit Slices(double silent = 15, SubscriptionOptions options = {}) {
    const auto nothing = *protocol::Json::parse("{}");
    limits = program::fill_limits(nothing, nothing);
    limits.change_stream_read_size = 256, limits.change_stream_silence_timeout = silent,
    limits.change_stream_retry_delay = 0.001;
    list.emplace(scheduler, limits, counters, log, std::vector<Endpoint>{{changes.address, "log"}}, 0,
                 receiver, options);
    list->start({});
    until([&] { return changes.has_received("\r\n\r\n"); });
  }
  ~Slices() { std::fclose(sink); }
  void until(const std::function<bool()>& holds) { REQUIRE(run_until(scheduler, holds)); }
  static std::string events(int from, int to) {
    std::string text;
    for (int number = from; number <= to; ++number)
      text += "data: {\"seq\":" + std::to_string(number) + ",\"invalidate\":{\"bucket\":17,\"time\":1}}\n\n";
    return text;
  }
  void send(std::size_t place, int from, int to) {
    changes.connections[place]->send("HTTP/1.1 200 OK\r\n\r\n" + events(from, to));
  }
  Scheduler scheduler;
  Limits limits;
  Counters counters;
  std::FILE* sink = std::tmpfile();
  Log log{fileno(sink)};
  StandInServer changes{scheduler};
  SlowReceiver receiver;
  std::optional<Subscription> list;
};
}  // namespace

TEST_CASE("the change stream: while a slice is out nothing is read, and that is no silence of the source") {
  Slices site(0.02);
  site.send(0, 1, 1000);
  site.until([&] { return site.receiver.waiting.size() == 1; });
  const std::size_t first = site.receiver.seen.size();
  CHECK(first < 10);
  const double began = Scheduler::now();  // five times the time after which a source counts as silent
  site.until([&] { return Scheduler::now() > began + 0.1; });
  CHECK(site.receiver.seen.size() == first);
  CHECK(site.receiver.waiting.size() == 1);
  CHECK(site.list->last() == 0);  // not yet taken in
  CHECK(site.counters.log_silent == 0);
  CHECK(site.changes.connections.size() == 1);
  site.receiver.answer(true);
  site.until([&] { return site.receiver.waiting.size() == 1; });
  CHECK(site.list->last() == static_cast<long long>(first));
}

TEST_CASE("the change stream: what the receiver could not take in is asked for again, in order") {
  Slices site;
  site.send(0, 1, 20);
  site.until([&] { return site.receiver.waiting.size() == 1; });
  site.receiver.answer(true);
  site.until([&] { return site.receiver.waiting.size() == 1; });
  const long long taken = site.list->last();
  CHECK(taken > 0);
  site.receiver.answer(false);
  const std::string again = "Last-Event-ID: " + std::to_string(taken) + "\r\n";
  site.until([&] { return site.changes.has_connections(2) && site.changes.has_received(again, 1); });
  site.receiver.seen.clear();
  site.send(1, static_cast<int>(taken) + 1, 20);
  while (site.list->last() < 20) {
    site.until([&] { return !site.receiver.waiting.empty() || site.list->last() == 20; });
    if (!site.receiver.waiting.empty()) site.receiver.answer(true);
  }
  for (std::size_t place = 0; place < site.receiver.seen.size(); ++place)
    CHECK(site.receiver.seen[place] == taken + 1 + static_cast<long long>(place));
}

TEST_CASE("the change stream: a relay that refuses, ends or is silent is left for the next one") {
  Slices site(0.03);
  StandInServer second(site.scheduler), third(site.scheduler);
  site.list->moved({{site.changes.address, "first"}, {second.address, "second"}, {third.address, "third"}});
  site.changes.connections[0]->send("HTTP/1.1 503 Source Lost\r\nContent-Length: 0\r\n\r\n");
  site.until([&] { return second.has_received("Last-Event-ID: 0"); });
  second.connections[0]->send("HTTP/1.1 200 OK\r\n\r\n" + Slices::events(1, 2));
  site.until([&] { return site.receiver.waiting.size() == 1; });
  site.receiver.answer(true);
  site.until([&] { return third.has_received("Last-Event-ID: 2\r\n"); });  // the second fell silent
  CHECK(site.counters.log_silent >= 1);
  third.connections[0]->send("HTTP/1.1 200 OK\r\n\r\n");
  third.connections[0]->reset();
  site.until(
      [&] { return site.changes.has_received("Last-Event-ID: 2\r\n", site.changes.connections.size() - 1); });
}

TEST_CASE("the change stream: gzip is asked for, and decoded member by member as it comes") {
  Slices site(15, {.compressed = true});
  CHECK(site.changes.has_received("Accept-Encoding: gzip\r\n"));
  const std::string members =
      protocol::gzip(Slices::events(1, 3)) + protocol::gzip(":\n\n") + protocol::gzip(Slices::events(4, 5));
  site.changes.connections[0]->send("HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\n\r\n");
  const auto answer_all = [&] {
    while (!site.receiver.waiting.empty()) site.receiver.answer(true);
  };
  for (std::size_t at = 0; at < members.size(); at += 7) {
    site.changes.connections[0]->send(members.substr(at, 7));
    const double sent = Scheduler::now();
    site.until([&] { return answer_all(), Scheduler::now() > sent; });
  }
  site.until([&] { return answer_all(), site.list->last() == 5; });
  CHECK(site.receiver.seen == std::vector<long long>{1, 2, 3, 4, 5});
  site.changes.connections[0]->send("this is no gzip member");
  site.until([&] { return site.changes.has_connections(2); });
}

TEST_CASE("the change stream: a source that began anew is followed only where that is asked for") {
  const std::string list = "data: {\"seq\":1,\"fleet\":{\"full\":true,\"servers\":[]}}\n\n";
  for (const bool followed : {false, true}) {
    Slices site(15, {.restarts_followed = followed});
    site.send(0, 1, 3);
    site.until([&] { return site.receiver.waiting.size() == 1; });
    site.receiver.answer(true);
    site.until([&] { return site.list->last() == 3; });
    site.changes.connections[0]->reset();
    site.until([&] { return site.changes.has_received("Last-Event-ID: 3", 1); });
    site.changes.connections[1]->send("HTTP/1.1 200 OK\r\n\r\n" + list + Slices::events(2, 2));
    site.until([&] { return site.receiver.waiting.size() == 1; });
    site.receiver.answer(true);
    CHECK(site.receiver.seen ==
          (followed ? std::vector<long long>{1, 2, 3, 1, 2} : std::vector<long long>{1, 2, 3}));
    site.until([&] { return site.list->last() == (followed ? 2 : 3); });
  }
}

TEST_CASE("gzip: what is no gzip, or decodes to more than is taken, ends the decoder") {
  const auto take_all = [](std::string_view) { return true; };
  CHECK_FALSE(protocol::GzipDecoder().decode("plain words", take_all));
  std::size_t taken = 0;
  const std::string bomb = protocol::gzip(std::string(10'000'000, 'x'));
  CHECK_FALSE(protocol::GzipDecoder().decode(bomb, [&](std::string_view piece) {
    taken += piece.size();
    return taken < 100'000;
  }));
  CHECK(taken < 120'000);
}
