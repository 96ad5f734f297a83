#include "policy/request_timers.hpp"

#include <doctest/doctest.h>

#include <string>

using namespace hareramp;
using policy::RequestTimer;

TEST_CASE("request timers: a token gives back what it was made of, whatever the id holds") {
  for (const std::string id : {"a", "", "late:1:2:x", "9b1f03aa5c7e2d41"}) {
    const auto resume =
        RequestTimer::parse(RequestTimer{RequestTimer::Purpose::kResume, {id}, 12, 0}.token());
    REQUIRE(resume);
    CHECK(resume->purpose == RequestTimer::Purpose::kResume);
    CHECK(resume->request.value == id);
    CHECK(resume->serial == 12);
    const auto late =
        RequestTimer::parse(RequestTimer{RequestTimer::Purpose::kLateAttempt, {id}, 1ull << 63, 3}.token());
    REQUIRE(late);
    CHECK(late->purpose == RequestTimer::Purpose::kLateAttempt);
    CHECK(late->request.value == id);
    CHECK(late->serial == 1ull << 63);
    CHECK(late->attempt == 3);
  }
  for (const std::string text : {"sweep", "late:", "late:1:", "late:1:2", "late:x:2:a", "resume:", "resume:1",
                                 "resume:-1:a", "deadlines-end", ""})
    CHECK(!RequestTimer::parse({text}));
}
