// The actor of a node with a stand-in for the node, for tests in which system calls fail.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "helpers.hpp"
#include "routing/upstream_node.hpp"

namespace hareramp::routing {

// The actor of a node, and how its attempts end.
class Ends : public Attempts {
 public:
  Ends() {
    limits.buffer_kept = limits.read_room = 1 << 14;
    limits.answer_line = 200, limits.answer_body = 1 << 20;
    limits.links = 10, limits.links_per_node = 2, limits.streams_per_link = 5;
    limits.connect = limits.begin_within = limits.link_idle = limits.link_doubt = limits.link_stall = 15;
    peer =
        std::make_shared<UpstreamNode>(scheduler, limits, counters, links, NodeId{"c1"}, node.address, *this);
    peer->start();
  }
  void attempt(const std::string& request, const std::string& body = "") {
    auto forwarded_request = std::make_shared<protocol::ForwardedRequest>();
    forwarded_request->lane = "segment", forwarded_request->name = request, forwarded_request->body = body;
    peer->attempt({request}, {0}, forwarded_request, {.source = {"c1"}}, transport::Scheduler::now() + 15);
  }
  void ended(const RequestId&, AttemptNumber, const NodeId&, Result result, AnswerDetail, Seconds, LoadReport,
             Content content) override {
    results.push_back(result);
    contents += content.bytes;
  }
  Seconds max_copy_age(const RequestId&) override { return 0; }
  bool until(const std::function<bool()>& holds) { return runs_until(scheduler, holds); }

  transport::Scheduler scheduler;
  StandIn node{scheduler};
  Limits limits;
  Counters counters;
  std::size_t links = 0;
  std::shared_ptr<UpstreamNode> peer;
  std::vector<Result> results;
  std::string contents;
};

}  // namespace hareramp::routing
