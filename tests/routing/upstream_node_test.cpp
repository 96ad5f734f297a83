// UpstreamNode against a stand-in server that refuses or resets connections, stays silent, or answers late or
// incompletely.
#include "routing/upstream_node.hpp"

#include "helpers.hpp"

using namespace hareramp;
using namespace hareramp::routing;
using transport::Scheduler;

namespace {

const char* const kResultNames[] = {"completed", "error",     "rejected", "timed out", "unreachable",
                                    "broken",    "cancelled", "not sent", "absent"};

// An UpstreamNode, with the ends of its attempts written to a trace.
class TracingNodeFixture : public AttemptObserver {
 public:
  explicit TracingNodeFixture(transport::Address address) {
    limits.retained_buffer = limits.read_size = 1 << 14;
    limits.max_expected_late_answers = 1000;
    limits.max_answer_line = 200, limits.max_answer_body = 1 << 20;
    limits.max_node_connections = 10, limits.max_connections_per_node = 1,
    limits.max_attempts_per_connection = 5;
    limits.connect_timeout = 5, limits.send_start_timeout = 5, limits.node_idle_timeout = 30,
    limits.suspect_timeout = 0.001, limits.answer_stall_timeout = 15;
    upstream_node =
        std::make_shared<UpstreamNode>(scheduler, limits, counters, resources, NodeId{"c1"}, address, *this);
    upstream_node->start();
  }
  std::shared_ptr<protocol::ForwardedRequest> attempt(const std::string& request, int number = 0,
                                                      Seconds time_left = 15, std::size_t body = 0,
                                                      Seconds max_copy_age = 0) {
    auto forwarded_request = std::make_shared<protocol::ForwardedRequest>();
    forwarded_request->lane = "segment", forwarded_request->name = request,
    forwarded_request->body = std::string(body, 'b');
    upstream_node->attempt({request}, {number}, forwarded_request,
                           {.source = {"P1"}, .max_copy_age = max_copy_age}, Scheduler::now() + time_left);
    return forwarded_request;
  }
  void attempt_ended(const RequestId& request, AttemptNumber number, const NodeId& node, Result result,
                     AnswerDetail, Seconds, LoadReport, Content content) override {
    trace += request.value + "/" + std::to_string(number.value) + " at " + node.value + ": " +
             kResultNames[static_cast<int>(result)];
    if (!content.bytes.empty()) trace += " '" + content.bytes + "'";
    trace += "\n";
    ++ended_count;
  }
  Seconds max_copy_age(const RequestId&) override { return current_max_copy_age; }
  bool may_start_attempt(const NodeId&, const NodeId&) override { return true; }
  void wait_for_ended(int count) {
    CHECK(run_until(scheduler, [&] { return ended_count >= count; }));
  }
  void trace_comment(const std::string& text) { trace += "-- " + text + "\n"; }

  Scheduler scheduler;
  Limits limits;
  Counters counters;
  UpstreamResources resources;
  std::shared_ptr<UpstreamNode> upstream_node;
  std::string trace;
  Seconds current_max_copy_age = 0;  // what max_copy_age() returns
  int ended_count = 0;
};

void wait_for(Scheduler& scheduler, Seconds time) {
  const Seconds until = Scheduler::now() + time;
  CHECK(run_until(scheduler, [&] { return Scheduler::now() >= until; }));
}

// What a node received with an attempt: ttl in seconds, agelim in milliseconds, as written.
struct ReceivedCommand {
  Seconds time_left = -1;
  std::string max_copy_age;
};
ReceivedCommand received_command(const std::string& received, const std::string& request) {
  const auto start = received.find("serve " + request + " ");
  REQUIRE(start != std::string::npos);
  const std::string line = received.substr(start, received.find('\r', start) - start);
  const auto field = [&](const std::string& name) {
    const auto field_start = line.find("," + name + "=");
    if (field_start == std::string::npos) return std::string();
    const auto value = field_start + name.size() + 2;
    return line.substr(value, line.find_first_of(", ", value) - value);
  };
  return {std::stod(field("ttl")) / 1000, field("agelim")};
}

// An UpstreamNode and its stand-in server in one scheduler.
struct NodeAndServer {
  explicit NodeAndServer(bool reads = true)
      : upstream(*transport::Address::parse("127.0.0.1:1")), server(upstream.scheduler, reads) {
    upstream.upstream_node->set_address(server.address);
  }
  void wait_for_received(const std::string& expected, std::size_t connection_index = 0) {
    CHECK(run_until(upstream.scheduler, [&] { return server.has_received(expected, connection_index); }));
  }
  TracingNodeFixture upstream;
  StandInServer server;
};

}  // namespace

TEST_CASE("answers in any order on one connection") {
  NodeAndServer test;
  test.upstream.attempt("p1");
  test.upstream.attempt("p2");
  test.upstream.attempt("p3");
  test.wait_for_received("serve p3");
  test.server.connections[0]->send("p3 NOENT why=behind 0\r\n\r\np1 ACK sum=t 2\r\nh");
  test.upstream.wait_for_ended(1);
  test.server.connections[0]->send("i\r\np2 AGAIN - 0\r\n\r\n");
  test.upstream.wait_for_ended(3);
  test.upstream.trace_comment("received");
  CHECK(test.server.connections.size() == 1);
  check_trace("peer_order", test.upstream.trace + test.server.received());
}

TEST_CASE("no connection: the attempt never ran") {
  Scheduler other;
  TracingNodeFixture refused(unused_address(other));
  refused.attempt("p1");
  refused.attempt("p2");
  refused.wait_for_ended(2);
  refused.trace_comment("a connection that never comes up");
  // The only place in the listen queue is taken, so that the next connection is not answered at all.
  transport::Listener full_listener(refused.scheduler, *transport::Address::parse("127.0.0.1:0"), 0);
  const auto first = dial(refused.scheduler, full_listener.address());
  refused.limits.connect_timeout = 0.05;
  refused.upstream_node->set_address(full_listener.address());
  refused.attempt("p3");
  refused.wait_for_ended(3);
  CHECK(refused.resources.connections == 0);
  CHECK(refused.counters.links_failed == 2);
  check_trace("peer_no_connection", refused.trace);
}

TEST_CASE("a connection that ends with open attempts: what was written may have run") {
  NodeAndServer test;
  test.upstream.attempt("p1");
  test.wait_for_received("serve p1");
  test.server.connections[0]->reset();
  test.upstream.wait_for_ended(1);
  test.upstream.trace_comment("half an answer, then the end of the connection");
  test.upstream.attempt("p2");
  test.wait_for_received("serve p2", 1);
  test.server.connections[1]->send("p2 ACK - 10\r\nhalf");
  test.server.connections[1]->close();
  test.upstream.wait_for_ended(2);
  test.upstream.trace_comment("a malformed line ends all attempts on the connection");
  test.upstream.attempt("p3");
  test.upstream.attempt("p4");
  test.wait_for_received("serve p4", 2);
  test.server.connections[2]->send("p3 WHAT - 0\r\n\r\n");
  test.upstream.wait_for_ended(4);
  CHECK(test.upstream.counters.bad_answers == 1);
  test.upstream.trace_comment("the next attempt is sent on a new connection");
  test.upstream.attempt("p5");
  test.wait_for_received("serve p5", 3);
  test.server.connections[3]->send("p5 ACK - 0\r\n\r\n");
  test.upstream.wait_for_ended(5);
  check_trace("peer_ends", test.upstream.trace);
}

TEST_CASE("one connection per attempt up to the limit: a malformed answer affects no other attempt") {
  NodeAndServer test;
  test.upstream.limits.max_connections_per_node = 3;
  for (const char* id : {"p1", "p2", "p3"}) test.upstream.attempt(id);
  for (std::size_t connection_index = 0; connection_index < 3; ++connection_index)
    test.wait_for_received("serve p", connection_index);
  const auto connection_of = [&](const std::string& id) {
    for (const auto& connection : test.server.connections)
      if (connection->has_received("serve " + id)) return connection;
    return std::shared_ptr<TestConnection>();
  };
  connection_of("p1")->send("p1 noise\r\n");
  test.upstream.wait_for_ended(1);
  test.upstream.trace_comment(
      "at the limit the connection with the fewest attempts is shared; an idle one is reused");
  connection_of("p2")->send("p2 ACK - 3\r\ntwo\r\n");
  test.upstream.wait_for_ended(2);
  const auto second = connection_of("p2");
  test.upstream.attempt("p4");
  CHECK(run_until(test.upstream.scheduler, [&] { return second->has_received("serve p4"); }));
  second->send("p4 NOENT - 0\r\n\r\np4 NOENT - 0\r\n\r\n");
  test.upstream.wait_for_ended(3);
  test.upstream.trace_comment("a retry: not on a connection where the answer may arrive a second time");
  test.upstream.attempt("p4", 1);
  CHECK(run_until(test.upstream.scheduler, [&] { return test.server.has_connections(4); }));
  test.wait_for_received("serve p4", 3);
  test.server.connections[3]->send("p4 ACK - 4\r\nfour\r\n");
  test.upstream.wait_for_ended(4);
  CHECK(test.server.connections.size() == 4);
  check_trace("peer_each", test.upstream.trace);
}

TEST_CASE("an answer that stalls ends its connection, while attempts elsewhere wait on for theirs") {
  NodeAndServer test;
  test.upstream.limits.answer_stall_timeout = 0.02, test.upstream.limits.max_connections_per_node = 2;
  test.upstream.attempt("p1");
  test.wait_for_received("serve p1");
  test.upstream.attempt("p2");
  test.wait_for_received("serve p2", 1);
  test.server.connections[0]->send("p1 ACK - 10\r\nhal");
  test.upstream.wait_for_ended(1);
  CHECK(test.upstream.counters.links_stalled == 1);
  test.server.connections[1]->send("p2 ACK - 3\r\ntwo\r\n");
  test.upstream.wait_for_ended(2);
  check_trace("peer_stalled", test.upstream.trace);
}

TEST_CASE("a reset before all was written: the attempt is moved to another connection, once") {
  NodeAndServer test(false);  // the node never reads
  test.upstream.attempt("large", 0, 15, 64 << 20);
  REQUIRE(run_until(test.upstream.scheduler, [&] { return test.server.has_connections(1); }));
  test.server.connections[0]->reset();
  REQUIRE(run_until(test.upstream.scheduler, [&] { return test.server.has_connections(2); }));
  CHECK(test.upstream.ended_count == 0);
  test.server.connections[1]->reset();
  test.upstream.wait_for_ended(1);
  CHECK(test.upstream.counters.moved_on == 1);
  CHECK(test.upstream.trace == "large/0 at c1: not sent\n");
}

TEST_CASE("a write reset before its held-back end is sent again, whole, on another connection") {
  NodeAndServer test;
  test.upstream.limits.max_connections_per_node = 3, test.upstream.limits.final_write_delay = 15;
  test.upstream.attempt("p1", 0, 15, 4);
  test.wait_for_received(" 4\r\nbbbb");
  test.server.connections[0]->reset();
  test.wait_for_received(" 4\r\nbbbb", 1);
  CHECK_FALSE(test.server.has_received("bbbb\r\n", 0));
  CHECK(test.upstream.ended_count == 0);
  test.upstream.limits.final_write_delay = 0.001;
  test.upstream.attempt("p2", 0, 15, 3);
  test.wait_for_received("bbb\r\n", 2);
  test.server.connections[2]->send("p2 ACK - 0\r\n\r\n");
  test.upstream.wait_for_ended(1);
  CHECK(test.upstream.trace == "p2/0 at c1: completed\n");
}

TEST_CASE("half written: it never ran and never will; what was queued behind is moved") {
  NodeAndServer test(false);  // the node never reads
  test.upstream.limits.suspect_timeout = 100;
  test.upstream.attempt("small");
  test.upstream.attempt("large", 0, 15, 64 << 20);
  test.upstream.attempt("behind");
  REQUIRE(run_until(test.upstream.scheduler, [&] { return test.server.has_connections(1); }));
  test.upstream.upstream_node->cancel({"large"}, {0});
  test.upstream.wait_for_ended(2);
  REQUIRE(run_until(test.upstream.scheduler, [&] { return test.server.has_connections(2); }));
  CHECK(test.upstream.counters.moved_on == 1);
  test.upstream.upstream_node->cancel({"behind"}, {0});
  test.upstream.wait_for_ended(3);
  test.upstream.trace_comment("blocked for a while: what was queued behind for too long is no longer sent");
  test.upstream.attempt("large", 1, 15, 64 << 20);
  test.upstream.limits.send_start_timeout = -1;
  test.upstream.attempt("late");
  test.upstream.wait_for_ended(4);
  test.server.connections[1]->start_reading();
  test.wait_for_received("serve large", 1);
  test.server.connections[1]->send("large ACK - 2\r\nok\r\n");
  test.upstream.wait_for_ended(5);
  CHECK_FALSE(test.server.has_received("serve late", 1));
  check_trace("peer_half_written", test.upstream.trace);
}

TEST_CASE("a silent node: timed out, and the next attempt is sent on a new connection") {
  NodeAndServer test;
  test.upstream.limits.max_connections_per_node = 2;
  test.upstream.attempt("p1", 0, 0.05);
  test.upstream.wait_for_ended(1);
  test.upstream.attempt("p2");
  REQUIRE(run_until(test.upstream.scheduler, [&] { return test.server.has_received("serve p2", 1); }));
  CHECK(test.upstream.counters.links_doubted == 1);
  test.server.connections[1]->send("p2 ACK - 0\r\n\r\n");
  test.upstream.wait_for_ended(2);
  test.upstream.trace_comment("received on the first connection");
  test.upstream.trace += test.server.received(0);
  test.upstream.trace_comment("received on the second connection");
  check_trace("peer_silent", test.upstream.trace + test.server.received(1));
}

TEST_CASE("a late answer to a cancelled attempt is ignored") {
  NodeAndServer test;
  test.upstream.limits.suspect_timeout = 100, test.upstream.limits.max_connections_per_node = 2;
  test.upstream.attempt("p1");
  test.wait_for_received("serve p1");
  test.upstream.upstream_node->cancel({"p1"}, {0});
  test.upstream.upstream_node->cancel({"p1"}, {7});
  test.wait_for_received("cancel p1");
  test.upstream.trace_comment(
      "a retry of the request: on another connection, or the answers could not be told apart");
  test.upstream.attempt("p1", 1);
  REQUIRE(run_until(test.upstream.scheduler, [&] { return test.server.has_received("serve p1", 1); }));
  test.upstream.attempt("p2");
  test.wait_for_received("serve p2");
  test.server.connections[0]->send("p1 ACK - 3\r\nold\r\np2 ACK - 3\r\ntwo\r\n");
  test.upstream.wait_for_ended(2);
  test.server.connections[1]->send("p1 ACK - 3\r\nnew\r\n");
  test.upstream.wait_for_ended(3);
  CHECK(test.upstream.counters.late_answers == 1);
  check_trace("peer_late_answer", test.upstream.trace);
}

// Guards against the answer of an earlier request being taken for that of a later one under its id.
TEST_CASE("a second copy of an answer is not the answer to the next request under the same id") {
  NodeAndServer test;
  test.upstream.limits.second_answer_window = 30, test.upstream.limits.max_connections_per_node = 2;
  test.upstream.attempt("p1");
  test.wait_for_received("serve p1");
  test.server.connections[0]->send("p1 ACK - 3\r\nold\r\n");
  test.upstream.wait_for_ended(1);
  test.upstream.attempt("p1");
  test.upstream.attempt("p2");
  REQUIRE(run_until(test.upstream.scheduler, [&] { return test.server.has_received("serve p1", 1); }));
  test.wait_for_received("serve p2");
  test.server.connections[0]->send("p1 ACK - 3\r\nold\r\np2 ACK - 3\r\ntwo\r\n");
  test.upstream.wait_for_ended(2);
  test.server.connections[1]->send("p1 ACK - 3\r\nnew\r\n");
  test.upstream.wait_for_ended(3);
  CHECK(test.upstream.trace.find("p1/0 at c1: completed 'new'") != std::string::npos);
  CHECK(test.upstream.resources.expected_late_answers == 3);
}

TEST_CASE("a node that moves or is removed: open attempts may end, then the connections close") {
  NodeAndServer test;
  test.upstream.attempt("p1");
  test.wait_for_received("serve p1");
  test.upstream.limits.max_connections_per_node = 2;
  StandInServer other(test.upstream.scheduler);
  test.upstream.upstream_node->set_address(other.address);
  test.upstream.attempt("p2");
  REQUIRE(run_until(test.upstream.scheduler, [&] { return other.has_received("serve p2"); }));
  test.upstream.upstream_node->retire();
  test.server.connections[0]->send("p1 ACK - 3\r\none\r\n");
  REQUIRE(run_until(test.upstream.scheduler, [&] { return test.server.connections[0]->ended; }));
  CHECK_FALSE(other.connections[0]->ended);
  other.connections[0]->send("p2 ACK - 3\r\ntwo\r\n");
  REQUIRE(run_until(test.upstream.scheduler, [&] { return other.connections[0]->ended; }));
  CHECK(test.upstream.resources.connections == 0);
  check_trace("peer_moves", test.upstream.trace);
}

TEST_CASE("idle connections close before the node does; limits hold") {
  NodeAndServer test;
  test.upstream.limits.node_idle_timeout = 0.02;
  test.upstream.attempt("p1");
  test.wait_for_received("serve p1");
  test.server.connections[0]->send("p1 ACK - 0\r\n\r\n");
  REQUIRE(run_until(test.upstream.scheduler, [&] { return test.server.connections[0]->ended; }));
  CHECK(test.upstream.counters.links_idle == 1);
  test.upstream.limits.max_connections_per_node = 3;
  test.upstream.trace_comment("fifteen attempts fit on three connections of five each, no more");
  for (int i = 0; i < 17; ++i) test.upstream.attempt("q" + std::to_string(i));
  test.upstream.wait_for_ended(3);
  CHECK(test.upstream.resources.connections == 3);
  check_trace("peer_limits", test.upstream.trace);
}

TEST_CASE("a connection with nothing but rejections is not reused; one that has been served is") {
  NodeAndServer test;
  test.upstream.attempt("p1");
  test.wait_for_received("serve p1");
  test.server.connections[0]->send("p1 AGAIN - 0\r\n\r\n");
  REQUIRE(run_until(test.upstream.scheduler, [&] { return test.server.connections[0]->ended; }));
  CHECK(test.upstream.counters.links_turned_away == 1);
  test.upstream.attempt("p1", 1);
  REQUIRE(run_until(test.upstream.scheduler, [&] { return test.server.has_received("serve p1", 1); }));
  test.server.connections[1]->send("p1 NOENT why=absent 0\r\n\r\n");
  test.upstream.wait_for_ended(2);
  for (const char* request : {"p2", "p3"}) {
    test.upstream.attempt(request);
    test.wait_for_received(std::string("serve ") + request, 1);
    test.server.connections[1]->send(std::string(request) + " AGAIN - 0\r\n\r\n");
  }
  test.upstream.wait_for_ended(4);
  CHECK(test.server.connections.size() == 2);
  CHECK_FALSE(test.server.connections[1]->ended);
  CHECK(test.upstream.counters.links_turned_away == 1);
  CHECK(test.upstream.trace ==
        "p1/0 at c1: rejected\np1/1 at c1: absent\np2/0 at c1: rejected\np3/0 at c1: rejected\n");
}

TEST_CASE("a connection that comes up late: the command carries the time left at that moment") {
  TracingNodeFixture upstream(*transport::Address::parse("127.0.0.1:1"));
  transport::Listener full_listener(upstream.scheduler, *transport::Address::parse("127.0.0.1:0"), 0);
  const auto first =
      dial(upstream.scheduler, full_listener.address());  // takes the only place in the listen queue
  upstream.limits.connect_timeout = upstream.limits.send_start_timeout = 15;
  upstream.upstream_node->set_address(full_listener.address());
  upstream.attempt("p1");
  const Seconds give_up_at = Scheduler::now() + 15;
  wait_for(upstream.scheduler, 0.3);
  const Seconds free_at = Scheduler::now();
  std::vector<std::shared_ptr<TestConnection>> connections;
  const auto accept_two = [](Scheduler& scheduler, transport::Listener& listener,
                             std::vector<std::shared_ptr<TestConnection>>& accepted) -> transport::Task<> {
    while (accepted.size() < 2) {
      accepted.push_back(std::make_shared<TestConnection>(scheduler, (co_await listener.accept()).socket));
      accepted.back()->start_reading();
    }
  };
  upstream.scheduler.spawn(accept_two(upstream.scheduler, full_listener, connections));
  CHECK(run_until(upstream.scheduler,
                  [&] { return connections.size() == 2 && connections[1]->has_received("serve p1"); }));
  CHECK(received_command(connections.at(1)->received, "p1").time_left <= give_up_at - free_at);
}

TEST_CASE("behind an earlier write: a command carries the time left, and the age, of when it is written") {
  NodeAndServer test(false);  // the node does not read yet
  test.upstream.limits.send_start_timeout = 15;
  test.upstream.attempt("large", 0, 15, 64 << 20);
  REQUIRE(run_until(test.upstream.scheduler, [&] { return test.server.has_connections(1); }));
  test.upstream.attempt("any", 0, 15);
  test.upstream.attempt("fresh", 0, 15, 0, 8);
  test.upstream.attempt("strict", 0, 15, 0, 0.25);
  const Seconds give_up_at = Scheduler::now() + 15;
  const auto disconnected = test.upstream.attempt("left");
  wait_for(test.upstream.scheduler, 0.2);
  disconnected->client_gone = true;
  test.upstream.current_max_copy_age = 0.5;  // as after a purge
  const Seconds reads_at = Scheduler::now();
  test.server.connections[0]->start_reading();
  test.wait_for_received("serve strict");
  const std::string& received = test.server.connections[0]->received;
  for (const char* request : {"any", "fresh", "strict"})
    CHECK(received_command(received, request).time_left <= give_up_at - reads_at);
  CHECK(received_command(received, "any").max_copy_age == "500");
  CHECK(received_command(received, "fresh").max_copy_age == "500");
  CHECK(received_command(received, "strict").max_copy_age == "250");
  test.upstream.wait_for_ended(1);
  CHECK(test.upstream.trace == "left/0 at c1: not sent\n");
  test.server.connections[0]->send(
      "strict ACK - 0\r\n\r\n");  // an attempt behind it would have been written by now
  test.upstream.wait_for_ended(2);
  CHECK_FALSE(test.server.has_received("serve left"));
}

TEST_CASE("moved from a broken connection: the command carries the time left at that moment") {
  NodeAndServer test(false);  // the node does not read yet
  test.upstream.limits.send_start_timeout = 15;
  test.upstream.attempt("large", 0, 15, 64 << 20);
  test.upstream.attempt("small");
  const Seconds give_up_at = Scheduler::now() + 15;
  REQUIRE(run_until(test.upstream.scheduler, [&] { return test.server.has_connections(1); }));
  wait_for(test.upstream.scheduler, 0.2);
  test.upstream.current_max_copy_age = 0.5;
  const Seconds broke_at = Scheduler::now();
  test.server.connections[0]->reset();
  REQUIRE(run_until(test.upstream.scheduler, [&] { return test.server.has_connections(2); }));
  test.server.connections[1]->start_reading();
  test.wait_for_received("serve small", 1);
  for (const char* request : {"large", "small"}) {
    CHECK(received_command(test.server.connections[1]->received, request).time_left <= give_up_at - broke_at);
    CHECK(received_command(test.server.connections[1]->received, request).max_copy_age == "500");
  }
  CHECK(test.upstream.counters.moved_on == 2);
  CHECK(test.upstream.ended_count == 0);
}

TEST_CASE("an attempt without time left or without a client is never written; others are") {
  bool interleaved =
      false;  // false where the machine was so slow that the held-back end had already been sent
  for (int tries = 0; tries < 20 && !interleaved; ++tries) {
    NodeAndServer test;
    test.upstream.limits.final_write_delay = 0.2;
    const Seconds held_until = Scheduler::now() + test.upstream.limits.final_write_delay;  // or later
    test.upstream.attempt("write", 0, 15, 4);
    test.wait_for_received(" 4\r\nbbbb");
    test.upstream.attempt("late", 0, 0.3);
    // In one turn of the scheduler the held-back end falls due and the time of the attempt behind it runs
    // out.
    test.upstream.scheduler.at(Scheduler::now() + 0.001, [&] {
      interleaved = Scheduler::now() < held_until;
      test.upstream.attempt("gone")->client_gone = true;
      test.upstream.attempt("past", 0, -1);
      test.upstream.attempt("next");
      const Seconds until = Scheduler::now() + 0.35;
      while (Scheduler::now() < until) {
      }
    });
    test.wait_for_received("serve next");
    if (!interleaved) continue;
    test.upstream.wait_for_ended(3);
    CHECK_FALSE(test.server.has_received("serve late"));
    CHECK_FALSE(test.server.has_received("serve gone"));
    CHECK_FALSE(test.server.has_received("serve past"));
    test.server.connections[0]->send("write ACK - 0\r\n\r\nnext ACK - 0\r\n\r\n");
    test.upstream.wait_for_ended(5);
    CHECK(test.upstream.ended_count == 5);
  }
  CHECK(interleaved);
}

TEST_CASE("answers with an error at full speed do not grow the memory of expected late answers") {
  NodeAndServer test;
  test.upstream.limits.max_expected_late_answers = 50;
  for (int number = 0; number < 200; ++number) {
    const std::string id = "p" + std::to_string(number);
    test.upstream.attempt(id);
    CHECK(run_until(test.upstream.scheduler, [&] {
      for (const auto& connection : test.server.connections)
        if (connection->has_received("serve " + id + " ")) return true;
      return false;
    }));
    for (const auto& connection : test.server.connections)
      if (connection->has_received("serve " + id + " ")) connection->try_send(id + " EIO - 0\r\n\r\n");
    test.upstream.wait_for_ended(number + 1);
    CHECK(test.upstream.resources.expected_late_answers <= 51);
  }
  CHECK(test.upstream.counters.links_forgetting >= 3);
  CHECK(test.server.connections.size() <= 6);
}

TEST_CASE("answers that nodes send while there is no memory for them wait, and are read when there is") {
  NodeAndServer test;
  policy::MemoryBudget budget(1 << 20, [] { return std::size_t{2 << 20}; });  // the least: one answer
  test.upstream.resources.memory_budget = &budget;
  test.upstream.limits.max_connections_per_node = 2;
  test.upstream.limits.answer_stall_timeout = 0.05;
  policy::MemoryCharge held_by_a_slow_client(budget, policy::MemoryUse::kAnswers);
  held_by_a_slow_client.resize(200000);
  const auto answer = [](const std::string& id) {
    return id + " ACK sum=t 200000\r\n" + std::string(200000, 'x') + "\r\n";
  };
  test.upstream.attempt("p1");
  test.wait_for_received("serve p1");
  test.server.connections[0]->try_send(answer("p1"));
  CHECK(run_until(test.upstream.scheduler, [&] { return test.upstream.counters.answers_paused == 1; }));
  wait_for(test.upstream.scheduler, 0.2);
  CHECK(test.upstream.ended_count == 0);
  CHECK(budget.charged(policy::MemoryUse::kAnswers) < 250000);
  held_by_a_slow_client.resize(0);
  test.upstream.wait_for_ended(1);
  CHECK(test.upstream.trace.find("p1/0 at c1: completed") != std::string::npos);
  CHECK(test.upstream.counters.links_stalled == 0);
}

namespace {

// A server that does not accept: the only place in its listen queue is taken, so no connection comes up.
struct FullServer {
  explicit FullServer(Scheduler& scheduler)
      : listener(scheduler, *transport::Address::parse("127.0.0.1:0"), 0),
        first(dial(scheduler, listener.address())) {}
  transport::Listener listener;
  std::shared_ptr<TestConnection> first;
};

}  // namespace

TEST_CASE(
    "a node's address changes before an attempt was sent: it goes to the new address and not to the old") {
  NodeAndServer test;
  FullServer old_address(test.upstream.scheduler);
  test.upstream.upstream_node->set_address(old_address.listener.address());
  test.upstream.attempt("p1");
  CHECK(run_until(test.upstream.scheduler, [&] { return test.upstream.resources.connections == 1; }));
  test.upstream.upstream_node->set_address(test.server.address);
  test.wait_for_received("serve p1");
  CHECK(test.upstream.resources.connections == 1);
}

TEST_CASE(
    "a node is removed before an attempt was sent: it ends as not sent, and no connection comes up later") {
  NodeAndServer test;
  FullServer removed(test.upstream.scheduler);
  test.upstream.upstream_node->set_address(removed.listener.address());
  test.upstream.attempt("p1");
  CHECK(run_until(test.upstream.scheduler, [&] { return test.upstream.resources.connections == 1; }));
  test.upstream.upstream_node->retire();
  const Seconds retired_at = Scheduler::now();
  test.upstream.wait_for_ended(1);
  CHECK(Scheduler::now() < retired_at + 2);  // the connection would be given up after 5 s
  CHECK(test.upstream.trace == "p1/0 at c1: not sent\n");
  CHECK(test.upstream.resources.connections == 0);
}

TEST_CASE("a write that waits for a node that does not read is not held in memory a second time") {
  const auto request = std::make_shared<protocol::ForwardedRequest>();
  request->body = std::string(1000, 'b');
  UpstreamMessage message = UpstreamMessage::attempt({"p1"}, request, {}, 1);
  message.encode(0, {"c1"}, 0, true);
  CHECK(message.bytes.capacity() < 200);
  CHECK(message.held_back == 2);
  std::string written;
  while (written.size() < message.size()) written += message.piece(written.size(), message.size());
  CHECK(written == message.bytes + request->body + "\r\n");
  CHECK(message.piece(3, 5) == message.bytes.substr(3, 2));
}
