// The subscription with a stand-in for the source: batches, batches that the receiver failed to process,
// several endpoints, gzip.
#include "distribution/subscription.hpp"

#include <optional>

#include "helpers.hpp"
#include "program/config.hpp"
#include "protocol/content_coding.hpp"

using namespace hareramp;
using namespace hareramp::distribution;
using transport::Scheduler;

namespace {
// A receiver that acknowledges a batch only when the test calls answer().
struct ManualReceiver : ChangeReceiver {
  void known_change_arrived(protocol::Json) override {}
  void changes_arrived(std::vector<NumberedChange> changes, bool, std::function<void(bool)> done) override {
    for (const auto& change : changes) numbers.push_back(change.number);
    pending.push_back(std::move(done));
  }
  void answer(bool accepted) {
    const auto done = std::move(pending.front());
    pending.erase(pending.begin());
    done(accepted);
  }
  std::vector<long long> numbers;
  std::vector<std::function<void(bool)>> pending;
};

struct SubscriptionFixture {
  explicit SubscriptionFixture(double silence_timeout = 15, SubscriptionOptions options = {}) {
    const auto nothing = *protocol::Json::parse("{}");
    limits = program::fill_limits(nothing, nothing);
    limits.change_stream_read_size = 256, limits.change_stream_silence_timeout = silence_timeout,
    limits.change_stream_retry_delay = 0.001;
    subscription.emplace(scheduler, limits, counters, log, std::vector<Endpoint>{{source.address, "log"}}, 0,
                         receiver, options);
    subscription->start({});
    wait_until([&] { return source.has_received("\r\n\r\n"); });
  }
  ~SubscriptionFixture() { std::fclose(sink); }
  void wait_until(const std::function<bool()>& condition) { REQUIRE(run_until(scheduler, condition)); }
  static std::string events(int first, int last) {
    std::string text;
    for (int number = first; number <= last; ++number)
      text += "data: {\"seq\":" + std::to_string(number) + ",\"invalidate\":{\"bucket\":17,\"time\":1}}\n\n";
    return text;
  }
  void send(std::size_t index, int first, int last) {
    source.connections[index]->send("HTTP/1.1 200 OK\r\n\r\n" + events(first, last));
  }
  Scheduler scheduler;
  Limits limits;
  Counters counters;
  std::FILE* sink = std::tmpfile();
  Log log{fileno(sink)};
  StandInServer source{scheduler};
  ManualReceiver receiver;
  std::optional<Subscription> subscription;
};
}  // namespace

TEST_CASE(
    "subscription: nothing is read while the receiver holds a batch, and that does not count as silence") {
  SubscriptionFixture fixture(0.02);
  fixture.send(0, 1, 1000);
  fixture.wait_until([&] { return fixture.receiver.pending.size() == 1; });
  const std::size_t first_count = fixture.receiver.numbers.size();
  CHECK(first_count < 10);
  // Waits for five times the silence timeout.
  const double start = Scheduler::now();
  fixture.wait_until([&] { return Scheduler::now() > start + 0.1; });
  CHECK(fixture.receiver.numbers.size() == first_count);
  CHECK(fixture.receiver.pending.size() == 1);
  CHECK(fixture.subscription->last() == 0);  // not yet processed
  CHECK(fixture.counters.log_silent == 0);
  CHECK(fixture.source.connections.size() == 1);
  fixture.receiver.answer(true);
  fixture.wait_until([&] { return fixture.receiver.pending.size() == 1; });
  CHECK(fixture.subscription->last() == static_cast<long long>(first_count));
}

TEST_CASE("subscription: changes that the receiver failed to process are requested again, in order") {
  SubscriptionFixture fixture;
  fixture.send(0, 1, 20);
  fixture.wait_until([&] { return fixture.receiver.pending.size() == 1; });
  fixture.receiver.answer(true);
  fixture.wait_until([&] { return fixture.receiver.pending.size() == 1; });
  const long long last_accepted = fixture.subscription->last();
  CHECK(last_accepted > 0);
  fixture.receiver.answer(false);
  const std::string resumed = "Last-Event-ID: " + std::to_string(last_accepted) + "\r\n";
  fixture.wait_until(
      [&] { return fixture.source.has_connections(2) && fixture.source.has_received(resumed, 1); });
  fixture.receiver.numbers.clear();
  fixture.send(1, static_cast<int>(last_accepted) + 1, 20);
  while (fixture.subscription->last() < 20) {
    fixture.wait_until(
        [&] { return !fixture.receiver.pending.empty() || fixture.subscription->last() == 20; });
    if (!fixture.receiver.pending.empty()) fixture.receiver.answer(true);
  }
  for (std::size_t index = 0; index < fixture.receiver.numbers.size(); ++index)
    CHECK(fixture.receiver.numbers[index] == last_accepted + 1 + static_cast<long long>(index));
}

TEST_CASE("subscription: a relay that refuses, ends or is silent is replaced by the next one") {
  SubscriptionFixture fixture(0.03);
  StandInServer second(fixture.scheduler), third(fixture.scheduler);
  fixture.subscription->set_endpoints(
      {{fixture.source.address, "first"}, {second.address, "second"}, {third.address, "third"}});
  fixture.source.connections[0]->send("HTTP/1.1 503 Source Lost\r\nContent-Length: 0\r\n\r\n");
  fixture.wait_until([&] { return second.has_received("Last-Event-ID: 0"); });
  second.connections[0]->send("HTTP/1.1 200 OK\r\n\r\n" + SubscriptionFixture::events(1, 2));
  fixture.wait_until([&] { return fixture.receiver.pending.size() == 1; });
  fixture.receiver.answer(true);
  // The second one has sent nothing more.
  fixture.wait_until([&] { return third.has_received("Last-Event-ID: 2\r\n"); });
  CHECK(fixture.counters.log_silent >= 1);
  third.connections[0]->send("HTTP/1.1 200 OK\r\n\r\n");
  third.connections[0]->reset();
  fixture.wait_until([&] {
    return fixture.source.has_received("Last-Event-ID: 2\r\n", fixture.source.connections.size() - 1);
  });
}

TEST_CASE("subscription: gzip is requested and decoded member by member as it arrives") {
  SubscriptionFixture fixture(15, {.compressed = true});
  CHECK(fixture.source.has_received("Accept-Encoding: gzip\r\n"));
  const std::string members = protocol::gzip(SubscriptionFixture::events(1, 3)) + protocol::gzip(":\n\n") +
                              protocol::gzip(SubscriptionFixture::events(4, 5));
  fixture.source.connections[0]->send("HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\n\r\n");
  const auto answer_all = [&] {
    while (!fixture.receiver.pending.empty()) fixture.receiver.answer(true);
  };
  for (std::size_t offset = 0; offset < members.size(); offset += 7) {
    fixture.source.connections[0]->send(members.substr(offset, 7));
    const double sent_at = Scheduler::now();
    fixture.wait_until([&] { return answer_all(), Scheduler::now() > sent_at; });
  }
  fixture.wait_until([&] { return answer_all(), fixture.subscription->last() == 5; });
  CHECK(fixture.receiver.numbers == std::vector<long long>{1, 2, 3, 4, 5});
  fixture.source.connections[0]->send("this is no gzip member");
  fixture.wait_until([&] { return fixture.source.has_connections(2); });
}

TEST_CASE("subscription: a restarted source is followed only with restarts_followed") {
  const std::string list_event = "data: {\"seq\":1,\"fleet\":{\"full\":true,\"servers\":[]}}\n\n";
  for (const bool followed : {false, true}) {
    SubscriptionFixture fixture(15, {.restarts_followed = followed});
    fixture.send(0, 1, 3);
    fixture.wait_until([&] { return fixture.receiver.pending.size() == 1; });
    fixture.receiver.answer(true);
    fixture.wait_until([&] { return fixture.subscription->last() == 3; });
    fixture.source.connections[0]->reset();
    fixture.wait_until([&] { return fixture.source.has_received("Last-Event-ID: 3", 1); });
    fixture.source.connections[1]->send("HTTP/1.1 200 OK\r\n\r\n" + list_event +
                                        SubscriptionFixture::events(2, 2));
    fixture.wait_until([&] { return fixture.receiver.pending.size() == 1; });
    fixture.receiver.answer(true);
    CHECK(fixture.receiver.numbers ==
          (followed ? std::vector<long long>{1, 2, 3, 1, 2} : std::vector<long long>{1, 2, 3}));
    fixture.wait_until([&] { return fixture.subscription->last() == (followed ? 2 : 3); });
  }
}

TEST_CASE("gzip: the decoder ends at data that is not gzip or that decodes to more than is accepted") {
  const auto take_all = [](std::string_view) { return true; };
  CHECK_FALSE(protocol::GzipDecoder().decode("plain words", take_all));
  std::size_t accepted_bytes = 0;
  const std::string compressed = protocol::gzip(std::string(10'000'000, 'x'));
  CHECK_FALSE(protocol::GzipDecoder().decode(compressed, [&](std::string_view piece) {
    accepted_bytes += piece.size();
    return accepted_bytes < 100'000;
  }));
  CHECK(accepted_bytes < 120'000);
}
