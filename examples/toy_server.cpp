// A toy world for one director, to try it by hand: the change log, one cache node and the origin, in one
// process on three ports of 127.0.0.1. It keeps what was fetched for ever and is no model of a real node.
//
//   GET http://127.0.0.1:7100/changes        the change log, as directors follow it
//   GET http://127.0.0.1:7100/purge/OBJECT   drops an object everywhere and tells it in the change log
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

constexpr double kComment = 1.0;          // s between comments in the change log
constexpr std::size_t kObject = 2000;     // bytes of every object
constexpr std::size_t kReadRoom = 65536;  // bytes

class Toy {
 public:
  explicit Toy(Scheduler& scheduler) : scheduler_(scheduler) {}

  void start() {
    scheduler_.spawn(take("127.0.0.1:7100", &Toy::changes));
    scheduler_.spawn(take("127.0.0.1:7101", &Toy::cache));
    scheduler_.spawn(take("127.0.0.1:7102", &Toy::origin));
  }

 private:
  using Role = Task<> (Toy::*)(Socket);

  Task<> take(std::string at, Role role) {
    transport::Listener listener(scheduler_, *transport::Address::parse(at), 64);
    for (;;) {
      auto accepted = co_await listener.accept();
      if (accepted.status == transport::Listener::Status::kAccepted)
        scheduler_.spawn((this->*role)(std::move(accepted.socket)));
    }
  }

  // --- the change log ---
  struct Asked : protocol::HttpHandler {
    std::string target;
    std::size_t after = 0;
    void start_line(std::string_view, std::string_view what) override { target = what; }
    void header(std::string_view name, std::string_view value) override {
      if (protocol::equal_ignoring_case(name, "last-event-id"))
        std::from_chars(value.data(), value.data() + value.size(), after);
    }
    void body(std::string_view) override {}
  };

  Task<> changes(Socket socket) {
    transport::Buffer in(0);
    protocol::HttpParser parser(protocol::HttpParser::Message::kRequest, {8192, 0});
    Asked asked;
    for (auto step = protocol::HttpParser::Step::kMore; step != protocol::HttpParser::Step::kDone;) {
      if (!(co_await socket.read(in, kReadRoom, transport::kNever)).ok()) co_return;
      std::size_t used = 0;
      step = parser.feed(in.view(), used, asked);
      in.consume(used);
    }
    constexpr std::string_view kPurge = "/purge/";
    if (asked.target.starts_with(kPurge)) {
      const std::string object = asked.target.substr(kPurge.size());
      std::erase_if(held_, [&](const std::string& unit) { return unit.starts_with(object + "/"); });
      events_.push_back(fmt::format(R"({{"seq":{},"invalidate":{{"object":"{}","time":{:.0f}}}}})",
                                    events_.size() + 1, object, transport::Clock::unix_now() * 1000));
      co_await socket.write(protocol::http_response_head(200, "", 7, false) + "purged\n", transport::kNever);
      co_return;
    }
    std::string text = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
    for (std::size_t sent = asked.after;;) {
      for (; sent < events_.size(); ++sent)
        text += fmt::format("id: {}\ndata: {}\n\n", sent + 1, events_[sent]);
      if (!(co_await socket.write(text, transport::kNever)).ok()) co_return;
      co_await scheduler_.sleep_until(Scheduler::now() + kComment);
      text = ": still here\n\n";
    }
  }

  // --- the nodes ---
  static std::string word_of(const std::string& line, std::size_t place) {
    std::size_t from = 0;
    for (; place > 0 && from != std::string::npos; --place) from = line.find(' ', from) + 1;
    return line.substr(from, line.find(' ', from) - from);
  }
  static std::string field(const std::string& fields, const std::string& name) {
    const std::string all = "," + fields + ",";
    const auto at = all.find("," + name + "=");
    if (at == std::string::npos) return "";
    const auto from = at + name.size() + 2;
    return all.substr(from, all.find(',', from) - from);
  }
  std::string answer(const std::string& id, const char* why) const {
    std::string line = fmt::format("{} ACK sum=toy,t0={:.0f},why={} {}\r\n", id,
                                   transport::Clock::unix_now() * 1000, why, kObject);
    return line.append(kObject, '.').append("\r\n");
  }

  Task<> cache(Socket socket) { return node(std::move(socket), false); }
  Task<> origin(Socket socket) { return node(std::move(socket), true); }

  Task<> node(Socket socket, bool is_origin) {
    transport::Buffer in(0);
    while ((co_await socket.read(in, kReadRoom, transport::kNever)).ok()) {
      for (;;) {
        const auto end = in.view().find("\r\n");
        if (end == std::string_view::npos) break;
        const std::string line(in.view().substr(0, end));
        if (!line.starts_with("serve ")) {  // a cancel: everything here is answered at once
          in.consume(end + 2);
          continue;
        }
        std::size_t length = 0;
        const std::string last = word_of(line, 3);
        std::from_chars(last.data(), last.data() + last.size(), length);
        if (in.size() < end + 2 + length + 2) break;
        in.consume(end + 2 + length + 2);
        const std::string id = word_of(line, 1), fields = word_of(line, 2);
        const std::string unit = field(fields, "name") + "/" + field(fields, "piece");
        const bool hit = is_origin || held_.contains(unit), filled = !hit && !field(fields, "next").empty();
        fmt::print("{:<6} {:<4} {}\n", is_origin ? "origin" : "cache",
                   hit      ? "hit"
                   : filled ? "fill"
                            : "miss",
                   unit);
        if (filled && field(fields, "admit") != "") held_.insert(unit);
        std::string reply = id + " NOENT why=absent 0\r\n\r\n";
        if (hit || filled) reply = answer(id, hit ? "mem" : "origin");
        co_await socket.write(reply, transport::kNever);
      }
    }
  }

  Scheduler& scheduler_;
  std::set<std::string> held_;
  // Event 1 is the list, as in the configuration of examples/.
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
  Toy toy(scheduler);
  toy.start();
  scheduler.run();
}
