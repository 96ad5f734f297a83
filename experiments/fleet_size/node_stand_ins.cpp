#include "fleet_size/node_stand_ins.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "transport/buffer.hpp"

namespace hareramp::fleet_size {

using transport::Scheduler;
using transport::Socket;
using transport::Task;

namespace {

constexpr int kBacklog = 4096;
constexpr std::size_t kReadBytes = 4096;  // bytes
constexpr double kWriteTimeout = 5.0;     // s
constexpr double kLookupTime = 0.001;     // s
constexpr double kParentTime = 0.004;     // s: a fill with an object that the parent holds
constexpr double kOriginTime = 0.015;     // s: a fill with an object that the parent fetches from the origin
constexpr std::size_t kContentBytes = 400;  // bytes sent, independent of the object's declared size
constexpr double kTransferTime = kObjectKb / kStreamKbPerS;  // s at the full rate

const std::string& content() {
  static const std::string kContent(kContentBytes, 'x');
  return kContent;
}

}  // namespace

NodeStandIns::NodeStandIns(Scheduler& scheduler, const Site& site)
    : scheduler_(scheduler),
      site_(site),
      listener_(scheduler, *transport::Address::parse("0.0.0.0:0"), kBacklog),
      port_(listener_.address().port()),
      states_(site.nodes().size()) {
  for (std::size_t node = 0; node < site.nodes().size(); ++node)
    numbers_.emplace(site.nodes()[node].id, static_cast<int>(node));
  scheduler.spawn(accept_connections(*this));
}

Task<> NodeStandIns::accept_connections(NodeStandIns& self) {
  for (;;) {
    auto accepted = co_await self.listener_.accept();
    if (accepted.status == transport::Listener::Status::kClosed) co_return;
    if (accepted.status != transport::Listener::Status::kAccepted) continue;
    const auto own = transport::Address::own(accepted.socket.descriptor());
    const auto node = own ? Site::node_at(*own) : std::nullopt;
    if (!node || *node >= static_cast<int>(self.states_.size())) continue;
    ++self.use_.connections;
    self.connected_.insert(*node);
    auto socket = std::make_shared<Socket>(std::move(accepted.socket));
    self.scheduler_.spawn(serve_connection(self, std::move(socket), *node));
  }
}

Task<> NodeStandIns::serve_connection(NodeStandIns& self, SocketPointer socket, int node) {
  transport::Buffer received(kReadBytes);
  while ((co_await socket->read(received, kReadBytes, transport::kNever)).ok())
    while (const auto command = rig::next_command(received))
      if (command->verb == "serve") self.serve(node, socket, *command);
}

Task<> NodeStandIns::write_answer(SocketPointer socket, std::string answer) {
  if (socket->open()) co_await socket->write(answer, Scheduler::now() + kWriteTimeout);
}

void NodeStandIns::serve(int node, const SocketPointer& socket, const rig::Command& command) {
  const Reply reply = reply_to(node, command.fields);
  const bool completed = reply.word == "ACK";
  State& state = states_[static_cast<std::size_t>(node)];
  double time = kLookupTime + reply.fill_time;
  if (completed) {
    // Active transfers share the capacity of the node.
    ++state.transfers;
    const double weight = site_.nodes()[static_cast<std::size_t>(node)].weight;
    time += kTransferTime * std::max(1.0, state.transfers / weight);
  }
  std::string answer = fmt::format("{} {} sum=rig,t0=1,why={} {}\r\n{}\r\n", command.id, reply.word,
                                   reply.reason, completed ? kContentBytes : 0, completed ? content() : "");
  scheduler_.at(Scheduler::now() + time, [this, &state, socket, completed, answer = std::move(answer)] {
    if (completed) --state.transfers;
    scheduler_.spawn(write_answer(socket, answer));
  });
}

NodeStandIns::Reply NodeStandIns::reply_to(int node, const std::string& fields) {
  State& state = states_[static_cast<std::size_t>(node)];
  const std::string object = rig::field(fields, "name"), source = rig::field(fields, "next");
  if (site_.nodes()[static_cast<std::size_t>(node)].kind == NodeKind::kOrigin) {
    ++use_.origin_fetches;
    return {"ACK", "mem", kOriginTime};
  }
  if (state.objects.contains(object)) {
    ++use_.hits;
    return {"ACK", "mem"};
  }
  if (source.empty()) {
    ++use_.lookup_misses;
    return {"NOENT", "absent"};
  }
  return fill(state, source, object, fields.find("have-only") != std::string::npos);
}

NodeStandIns::Reply NodeStandIns::fill(State& cache, const std::string& source_id, const std::string& object,
                                       bool cached_only) {
  const auto source = numbers_.find(source_id);
  if (source == numbers_.end()) return {"AGAIN", "unreached"};
  const NodeKind kind = site_.nodes()[static_cast<std::size_t>(source->second)].kind;
  State& from = states_[static_cast<std::size_t>(source->second)];
  const bool objects = kind != NodeKind::kOrigin && from.objects.contains(object);
  if (!objects && (cached_only || kind == NodeKind::kCache)) return {"NOENT", "absent"};
  ++use_.fills;
  cache.objects.insert(object);
  if (objects) return {"ACK", "parent", kParentTime};
  ++use_.origin_fetches;
  if (kind == NodeKind::kParent) from.objects.insert(object);
  return {"ACK", "origin", kOriginTime};
}

}  // namespace hareramp::fleet_size
