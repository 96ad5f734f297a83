#include "capacity/stream_source.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <utility>

#include "protocol/http.hpp"
#include "transport/buffer.hpp"

namespace hareramp::capacity {

using transport::Scheduler;
using transport::Socket;
using transport::Task;

namespace {

constexpr std::size_t kReadBytes = 4096;
constexpr std::size_t kMaxWriteBytes = 64 * 1024;  // bytes
constexpr double kCommentInterval = 1.0;           // s, as specified by the protocol page
constexpr double kWriteTimeout = 120.0;            // s; disconnects a subscriber that never reads
constexpr int kParentInterval = 10;

struct SubscriptionRequest : protocol::HttpHandler {
  long long last_event = 0;
  void start_line(std::string_view, std::string_view) override {}
  void header(std::string_view name, std::string_view value) override {
    if (protocol::equal_ignoring_case(name, "last-event-id"))
      std::from_chars(value.data(), value.data() + value.size(), last_event);
  }
  void body(std::string_view) override {}
};

}  // namespace

std::string node_entry(int node, std::string_view state) {
  const bool origin = node == 0, parent = !origin && node % kParentInterval == 1;
  return fmt::format(
      R"({{"id":"n-{:08x}","addr":"127.200.{}.{}:5050","zone":"{}","kind":"{}","cell":0,"state":"{}","weight":{},"started_ms":0}})",
      node * 2654435761u, node / 250, node % 250 + 1, origin || parent ? "hub" : "edge",
      origin   ? "origin"
      : parent ? "parent"
               : "cache",
      state, origin ? 1 : 8);
}

std::string node_entries(int nodes) {
  std::string entries;
  for (int node = 0; node < nodes; ++node) {
    if (node > 0) entries += ',';
    entries += node_entry(node, "active");
  }
  return entries;
}

StreamSource::StreamSource(Scheduler& scheduler, const std::string& listen, int nodes, std::string entries)
    : scheduler_(scheduler),
      listener_(scheduler, *transport::Address::parse(listen), 4096),
      address_(listener_.address()),
      offsets_{0} {
  if (entries.empty()) entries = node_entries(nodes);
  append(fmt::format(R"("fleet":{{"version":1,"full":true,"servers":[{}]}})", entries));
  scheduler.spawn(accept_subscribers(*this));
  scheduler.spawn(send_comments(*this));
}

void StreamSource::append(const std::string& change) {
  const std::size_t number = offsets_.size();
  encoded_ += fmt::format("id: {}\ndata: {{\"seq\":{},{}}}\n\n", number, number, change);
  offsets_.push_back(encoded_.size());
}

void StreamSource::append_purge(std::uint64_t object, double unix_ms) {
  append(fmt::format(R"("invalidate":{{"object":"{:016x}","time":{:.0f}}})", object, unix_ms));
}

void StreamSource::append_node_change(int node, std::string_view state) {
  append(fmt::format(R"("fleet":{{"version":2,"full":false,"servers":[{}]}})", node_entry(node, state)));
}

void StreamSource::publish() {
  for (const auto handle : std::exchange(waiting_subscribers_, {})) scheduler_.resume_soon(handle);
}

Task<> StreamSource::accept_subscribers(StreamSource& self) {
  for (;;) {
    auto accepted = co_await self.listener_.accept();
    if (accepted.status == transport::Listener::Status::kClosed) co_return;
    if (accepted.status != transport::Listener::Status::kAccepted) continue;
    ++self.stats_.accepted;
    self.scheduler_.spawn(serve(self, std::move(accepted.socket)));
  }
}

Task<> StreamSource::send_comments(StreamSource& self) {
  for (;;) {
    co_await self.scheduler_.sleep_until(Scheduler::now() + kCommentInterval);
    self.publish();
  }
}

Task<> StreamSource::serve(StreamSource& self, Socket socket) {
  transport::Buffer input(kReadBytes);
  protocol::HttpParser parser(protocol::HttpParser::Message::kRequest, {16384, 0});
  SubscriptionRequest request;
  for (auto step = protocol::HttpParser::Step::kMore; step != protocol::HttpParser::Step::kDone;) {
    const auto io = co_await socket.read(input, kReadBytes, Scheduler::now() + kWriteTimeout);
    if (!io.ok()) co_return;
    std::size_t consumed = 0;
    step = parser.parse(input.view(), consumed, request);
    input.consume(consumed);
    while (step == protocol::HttpParser::Step::kHead) step = parser.parse(input.view(), consumed, request);
  }
  const auto write = [&self, &socket](std::string_view bytes) -> Task<bool> {
    const auto io = co_await socket.write(bytes, Scheduler::now() + kWriteTimeout);
    self.stats_.bytes += io.bytes;
    ++self.stats_.writes;
    co_return io.ok();
  };
  ++self.stats_.subscribers;
  bool connected = co_await write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n");
  // A cursor past the last event is from before a restart of the source: the subscriber gets all events.
  const bool known = request.last_event >= 0 && request.last_event <= self.last();
  auto cursor = static_cast<std::size_t>(known ? request.last_event : 0);
  double last_comment = Scheduler::now();
  while (connected && !socket.closed_by_peer()) {
    const std::size_t offset = self.offsets_[cursor];
    if (offset < self.encoded_.size()) {
      const std::string chunk = self.encoded_.substr(offset, kMaxWriteBytes);
      // The write ends at the end of an event. An event that is longer than the largest write is sent whole.
      auto end = std::upper_bound(self.offsets_.begin(), self.offsets_.end(), offset + chunk.size()) - 1;
      if (*end <= offset) ++end;
      const std::size_t length = *end - offset;
      const auto next = static_cast<std::size_t>(end - self.offsets_.begin());
      connected = length <= chunk.size() ? co_await write(std::string_view(chunk).substr(0, length))
                                         : co_await write(self.encoded_.substr(offset, length));
      cursor = next;
      continue;
    }
    if (Scheduler::now() - last_comment >= kCommentInterval) {
      last_comment = Scheduler::now();
      connected = co_await write(":\n\n");
      continue;
    }
    co_await self.next_publication();
  }
  --self.stats_.subscribers;
}

}  // namespace hareramp::capacity
