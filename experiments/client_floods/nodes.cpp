#include "client_floods/nodes.hpp"

#include <fmt/format.h>

#include <charconv>
#include <utility>

namespace hareramp::client_floods {

using transport::kNever;
using transport::Scheduler;
using transport::Seconds;
using transport::Socket;
using transport::Task;

namespace {

constexpr std::size_t kReadBytes = 1 << 16;
constexpr Seconds kWriteTimeout = 10;
constexpr Seconds kStopPollInterval = 0.02;

std::size_t bytes_of(const std::string& request_class) {
  if (request_class == "clip") return kLargestObject;
  return request_class == "segment" ? 20000 : 3;
}

std::string answer_to(const rig::Command& command) {
  std::uint64_t object = 0;
  const std::string name = rig::field(command.fields, "name");
  std::from_chars(name.data(), name.data() + name.size(), object, 16);
  if (object >= kFailingObjects) return command.id + " EIO - 0\r\n\r\n";
  const std::size_t bytes = bytes_of(rig::field(command.fields, "lane"));
  std::string text = fmt::format("{} ACK sum=rig,t0=1,why=mem {}\r\n", command.id, bytes);
  return text.append(bytes, 'x').append("\r\n");
}

Task<> stop_when(Scheduler& scheduler, const std::atomic<bool>& stopping) {
  while (!stopping) co_await scheduler.sleep_until(Scheduler::now() + kStopPollInterval);
  scheduler.stop();
}

}  // namespace

Nodes::Nodes(NodePlan plan, Journal& journal)
    : plan_(plan), journal_(journal), random_(plan.seed), changes_(scheduler_) {
  for (int i = 0; i <= plan_.caches; ++i) {
    listeners_.push_back(
        std::make_unique<transport::Listener>(scheduler_, *transport::Address::parse("127.0.0.1:0"), 512));
    addresses_.push_back(listeners_.back()->address().text());
    scheduler_.spawn(accept_connections(*this, *listeners_.back()));
  }
  change_stream_address_ = changes_.address().text();
  scheduler_.spawn(stop_when(scheduler_, stopping_));
  thread_ = std::thread([this] { scheduler_.run(); });
}

Nodes::~Nodes() {
  stopping_ = true;
  thread_.join();
  scheduler_.clear();
}

Task<> Nodes::accept_connections(Nodes& self, transport::Listener& listener) {
  for (;;) {
    auto accepted = co_await listener.accept();
    if (accepted.status == transport::Listener::Status::kClosed) co_return;
    if (accepted.status == transport::Listener::Status::kAccepted)
      self.scheduler_.spawn(serve_connection(self, std::make_shared<Socket>(std::move(accepted.socket))));
  }
}

Task<> Nodes::serve_connection(Nodes& self, std::shared_ptr<Socket> socket) {
  transport::Buffer buffer(kReadBytes);
  while ((co_await socket->read(buffer, kReadBytes, kNever)).ok()) {
    while (const auto command = rig::next_command(buffer))
      if (command->verb == "serve") self.serve(socket, *command);
  }
}

void Nodes::serve(const std::shared_ptr<Socket>& socket, const rig::Command& command) {
  journal_.ran(command.id, rig::field(command.fields, "lane") == "note", Scheduler::now());
  if (std::uniform_real_distribution<double>(0, 1)(random_) < plan_.silent_share) return;
  std::string answer = answer_to(command);
  if (answer.starts_with(command.id + " EIO"))
    socket->write_now(answer);  // at once, so that a client can send such requests at full speed
  else
    scheduler_.spawn(write_answer(*this, socket, std::move(answer)));
}

Task<> Nodes::write_answer(Nodes& self, std::shared_ptr<Socket> socket, std::string text) {
  co_await self.scheduler_.sleep_until(Scheduler::now() + self.plan_.delay);
  co_await socket->write(text, Scheduler::now() + kWriteTimeout);
}

}  // namespace hareramp::client_floods
