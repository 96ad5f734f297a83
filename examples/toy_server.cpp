// Servers for trying one director by hand: the source of the change stream, one cache and the origin, in one
// process on three ports of 127.0.0.1. The cache keeps what it fetched until it is purged, and doesn't model
// a real node.
//
//   GET http://127.0.0.1:7100/changes        the change stream, as directors follow it
//   GET http://127.0.0.1:7100/purge/OBJECT   purges an object, in the cache and by an event
#include <fmt/format.h>

#include <charconv>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "protocol/http.hpp"
#include "transport/clock.hpp"
#include "transport/scheduler.hpp"
#include "transport/socket.hpp"

using namespace hareramp;
using transport::Scheduler;
using transport::Socket;
using transport::Task;

namespace {

constexpr double kCommentInterval = 1.0;   // s between comments in the change stream
constexpr std::size_t kObjectSize = 2000;  // bytes of every object
constexpr std::size_t kReadSize = 65536;   // bytes

class ToyServer {
 public:
  explicit ToyServer(Scheduler& scheduler) : scheduler_(scheduler) {}

  void start() {
    scheduler_.spawn(accept_connections("127.0.0.1:7100", &ToyServer::serve_changes));
    scheduler_.spawn(accept_connections("127.0.0.1:7101", &ToyServer::serve_cache));
    scheduler_.spawn(accept_connections("127.0.0.1:7102", &ToyServer::serve_origin));
  }

 private:
  using ConnectionHandler = Task<> (ToyServer::*)(Socket);

  Task<> accept_connections(std::string address, ConnectionHandler handler) {
    transport::Listener listener(scheduler_, *transport::Address::parse(address), 64);
    for (;;) {
      auto accepted = co_await listener.accept();
      if (accepted.status == transport::Listener::Status::kAccepted)
        scheduler_.spawn((this->*handler)(std::move(accepted.socket)));
    }
  }

  // --- the change stream ---
  struct ReceivedRequest : protocol::HttpHandler {
    std::string target;
    std::size_t last_event_id = 0;
    void start_line(std::string_view, std::string_view target_text) override { target = target_text; }
    void header(std::string_view name, std::string_view value) override {
      if (protocol::equal_ignoring_case(name, "last-event-id"))
        std::from_chars(value.data(), value.data() + value.size(), last_event_id);
    }
    void body(std::string_view) override {}
  };

  Task<> serve_changes(Socket socket) {
    transport::Buffer in(0);
    protocol::HttpParser parser(protocol::HttpParser::Message::kRequest, {8192, 0});
    ReceivedRequest request;
    for (auto step = protocol::HttpParser::Step::kMore; step != protocol::HttpParser::Step::kDone;) {
      if (!(co_await socket.read(in, kReadSize, transport::kNever)).ok()) co_return;
      std::size_t consumed = 0;
      step = parser.parse(in.view(), consumed, request);
      in.consume(consumed);
    }
    constexpr std::string_view kPurge = "/purge/";
    if (request.target.starts_with(kPurge)) {
      const std::string object = request.target.substr(kPurge.size());
      std::erase_if(cached_parts_,
                    [&](const std::string& part_key) { return part_key.starts_with(object + "/"); });
      events_.push_back(fmt::format(R"({{"seq":{},"invalidate":{{"object":"{}","time":{:.0f}}}}})",
                                    events_.size() + 1, object, transport::Clock::unix_now() * 1000));
      co_await socket.write(protocol::http_response_head(200, "", 7, false) + "purged\n", transport::kNever);
      co_return;
    }
    std::string text = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
    for (std::size_t sent = request.last_event_id;;) {
      for (; sent < events_.size(); ++sent)
        text += fmt::format("id: {}\ndata: {}\n\n", sent + 1, events_[sent]);
      if (!(co_await socket.write(text, transport::kNever)).ok()) co_return;
      co_await scheduler_.sleep_until(Scheduler::now() + kCommentInterval);
      text = ": still here\n\n";
    }
  }

  // --- the nodes ---
  static std::string nth_word(const std::string& line, std::size_t index) {
    std::size_t from = 0;
    for (; index > 0 && from != std::string::npos; --index) from = line.find(' ', from) + 1;
    return line.substr(from, line.find(' ', from) - from);
  }
  static std::string field_value(const std::string& fields, const std::string& name) {
    const std::string padded = "," + fields + ",";
    const auto at = padded.find("," + name + "=");
    if (at == std::string::npos) return "";
    const auto from = at + name.size() + 2;
    return padded.substr(from, padded.find(',', from) - from);
  }
  std::string answer(const std::string& id, const char* why) const {
    std::string line = fmt::format("{} ACK sum=toy,t0={:.0f},why={} {}\r\n", id,
                                   transport::Clock::unix_now() * 1000, why, kObjectSize);
    return line.append(kObjectSize, '.').append("\r\n");
  }

  Task<> serve_cache(Socket socket) { return serve_node(std::move(socket), false); }
  Task<> serve_origin(Socket socket) { return serve_node(std::move(socket), true); }

  Task<> serve_node(Socket socket, bool is_origin) {
    transport::Buffer in(0);
    while ((co_await socket.read(in, kReadSize, transport::kNever)).ok()) {
      for (;;) {
        const auto end = in.view().find("\r\n");
        if (end == std::string_view::npos) break;
        const std::string line(in.view().substr(0, end));
        // A cancel has no effect: every request is answered at once.
        if (!line.starts_with("serve ")) {
          in.consume(end + 2);
          continue;
        }
        std::size_t length = 0;
        const std::string length_text = nth_word(line, 3);
        std::from_chars(length_text.data(), length_text.data() + length_text.size(), length);
        if (in.size() < end + 2 + length + 2) break;
        in.consume(end + 2 + length + 2);
        const std::string id = nth_word(line, 1), fields = nth_word(line, 2);
        const std::string part_key = field_value(fields, "name") + "/" + field_value(fields, "piece");
        const bool hit = is_origin || cached_parts_.contains(part_key),
                   filled = !hit && !field_value(fields, "next").empty();
        fmt::print("{:<6} {:<4} {}\n", is_origin ? "origin" : "cache",
                   hit      ? "hit"
                   : filled ? "fill"
                            : "miss",
                   part_key);
        if (filled && field_value(fields, "admit") != "") cached_parts_.insert(part_key);
        std::string reply = id + " NOENT why=absent 0\r\n\r\n";
        if (hit || filled) reply = answer(id, hit ? "mem" : "origin");
        co_await socket.write(reply, transport::kNever);
      }
    }
  }

  Scheduler& scheduler_;
  std::set<std::string> cached_parts_;
  // Event 1 is the endpoint list, the same as in examples/config.json.
  std::vector<std::string> events_ = {
      R"({"seq":1,"fleet":{"version":1,"full":true,"servers":[)"
      R"({"id":"cache-1","addr":"127.0.0.1:7101","zone":"edge","kind":"cache","cell":0,"state":"active","weight":8,"started_ms":0},)"
      R"({"id":"origin","addr":"127.0.0.1:7102","zone":"hub","kind":"origin","cell":1,"state":"active","weight":1,"started_ms":0}]}})"};
};

}  // namespace

int main() {
  Scheduler scheduler;
  scheduler.on_failure = [](std::exception_ptr failure) {
    try {
      std::rethrow_exception(failure);
    } catch (const std::exception& error) {
      fmt::print(stderr, "toy_server: {}\n", error.what());
    }
  };
  setvbuf(stdout, nullptr, _IOLBF, 0);
  ToyServer server(scheduler);
  server.start();
  scheduler.run();
}
