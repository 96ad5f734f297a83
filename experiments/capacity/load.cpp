#include "capacity/load.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace hareramp::capacity {

using transport::Scheduler;

namespace {
constexpr double kLookEvery = 0.01;   // s
constexpr double kLongestAnswer = 5;  // s
constexpr int kLiveNodes = 4;
constexpr std::size_t kNoteBytes = 100;
}  // namespace

LiveNodes::LiveNodes(Scheduler& scheduler, std::size_t body_bytes) {
  for (int number = 0; number < kLiveNodes; ++number) {
    const std::map<std::string, std::size_t> sizes = {{"segment", body_bytes}, {"note", kNoteBytes}};
    nodes.push_back(std::make_unique<rig::Node>(scheduler, sizes, rig::NodeBehavior{}, number + 1));
    entries += fmt::format(
        R"({}{{"id":"live-{}","addr":"{}","zone":"edge","kind":"{}","cell":0,"state":"active","weight":200,"started_ms":0}})",
        number > 0 ? "," : "", number, nodes.back()->address().text(), number == 0 ? "origin" : "cache");
  }
}

SteadyLoad::SteadyLoad(Scheduler& scheduler, transport::Address director, double rate, int clients)
    : scheduler_(scheduler), rate_(rate) {
  const auto from = *transport::Address::parse("127.0.0.1:0");
  for (int number = 0; number < clients; ++number)
    clients_.push_back(std::make_unique<rig::Client>(scheduler, director, from, "segment", false,
                                                     rig::ReadPattern{}, static_cast<std::uint64_t>(number)));
}

std::vector<double> SteadyLoad::play(double seconds, const std::function<bool()>& over) {
  for (auto& client : clients_) client->latencies().clear();
  scheduler_.spawn(arrivals(*this, Scheduler::now() + seconds, over));
  scheduler_.run();
  std::vector<double> all;
  for (auto& client : clients_) all.insert(all.end(), client->latencies().begin(), client->latencies().end());
  std::sort(all.begin(), all.end());
  return all;
}

transport::Task<> SteadyLoad::arrivals(SteadyLoad& self, double until, std::function<bool()> over) {
  const auto busy = [](const auto& client) { return client->busy(); };
  double due = Scheduler::now();
  while (due < until && !(over && over())) {
    due += 1 / self.rate_;
    co_await self.scheduler_.sleep_until(due);
    const auto free = std::find_if_not(self.clients_.begin(), self.clients_.end(), busy);
    if (free == self.clients_.end())
      ++self.not_asked_;
    else
      (*free)->request(due);
  }
  const double most = Scheduler::now() + kLongestAnswer;
  while (Scheduler::now() < most && std::any_of(self.clients_.begin(), self.clients_.end(), busy))
    co_await self.scheduler_.sleep_until(Scheduler::now() + kLookEvery);
  self.scheduler_.stop();
}

double percentile(const std::vector<double>& sorted, double share) {
  if (sorted.empty()) return 0;
  return sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))];
}

}  // namespace hareramp::capacity
