#include "client_floods/floods.hpp"

#include <fmt/format.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <utility>

namespace hareramp::client_floods {

using transport::Scheduler;
using transport::Seconds;
using transport::Socket;
using transport::Task;

namespace {

using SocketPointer = std::shared_ptr<Socket>;

constexpr Seconds kOwedWithin = 3.05;  // 3 s, and the 50 ms that every limit is longer on sockets
constexpr Seconds kReconnectPause = 0.05;
constexpr int kDeadlineMs = 2000;
constexpr std::size_t kReadBytes = 1 << 16;
constexpr std::size_t kSlowPieceBytes = 2000;
constexpr Seconds kSlowPiecePause = 0.04;
constexpr int kRequestsPerBatch = 200;
constexpr std::size_t kLeaverWrites = 24;  // of the largest size: more than the kernel holds for a connection
constexpr std::size_t kLeaverReads = 3000;

struct KindTraits {
  FloodKind kind;
  const char* name;
  bool many_connections, must_be_ended;
};
constexpr std::array<KindTraits, 14> kKinds = {
    {{FloodKind::kHalfBodies, "half_bodies", true, true},
     {FloodKind::kSlowBodies, "slow_bodies", true, true},
     {FloodKind::kChunkedBodies, "chunked_bodies", true, true},
     {FloodKind::kManyFields, "many_fields", true, true},
     {FloodKind::kLongFields, "long_fields", true, true},
     {FloodKind::kWholeWrites, "whole_writes", true, false},
     {FloodKind::kSlowReaders, "slow_readers", true, false},
     {FloodKind::kNewNames, "new_names", false, false},
     {FloodKind::kFailingNames, "failing_names", false, false},
     {FloodKind::kSmallRequests, "small_requests", false, false},
     {FloodKind::kEndlessNonsense, "endless_nonsense", false, true},
     {FloodKind::kChunkExtensions, "chunk_extensions", false, true},
     {FloodKind::kLeavers, "leavers", false, false},
     {FloodKind::kCrowd, "crowd", true, true}}};

const KindTraits& traits(FloodKind kind) { return kKinds[static_cast<std::size_t>(kind)]; }

std::string partial_request(FloodKind kind, const std::string& id) {
  const std::string head = "GET /invoke/segment/1/block-0 HTTP/1.1\r\nHost: s\r\n";
  std::string text;
  switch (kind) {
    case FloodKind::kManyFields:
      text = head;
      while (text.size() < 16000) text += "a:b\r\n";
      return text;
    case FloodKind::kLongFields:
      return "GET /invoke/segment/" + std::string(7000, 'a') +
             " HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: " + std::string(8000, 'b');
    case FloodKind::kChunkedBodies:
      text = "PUT /invoke/note/8/block-0 HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: " + id +
             "\r\nX-Deadline-Ms: 2000\r\nTransfer-Encoding: chunked\r\n\r\n";
      for (int i = 0; i < 45; ++i) text += "400\r\n" + std::string(1024, 'c') + "\r\n";
      return text;
    default:
      text = write_request(id, kLargestWrite, kDeadlineMs);
      return text.substr(0, text.size() * 9 / 10);
  }
}

}  // namespace

const char* name_of(FloodKind kind) { return traits(kind).name; }
bool must_be_ended(FloodKind kind) { return traits(kind).must_be_ended; }

const std::vector<FloodKind>& all_flood_kinds() {
  static const std::vector<FloodKind> kAll = [] {
    std::vector<FloodKind> kinds(kKinds.size());
    std::transform(kKinds.begin(), kKinds.end(), kinds.begin(), [](const auto& entry) { return entry.kind; });
    return kinds;
  }();
  return kAll;
}

Flood::Flood(FloodKind kind, transport::Address director, int connections, std::uint64_t seed,
             Journal& journal)
    : kind_(kind), director_(director), journal_(journal), random_(seed), ids_used_(seed << 32) {
  running_ = traits(kind).many_connections ? connections : 1;
  for (int i = 0; i < running_; ++i) scheduler_.spawn(run_connections(*this, static_cast<std::uint64_t>(i)));
  thread_ = std::thread([this] { scheduler_.run(); });
}

Flood::~Flood() { stop(); }

void Flood::stop() {
  stopping_ = true;
  if (thread_.joinable()) thread_.join();
}

Task<> Flood::sleep(double seconds) { co_await scheduler_.sleep_until(Scheduler::now() + seconds); }

Task<> Flood::run_connections(Flood& self, std::uint64_t) {
  while (!self.stopping_) {
    const SocketPointer socket = co_await self.connect();
    if (socket) co_await self.use(socket);
    if (socket) socket->close();
    co_await self.sleep(kReconnectPause * (0.5 + self.draw()));
  }
  if (--self.running_ == 0) self.scheduler_.stop();
}

Task<SocketPointer> Flood::connect() {
  auto connected = co_await transport::connect(scheduler_, director_, Scheduler::now() + 1);
  if (connected.status != transport::ConnectStatus::kConnected) co_return nullptr;
  ++connections_made_;
  co_return std::make_shared<Socket>(std::move(connected.socket));
}

Task<> Flood::use(SocketPointer socket) {
  const double connected_at = Scheduler::now();
  switch (kind_) {
    case FloodKind::kHalfBodies:
    case FloodKind::kChunkedBodies:
    case FloodKind::kManyFields:
    case FloodKind::kLongFields:
      co_await send_partial_request(socket);
      co_return co_await wait_for_end(socket, connected_at);
    case FloodKind::kSlowBodies:
      scheduler_.spawn(read_and_discard(socket));
      co_await send_slow_body(socket);
      co_return;
    case FloodKind::kWholeWrites:
      co_return co_await send_whole_writes(socket);
    case FloodKind::kSlowReaders:
      co_return co_await read_slowly(socket);
    case FloodKind::kLeavers:
      co_return co_await send_and_leave(socket);
    case FloodKind::kCrowd:
      co_return co_await wait_for_end(socket, connected_at);
    default:
      scheduler_.spawn(read_and_discard(socket));
      co_return co_await send_at_full_speed(socket);
  }
}

// A client that must be refused keeps sending after the refusal, until its connection is closed.
Task<> Flood::read_and_discard(SocketPointer socket) {
  transport::Buffer received(kReadBytes);
  while ((co_await socket->read(received, kReadBytes, transport::kNever)).ok())
    received.consume(received.size());
  if (!must_be_ended(kind_)) socket->close();
}

Task<> Flood::send_partial_request(SocketPointer socket) {
  const std::string request = partial_request(kind_, next_id());
  co_await socket->write(request, Scheduler::now() + kOwedWithin);
}

Task<> Flood::wait_for_end(SocketPointer socket, double connected_at) {
  transport::Buffer received(kReadBytes);
  const double give_up_at = connected_at + 2 * kOwedWithin;
  const auto io = co_await socket->read(received, kReadBytes, give_up_at);
  // A connection that waits in the backlog has not been accepted, and nothing is owed yet.
  if (io.status == transport::IoStatus::kTimedOut || Scheduler::now() > connected_at + kOwedWithin)
    ++overdue_;
}

Task<> Flood::send_slow_body(SocketPointer socket) {
  const std::string request = write_request(next_id(), kLargestWrite, kDeadlineMs);
  for (std::size_t sent = 0; sent < request.size() && socket->open() && !stopping_; sent += kSlowPieceBytes) {
    const auto piece = std::string_view(request).substr(sent, kSlowPieceBytes);
    if (!(co_await socket->write(piece, Scheduler::now() + 1)).ok()) co_return;
    co_await sleep(kSlowPiecePause * 2 * draw());
  }
}

Task<> Flood::send_whole_writes(SocketPointer socket) {
  transport::Buffer received(kReadBytes);
  while (!stopping_) {
    const std::string request = write_request(next_id(), kLargestWrite, kDeadlineMs);
    if (!(co_await socket->write(request, Scheduler::now() + 1)).ok()) co_return;
    if (!(co_await socket->read(received, kReadBytes, Scheduler::now() + 3)).ok()) co_return;
    received.consume(received.size());
  }
}

Task<> Flood::read_slowly(SocketPointer socket) {
  const int receive_buffer_bytes = 4096;
  setsockopt(socket->descriptor(), SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes, sizeof receive_buffer_bytes);
  const std::string request = read_request("clip", 1 + random_() % 50, next_id(), kDeadlineMs);
  if (!(co_await socket->write(request, Scheduler::now() + 1)).ok()) co_return;
  transport::Buffer received(512);
  while (!stopping_ && (co_await socket->read(received, 512, Scheduler::now() + 3)).ok()) {
    received.consume(received.size());
    co_await sleep(0.2);
  }
}

std::string Flood::full_speed_batch(bool first) {
  std::string text;
  for (int i = 0; i < kRequestsPerBatch; ++i) {
    const std::uint64_t object = random_() % kFailingObjects;
    switch (kind_) {
      case FloodKind::kNewNames:
        text += read_request("segment", object, next_id(), 1);
        break;
      case FloodKind::kFailingNames:
        text += read_request("segment", kFailingObjects + object % 1000, next_id(), kDeadlineMs);
        break;
      case FloodKind::kSmallRequests:
        text +=
            i % 2 == 0 ? "GET /_health HTTP/1.1\r\nHost: s\r\n\r\n" : "GET /x HTTP/1.1\r\nHost: s\r\n\r\n";
        break;
      case FloodKind::kChunkExtensions:
        if (first && i == 0)
          text = "PUT /invoke/note/8/block-0 HTTP/1.1\r\nHost: s\r\nTransfer-Encoding: chunked\r\n\r\n";
        text += "1;" + std::string(4000, 'e') + "\r\nb\r\n";
        break;
      default:
        text += std::string(4000, 'n');
    }
  }
  return text;
}

Task<> Flood::send_at_full_speed(SocketPointer socket) {
  const double connected_at = Scheduler::now();
  for (bool first = true; !stopping_ && socket->open(); first = false) {
    const std::string batch = full_speed_batch(first);
    if (!(co_await socket->write(batch, Scheduler::now() + kOwedWithin)).ok()) co_return;
    if (must_be_ended(kind_) && Scheduler::now() > connected_at + kOwedWithin) {
      ++overdue_;
      co_return;
    }
  }
}

Task<> Flood::send_and_leave(SocketPointer socket) {
  std::set<std::string> ids;
  std::string requests;
  const bool writes = draw() < 0.5;
  const std::size_t count = writes ? kLeaverWrites : kLeaverReads;
  for (std::size_t i = 0; i < count; ++i) {
    const std::string id = next_id();
    ids.insert(id);
    requests += writes ? write_request(id, kLargestWrite, kDeadlineMs)
                       : read_request("segment", 1 + random_() % 50, id, kDeadlineMs);
  }
  const int send_buffer_bytes = 4 << 20;
  setsockopt(socket->descriptor(), SOL_SOCKET, SO_SNDBUF, &send_buffer_bytes, sizeof send_buffer_bytes);
  socket->write_now(requests);
  co_await sleep(0.02 * draw());
  socket->close();
  journal_.client_left(ids, Scheduler::now());
  co_await sleep(0.2 * draw());
  const SocketPointer again = co_await connect();
  if (!again || !writes) co_return;
  journal_.sent_again(*ids.begin());
  co_await again->write(write_request(*ids.begin(), kLargestWrite, kDeadlineMs), Scheduler::now() + 1);
  transport::Buffer received(kReadBytes);
  co_await again->read(received, kReadBytes, Scheduler::now() + 3);
}

}  // namespace hareramp::client_floods
