// A director between stand-in nodes and clients with plain sockets, for tests of clients' connections.
#pragma once

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <functional>
#include <list>
#include <optional>
#include <string>

#include "helpers.hpp"
#include "program/config.hpp"
#include "routing/client_listener.hpp"
#include "routing/director_actor.hpp"

namespace hareramp::routing {

using transport::Scheduler;

inline const std::string kAbsent =
    "NOENT why=absent 0\r\n";  // an answer after which the director tries another node
inline const std::string kId1 = "0000000000000001", kId2 = "0000000000000002", kId3 = "0000000000000003";

inline std::string get(const std::string& id) {
  return "GET /invoke/video/7f/block-3 HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: " + id +
         "\r\nX-Deadline-Ms: 15000\r\nX-Family: 17\r\n\r\n";
}
inline std::string put(const std::string& id) {
  return "PUT /invoke/write/8/block-0 HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: " + id +
         "\r\nX-Deadline-Ms: 15000\r\nContent-Length: 2\r\n\r\nab";
}
// Complete requests with an id each, together at least this many bytes.
inline std::string pipelined(std::size_t bytes) {
  std::string requests;
  for (int number = 1000; requests.size() < bytes; ++number)
    requests += get("000000000000" + std::to_string(number));
  return requests;
}

// A client with a plain socket, so that the test controls each call; its send buffer takes what it sends at
// once.
class PlainClient {
 public:
  explicit PlainClient(transport::Address to) : descriptor_(::socket(to.family(), SOCK_STREAM, 0)) {
    const int send_buffer_bytes = 4 << 20;
    setsockopt(descriptor_, SOL_SOCKET, SO_SNDBUF, &send_buffer_bytes, sizeof send_buffer_bytes);
    REQUIRE(::connect(descriptor_, to.raw(), to.size()) == 0);
  }
  ~PlainClient() { close(); }
  PlainClient(const PlainClient&) = delete;
  PlainClient& operator=(const PlainClient&) = delete;
  void send(const std::string& bytes) {
    REQUIRE(::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT) ==
            static_cast<ssize_t>(bytes.size()));
  }
  std::uint16_t local_port() const { return transport::Address::own(descriptor_)->port(); }
  void try_send(std::string_view bytes) {
    ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
  }
  void finish() { ::shutdown(descriptor_, SHUT_WR); }
  void close() {
    if (descriptor_ >= 0) ::close(std::exchange(descriptor_, -1));
  }
  void reset() {
    const linger at_once{1, 0};
    setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    close();
  }
  // Reads what has arrived, and returns all that was received so far.
  const std::string& received() {
    std::array<char, 1 << 16> scratch;
    for (;;) {
      const ssize_t count = ::recv(descriptor_, scratch.data(), scratch.size(), MSG_DONTWAIT);
      if (count > 0) received_.append(scratch.data(), static_cast<std::size_t>(count));
      if (count == 0) ended_ = true;
      if (count < 0 && errno != EAGAIN) was_reset_ = true;
      if (count > 0) continue;
      int error = 0;  // a reset that arrived after the end of the stream
      socklen_t size = sizeof error;
      getsockopt(descriptor_, SOL_SOCKET, SO_ERROR, &error, &size);
      was_reset_ = was_reset_ || error != 0;
      return received_;
    }
  }
  bool ended() {
    received();
    return ended_;
  }
  bool was_reset() {
    received();
    return was_reset_;
  }

 private:
  int descriptor_;
  std::string received_;
  bool ended_ = false, was_reset_ = false;
};

enum class ClientEnd { kClose, kReset, kFinish };
inline const ClientEnd kClientEnds[] = {ClientEnd::kClose, ClientEnd::kReset, ClientEnd::kFinish};

inline void end_client(PlainClient& client, ClientEnd client_end) {
  if (client_end == ClientEnd::kClose) client.close();
  if (client_end == ClientEnd::kReset) client.reset();
  if (client_end == ClientEnd::kFinish) client.finish();
}

// A director between clients and a cache c1, a parent P1 and the origin O; the nodes are stand-in servers.
class TestDirector {
 public:
  explicit TestDirector(const std::function<void(Limits&)>& adjust_limits = {}) {
    const auto empty_configuration = *protocol::Json::parse("{}");
    limits = program::fill_limits(empty_configuration, empty_configuration);
    limits.client_idle_timeout = 15;
    limits.request_read_timeout = 15;
    limits.suspect_timeout = 15;
    limits.answer_stall_timeout = 15;
    limits.final_write_delay = 0;
    if (adjust_limits) adjust_limits(limits);
    Settings settings = DirectorFixture::usual_settings();
    settings["FamilyInfo.Direct"] = "true";
    const ConfiguredNames names{
        {"video", "docs", "write"}, {"z0", "z1", "z2"}, {"cache", "parent", "origin"}, {false, false, true}};
    actor.emplace(scheduler, limits, counters, log, names, settings, 7);
    actor->start();
    list_nodes(cache.address);
    listener.emplace(scheduler, limits, counters, *transport::Address::parse("127.0.0.1:0"), names, *actor);
    listener->start();
    scheduler.on_late = [this](Seconds until) { actor->woke_late(until); };
    scheduler.on_failure = [this](std::exception_ptr) { ++failures; };
  }
  ~TestDirector() { std::fclose(log_file); }
  void list_nodes(transport::Address cache_address) {
    const auto entry = [](const std::string& id, transport::Address node_address, const std::string& zone,
                          const std::string& kind) {
      return R"({"id":")" + id + R"(","addr":")" + node_address.text() + R"(","zone":")" + zone +
             R"(","kind":")" + kind + R"(","cell":1,"state":"active","weight":6,"started_ms":0})";
    };
    actor->known_change_arrived(*protocol::Json::parse(R"({"seq":5,"fleet":{"full":true,"servers":[)" +
                                                       entry("c1", cache_address, "z2", "cache") + "," +
                                                       entry("P1", parent.address, "z0", "parent") + "," +
                                                       entry("O", origin.address, "z1", "origin") + "]}}"));
  }
  void wait_until(const std::function<bool()>& condition) { CHECK(run_until(scheduler, condition)); }
  // How many attempts the nodes have received for requests whose id has this prefix.
  std::size_t attempts_received(const std::string& id = "") const {
    std::size_t count = 0;
    const std::string command = "serve " + id;
    for (const StandInServer* node : {&cache, &parent, &origin})
      for (const auto& connection : node->connections)
        for (auto at = connection->received.find(command); at != std::string::npos;
             at = connection->received.find(command, at + 1))
          ++count;
    return count;
  }
  void wait_for_attempts(const std::string& id, std::size_t count) {
    CHECK_MESSAGE(run_until(scheduler, [&] { return attempts_received(id) >= count; }), id);
  }
  // Ends the connection of the only client so far; its attempts until then are the only ones permitted.
  void end_connection(PlainClient& client, ClientEnd client_end) {
    attempts_at_end = counters.attempts;
    end_client(client, client_end);
  }
  // Waits until the director has noticed the disconnect and has run the calls posted by it, or until a
  // further attempt began.
  void wait_for_disconnect() {
    wait_until([&] {
      return (listener->clients() == 0 && counters.left == 1) || counters.attempts > attempts_at_end;
    });
  }
  // The only request has been cancelled, and no further attempt began.
  void check_cancelled() const {
    CHECK(counters.attempts == attempts_at_end);
    CHECK(counters.taken == 1);
    CHECK(counters.left == 1);
    CHECK(counters.open == 0);
  }
  std::string log_text() const {
    std::string text(1 << 16, '\0');
    text.resize(static_cast<std::size_t>(pread(fileno(log_file), text.data(), text.size(), 0)));
    return text;
  }
  // Each node with an attempt of the request sends this answer.
  void nodes_answer(const std::string& id, const std::string& answer) {
    for (StandInServer* node : {&cache, &parent, &origin})
      for (const auto& connection : node->connections)
        if (connection->has_received("serve " + id)) connection->try_send(id + " " + answer + "\r\n");
  }

  Scheduler scheduler;
  Limits limits;
  Counters counters;
  std::uint64_t attempts_at_end = 0;
  int failures = 0;
  std::FILE* log_file = std::tmpfile();
  Log log{fileno(log_file)};
  StandInServer cache{scheduler}, parent{scheduler}, origin{scheduler};
  std::optional<DirectorActor> actor;
  std::optional<ClientListener> listener;
};

}  // namespace hareramp::routing
