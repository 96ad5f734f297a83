// Buffers, the scheduler, timers, mailboxes and sockets.
#include <unistd.h>

#include <stdexcept>

#include "base/log.hpp"
#include "helpers.hpp"
#include "transport/buffer.hpp"
#include "transport/clock.hpp"
#include "transport/mailbox.hpp"

using namespace hareramp;
using namespace hareramp::transport;

TEST_CASE("a buffer keeps its bytes while it grows and is compacted") {
  Buffer buffer(64);
  std::string expected;
  std::size_t taken = 0;
  for (std::size_t round = 0; round < 500; ++round) {
    const std::string piece(round % 37 + 1, static_cast<char>('a' + round % 26));
    const auto room = buffer.prepare(piece.size());
    REQUIRE(room.size() >= piece.size());
    std::copy(piece.begin(), piece.end(), room.begin());
    buffer.commit(piece.size());
    expected += piece;
    const std::size_t use = round % 23;
    taken += std::min(use, buffer.size());
    buffer.consume(use);
    REQUIRE(buffer.view() == std::string_view(expected).substr(taken));
  }
  CHECK(buffer.capacity() > 64);
  buffer.consume(buffer.size());
  CHECK(buffer.capacity() == 0);  // a large one is given back
  buffer.prepare(10);
  CHECK(buffer.capacity() <= 64);
}

TEST_CASE("timers fire in order of time, cancelled ones never") {
  Scheduler scheduler;
  std::string trace;
  const Seconds now = Scheduler::now();
  scheduler.at(now + 0.02, [&] { trace += "third "; });
  scheduler.at(now - 5, [&] { trace += "first "; });
  const auto gone = scheduler.at(now + 0.01, [&] { trace += "never "; });
  scheduler.at(now + 0.005, [&] {
    trace += "second ";
    scheduler.cancel(gone);
  });
  scheduler.run();  // ends by itself: nothing is left to happen
  CHECK(trace == "first second third ");
}

namespace {
Task<int> half(int value) {
  if (value < 0) throw std::runtime_error("negative");
  co_return value / 2;
}
Task<> add(std::string& trace, int value) {
  try {
    trace += std::to_string(co_await half(value)) + " ";
  } catch (const std::runtime_error& error) {
    trace += std::string(error.what()) + " ";
  }
}
Task<> fail() { co_await half(-1); }
}  // namespace

TEST_CASE("tasks pass on results and exceptions; what a spawned one throws is told") {
  Scheduler scheduler;
  std::string trace;
  scheduler.on_failure = [&](std::exception_ptr) { trace += "told "; };
  scheduler.spawn(add(trace, 8));
  scheduler.spawn(add(trace, -8));
  scheduler.spawn(fail());
  scheduler.run();
  CHECK(trace == "4 negative told ");
}

TEST_CASE("a mailbox runs nothing at once, keeps order, and ends when closed") {
  Scheduler scheduler;
  Mailbox mailbox(scheduler);
  std::string trace;
  mailbox.post([&] {
    trace += "one ";
    mailbox.post([&] { trace += "posted from one "; });
    trace += "still one ";
  });
  mailbox.post([&trace, owned = std::make_unique<int>(2)] { trace += std::to_string(*owned) + " "; });
  CHECK(trace.empty());
  scheduler.spawn(mailbox.serve());
  scheduler.run();
  CHECK(trace == "one still one 2 posted from one ");
  mailbox.post([&] { trace += "last "; });
  mailbox.close();
  mailbox.post([&] { trace += "too late "; });
  scheduler.run();
  CHECK(trace == "one still one 2 posted from one last ");
}

TEST_CASE("what fails in one actor's call is told, and its next calls and all others go on") {
  Scheduler scheduler;
  Mailbox one(scheduler), two(scheduler);
  std::string trace;
  scheduler.on_failure = [&](std::exception_ptr) { trace += "told "; };
  scheduler.spawn(one.serve());
  scheduler.spawn(two.serve());
  one.post([] { throw std::bad_alloc(); });
  one.post([&] { trace += "one "; });
  two.post([&] { trace += "two "; });
  scheduler.at(Scheduler::now(), [] { throw std::runtime_error("in a timer"); });
  scheduler.at(Scheduler::now() + 0.001, [&] { trace += "timer "; });
  scheduler.run();
  CHECK(trace == "told one two told timer ");
}

TEST_CASE("a scheduler that goes takes with it what still waits") {
  StandInServer* never = nullptr;
  {
    Scheduler scheduler;
    StandInServer server(scheduler);
    const auto client = dial(scheduler, server.address);
    Mailbox mailbox(scheduler);
    scheduler.spawn(mailbox.serve());
    scheduler.at(Scheduler::now() + 1000, [&] { never = &server; });
    REQUIRE(run_until(scheduler, [&] { return server.has_connections(1); }));
  }
  CHECK(never == nullptr);
}

TEST_CASE("sockets: bytes, ends, refusals, time-outs") {
  Scheduler scheduler;
  StandInServer server(scheduler), deaf(scheduler, false);
  const auto client = dial(scheduler, server.address);
  client->send("hello");
  REQUIRE(run_until(scheduler, [&] { return server.heard() == "hello"; }));
  server.connections[0]->send("bye");
  server.connections[0]->close();
  REQUIRE(run_until(scheduler, [&] { return client->ended; }));
  CHECK(client->heard == "bye");

  std::string trace;
  const auto try_out = [](Scheduler& s, Address refusing, Address full, std::string& told) -> Task<> {
    auto connected = co_await connect(s, refusing, Scheduler::now() + 5);
    told += connected.status == ConnectStatus::kRefused ? "refused " : "? ";
    connected = co_await connect(s, full, Scheduler::now() + 5);
    const IoResult io = co_await connected.socket.write(std::string(64 << 20, 'x'), Scheduler::now() + 0.05);
    told += io.status == IoStatus::kTimedOut && io.bytes > 0 && io.bytes < (64u << 20) ? "stuck " : "? ";
    Buffer in(16);
    const IoResult silent = co_await connected.socket.read(in, 16, Scheduler::now() + 0.01);
    told += silent.status == IoStatus::kTimedOut ? "silent " : "? ";
    connected.socket.close();
    told += (co_await connected.socket.read(in, 16, kNever)).status == IoStatus::kClosed ? "closed" : "?";
  };
  scheduler.spawn(try_out(scheduler, unused_address(scheduler), deaf.address, trace));
  REQUIRE(run_until(scheduler, [&] { return trace.ends_with("closed") || trace.find('?') != trace.npos; }));
  CHECK(trace == "refused stuck silent closed");
}

TEST_CASE(
    "after a turn that took long, what came meanwhile is heard before any time-out, and the pause is told") {
  Scheduler scheduler;
  StandInServer server(scheduler);
  std::string trace;
  Seconds told = 0;
  scheduler.on_late = [&](Seconds until) { told = until; };
  const auto hear = [](Scheduler& s, Address at, std::string& said) -> Task<> {
    auto connected = co_await connect(s, at, Scheduler::now() + 5);
    Buffer in(16);
    const IoResult io = co_await connected.socket.read(in, 16, Scheduler::now() + 0.1);
    said = io.ok() ? std::string(in.view()) + (s.lateness() >= 0.25 ? ", late" : "") : "timed out";
  };
  scheduler.spawn(hear(scheduler, server.address, trace));
  // As if the process were stopped here, past the time-out, with bytes on their way.
  const auto stand_still = [](Scheduler& s, StandInServer& from) -> Task<> {
    while (!from.has_connections(1)) co_await s.sleep_until(Scheduler::now() + 0.001);
    s.at(Scheduler::now() + 0.01, [&from] {
      from.connections[0]->send("news");
      usleep(500000);
    });
  };
  scheduler.spawn(stand_still(scheduler, server));
  REQUIRE(run_until(scheduler, [&] { return !trace.empty(); }));
  CHECK(trace == "news, late");
  CHECK(told > 0);
  const Seconds calm = Scheduler::now() + 0.1;
  REQUIRE(run_until(scheduler, [&] { return Scheduler::now() > calm; }));
  CHECK(scheduler.lateness() == 0);
}

TEST_CASE("a log that nobody reads loses lines, and says so once it is read again") {
  int ends[2];
  REQUIRE(pipe(ends) == 0);
  Log log(ends[1]);
  const std::string words(1000, 'w');
  for (int i = 0; i < 1000; ++i) log.info("test", "{}", words);  // far more than a pipe holds
  std::string text(1 << 20, ' ');
  const auto read_all = [&] {
    const ssize_t count = ::read(ends[0], text.data(), text.size());
    return text.substr(0, static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
  };
  CHECK(read_all().size() < 100000);
  log.info("test", "again");
  const std::string later = read_all();
  CHECK(later.find("Z again\n") != std::string::npos);
  CHECK(later.ends_with(" lines of the log are lost\n"));
  ::close(ends[0]), ::close(ends[1]);
}

TEST_CASE("addresses") {
  CHECK(Address::parse("127.8.1.2:5050")->text() == "127.8.1.2:5050");
  CHECK(Address::parse("[2001:db8::7]:443")->text() == "[2001:db8::7]:443");
  CHECK(Address::parse("[::1]:1") == Address::parse("[0:0:0:0:0:0:0:1]:1"));
  CHECK_FALSE(*Address::parse("[::1]:1") == *Address::parse("127.0.0.1:1"));
  for (const char* bad : {"[::1]", "[::1:80", "::1:80", "[127.0.0.1]:80", "[]:80", "[::1]:"})
    CHECK_FALSE(Address::parse(bad));
  for (const char* bad : {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:x", "127.0.0.1:99999", "host:80", ":80"})
    CHECK_FALSE(Address::parse(bad));
}

TEST_CASE("the director's clock follows the steady one") {
  const Clock clock;
  const Seconds before = Scheduler::now();
  CHECK(clock.to_scheduler(clock.from_scheduler(before)) == doctest::Approx(before));
  CHECK(clock.now() >= clock.from_scheduler(before));
}

TEST_CASE("IPv6: a connection and datagrams, and a refusal is told") {
  Scheduler scheduler;
  Listener listener(scheduler, *Address::parse("[::1]:0"), 8);
  std::string trace;
  const auto talk = [](Scheduler& s, Listener& l, std::string& told) -> Task<> {
    auto connected = co_await connect(s, l.address(), Scheduler::now() + 5);
    auto accepted = co_await l.accept();
    told += connected.status == ConnectStatus::kConnected && accepted.status == Listener::Status::kAccepted
                ? "up "
                : "? ";
    connected.socket.write_now("over six");
    Buffer in(0);
    co_await accepted.socket.read(in, 64, Scheduler::now() + 5);
    told += std::string(in.view()) + "; ";
    auto collector = DatagramSocket::bound_to(s, *Address::parse("[::1]:0"));
    auto exporter = DatagramSocket::connected_to(s, collector.address());
    told += exporter.send_now("one") == DatagramSocket::SendStatus::kSent ? "sent " : "? ";
    told += exporter.send_now(std::string(70000, 'x')) == DatagramSocket::SendStatus::kTooLong ? "too long "
                                                                                               : "? ";
    std::string room(64, ' ');
    const auto got = co_await collector.receive(room, Scheduler::now() + 5);
    told += room.substr(0, got.bytes) + " from " + (got.from == exporter.address() ? "it" : "another");
    collector.close();
    auto sent = exporter.send_now("two");
    for (int i = 0; i < 100 && sent == DatagramSocket::SendStatus::kSent; ++i) {
      co_await s.sleep_until(Scheduler::now() + 0.001);
      sent = exporter.send_now("three");
    }
    told += sent == DatagramSocket::SendStatus::kRefused ? " refused" : " ?";
    l.close();
    s.stop();
  };
  scheduler.spawn(talk(scheduler, listener, trace));
  scheduler.run();
  CHECK(trace == "up over six; sent too long one from it refused");
}

TEST_CASE("the log as JSON lines, its levels, and what a reader that stopped has lost") {
  int ends[2];
  REQUIRE(pipe(ends) == 0);
  Log log(ends[1]);
  const auto read_all = [&] {
    std::string text(1 << 20, ' ');
    const ssize_t count = ::read(ends[0], text.data(), text.size());
    return text.substr(0, static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
  };
  log.configure(LogFormat::kJson, LogLevel::kWarning);
  log.info("unseen", "not written");
  log.event(LogLevel::kWarning, "collector_lost", "a \"quoted\" name\n",
            {{"waiting", std::uint64_t{7}}, {"name", "c1"}});
  const std::string line = read_all();
  CHECK(line.starts_with("{\"time\":\"20"));
  CHECK(line.ends_with(
      "Z\",\"level\":\"warning\",\"event\":\"collector_lost\",\"words\":\"a \\\"quoted\\\" name\\n\","
      "\"waiting\":7,\"name\":\"c1\"}\n"));
  for (int i = 0; i < 1000; ++i) log.warning("flood", "{}", std::string(1000, 'w'));
  read_all();
  log.warning("again", "again");
  CHECK(read_all().find("\"event\":\"log_lost\"") != std::string::npos);
  ::close(ends[0]), ::close(ends[1]);
}
