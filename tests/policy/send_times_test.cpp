// Figures that a client states, and what the director decides by them.
#include "policy/send_times.hpp"

#include <sstream>

#include "helpers.hpp"

using namespace hareramp;
using policy::SendTimes;

namespace {

constexpr double kUsualKb = 400;  // 0.4 s at 1000 KB/s

struct FalseFigure {
  double size_kb;
  Result result;        // how attempts for such requests end
  Seconds elapsed = 0;  // how long they take
};

// Requests with the false figure among usual ones, which are answered. Leaves nothing in flight.
void mix_requests(DirectorFixture& fixture, const FalseFigure& figure, int usual, int false_ones) {
  for (int i = 0; i < usual + false_ones; ++i) {
    const bool is_usual = i % (1 + false_ones / usual) == 0;
    const std::string id = "mix" + std::to_string(i);
    fixture.request(id, static_cast<std::uint64_t>(1000 + i), 0, is_usual ? kUsualKb : figure.size_kb);
    for (int number = 0; number < static_cast<int>(fixture.node_of[id].size()); ++number)
      fixture.end_attempt(id, number, is_usual ? Result::kCompleted : figure.result, AnswerDetail::kHit,
                          is_usual ? 0.4 : figure.elapsed);
    fixture.director->client_disconnected(fixture.now, {id});
  }
  fixture.take_trace();
}

// How many attempts of requests with this size name the node, as their node or as the source of a fill.
int attempts_naming(DirectorFixture& fixture, const std::string& node, double size_kb) {
  fixture.take_trace();
  for (int i = 0; i < 200; ++i) {
    const std::string id = "new" + std::to_string(i);
    fixture.request(id, static_cast<std::uint64_t>(5000 + i), 0, size_kb);
    for (std::size_t number = 0; number < fixture.node_of[id].size(); ++number)
      fixture.end_attempt(id, static_cast<int>(number), Result::kError, AnswerDetail::kNone, 0.0005);
  }
  std::istringstream trace(fixture.take_trace());
  int count = 0;
  for (std::string line; std::getline(trace, line);)
    count += line.find("to " + node + ",") != std::string::npos ||
             line.find("from " + node + ",") != std::string::npos;
  return count;
}

const FalseFigure kFalseFigures[] = {{0.001, Result::kError},
                                     {0.001, Result::kCompleted, 0.4},
                                     {kUsualKb / 20, Result::kError},
                                     {60'000, Result::kError},
                                     {60'000, Result::kCompleted, 0.4}};

}  // namespace

// Guards against more attempts at a node in slow start than it bears, let through by figures that are too
// small (issue 65, review/9), and against none at all by figures that are too large.
TEST_CASE("figures of the size that no answer bears out don't change what a node in slow start is sent") {
  const auto attempts_at_new_node = [](const std::string& node, const FalseFigure& figure, int false_ones) {
    DirectorFixture fixture(Settings{{"Balancers", "1"}});
    fixture.list(ListCompleteness::kCached, "c1 c2 P1 O");
    mix_requests(fixture, figure, 40, false_ones);
    fixture.list(ListCompleteness::kChanges, node, EndpointState::kRunning, fixture.now);
    return attempts_naming(fixture, node, figure.size_kb < kUsualKb ? figure.size_kb : kUsualKb);
  };
  for (const std::string node : {"c3", "P2"}) {
    const FalseFigure none = {kUsualKb, Result::kCompleted, 0.4};
    const int usual = attempts_at_new_node(node, none, 0);
    REQUIRE(usual > 3);
    for (const FalseFigure& figure : kFalseFigures)
      for (const int false_ones : {40, 400}) {
        // A source is charged by a request's own size, but for no less than 0.7 of the mean.
        const int attempts = attempts_at_new_node(node, figure, false_ones);
        CHECK_MESSAGE(attempts <= (node[0] == 'P' ? usual * 10 / 7 + 1 : usual),
                      node << ", " << figure.size_kb << " KB");
        CHECK_MESSAGE(attempts >= usual / 2, node << ", " << figure.size_kb << " KB");
      }
  }
}

TEST_CASE("figures of the size that no answer bears out don't keep usual requests from busy nodes") {
  const auto admitted = [](const FalseFigure& figure, int false_ones) {
    DirectorFixture fixture;
    fixture.list(ListCompleteness::kCached, "c1 P1 O");
    mix_requests(fixture, figure, 40, false_ones);
    int count = 0;
    for (int i = 0; i < 100; ++i) {  // none of them is answered
      const std::string id = "busy" + std::to_string(i);
      fixture.request(id, static_cast<std::uint64_t>(9000 + i), 0, kUsualKb);
      count += !fixture.node_of[id].empty();
    }
    return count;
  };
  const int usual = admitted({kUsualKb, Result::kCompleted, 0.4}, 0);
  for (const FalseFigure& figure : kFalseFigures) {
    CHECK_MESSAGE(admitted(figure, 400) >= usual - 1, figure.size_kb << " KB");
    CHECK_MESSAGE(admitted(figure, 400) <= usual + 1, figure.size_kb << " KB");
  }
}

// Guards against sound nodes being ejected by clients that state hardly any time.
TEST_CASE("deadlines too short for any node eject none") {
  for (const Seconds deadline : {0.05, 0.2, 0.35}) {
    DirectorFixture fixture;
    fixture.list(ListCompleteness::kCached, "c1 P1 O");
    mix_requests(fixture, {kUsualKb, Result::kCompleted, 0.4}, 10, 0);
    for (int i = 0; i < 10; ++i) {
      const std::string id = "hasty" + std::to_string(i);
      fixture.director->request_arrived(fixture.now, {id}, {0}, {0}, {77}, {i}, {1}, fixture.now + deadline,
                                        0.001, false, false);
      REQUIRE_MESSAGE(!fixture.node_of[id].empty(), fixture.take_trace());
      fixture.end_attempt(id, 0, Result::kTimedOut, AnswerDetail::kNone, deadline);
    }
    CHECK_MESSAGE(fixture.take_trace().find("node ejected") == std::string::npos, deadline);
  }
}

TEST_CASE("send times: an answer bears out a size that fits the time it took") {
  CHECK(SendTimes::fits(0.06, 0.061));
  CHECK(SendTimes::fits(0.06, 0.2));
  CHECK(SendTimes::fits(0.002, 0.02));
  CHECK(!SendTimes::fits(0.0000002, 0.061));
  CHECK(!SendTimes::fits(5, 0.061));
  SendTimes times(2);
  CHECK(times.mean(0) == 0.3);
  times.request_arrived(1, 0, 0.001);
  CHECK(times.mean(0) == 0.3);
  times.request_arrived(1, 0, 0.999);
  CHECK(times.mean(0) == doctest::Approx(0.5));
  times.answered(1, 0, 0.06, 0.061);
  for (int i = 0; i < 100; ++i) times.request_arrived(1, 0, 0.001), times.answered(1, 0, 0.001, 0.061);
  CHECK(times.mean(0) == doctest::Approx(0.06));
  CHECK(times.mean(1) == 0.3);
  CHECK(times.charge(0, 0) == doctest::Approx(0.042));
  CHECK(times.charge(0, 0.5) == 0.5);
}
