// Connections to nodes that are up and then fail, or that transfer a few bytes at a time. This test program
// replaces system calls: on connections to the node of a test they do what the test says, elsewhere they are
// the system's.
#include <dlfcn.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>

#include "routing/endless_input.hpp"
#include "routing/ends.hpp"

using namespace hareramp;
using namespace hareramp::routing;

namespace {

// Faults on the connections to one node.
struct InjectedFaults {
  int port = 0;                        // of the node; 0: nothing is injected
  std::size_t writable_bytes = 0;      // bytes that can still be written; then the socket is full
  std::size_t max_bytes_per_call = 0;  // at most so many bytes per call; 0: no limit
  bool interrupt_calls = false;        // every other call is interrupted by a signal
  bool last_call_interrupted = false;
  int failing_writes = 0;  // so many of the next writes fail for lack of memory
  int read_error = 0;      // errno of the next read, which also ends the injection of faults
};
InjectedFaults injected_faults;
constexpr std::size_t kUnlimited = 1 << 30;

// Ends the injection of faults with the test, even if that fails.
struct FaultsReset {
  ~FaultsReset() { injected_faults = InjectedFaults(); }
};

bool is_to_node(int descriptor) {
  if (injected_faults.port == 0) return false;
  const auto remote = transport::Address::peer(descriptor);
  return remote && remote->port() == injected_faults.port;
}

bool interrupted_now() {
  injected_faults.last_call_interrupted =
      injected_faults.interrupt_calls && !injected_faults.last_call_interrupted;
  if (injected_faults.last_call_interrupted) errno = EINTR;
  return injected_faults.last_call_interrupted;
}

std::size_t limit_per_call(std::size_t wanted) {
  return injected_faults.max_bytes_per_call > 0 ? std::min(wanted, injected_faults.max_bytes_per_call)
                                                : wanted;
}

template <class Function>
Function* system_call(const char* name) {
  return reinterpret_cast<Function*>(dlsym(RTLD_NEXT, name));
}

// Sends an attempt on a connection to which only this many bytes can be written. The connection fails with
// this error at the director's next read.
struct BrokenConnection {
  BrokenConnection(std::size_t bytes, int error) {
    injected_faults = {.port = upstream.server.address.port(), .writable_bytes = bytes};
    upstream.attempt("p1", "body");
    CHECK(upstream.wait_until([&] {
      return upstream.server.has_connections(1) && upstream.server.connections[0]->received.size() >= bytes;
    }));
    injected_faults.read_error = error;
    upstream.server.connections[0]->send("p");
    CHECK(upstream.wait_until([&] { return injected_faults.port == 0; }));
  }
  UpstreamNodeFixture upstream;
};

}  // namespace

extern "C" ssize_t send(int descriptor, const void* bytes, size_t size, int flags) {
  const auto real_send = system_call<ssize_t(int, const void*, size_t, int)>("send");
  if (!is_to_node(descriptor)) return real_send(descriptor, bytes, size, flags);
  if (interrupted_now()) return -1;
  if (injected_faults.failing_writes > 0) {
    --injected_faults.failing_writes;
    errno = ENOBUFS;
    return -1;
  }
  const std::size_t allowed = std::min(limit_per_call(size), injected_faults.writable_bytes);
  if (allowed == 0) {
    errno = EAGAIN;
    return -1;
  }
  const ssize_t sent = real_send(descriptor, bytes, allowed, flags);
  if (sent > 0) injected_faults.writable_bytes -= static_cast<std::size_t>(sent);
  return sent;
}

extern "C" ssize_t recv(int descriptor, void* bytes, size_t size, int flags) {
  const auto* const endless = hareramp::routing::EndlessInput::in_use;
  if (endless && endless->is_read_from(descriptor))
    return static_cast<ssize_t>((flags & MSG_PEEK) != 0 ? size
                                                        : endless->read(static_cast<char*>(bytes), size));
  const auto real_recv = system_call<ssize_t(int, void*, size_t, int)>("recv");
  if (!is_to_node(descriptor)) return real_recv(descriptor, bytes, size, flags);
  if (interrupted_now()) return -1;
  if (injected_faults.read_error != 0) {  // this connection fails; the next one has no faults
    errno = injected_faults.read_error;
    injected_faults = InjectedFaults();
    return -1;
  }
  return real_recv(descriptor, bytes, limit_per_call(size), flags);
}

TEST_CASE(
    "a connection that fails after any byte of an attempt: it may have run only if it was written whole") {
  const FaultsReset faults_reset;
  const std::size_t command_size =
      std::string("serve p1 lane=segment,name=p1,ttl=14999 4\r\nbody\r\n").size();
  for (const int error : {ETIMEDOUT, EHOSTUNREACH, ECONNRESET}) {
    for (std::size_t bytes = 0; bytes <= command_size; ++bytes) {
      CAPTURE(error);
      CAPTURE(bytes);
      BrokenConnection broken(bytes, error);
      if (bytes < command_size) {  // the whole attempt is sent again on another connection
        CHECK(broken.upstream.wait_until(
            [&] { return broken.upstream.server.has_received("\r\nbody\r\n", 1); }));
        CHECK(broken.upstream.results.empty());
      } else {
        CHECK(broken.upstream.wait_until([&] { return !broken.upstream.results.empty(); }));
        CHECK(broken.upstream.results == std::vector{Result::kBroken});
        CHECK(broken.upstream.server.has_received("\r\nbody\r\n"));
      }
    }
  }
}

TEST_CASE("a few bytes per call, interrupted by signals: commands and answers arrive whole") {
  const FaultsReset faults_reset;
  for (const std::size_t max_bytes : {1, 2, 7}) {
    CAPTURE(max_bytes);
    UpstreamNodeFixture upstream;
    upstream.limits.max_connections_per_node = 1;
    upstream.limits.final_write_delay = 0.001;
    injected_faults = {.port = upstream.server.address.port(),
                       .writable_bytes = kUnlimited,
                       .max_bytes_per_call = max_bytes,
                       .interrupt_calls = true};
    upstream.attempt("p1", "body");
    upstream.attempt("p2");
    CHECK(upstream.wait_until([&] {
      return upstream.server.has_received("serve p2") && upstream.server.has_received(" 0\r\n\r\n");
    }));
    CHECK(upstream.server.received() ==
          "serve p1 lane=segment,name=p1,ttl=N 4\nbody\nserve p2 lane=segment,name=p2,ttl=N 0\n\n");
    upstream.server.connections[0]->send("p2 ACK sum=t 2\r\nok\r\np1 NOENT why=absent 0\r\n\r\n");
    CHECK(upstream.wait_until([&] { return upstream.results.size() == 2; }));
    CHECK(upstream.results == std::vector{Result::kCompleted, Result::kAbsent});
    CHECK(upstream.contents == "ok");
    injected_faults = {};
  }
}

TEST_CASE("a write that fails for lack of memory is retried while the connection is up") {
  const FaultsReset faults_reset;
  UpstreamNodeFixture upstream;
  injected_faults = {
      .port = upstream.server.address.port(), .writable_bytes = kUnlimited, .failing_writes = 3};
  upstream.attempt("p1", "body");
  CHECK(upstream.wait_until(
      [&] { return upstream.server.has_received("\r\nbody\r\n") || !upstream.results.empty(); }));
  REQUIRE(upstream.results.empty());
  CHECK(injected_faults.failing_writes == 0);
  upstream.server.connections[0]->send("p1 ACK - 0\r\n\r\n");
  CHECK(upstream.wait_until([&] { return !upstream.results.empty(); }));
  CHECK(upstream.results == std::vector{Result::kCompleted});
}
