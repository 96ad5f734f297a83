// The adapter's replies, and its messages about malformed input.
#include "benchlink/wire.hpp"

#include "helpers.hpp"

using namespace hareramp;

namespace {
std::string run_adapter(const std::string& lines) {
  std::string input = lines;
  for (char& c : input)
    if (c == '|') c = '\t';
  std::istringstream in(input);
  std::ostringstream out, errors;
  const int status = benchlink::serve(in, out, errors);
  std::string text = out.str() + errors.str() + "exit " + std::to_string(status) + "\n\n";
  for (char& c : text)
    if (c == '\t') c = '|';
  return text;
}
const std::string kFirstBatch =
    "mark|TimeS=10|frame=1\nattach|Who=0|Prng=5|FamilyInfo.ShieldKind=1|FamilyInfo.OriginKind=2|"
    "RequestClasses.count=1|RequestClasses.0.Effect=retryable|Permissions.MaxAttempts=4|Odd.Key=1\n"
    "sync|Who=0|Gen=1|Scope=cached|Members=2\nitem|Node=a:1|Az=0|Sku=0|Readiness=Running|Share=1\n"
    "item|Node=b:1|Az=0|Sku=1|Readiness=Running|Share=1\ngo\n";
std::string batch_with(const std::string& line) {
  return kFirstBatch + "mark|TimeS=11|frame=2\n" + line + "\ngo\n";
}
}  // namespace

TEST_CASE("wire: a request, its answer, and unknown keys and events") {
  check_trace("wire_good",
              run_adapter(batch_with(
                  "demand|Who=0|RequestId=r1|Band=0|Asset=4|DeadlineS=15|New=1\nnovel|Who=0|A=1")) +
                  run_adapter(batch_with("wake|Who=7|Token=x\ndropped|Who=0|RequestId=unknown\nexit|Who=0")) +
                  run_adapter(batch_with("resolved|Who=0|RequestId=r9|Status=success|Node=a:1|Shot=0")));
}

TEST_CASE("wire: a malformed event is reported for its instance, with event and field") {
  check_trace(
      "wire_malformed",
      run_adapter(batch_with("demand|Who=0|RequestId=r1|Band=x|DeadlineS=15")) +
          run_adapter(batch_with("demand|Who=0|Band=0|DeadlineS=15")) +
          run_adapter(batch_with("demand|Who=0|RequestId=r1|Band=0|DeadlineS=nan")) +
          run_adapter(batch_with("resolved|Who=0|RequestId=r1|Status=fine|Node=a:1|Shot=0")) +
          run_adapter(batch_with("sync|Who=0|Gen=2|Scope=delta|Members=3\nitem|Node=c:1")) +
          run_adapter(batch_with("recalled|Who=0|AgeSpanS=1")) +
          run_adapter(batch_with("resolved|Who=0|RequestId=r1|Status=success|Node=a:1|Shot=0|Gauge=u")));
}

TEST_CASE("wire: broken framing ends with a message and no partial reply") {
  check_trace("wire_framing",
              run_adapter("") + run_adapter("go\n") + run_adapter("mark|TimeS=x|frame=1\ngo\n") +
                  run_adapter(kFirstBatch + "mark|TimeS=11|frame=2\ndemand|Who=0|RequestId=r1\n") +
                  run_adapter("mark|TimeS=1|frame=1\nitem|Node=a:1\ngo\n") +
                  run_adapter("mark|TimeS=1|frame=1\nmark|TimeS=1|frame=2\ngo\n") +
                  run_adapter("mark|TimeS=1|frame=1\ndemand|RequestId=r1\ngo\n"));
}
