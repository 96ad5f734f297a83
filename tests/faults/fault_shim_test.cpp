// Fault injection itself: the injected faults take effect in the real program.
#include <time.h>

#include <cerrno>
#include <string>

#include "faults/fault_control.hpp"
#include "faults/faulty_program.hpp"
#include "helpers.hpp"

using namespace hareramp;
using faults::SystemCall;

TEST_CASE("faults take effect in the program and are counted") {
  transport::Scheduler scheduler;
  faults::FaultyProgram program(scheduler);
  REQUIRE(program.wait_until_serving());
  CHECK(program.send_requests(1) == faults::Answers{.completed = 1});
  CHECK(program.faults.seen(SystemCall::kAccept4) > 0);
  CHECK(program.faults.seen(SystemCall::kEpollWait) > 0);
  CHECK(program.faults.seen(SystemCall::kRecv) > 0);
  CHECK(program.faults.seen(SystemCall::kSend) > 0);
  CHECK(program.faults.seen(SystemCall::kSocket) > 0);
  CHECK(program.faults.seen(SystemCall::kConnect) > 0);
  for (std::size_t i = 0; i < faults::kSystemCalls; ++i)
    CHECK(program.faults.injected(static_cast<SystemCall>(i)) == 0);
  program.faults.inject(SystemCall::kAccept4, ECONNABORTED, 0, 2);
  CHECK(program.send_requests(1) == faults::Answers{.completed = 1});
  CHECK(program.faults.injected(SystemCall::kAccept4) == 2);
}

TEST_CASE("the system's clock is offset by the time that the test sets") {
  transport::Scheduler scheduler;
  faults::FaultControl control;
  constexpr time_t kOffset = 10'000'000;  // s
  control.set_clock_offset(kOffset);
  const time_t before = time(nullptr);
  rig::Process date("/bin/date", {"+%s"}, control.environment(HARERAMP_FAULTS_LIBRARY));
  REQUIRE(run_until(scheduler, [&] { return date.ended(); }));
  const time_t printed = std::stoll(date.printed());
  CHECK(printed >= before + kOffset);
  CHECK(printed <= time(nullptr) + kOffset + 1);  // time() may lag behind the clock by a tick
}
