#include "capacity/load.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace hareramp::capacity {

using transport::Scheduler;

namespace {
constexpr double kPollInterval = 0.01;  // s
constexpr double kAnswerTimeout = 5;    // s
constexpr int kMockNodes = 4;
constexpr std::size_t kNoteBytes = 100;
}  // namespace

MockNodes::MockNodes(Scheduler& scheduler, std::size_t body_bytes) {
  for (int number = 0; number < kMockNodes; ++number) {
    const std::map<std::string, std::size_t> sizes = {{"segment", body_bytes}, {"note", kNoteBytes}};
    nodes.push_back(std::make_unique<rig::Node>(scheduler, sizes, rig::NodeBehavior{}, number + 1));
    entries += fmt::format(
        R"({}{{"id":"live-{}","addr":"{}","zone":"edge","kind":"{}","cell":0,"state":"active","weight":200,"started_ms":0}})",
        number > 0 ? "," : "", number, nodes.back()->address().text(), number == 0 ? "origin" : "cache");
  }
}

OpenLoopLoad::OpenLoopLoad(Scheduler& scheduler, transport::Address director, double rate, int clients)
    : scheduler_(scheduler), rate_(rate) {
  const auto local_address = *transport::Address::parse("127.0.0.1:0");
  for (int number = 0; number < clients; ++number)
    clients_.push_back(std::make_unique<rig::Client>(scheduler, director, local_address, "segment", false,
                                                     rig::ReadPattern{}, static_cast<std::uint64_t>(number)));
}

std::vector<double> OpenLoopLoad::run_for(double seconds, const std::function<bool()>& finished) {
  for (auto& client : clients_) client->latencies().clear();
  scheduler_.spawn(send_requests(*this, Scheduler::now() + seconds, finished));
  scheduler_.run();
  std::vector<double> sorted_latencies;
  for (auto& client : clients_)
    sorted_latencies.insert(sorted_latencies.end(), client->latencies().begin(), client->latencies().end());
  std::sort(sorted_latencies.begin(), sorted_latencies.end());
  return sorted_latencies;
}

transport::Task<> OpenLoopLoad::send_requests(OpenLoopLoad& self, double end_time,
                                              std::function<bool()> finished) {
  const auto busy = [](const auto& client) { return client->busy(); };
  double due = Scheduler::now();
  while (due < end_time && !(finished && finished())) {
    due += 1 / self.rate_;
    co_await self.scheduler_.sleep_until(due);
    const auto idle_client = std::find_if_not(self.clients_.begin(), self.clients_.end(), busy);
    if (idle_client == self.clients_.end())
      ++self.unsent_;
    else
      (*idle_client)->request(due);
  }
  const double deadline = Scheduler::now() + kAnswerTimeout;
  while (Scheduler::now() < deadline && std::any_of(self.clients_.begin(), self.clients_.end(), busy))
    co_await self.scheduler_.sleep_until(Scheduler::now() + kPollInterval);
  self.scheduler_.stop();
}

double percentile(const std::vector<double>& sorted, double share) {
  if (sorted.empty()) return 0;
  return sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))];
}

}  // namespace hareramp::capacity
