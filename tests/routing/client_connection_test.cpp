// How a client's connection ends: the client closes or resets it, or the director has to close it.
#include "routing/client_connection.hpp"

#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdlib>
#include <list>
#include <new>
#include <optional>

#include "helpers.hpp"
#include "routing/endless_input.hpp"
#include "routing/test_director.hpp"

using namespace hareramp;
using namespace hareramp::routing;
using transport::Scheduler;

namespace {

// The next accepts_to_fail calls of accept4 fail with accept_error.
int accepts_to_fail = 0, accept_error = 0, accepts_failed = 0;

class FailingAccepts {
 public:
  FailingAccepts(int count, int error) {
    accepts_to_fail = count;
    accept_error = error;
    accepts_failed = 0;
  }
  ~FailingAccepts() { accepts_to_fail = 0; }
  FailingAccepts(const FailingAccepts&) = delete;
  FailingAccepts& operator=(const FailingAccepts&) = delete;
};

// While a FailingAllocations exists, allocations of min_size to max_size bytes fail.
std::size_t failing_min_size = 1, failing_max_size = 0;

class FailingAllocations {
 public:
  FailingAllocations(std::size_t min_size, std::size_t max_size) {
    failing_min_size = min_size;
    failing_max_size = max_size;
  }
  ~FailingAllocations() {
    failing_min_size = 1;
    failing_max_size = 0;
  }
  FailingAllocations(const FailingAllocations&) = delete;
  FailingAllocations& operator=(const FailingAllocations&) = delete;
};

}  // namespace

extern "C" int accept4(int descriptor, sockaddr* address, socklen_t* size, int flags) {
  if (accepts_to_fail > 0) {
    --accepts_to_fail;
    ++accepts_failed;
    errno = accept_error;
    return -1;
  }
  return static_cast<int>(syscall(SYS_accept4, descriptor, address, size, flags));
}

[[gnu::noinline]] void* operator new(std::size_t size) {
  if (size >= failing_min_size && size <= failing_max_size) throw std::bad_alloc();
  void* const memory = std::malloc(std::max<std::size_t>(size, 1));
  if (!memory) throw std::bad_alloc();
  return memory;
}
[[gnu::noinline]] void* operator new[](std::size_t size) { return ::operator new(size); }
[[gnu::noinline]] void operator delete[](void* memory) noexcept { std::free(memory); }
[[gnu::noinline]] void operator delete[](void* memory, std::size_t) noexcept { std::free(memory); }
[[gnu::noinline]] void operator delete(void* memory) noexcept { std::free(memory); }
[[gnu::noinline]] void operator delete(void* memory, std::size_t) noexcept { std::free(memory); }

namespace {

// How much a client pipelines behind its open request. Its close cannot be read while that request is open.
const std::size_t kPipelinedKb[] = {0, 40, 120, 200};

}  // namespace

TEST_CASE("a disconnected client: no attempt begins after the close, whatever was sent before it") {
  for (const std::size_t kilobytes : kPipelinedKb) {
    for (const ClientEnd client_end : kClientEnds) {
      CAPTURE(kilobytes);
      CAPTURE(static_cast<int>(client_end));
      TestDirector director;
      PlainClient client(director.listener->address());
      client.send(get(kId1));
      director.wait_for_attempts(kId1, 1);
      client.send(pipelined(kilobytes << 10));
      director.end_connection(client, client_end);
      // The failed answer reaches the director after the close, and would cause a retry.
      director.nodes_answer(kId1, kAbsent);
      director.wait_for_disconnect();
      director.check_cancelled();
    }
  }
}

TEST_CASE("a client that disconnects while its attempt waits for a connection") {
  for (const ClientEnd client_end : kClientEnds) {
    CAPTURE(static_cast<int>(client_end));
    TestDirector director;
    // The only place in the listen queue is taken, so that no further connection comes up.
    transport::Listener full(director.scheduler, *transport::Address::parse("127.0.0.1:0"), 0);
    const auto first = dial(director.scheduler, full.address());
    director.list_nodes(full.address());
    PlainClient client(director.listener->address()), other(director.listener->address());
    client.send(get(kId1));
    director.wait_until([&] { return director.counters.attempts == 1; });
    client.send(pipelined(40 << 10));
    director.end_connection(client, client_end);
    other.send(get(kId2));
    director.wait_for_attempts(kId2, 1);  // on another node, once the connection has failed
    CHECK(director.attempts_received(kId1) == director.attempts_at_end - 1);
    CHECK(director.counters.left == 1);
  }
}

TEST_CASE("a client that disconnects before its attempt counts as late: no second attempt begins") {
  for (const ClientEnd client_end : kClientEnds) {
    CAPTURE(static_cast<int>(client_end));
    TestDirector director;
    PlainClient client(director.listener->address()), other(director.listener->address());
    client.send(get(kId1));
    director.wait_for_attempts(kId1, 1);
    client.send(pipelined(40 << 10));
    director.end_connection(client, client_end);
    other.send(get(kId2));
    director.wait_for_attempts(kId2, 2);  // of the same request class, and begun later
    CHECK(director.attempts_received(kId1) == director.attempts_at_end);
    CHECK(director.counters.left == 1);
  }
}

TEST_CASE("a client that disconnects in the pause between two attempts") {
  for (const ClientEnd client_end : kClientEnds) {
    CAPTURE(static_cast<int>(client_end));
    TestDirector director;
    PlainClient client(director.listener->address()), other(director.listener->address());
    client.send(put(kId1));
    other.send(put(kId2));
    director.wait_for_attempts(kId1, 1);
    director.wait_for_attempts(kId2, 1);
    director.nodes_answer(kId1, "AGAIN - 0\r\n");
    director.wait_until([&] { return director.counters.ended_turned_away == 1; });
    client.send(pipelined(40 << 10));
    director.end_connection(client, client_end);
    director.wait_until(
        [&] { return director.counters.left == 1 || director.counters.attempts > director.attempts_at_end; });
    director.nodes_answer(kId2, "AGAIN - 0\r\n");
    director.wait_for_attempts(kId2, 2);
    CHECK(director.attempts_received(kId1) == director.attempts_at_end - 1);
  }
}

TEST_CASE(
    "a client that disconnects while the process is suspended: what arrived meanwhile begins no attempt") {
  for (const ClientEnd client_end : kClientEnds) {
    CAPTURE(static_cast<int>(client_end));
    TestDirector director;
    PlainClient client(director.listener->address());
    client.send(get(kId1));
    director.wait_for_attempts(kId1, 1);
    client.send(pipelined(40 << 10));
    bool has_ended = false;
    director.scheduler.at(Scheduler::now(), [&] {
      has_ended = true;
      director.nodes_answer(kId1, kAbsent);
      director.end_connection(client, client_end);
      usleep(400000);  // as if the process were suspended, for longer than makes a turn late
    });
    director.wait_until([&] { return has_ended; });
    director.wait_for_disconnect();
    CHECK(director.counters.late_turns > 0);
    director.check_cancelled();
  }
}

TEST_CASE("a request read after its client has closed is not started") {
  for (const ClientEnd client_end : kClientEnds) {
    CAPTURE(static_cast<int>(client_end));
    TestDirector director([](Limits& limits) { limits.max_clients = 1; });
    PlainClient first(director.listener->address()), second(director.listener->address());
    first.send(get(kId1));
    director.wait_for_attempts(kId1, 1);
    second.send(get(kId2));  // already accepted, and held until there is room
    director.wait_until([&] { return director.counters.accept_paused > 0; });
    end_client(second, client_end);
    director.nodes_answer(kId1, "ACK - 0\r\n");
    director.wait_until([&] { return director.counters.completed == 1; });
    first.close();
    director.wait_until([&] { return director.counters.clients_closed == 2; });
    CHECK(director.attempts_received(kId2) == 0);
    CHECK(director.counters.taken == 1);
  }
}

TEST_CASE("a client that disconnects while its failed attempt waits in the mailbox: the retry is not sent") {
  for (const ClientEnd client_end : kClientEnds) {
    CAPTURE(static_cast<int>(client_end));
    TestDirector director;
    PlainClient client(director.listener->address()), other(director.listener->address());
    // Another request takes the same way before: the connection for the retry is then up and idle.
    other.send(get(kId2));
    director.wait_for_attempts(kId2, 1);
    director.nodes_answer(kId2, kAbsent);
    director.wait_for_attempts(kId2, 2);
    director.nodes_answer(kId2, "ACK - 0\r\n");
    director.wait_until([&] { return director.counters.completed == 1; });
    client.send(get(kId1));
    director.wait_for_attempts(kId1, 1);
    director.actor->woke_late(Scheduler::now() + 0.3);  // requests and ends of attempts are held from now on
    director.nodes_answer(kId1, "NOENT why=absent 3\r\nabc");
    director.wait_until([&] { return director.counters.bytes_filled > 0; });
    const std::size_t attempts_before = director.attempts_received(kId1);
    director.end_connection(client, client_end);
    director.wait_until([&] { return director.counters.left == 1; });
    other.send(get(kId3));
    director.wait_for_attempts(kId3, 1);
    CHECK(director.attempts_received(kId1) == attempts_before);
  }
}

// --- connections that the director closes ---

namespace {

// The client received this status and then the end of the stream, not a reset.
void check_answered_and_ended(TestDirector& director, PlainClient& client, const std::string& status) {
  director.wait_until([&] { return client.ended() || client.was_reset(); });
  CHECK(client.received().starts_with("HTTP/1.1 " + status));
  CHECK_FALSE(client.was_reset());
}

}  // namespace

TEST_CASE("a partly read request is answered before its connection is closed") {
  struct Path {
    const char* name;
    const char* status;
    std::function<void(Limits&)> adjust_limits;
    std::function<void(TestDirector&)> close;
  };
  std::optional<PlainClient> other;
  const Path paths[] = {
      {"timeout", "408", [](Limits& limits) { limits.request_read_timeout = 0.05; }, [](TestDirector&) {}},
      {"room for another client", "503",
       [](Limits& limits) {
         limits.max_clients = 1;
         limits.first_request_grace = 0;
       },
       [&](TestDirector& director) { other.emplace(director.listener->address()); }},
      {"the end of a drain", "503", [](Limits&) {},
       [](TestDirector& director) { director.listener->close(); }},
  };
  for (const Path& path : paths) {
    CAPTURE(path.name);
    TestDirector director(path.adjust_limits);
    PlainClient client(director.listener->address());
    client.send("GET /_health HTTP/1.1\r\n");
    director.wait_until([&] { return director.listener->clients() == 1; });
    const Seconds read_by = Scheduler::now() + 0.01;
    director.wait_until([&] { return Scheduler::now() > read_by; });
    path.close(director);
    check_answered_and_ended(director, client, path.status);
    other.reset();
  }
}

TEST_CASE("a request whose bytes never end is refused in time, and other clients are answered meanwhile") {
  TestDirector director([](Limits& limits) { limits.request_read_timeout = 0.8; });
  PlainClient client(director.listener->address());
  director.wait_until([&] { return director.listener->clients() == 1; });
  const EndlessInput endless_input(
      client.local_port(),
      "PUT /invoke/write/8/block-0 HTTP/1.1\r\nHost: s\r\nTransfer-Encoding: chunked\r\n\r\n",
      "1;" + std::string(15000, 'e') + "\r\nb\r\n");
  client.send("P");  // wakes the director
  PlainClient other(director.listener->address());
  other.send("GET /_health HTTP/1.1\r\nHost: s\r\n\r\n");
  director.wait_until([&] { return !other.received().empty(); });
  CHECK(director.counters.clients_bad == 0);
  director.wait_until([&] { return director.counters.clients_bad == 1; });
  CHECK(director.counters.clients_unfinished == 1);
}

TEST_CASE(
    "memory for requests is used up: the one that began first gives way, later ones and reads are served") {
  TestDirector director([](Limits& limits) { limits.memory = 2 << 20; });  // the least budget: two writes
  const auto half_write = [](const std::string& id) {
    const std::string head = put(id);
    return head.substr(0, head.find("Content-Length")) + "Content-Length: 48000\r\n\r\n" +
           std::string(24000, 'b');
  };
  PlainClient first(director.listener->address()), second(director.listener->address());
  first.send(half_write(kId1));
  director.wait_until(
      [&] { return director.actor->memory_budget().charged(policy::MemoryUse::kRequests) > 0; });
  second.send(half_write(kId2));
  director.wait_until([&] { return director.counters.clients_shed == 1; });
  PlainClient reading(director.listener->address());
  reading.send(get(kId3));
  director.wait_for_attempts(kId3, 1);
  second.send(std::string(24000, 'b'));
  director.wait_for_attempts(kId2, 1);
  director.nodes_answer(kId2, "ACK - 2\r\nok");
  director.wait_until([&] { return second.received().ends_with("ok"); });
  check_answered_and_ended(director, first, "503");
  CHECK(director.attempts_received(kId1) == 0);
  CHECK(director.actor->memory_budget().charged(policy::MemoryUse::kRequests) == 0);
}

TEST_CASE("requests behind which the client's close can't be seen are rejected and do not begin") {
  TestDirector director;
  PlainClient client(director.listener->address());
  client.send(get(kId1));
  director.wait_for_attempts(kId1, 1);
  client.send(pipelined(1 << 20));  // more than the kernel holds for the director
  client.finish();
  director.nodes_answer(kId1, "ACK - 3\r\none");
  director.wait_until(
      [&] { return client.ended() || client.was_reset() || director.attempts_received() > 1; });
  CHECK(director.attempts_received() == 1);
  CHECK(client.received().find("503") != std::string::npos);
}

// Guards against a retry for a client whose close waits in its own kernel behind what it sent (issue 68).
TEST_CASE("an open request behind which the client's close can't be seen is not retried") {
  for (const bool closes : {true, false}) {
    for (const std::string& node_answer : {kAbsent, std::string("AGAIN - 0\r\n")}) {
      TestDirector director;
      PlainClient client(director.listener->address());
      client.send(get(kId1));
      director.wait_for_attempts(kId1, 1);
      client.send(pipelined(1 << 20));  // more than the kernel holds for the director
      if (closes) client.finish();
      director.nodes_answer(kId1, node_answer);
      director.wait_until([&] {
        return client.ended() || client.was_reset() || client.received().find("503") != std::string::npos ||
               director.attempts_received() > 1;
      });
      CHECK(director.attempts_received() == 1);
      CHECK(client.received().find("503") != std::string::npos);  // nothing of it has run
    }
  }
}

TEST_CASE("a new node at the address of one that is still listed: nothing more is sent to the old one") {
  TestDirector director;
  director.log.configure(LogFormat::kJson, LogLevel::kDebug);
  director.actor->known_change_arrived(*protocol::Json::parse(
      R"({"seq":6,"fleet":{"full":false,"servers":[{"id":"c9","addr":")" + director.cache.address.text() +
      R"(","zone":"z2","kind":"cache","cell":1,"state":"active","weight":6,"started_ms":0}]}})"));
  std::list<PlainClient> clients;
  for (int i = 0; i < 8; ++i) {
    clients.emplace_back(director.listener->address());
    std::string request = get("000000000000100" + std::to_string(i));
    clients.back().send(request.replace(request.find("/7f/"), 4, "/" + std::to_string(70 + i) + "/"));
  }
  director.wait_for_attempts("000000000000100", 8);
  CHECK(director.log_text().find("\"node\":\"c9\"") != std::string::npos);
  CHECK(director.log_text().find("\"node\":\"c1\"") == std::string::npos);
}

TEST_CASE("at the level debug the log names why each connection was closed, and how its request ended") {
  TestDirector director([](Limits& limits) { limits.request_read_timeout = 0.05; });
  director.log.configure(LogFormat::kJson, LogLevel::kDebug);
  PlainClient unfinished(director.listener->address()), malformed(director.listener->address()),
      leaving(director.listener->address());
  unfinished.send("GET /_health HTTP/1.1\r\n");
  malformed.send("nonsense\r\n\r\n");
  leaving.send(get(kId1));
  director.wait_for_attempts(kId1, 1);
  leaving.close();
  director.wait_until([&] { return director.counters.clients_closed == 3; });
  const std::string text = director.log_text();
  for (const char* expected : {R"("event":"client_closed","words":"client_closed  unfinished)",
                               R"("event":"client_closed","words":"client_closed  malformed)",
                               R"("request":"0000000000000001","reason":"by_client")",
                               R"("event":"attempt_started","words":"attempt_started 0000000000000001)",
                               R"("request":"0000000000000001","reason":"client_left")"})
    CHECK_MESSAGE(text.find(expected) != std::string::npos, expected);
  CHECK(director.counters.clients_unfinished == 1);
}

TEST_CASE("an unread request that arrives as a drain ends is served; an idle connection is closed") {
  TestDirector director;
  PlainClient requesting(director.listener->address()), idle(director.listener->address());
  director.wait_until([&] { return director.listener->clients() == 2; });
  requesting.send(get(kId1));
  director.listener->close();
  director.wait_for_attempts(kId1, 1);
  director.nodes_answer(kId1, "ACK - 2\r\nok");
  director.wait_until([&] { return requesting.received().ends_with("ok"); });
  director.listener->close();
  director.wait_until([&] { return requesting.ended() && idle.ended(); });
  CHECK(idle.received().empty());
  CHECK_FALSE(idle.was_reset());
}

TEST_CASE("the end of a drain is not held up by a client that keeps sending requests") {
  TestDirector director;
  PlainClient client(director.listener->address());
  const auto send_on = [&]() -> transport::Task<> {
    while (!client.ended() && !client.was_reset()) {
      client.try_send("GET /_health HTTP/1.1\r\nHost: s\r\n\r\nGET /_health HTTP/1.1\r\nHost: s\r\n\r\n");
      co_await director.scheduler.next_turn();
    }
  };
  director.scheduler.spawn(send_on());
  director.wait_until([&] { return director.counters.health_asked > 100; });
  director.wait_until([&] {
    director.listener->close();
    return director.listener->clients() == 0;
  });
  CHECK(client.received().find("Connection: close") != std::string::npos);
}

TEST_CASE("the end of a drain does not reset an answer on its way to a client that still sends") {
  TestDirector director;
  PlainClient client(director.listener->address());
  client.send("nonsense\r\n\r\n");
  director.wait_until([&] { return director.counters.clients_bad == 1; });
  client.send(std::string(100000, 'x'));
  director.listener->close();
  client.send(std::string(100000, 'x'));
  check_answered_and_ended(director, client, "400");
}

TEST_CASE("an unread request that arrives as the idle timeout expires is served") {
  bool interleaved = false;
  for (int tries = 0; tries < 20 && !interleaved; ++tries) {
    TestDirector director([](Limits& limits) { limits.client_idle_timeout = 0.2; });
    PlainClient client(director.listener->address());
    client.send("GET /_health HTTP/1.1\r\nHost: s\r\n\r\n");
    director.wait_until([&] { return client.received().ends_with("ok\n"); });
    const Seconds answered = Scheduler::now();
    // One turn of the scheduler lasts past the timeout; in the next one the request arrives before the
    // timeout is handled, and after the sockets were polled.
    director.scheduler.at(answered + 0.1, [] { usleep(200000); });
    bool sent = false;
    director.scheduler.at(answered + 0.11, [&] {
      interleaved = !client.ended();
      client.send(get(kId1));
      sent = true;
    });
    director.wait_until([&] { return sent; });
    if (!interleaved)
      continue;  // the machine was so busy that the timeout was handled before the request was sent
    director.wait_until(
        [&] { return director.attempts_received(kId1) == 1 || client.ended() || client.was_reset(); });
    CHECK(director.attempts_received(kId1) == 1);
  }
  CHECK(interleaved);
}

TEST_CASE("no memory for a request that is being read: it is rejected, so that it may be repeated") {
  TestDirector director;
  PlainClient client(director.listener->address());
  std::string request = put(kId1);
  request.replace(request.find("Content-Length: 2\r\n\r\nab"), std::string::npos,
                  "Content-Length: 40000\r\n\r\n" + std::string(40000, 'b'));
  client.send(request);
  {
    const FailingAllocations failing_allocations(20000, 60000);
    director.wait_until([&] { return client.ended() || client.was_reset(); });
  }
  check_answered_and_ended(director, client, "503");
  CHECK(director.failures > 0);
  CHECK(director.counters.attempts == 0);
}

TEST_CASE("no memory to read ahead: the open request is answered, and the next ones are read after it") {
  TestDirector director;
  PlainClient client(director.listener->address());
  client.send(get(kId1));
  director.wait_for_attempts(kId1, 1);
  {
    const std::string requests = pipelined(24 << 10);
    const FailingAllocations failing_allocations(17000, 60000);
    client.send(requests);
    director.wait_until([&] { return director.failures > 0; });
    director.nodes_answer(kId1, "ACK - 3\r\none");
    director.wait_until(
        [&] { return client.received().ends_with("one") || client.ended() || client.was_reset(); });
  }
  CHECK(client.received().ends_with("one"));
  director.wait_for_attempts("0000000000001000", 1);
}

TEST_CASE("no memory for an answer: the request fails with a final answer") {
  TestDirector director;
  PlainClient client(director.listener->address());
  client.send(get(kId1));
  director.wait_for_attempts(kId1, 1);
  director.nodes_answer(kId1, "ACK - 40000\r\n" + std::string(40000, 'x'));
  // The allocation for the node's bytes succeeds, the one for head and bytes together fails.
  const FailingAllocations failing_allocations(40040, 40060);
  check_answered_and_ended(director, client, "500");
  CHECK(director.failures == 1);
}

TEST_CASE("no memory for a new client: it is closed unread, and the next one is served") {
  TestDirector director;
  PlainClient client(director.listener->address());
  {
    const FailingAllocations failing_allocations(sizeof(ClientConnection), sizeof(ClientConnection) + 64);
    director.wait_until([&] { return director.failures > 0; });
  }
  director.wait_until([&] { return client.ended() || client.was_reset(); });
  PlainClient next(director.listener->address());
  next.send(get(kId1));
  director.wait_for_attempts(kId1, 1);
}

// --- accepts that fail ---

TEST_CASE("accepts that fail briefly: a short pause, no client is closed, and all are served") {
  for (const int error : {EMFILE, ENFILE, ENOBUFS, ENOMEM, ENETDOWN, EPERM}) {
    CAPTURE(error);
    // A pause as long as these limits would exceed the test's time.
    TestDirector director([](Limits& limits) {
      limits.first_request_grace = 0;
      limits.linger_timeout = 100;
      limits.max_linger = 100;
      limits.accept_retry_delay = 100;
    });
    PlainClient idle(director.listener->address());
    director.wait_until([&] { return director.listener->clients() == 1; });
    const FailingAccepts failing_accepts(error == EMFILE ? 1 : 4, error);
    PlainClient requesting(director.listener->address());
    requesting.send(get(kId1));
    director.wait_for_attempts(kId1, 1);
    CHECK(accepts_to_fail == 0);
    // These errors concern the one connection that was to be accepted, and say nothing about the next
    // (Listener::accept).
    const bool of_one_connection = error == ENETDOWN || error == EPERM;
    const int pauses = of_one_connection ? 0 : accepts_failed;
    CHECK(director.counters.accept_paused == static_cast<std::uint64_t>(pauses));
    CHECK_FALSE(idle.ended());
    CHECK(director.listener->clients() == 2);
  }
}

TEST_CASE("accepts that keep failing: the pauses grow, and few clients are closed") {
  constexpr std::size_t kIdle = 20;
  constexpr int kManyFailures = 1000000;
  for (const int error : {EMFILE, ENOBUFS}) {
    CAPTURE(error);
    TestDirector director([](Limits& limits) { limits.first_request_grace = 0; });
    std::list<PlainClient> idle;
    while (idle.size() < kIdle) idle.emplace_back(director.listener->address());
    director.wait_until([&] { return director.listener->clients() == kIdle; });
    const FailingAccepts failing_accepts(kManyFailures, error);
    PlainClient waiting(director.listener->address());
    const Seconds start = Scheduler::now();
    director.wait_until([&] { return Scheduler::now() > start + 0.5; });
    // 2 ms doubled: 8 pauses take 0.51 s, and the longest is 0.256 s; after a client was closed there is no
    // pause.
    const double spent = Scheduler::now() - start;
    CHECK(accepts_failed <= 2 * (8 + spent / 0.25));
    const auto failed = static_cast<std::size_t>(accepts_failed);
    CHECK(director.listener->clients() >= kIdle - std::min(kIdle, failed / 2));
    if (error != EMFILE) CHECK(director.listener->clients() == kIdle);
  }
}

TEST_CASE("a longer lack of descriptors: an idle client is closed, one with an open request is not") {
  TestDirector director([](Limits& limits) { limits.first_request_grace = 0; });
  PlainClient busy(director.listener->address()), idle(director.listener->address());
  busy.send(get(kId1));
  director.wait_for_attempts(kId1, 1);
  const FailingAccepts failing_accepts(6, EMFILE);
  PlainClient requesting(director.listener->address());
  requesting.send(get(kId2));
  director.wait_for_attempts(kId2, 1);
  CHECK(idle.ended());
  CHECK_FALSE(busy.ended());
  director.nodes_answer(kId1, "ACK - 3\r\none");
  director.wait_until([&] { return busy.received().ends_with("one"); });
}

TEST_CASE("an unread request that arrives as an idle client is to be closed is served") {
  bool interleaved = false;
  for (int tries = 0; tries < 20 && !interleaved; ++tries) {
    TestDirector director([](Limits& limits) { limits.first_request_grace = 0; });
    std::list<PlainClient> clients;
    for (int i = 0; i < 3; ++i) {
      clients.emplace_back(director.listener->address());
      clients.back().send("GET /_health HTTP/1.1\r\nHost: s\r\n\r\n");
      director.wait_until([&] { return clients.back().received().ends_with("ok\n"); });
    }
    PlainClient& requesting = clients.back();
    // The second failure closes the first client, the fourth the second one; the sixth is 32 ms after the
    // fifth, and would close the third.
    const FailingAccepts failing_accepts(6, EMFILE);
    PlainClient other(director.listener->address());
    director.wait_until([&] { return accepts_failed == 5; });
    const Seconds before = Scheduler::now();
    // One turn of the scheduler lasts past the pause; in the next one the request arrives before the end of
    // the pause is handled, and after the sockets were polled.
    director.scheduler.at(before, [] { usleep(100000); });
    bool sent = false;
    director.scheduler.at(before + 0.001, [&] {
      interleaved = accepts_failed == 5 && !requesting.ended();
      requesting.send(get(kId1));
      sent = true;
    });
    director.wait_until([&] { return sent; });
    if (!interleaved) continue;  // the machine was so busy that the pause ended before the request was sent
    director.wait_until([&] {
      return director.attempts_received(kId1) == 1 || requesting.ended() || requesting.was_reset();
    });
    CHECK(director.attempts_received(kId1) == 1);
  }
  CHECK(interleaved);
}
