// Connections to nodes that are up and then fail, or move a few bytes at a time. The system calls of this
// test program are its own: on connections to the node of a test they do what the test says, and are the
// system's elsewhere.
#include <dlfcn.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>

#include "routing/ends.hpp"

using namespace hareramp;
using namespace hareramp::routing;

namespace {

// What happens on the connections to one node.
struct Injected {
  int port = 0;             // of the node; 0: nothing is injected
  std::size_t writes = 0;   // so many more bytes can be written, then the socket is full
  std::size_t at_once = 0;  // the most bytes that one call moves; 0: any number
  bool interrupts = false;  // every other call is interrupted by a signal
  bool interrupted = false;
  int failing_writes = 0;  // so many fail for want of memory, first of all
  int read_error = 0;      // errno of the next read, after which nothing is injected any more
};
Injected injected;
constexpr std::size_t kAnyNumber = 1 << 30;

// Ends it with the test, however it ends.
struct InjectedEnds {
  ~InjectedEnds() { injected = Injected(); }
};

bool is_to_node(int descriptor) {
  if (injected.port == 0) return false;
  const auto peer = transport::Address::peer(descriptor);
  return peer && peer->port() == injected.port;
}

bool interrupted_now() {
  injected.interrupted = injected.interrupts && !injected.interrupted;
  if (injected.interrupted) errno = EINTR;
  return injected.interrupted;
}

std::size_t moved_at_once(std::size_t wanted) {
  return injected.at_once > 0 ? std::min(wanted, injected.at_once) : wanted;
}

template <class Function>
Function* system_call(const char* name) {
  return reinterpret_cast<Function*>(dlsym(RTLD_NEXT, name));
}

// An attempt's line as the node hears it on a connection that breaks after so many of its bytes, and how the
// attempt ends: by the error when the director reads next.
struct Cut {
  Cut(std::size_t bytes, int error) {
    injected = {.port = desk.node.address.port(), .writes = bytes};
    desk.attempt("p1", "body");
    CHECK(desk.until(
        [&] { return desk.node.has_connections(1) && desk.node.connections[0]->received.size() >= bytes; }));
    injected.read_error = error;
    desk.node.connections[0]->send("p");
    CHECK(desk.until([&] { return injected.port == 0; }));
  }
  Ends desk;
};

}  // namespace

extern "C" ssize_t send(int descriptor, const void* bytes, size_t size, int flags) {
  const auto send_now = system_call<ssize_t(int, const void*, size_t, int)>("send");
  if (!is_to_node(descriptor)) return send_now(descriptor, bytes, size, flags);
  if (interrupted_now()) return -1;
  if (injected.failing_writes > 0) {
    --injected.failing_writes;
    errno = ENOBUFS;
    return -1;
  }
  const std::size_t some = std::min(moved_at_once(size), injected.writes);
  if (some == 0) {
    errno = EAGAIN;
    return -1;
  }
  const ssize_t sent = send_now(descriptor, bytes, some, flags);
  if (sent > 0) injected.writes -= static_cast<std::size_t>(sent);
  return sent;
}

extern "C" ssize_t recv(int descriptor, void* bytes, size_t size, int flags) {
  const auto receive_now = system_call<ssize_t(int, void*, size_t, int)>("recv");
  if (!is_to_node(descriptor)) return receive_now(descriptor, bytes, size, flags);
  if (interrupted_now()) return -1;
  if (injected.read_error != 0) {  // the end of this connection; the next one is well
    errno = injected.read_error;
    injected = Injected();
    return -1;
  }
  return receive_now(descriptor, bytes, moved_at_once(size), flags);
}

TEST_CASE("a connection that fails after any byte of an attempt: it may have run only if it went out whole") {
  const InjectedEnds ends;
  const std::size_t whole = std::string("serve p1 lane=segment,name=p1,ttl=14999 4\r\nbody\r\n").size();
  for (const int error : {ETIMEDOUT, EHOSTUNREACH, ECONNRESET}) {
    for (std::size_t bytes = 0; bytes <= whole; ++bytes) {
      CAPTURE(error);
      CAPTURE(bytes);
      Cut cut(bytes, error);
      if (bytes < whole) {  // it goes on, whole, on another connection
        CHECK(cut.desk.until([&] { return cut.desk.node.has_received("\r\nbody\r\n", 1); }));
        CHECK(cut.desk.results.empty());
      } else {
        CHECK(cut.desk.until([&] { return !cut.desk.results.empty(); }));
        CHECK(cut.desk.results == std::vector{Result::kBroken});
        CHECK(cut.desk.node.has_received("\r\nbody\r\n"));
      }
    }
  }
}

TEST_CASE("a few bytes at a time, between signals: commands and answers come whole") {
  const InjectedEnds ends;
  for (const std::size_t at_once : {1, 2, 7}) {
    CAPTURE(at_once);
    Ends desk;
    desk.limits.max_connections_per_node = 1;
    desk.limits.final_write_delay = 0.001;
    injected = {
        .port = desk.node.address.port(), .writes = kAnyNumber, .at_once = at_once, .interrupts = true};
    desk.attempt("p1", "body");
    desk.attempt("p2");
    CHECK(desk.until(
        [&] { return desk.node.has_received("serve p2") && desk.node.has_received(" 0\r\n\r\n"); }));
    CHECK(desk.node.received() ==
          "serve p1 lane=segment,name=p1,ttl=N 4\nbody\nserve p2 lane=segment,name=p2,ttl=N 0\n\n");
    desk.node.connections[0]->send("p2 ACK sum=t 2\r\nok\r\np1 NOENT why=absent 0\r\n\r\n");
    CHECK(desk.until([&] { return desk.results.size() == 2; }));
    CHECK(desk.results == std::vector{Result::kCompleted, Result::kAbsent});
    CHECK(desk.contents == "ok");
    injected = {};
  }
}

TEST_CASE("a write that fails for want of memory is made again while the connection stands") {
  const InjectedEnds ends;
  Ends desk;
  injected = {.port = desk.node.address.port(), .writes = kAnyNumber, .failing_writes = 3};
  desk.attempt("p1", "body");
  CHECK(desk.until([&] { return desk.node.has_received("\r\nbody\r\n") || !desk.results.empty(); }));
  REQUIRE(desk.results.empty());
  CHECK(injected.failing_writes == 0);
  desk.node.connections[0]->send("p1 ACK - 0\r\n\r\n");
  CHECK(desk.until([&] { return !desk.results.empty(); }));
  CHECK(desk.results == std::vector{Result::kCompleted});
}
