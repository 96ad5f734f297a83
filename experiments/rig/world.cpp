#include "rig/world.hpp"

#include <fmt/format.h>
#include <sys/socket.h>

#include <charconv>
#include <utility>

#include "rig/commands.hpp"
#include "transport/tcp_counts.hpp"

namespace hareramp::rig {

using transport::Buffer;
using transport::kNever;
using transport::Scheduler;
using transport::Socket;
using transport::Task;

namespace {
constexpr std::size_t kReadBytes = 65536;
transport::Address any_loopback_port() { return *transport::Address::parse("127.0.0.1:0"); }
}  // namespace

Node::Node(Scheduler& scheduler, std::map<std::string, std::size_t> sizes, NodeBehavior behavior,
           std::uint64_t seed)
    : scheduler_(scheduler),
      sizes_(std::move(sizes)),
      behavior_(behavior),
      random_(seed),
      listener_(scheduler, any_loopback_port(), 512),
      address_(listener_.address()) {
  scheduler.spawn(accept_connections(*this));
}

Task<> Node::accept_connections(Node& self) {
  for (;;) {
    auto accepted = co_await self.listener_.accept();
    if (accepted.status == transport::Listener::Status::kClosed) co_return;
    if (accepted.status == transport::Listener::Status::kAccepted)
      self.scheduler_.spawn(serve_connection(self, std::make_shared<Socket>(std::move(accepted.socket))));
  }
}

Task<> Node::write_answer(Node& self, std::shared_ptr<Socket> socket, std::string text, bool reset) {
  co_await self.scheduler_.sleep_until(Scheduler::now() + self.behavior_.delay);
  if (reset) {
    socket->abort();
    co_return;
  }
  const auto io = co_await socket->write(text, Scheduler::now() + 10);
  self.octets_.sent += io.bytes;
}

Task<> Node::serve_connection(Node& self, std::shared_ptr<Socket> socket) {
  Buffer buffer(1 << 16);
  for (;;) {
    const auto io = co_await socket->read(buffer, kReadBytes, kNever);
    if (!io.ok()) co_return;
    self.octets_.received += io.bytes;
    while (const auto command = next_command(buffer)) {
      if (command->verb != "serve") continue;
      ++self.requests_;
      const std::string &id = command->id, &fields = command->fields;
      const auto size = self.sizes_.find(field(fields, "lane"));
      const std::size_t bytes = size == self.sizes_.end() ? 100 : size->second;
      std::uniform_real_distribution<double> share(0, 1);
      const bool reset = share(self.random_) < self.behavior_.reset_share,
                 rejected = share(self.random_) < self.behavior_.rejected_share;
      std::string text = fmt::format("{} ACK sum=rig,t0=1,why=mem {}\r\n", id, bytes);
      text.append(bytes, 'x').append("\r\n");
      if (rejected) text = id + " AGAIN why=crowded 0\r\n\r\n";
      self.scheduler_.spawn(write_answer(self, socket, std::move(text), reset));
    }
  }
}

IdleChangeStream::IdleChangeStream(Scheduler& scheduler)
    : scheduler_(scheduler), listener_(scheduler, any_loopback_port(), 16), address_(listener_.address()) {
  scheduler.spawn(accept_connections(*this));
}

Task<> IdleChangeStream::accept_connections(IdleChangeStream& self) {
  for (;;) {
    auto accepted = co_await self.listener_.accept();
    if (accepted.status == transport::Listener::Status::kClosed) co_return;
    if (accepted.status == transport::Listener::Status::kAccepted)
      self.scheduler_.spawn(serve_connection(self, std::move(accepted.socket)));
  }
}

Task<> IdleChangeStream::serve_connection(IdleChangeStream& self, Socket socket) {
  std::string text = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
  while ((co_await socket.write(text, kNever)).ok()) {
    co_await self.scheduler_.sleep_until(Scheduler::now() + 1);
    text = ": still here\n\n";
  }
}

void Client::Answer::start_line(std::string_view first, std::string_view) {
  std::from_chars(first.data(), first.data() + first.size(), status);
}

Client::Client(Scheduler& scheduler, transport::Address director, transport::Address from,
               std::string request_class, bool write, ReadPattern read_pattern, std::uint64_t number)
    : scheduler_(scheduler),
      director_(director),
      from_(from),
      request_class_(std::move(request_class)),
      write_(write),
      read_pattern_(read_pattern),
      number_(number) {}

Task<bool> Client::connect() {
  auto connected = co_await transport::connect(scheduler_, director_, Scheduler::now() + 2, &from_);
  if (connected.status != transport::ConnectStatus::kConnected) co_return false;
  socket_ = std::move(connected.socket);
  ++counts_.connections;
  received_.consume(received_.size());
  if (read_pattern_.receive_buffer > 0)
    setsockopt(socket_.descriptor(), SOL_SOCKET, SO_RCVBUF, &read_pattern_.receive_buffer,
               sizeof read_pattern_.receive_buffer);
  co_return true;
}

void Client::close() {
  if (const auto tcp = transport::tcp_counts(socket_.descriptor()); tcp && socket_.open()) {
    counts_.segments.sent += tcp->segments_out;
    counts_.segments.received += tcp->segments_in;
  }
  socket_.close();
}

Task<bool> Client::send_request(bool reset_midway) {
  if (!socket_.open() && !co_await connect()) {
    ++counts_.lost;
    co_return false;
  }
  ++counts_.asked;
  const std::string body = write_ ? "sorted" : "";
  const std::string request = fmt::format(
      "{} /invoke/{}/{:x}/block-0 HTTP/1.1\r\nHost: rig\r\nX-Correlation-Id: {:08x}{:08x}\r\nX-Deadline-Ms: "
      "10000\r\n{}\r\n{}",
      write_ ? "PUT" : "GET", request_class_, 1000 + number_ % 50, number_, requests_sent_++,
      write_ ? fmt::format("Content-Length: {}\r\n", body.size()) : "", body);
  const auto written = co_await socket_.write(request, Scheduler::now() + 10);
  counts_.octets.sent += written.bytes;
  protocol::HttpParser parser(protocol::HttpParser::Message::kResponse, {16384, 1 << 24});
  Answer answer;
  for (;;) {
    const auto io = co_await socket_.read(received_, read_pattern_.bytes_per_read, Scheduler::now() + 20);
    counts_.octets.received += io.bytes;
    if (!io.ok()) {
      ++counts_.lost;
      close();
      co_return false;
    }
    if (reset_midway) {
      ++counts_.lost;
      socket_.abort();
      co_return false;
    }
    auto step = protocol::HttpParser::Step::kHead;
    while (step == protocol::HttpParser::Step::kHead) {  // the body may already be in the buffer
      std::size_t consumed = 0;
      step = parser.parse(received_.view(), consumed, answer);
      received_.consume(consumed);
    }
    if (step == protocol::HttpParser::Step::kDone) break;
    if (step != protocol::HttpParser::Step::kMore) {
      ++counts_.lost;
      close();
      co_return false;
    }
    if (read_pattern_.pause > 0) co_await scheduler_.sleep_until(Scheduler::now() + read_pattern_.pause);
  }
  if (answer.status == 200 || answer.status == 304) ++counts_.completed;
  if (answer.status == 503) ++counts_.bounced;
  if (answer.status == 500) ++counts_.forfeited;
  co_return true;
}

void Client::start(std::uint64_t requests, double pause, bool reset_last) {
  scheduler_.spawn(run_requests(*this, requests, pause, reset_last));
}

Task<> Client::run_requests(Client& self, std::uint64_t requests, double pause, bool reset_last) {
  for (std::uint64_t i = 0; i < requests; ++i) {
    co_await self.send_request(reset_last && i + 1 == requests);
    if (pause > 0) co_await self.scheduler_.sleep_until(Scheduler::now() + pause);
  }
  self.close();
  self.done_ = true;
}

void Client::request(double due) {
  busy_ = true;
  scheduler_.spawn(run_timed_request(*this, due));
}

Task<> Client::run_timed_request(Client& self, double due) {
  const bool answered = co_await self.send_request(false);
  if (answered) self.latencies_.push_back(Scheduler::now() - due);
  self.busy_ = false;
}

std::string configuration(const Site& site) {
  std::string servers;
  for (const auto& [id, address] : site.caches)
    servers += fmt::format(
        R"({{"id":"{}","addr":"{}","zone":"edge","kind":"cache","cell":0,"state":"active","weight":{},"started_ms":0}},)",
        id, address, site.cache_weight);
  servers += fmt::format(
      R"({{"id":"origin","addr":"{}","zone":"hub","kind":"origin","cell":1,"state":"active","weight":{},"started_ms":0}})",
      site.origin, site.origin_weight);
  return fmt::format(
             R"({{"name":"rig","listen":"{}","seed":"8c1f30d27a5be964","changelog":"{}","limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},
"known":{{"seq":1,"results":[{{"seq":1,"fleet":{{"version":1,"full":true,"servers":[{}]}}}}]}},)",
             site.listen, site.change_log, site.memory_mb, site.sockets, servers) +
         R"("settings":{"Balancers":1,"Kinds":["cache","parent","origin"],"Zones":["hub","edge"],"Locality":1,
"MembershipMode":"push","Weights":"nominal",
"Contract":{"ColdS":10.0,"DrainGraceS":1.0,"FallMultiple":2.0,"FallS":3.0,"StartCapacity":0.2},
"FamilyInfo":{"CanJoin":false,"Direct":true,"GoesThrough":[false,false,true],"GoodForS":[0.0,0.0,0.0],"OriginKind":2,
"PeersFill":"none","PurgeDoneS":6.0,"SeatsByZone":[0,1],"ShieldKind":1,"StaleForS":[0.0,0.0,0.0],"StreamKbPerS":4600.0,
"Tells":"all"},
"Permissions":{"Cancel":true,"ConnIdleS":15.0,"ConnectTimeoutS":0.4,"MaxAttempts":6,"MaxRetryAfterS":2.0,
"RetryAfter":true,"SecondCopies":true,"StreamsPerConn":100},
"RequestClasses":[{"Name":"clip","AimStretch":2.0,"DeadlineS":10.0,"Effect":"retryable","PromiseS":2.0},
{"Name":"segment","AimStretch":2.0,"DeadlineS":10.0,"Effect":"retryable","PromiseS":0.5},
{"Name":"note","DeadlineS":10.0,"Effect":"fragile","PromiseS":0.8}]}})";
}

}  // namespace hareramp::rig
