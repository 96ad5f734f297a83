// Buffers, the scheduler, timers, mailboxes, sockets and the log.
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
  std::size_t consumed = 0;
  for (std::size_t round = 0; round < 500; ++round) {
    const std::string chunk(round % 37 + 1, static_cast<char>('a' + round % 26));
    const auto space = buffer.prepare(chunk.size());
    REQUIRE(space.size() >= chunk.size());
    std::copy(chunk.begin(), chunk.end(), space.begin());
    buffer.commit(chunk.size());
    expected += chunk;
    const std::size_t count = round % 23;
    consumed += std::min(count, buffer.size());
    buffer.consume(count);
    REQUIRE(buffer.view() == std::string_view(expected).substr(consumed));
  }
  CHECK(buffer.capacity() > 64);
  buffer.consume(buffer.size());
  CHECK(buffer.capacity() == 0);  // the memory of a large empty buffer is freed
  buffer.prepare(10);
  CHECK(buffer.capacity() <= 64);
}

TEST_CASE("timers fire in order of time, and cancelled ones never do") {
  Scheduler scheduler;
  std::string trace;
  const Seconds now = Scheduler::now();
  scheduler.at(now + 0.02, [&] { trace += "third "; });
  scheduler.at(now - 5, [&] { trace += "first "; });
  const auto cancelled = scheduler.at(now + 0.01, [&] { trace += "never "; });
  scheduler.at(now + 0.005, [&] {
    trace += "second ";
    scheduler.cancel(cancelled);
  });
  scheduler.run();  // returns: no timer or coroutine is left
  CHECK(trace == "first second third ");
}

namespace {
Task<int> half(int value) {
  if (value < 0) throw std::runtime_error("negative");
  co_return value / 2;
}
Task<> append_half(std::string& trace, int value) {
  try {
    trace += std::to_string(co_await half(value)) + " ";
  } catch (const std::runtime_error& error) {
    trace += std::string(error.what()) + " ";
  }
}
Task<> fail() { co_await half(-1); }
}  // namespace

TEST_CASE("tasks pass on results and exceptions; an exception of a spawned task is reported") {
  Scheduler scheduler;
  std::string trace;
  scheduler.on_failure = [&](std::exception_ptr) { trace += "reported "; };
  scheduler.spawn(append_half(trace, 8));
  scheduler.spawn(append_half(trace, -8));
  scheduler.spawn(fail());
  scheduler.run();
  CHECK(trace == "4 negative reported ");
}

TEST_CASE("a mailbox defers its callbacks, keeps their order and ends when closed") {
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
  mailbox.post([&] { trace += "after close "; });
  scheduler.run();
  CHECK(trace == "one still one 2 posted from one last ");
}

TEST_CASE("an exception in one actor's callback is reported; its later callbacks and other actors continue") {
  Scheduler scheduler;
  Mailbox first(scheduler), second(scheduler);
  std::string trace;
  scheduler.on_failure = [&](std::exception_ptr) { trace += "reported "; };
  scheduler.spawn(first.serve());
  scheduler.spawn(second.serve());
  first.post([] { throw std::bad_alloc(); });
  first.post([&] { trace += "one "; });
  second.post([&] { trace += "two "; });
  scheduler.at(Scheduler::now(), [] { throw std::runtime_error("in a timer"); });
  scheduler.at(Scheduler::now() + 0.001, [&] { trace += "timer "; });
  scheduler.run();
  CHECK(trace == "reported one two reported timer ");
}

TEST_CASE("destroying a scheduler destroys waiting coroutines and timers") {
  StandInServer* set_by_timer = nullptr;
  {
    Scheduler scheduler;
    StandInServer server(scheduler);
    const auto client = dial(scheduler, server.address);
    Mailbox mailbox(scheduler);
    scheduler.spawn(mailbox.serve());
    scheduler.at(Scheduler::now() + 1000, [&] { set_by_timer = &server; });
    REQUIRE(run_until(scheduler, [&] { return server.has_connections(1); }));
  }
  CHECK(set_by_timer == nullptr);
}

TEST_CASE("sockets: data, end of stream, refused connections, timeouts") {
  Scheduler scheduler;
  StandInServer server(scheduler), non_reading(scheduler, false);
  const auto client = dial(scheduler, server.address);
  client->send("hello");
  REQUIRE(run_until(scheduler, [&] { return server.received() == "hello"; }));
  server.connections[0]->send("bye");
  server.connections[0]->close();
  REQUIRE(run_until(scheduler, [&] { return client->ended; }));
  CHECK(client->received == "bye");

  std::string trace;
  const auto check_failures = [](Scheduler& s, Address refusing, Address full,
                                 std::string& results) -> Task<> {
    auto connected = co_await connect(s, refusing, Scheduler::now() + 5);
    results += connected.status == ConnectStatus::kRefused ? "refused " : "? ";
    connected = co_await connect(s, full, Scheduler::now() + 5);
    const IoResult io = co_await connected.socket.write(std::string(64 << 20, 'x'), Scheduler::now() + 0.05);
    results += io.status == IoStatus::kTimedOut && io.bytes > 0 && io.bytes < (64u << 20) ? "stuck " : "? ";
    Buffer input(16);
    const IoResult idle_read = co_await connected.socket.read(input, 16, Scheduler::now() + 0.01);
    results += idle_read.status == IoStatus::kTimedOut ? "silent " : "? ";
    connected.socket.close();
    results +=
        (co_await connected.socket.read(input, 16, kNever)).status == IoStatus::kClosed ? "closed" : "?";
  };
  scheduler.spawn(check_failures(scheduler, unused_address(scheduler), non_reading.address, trace));
  REQUIRE(run_until(scheduler, [&] { return trace.ends_with("closed") || trace.find('?') != trace.npos; }));
  CHECK(trace == "refused stuck silent closed");
}

TEST_CASE(
    "after a long turn, data that arrived meanwhile is read before any timeout, and on_late is called") {
  Scheduler scheduler;
  StandInServer server(scheduler);
  std::string trace;
  Seconds late_until = 0;
  scheduler.on_late = [&](Seconds until) { late_until = until; };
  const auto receive = [](Scheduler& s, Address server_address, std::string& result) -> Task<> {
    auto connected = co_await connect(s, server_address, Scheduler::now() + 5);
    Buffer input(16);
    const IoResult io = co_await connected.socket.read(input, 16, Scheduler::now() + 0.1);
    result = io.ok() ? std::string(input.view()) + (s.lateness() >= 0.25 ? ", late" : "") : "timed out";
  };
  scheduler.spawn(receive(scheduler, server.address, trace));
  // Blocks the loop for longer than the read's timeout, with data on its way, as if the process were stopped.
  const auto block_loop = [](Scheduler& s, StandInServer& sender) -> Task<> {
    while (!sender.has_connections(1)) co_await s.sleep_until(Scheduler::now() + 0.001);
    s.at(Scheduler::now() + 0.01, [&sender] {
      sender.connections[0]->send("data");
      usleep(500000);
    });
  };
  scheduler.spawn(block_loop(scheduler, server));
  REQUIRE(run_until(scheduler, [&] { return !trace.empty(); }));
  CHECK(trace == "data, late");
  CHECK(late_until > 0);
  const Seconds later = Scheduler::now() + 0.1;
  REQUIRE(run_until(scheduler, [&] { return Scheduler::now() > later; }));
  CHECK(scheduler.lateness() == 0);
}

TEST_CASE("a log whose reader stalls loses lines, and reports their number once it is read again") {
  int pipe_ends[2];
  REQUIRE(pipe(pipe_ends) == 0);
  Log log(pipe_ends[1]);
  const std::string message(1000, 'w');
  for (int i = 0; i < 1000; ++i) log.info("test", "{}", message);  // far more than the pipe's buffer holds
  std::string text(1 << 20, ' ');
  const auto read_all = [&] {
    const ssize_t count = ::read(pipe_ends[0], text.data(), text.size());
    return text.substr(0, static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
  };
  CHECK(read_all().size() < 100000);
  log.info("test", "again");
  const std::string later = read_all();
  CHECK(later.find("Z again\n") != std::string::npos);
  CHECK(later.ends_with(" log lines were lost\n"));
  ::close(pipe_ends[0]), ::close(pipe_ends[1]);
}

TEST_CASE("addresses: parsing and comparison") {
  CHECK(Address::parse("127.8.1.2:5050")->text() == "127.8.1.2:5050");
  CHECK(Address::parse("[2001:db8::7]:443")->text() == "[2001:db8::7]:443");
  CHECK(Address::parse("[::1]:1") == Address::parse("[0:0:0:0:0:0:0:1]:1"));
  CHECK_FALSE(*Address::parse("[::1]:1") == *Address::parse("127.0.0.1:1"));
  for (const char* malformed : {"[::1]", "[::1:80", "::1:80", "[127.0.0.1]:80", "[]:80", "[::1]:"})
    CHECK_FALSE(Address::parse(malformed));
  for (const char* malformed :
       {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:x", "127.0.0.1:99999", "host:80", ":80"})
    CHECK_FALSE(Address::parse(malformed));
}

TEST_CASE("the director's clock converts to and from the scheduler's time") {
  const Clock clock;
  const Seconds before = Scheduler::now();
  CHECK(clock.to_scheduler(clock.from_scheduler(before)) == doctest::Approx(before));
  CHECK(clock.now() >= clock.from_scheduler(before));
}

TEST_CASE("IPv6: a connection and datagrams, and a refused datagram is reported") {
  Scheduler scheduler;
  Listener listener(scheduler, *Address::parse("[::1]:0"), 8);
  std::string trace;
  const auto exchange = [](Scheduler& s, Listener& l, std::string& results) -> Task<> {
    auto connected = co_await connect(s, l.address(), Scheduler::now() + 5);
    auto accepted = co_await l.accept();
    results += connected.status == ConnectStatus::kConnected && accepted.status == Listener::Status::kAccepted
                   ? "up "
                   : "? ";
    connected.socket.write_now("over six");
    Buffer input(0);
    co_await accepted.socket.read(input, 64, Scheduler::now() + 5);
    results += std::string(input.view()) + "; ";
    auto collector = DatagramSocket::bound_to(s, *Address::parse("[::1]:0"));
    auto exporter = DatagramSocket::connected_to(s, collector.address());
    results += exporter.send_now("one") == DatagramSocket::SendStatus::kSent ? "sent " : "? ";
    results += exporter.send_now(std::string(70000, 'x')) == DatagramSocket::SendStatus::kTooLong
                   ? "too long "
                   : "? ";
    std::string data(64, ' ');
    const auto received = co_await collector.receive(data, Scheduler::now() + 5);
    results +=
        data.substr(0, received.bytes) + " from " + (received.from == exporter.address() ? "it" : "another");
    collector.close();
    auto sent = exporter.send_now("two");
    for (int i = 0; i < 100 && sent == DatagramSocket::SendStatus::kSent; ++i) {
      co_await s.sleep_until(Scheduler::now() + 0.001);
      sent = exporter.send_now("three");
    }
    results += sent == DatagramSocket::SendStatus::kRefused ? " refused" : " ?";
    l.close();
    s.stop();
  };
  scheduler.spawn(exchange(scheduler, listener, trace));
  scheduler.run();
  CHECK(trace == "up over six; sent too long one from it refused");
}

TEST_CASE("the log as JSON lines: its levels, its escaping and the count of lost lines") {
  int pipe_ends[2];
  REQUIRE(pipe(pipe_ends) == 0);
  Log log(pipe_ends[1]);
  const auto read_all = [&] {
    std::string text(1 << 20, ' ');
    const ssize_t count = ::read(pipe_ends[0], text.data(), text.size());
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
  ::close(pipe_ends[0]), ::close(pipe_ends[1]);
}

TEST_CASE("a peer that sends at full speed does not hold up the other coroutines") {
  Scheduler scheduler;
  Listener listener(scheduler, *Address::parse("127.0.0.1:0"), 4);
  int turns = 0, reads = 0, most_reads_in_a_turn = 0;
  const auto send = [](Scheduler& loop, Address to) -> Task<> {
    auto connected = co_await connect(loop, to, Scheduler::now() + 5);
    CHECK(connected.socket.write_now(std::string(64 << 10, 'x')).ok());
    co_await loop.sleep_until(Scheduler::now() + 0.05);
  };
  const auto read = [&](Listener& from) -> Task<> {
    auto accepted = co_await from.accept();
    co_await scheduler.sleep_until(Scheduler::now() + 0.02);
    Buffer buffer(1 << 10);
    for (int last_turn = -1, in_turn = 0; (co_await accepted.socket.read(buffer, 1 << 10, kNever)).ok();) {
      buffer.consume(buffer.size());
      in_turn = turns == last_turn ? in_turn + 1 : 1;
      last_turn = turns;
      most_reads_in_a_turn = std::max(most_reads_in_a_turn, in_turn);
      ++reads;
    }
    scheduler.stop();
  };
  const auto count_turns = [&]() -> Task<> {
    for (;; ++turns) co_await scheduler.next_turn();
  };
  scheduler.spawn(send(scheduler, listener.address()));
  scheduler.spawn(read(listener));
  scheduler.spawn(count_turns());
  scheduler.run();
  CHECK(reads >= 60);
  CHECK(most_reads_in_a_turn <= 17);
}
