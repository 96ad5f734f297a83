// An UpstreamNode connected to a stand-in server, for tests in which system calls fail.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "helpers.hpp"
#include "routing/upstream_node.hpp"

namespace hareramp::routing {

// An UpstreamNode, with the results and contents of its attempts.
class UpstreamNodeFixture : public AttemptObserver {
 public:
  UpstreamNodeFixture() {
    limits.retained_buffer = limits.read_size = 1 << 14;
    limits.max_expected_late_answers = 1000;
    limits.max_answer_line = 200, limits.max_answer_body = 1 << 20;
    limits.max_node_connections = 10, limits.max_connections_per_node = 2,
    limits.max_attempts_per_connection = 5;
    limits.connect_timeout = limits.send_start_timeout = limits.node_idle_timeout = limits.suspect_timeout =
        limits.answer_stall_timeout = 15;
    upstream_node = std::make_shared<UpstreamNode>(scheduler, limits, counters, resources, NodeId{"c1"},
                                                   server.address, *this);
    upstream_node->start();
  }
  void attempt(const std::string& request, const std::string& body = "") {
    auto forwarded_request = std::make_shared<protocol::ForwardedRequest>();
    forwarded_request->lane = "segment", forwarded_request->name = request, forwarded_request->body = body;
    upstream_node->attempt({request}, {0}, forwarded_request, {.source = {"c1"}},
                           transport::Scheduler::now() + 15);
  }
  void attempt_ended(const RequestId&, AttemptNumber, const NodeId&, Result result, AnswerDetail, Seconds,
                     LoadReport, Content content) override {
    results.push_back(result);
    contents += content.bytes;
  }
  Seconds max_copy_age(const RequestId&) override { return 0; }
  bool may_start_attempt(const NodeId&, const NodeId&) override { return true; }
  bool wait_until(const std::function<bool()>& condition) { return run_until(scheduler, condition); }

  transport::Scheduler scheduler;
  StandInServer server{scheduler};
  Limits limits;
  Counters counters;
  UpstreamResources resources;
  std::shared_ptr<UpstreamNode> upstream_node;
  std::vector<Result> results;
  std::string contents;
};

}  // namespace hareramp::routing
