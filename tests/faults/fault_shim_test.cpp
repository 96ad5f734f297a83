// The preloaded faults themselves: that the real program feels them.
#include <signal.h>

#include <cerrno>

#include "faults/fault_control.hpp"
#include "faults/faulty_program.hpp"
#include "helpers.hpp"

using namespace hareramp;
using faults::SystemCall;

TEST_CASE("faults reach the program and are counted") {
  transport::Scheduler scheduler;
  faults::FaultyProgram program(scheduler);
  REQUIRE(program.serves());
  CHECK(program.answers(1) == faults::Answers{.completed = 1});
  CHECK(program.faults.seen(SystemCall::kAccept4) > 0);
  CHECK(program.faults.seen(SystemCall::kEpollWait) > 0);
  CHECK(program.faults.seen(SystemCall::kRecv) > 0);
  CHECK(program.faults.seen(SystemCall::kSend) > 0);
  CHECK(program.faults.seen(SystemCall::kSocket) > 0);
  CHECK(program.faults.seen(SystemCall::kConnect) > 0);
  for (std::size_t i = 0; i < faults::kSystemCalls; ++i)
    CHECK(program.faults.injected(static_cast<SystemCall>(i)) == 0);
  program.faults.inject(SystemCall::kAccept4, ECONNABORTED, 0, 2);
  CHECK(program.answers(1) == faults::Answers{.completed = 1});
  CHECK(program.faults.injected(SystemCall::kAccept4) == 2);
}
