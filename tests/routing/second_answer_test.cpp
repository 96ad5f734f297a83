// A client gets exactly one answer to each request, and nothing while no request of it is open.
#include "routing/test_director.hpp"

using namespace hareramp;
using namespace hareramp::routing;
using policy::MemoryUse;

namespace {

constexpr std::size_t kWriteBytes = 48000;

// A request with a body; only the first bytes_sent of the body are in the text.
std::string with_body(const std::string& request_line, const std::string& id,
                      std::size_t bytes_sent = kWriteBytes) {
  return request_line + " HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: " + id +
         "\r\nX-Deadline-Ms: 15000\r\nContent-Length: " + std::to_string(kWriteBytes) + "\r\n\r\n" +
         std::string(bytes_sent, 'b');
}
std::size_t answers(PlainClient& client) {
  const std::string received = client.received();
  std::size_t count = 0;
  for (auto at = received.find("HTTP/1.1 "); at != std::string::npos; at = received.find("HTTP/1.1 ", at + 1))
    ++count;
  return count;
}
std::size_t charged_requests(TestDirector& director) {
  return director.actor->memory_budget().charged(MemoryUse::kRequests);
}
// Partly read writes take all the memory for requests, until one of them has to give way.
void use_up_request_memory(TestDirector& director, std::list<PlainClient>& clients) {
  for (std::size_t client = 0; director.counters.clients_shed == 0; ++client) {
    REQUIRE(client < 10);
    const std::size_t charged = charged_requests(director);
    clients.emplace_back(director.listener->address())
        .send(with_body("PUT /invoke/write/8", "00000000000000a" + std::to_string(client), kWriteBytes / 2));
    director.wait_until(
        [&] { return charged_requests(director) > charged || director.counters.clients_shed > 0; });
  }
}

}  // namespace

// Guards against the body of an answered request being given up with an answer of its own (issue 65,
// review/7).
TEST_CASE("a client that rests after a refused request gets no second answer when memory is short") {
  const std::string refused[] = {"PUT /invoke/write/8", "PUT /elsewhere", "POST /invoke/write/8",
                                 "POST /_health"};
  for (const std::string& request_line : refused) {
    TestDirector director([](Limits& limits) { limits.memory = 2 << 20; });  // the least budget: two writes
    const std::size_t whole_budget = 1 << 30;
    director.actor->memory_budget().charge(MemoryUse::kAnswers, whole_budget);
    PlainClient resting(director.listener->address());
    resting.send(with_body(request_line, kId1));
    director.wait_until([&] { return answers(resting) == 1; });
    director.actor->memory_budget().release(MemoryUse::kAnswers, whole_budget);
    CHECK(charged_requests(director) == 0);
    std::list<PlainClient> writing;
    use_up_request_memory(director, writing);
    CHECK_MESSAGE(answers(resting) == 1, request_line);
    CHECK(!resting.ended());
    resting.send(get(kId2));
    director.wait_for_attempts(kId2, 1);
    director.nodes_answer(kId2, "ACK - 2\r\nok");
    director.wait_until([&] { return answers(resting) == 2; });
  }
}

TEST_CASE("nothing of a write is charged to its connection once the write is handed over") {
  TestDirector director([](Limits& limits) { limits.memory = 64 << 20; });
  PlainClient client(director.listener->address());
  client.send(with_body("PUT /invoke/write/8", kId1));
  director.wait_for_attempts(kId1, 1);
  CHECK(charged_requests(director) == kWriteBytes);
}

// Guards against the empty line that some clients send behind a body being taken for a request.
TEST_CASE("a client that rests behind an empty line is closed without a second answer") {
  enum class Ending { kDrain, kIdle, kMemoryShort };
  for (const std::string empty_lines : {"\r\n", "\r", "\r\n\r\n\r"}) {
    for (const Ending ending : {Ending::kDrain, Ending::kIdle, Ending::kMemoryShort}) {
      TestDirector director([&](Limits& limits) {
        limits.memory = 2 << 20;
        if (ending == Ending::kIdle) limits.client_idle_timeout = limits.request_read_timeout = 0.05;
      });
      PlainClient client(director.listener->address());
      client.send(put(kId1) + empty_lines);
      director.wait_for_attempts(kId1, 1);
      director.nodes_answer(kId1, "ACK - 2\r\nok");
      director.wait_until([&] { return answers(client) == 1; });
      std::list<PlainClient> writing;
      if (ending == Ending::kDrain) director.listener->close();
      if (ending == Ending::kMemoryShort) use_up_request_memory(director, writing);
      if (ending != Ending::kMemoryShort) director.wait_until([&] { return client.ended(); });
      CHECK(answers(client) == 1);
    }
  }
}
