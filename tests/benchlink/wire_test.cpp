// The adapter on the wire: replies, and what it says of malformed input.
#include "benchlink/wire.hpp"

#include "helpers.hpp"

using namespace hareramp;

namespace {
std::string talk(const std::string& given) {
  std::string input = given;
  for (char& c : input)
    if (c == '|') c = '\t';
  std::istringstream in(input);
  std::ostringstream out, complaints;
  const int status = benchlink::serve(in, out, complaints);
  std::string text = out.str() + complaints.str() + "exit " + std::to_string(status) + "\n\n";
  for (char& c : text)
    if (c == '\t') c = '|';
  return text;
}
const std::string kStart =
    "mark|TimeS=10|frame=1\nattach|Who=0|Prng=5|FamilyInfo.ShieldKind=1|FamilyInfo.OriginKind=2|"
    "RequestClasses.count=1|RequestClasses.0.Effect=retryable|Permissions.MaxAttempts=4|Odd.Key=1\n"
    "sync|Who=0|Gen=1|Scope=cached|Members=2\nitem|Node=a:1|Az=0|Sku=0|Readiness=Running|Share=1\n"
    "item|Node=b:1|Az=0|Sku=1|Readiness=Running|Share=1\ngo\n";
std::string event(const std::string& line) { return kStart + "mark|TimeS=11|frame=2\n" + line + "\ngo\n"; }
}  // namespace

TEST_CASE("wire: a request, its answer, and unknown keys and events") {
  check_trace("wire_good",
              talk(event("demand|Who=0|RequestId=r1|Band=0|Asset=4|DeadlineS=15|New=1\nnovel|Who=0|A=1")) +
                  talk(event("wake|Who=7|Token=x\ndropped|Who=0|RequestId=unknown\nexit|Who=0")) +
                  talk(event("resolved|Who=0|RequestId=r9|Status=success|Node=a:1|Shot=0")));
}

TEST_CASE("wire: a malformed event is laid to its instance, by event and field") {
  check_trace("wire_malformed",
              talk(event("demand|Who=0|RequestId=r1|Band=x|DeadlineS=15")) +
                  talk(event("demand|Who=0|Band=0|DeadlineS=15")) +
                  talk(event("demand|Who=0|RequestId=r1|Band=0|DeadlineS=nan")) +
                  talk(event("resolved|Who=0|RequestId=r1|Status=fine|Node=a:1|Shot=0")) +
                  talk(event("sync|Who=0|Gen=2|Scope=delta|Members=3\nitem|Node=c:1")) +
                  talk(event("recalled|Who=0|AgeSpanS=1")) +
                  talk(event("resolved|Who=0|RequestId=r1|Status=success|Node=a:1|Shot=0|Gauge=u")));
}

TEST_CASE("wire: broken framing ends with a plain message and no half reply") {
  check_trace("wire_framing", talk("") + talk("go\n") + talk("mark|TimeS=x|frame=1\ngo\n") +
                                  talk(kStart + "mark|TimeS=11|frame=2\ndemand|Who=0|RequestId=r1\n") +
                                  talk("mark|TimeS=1|frame=1\nitem|Node=a:1\ngo\n") +
                                  talk("mark|TimeS=1|frame=1\nmark|TimeS=1|frame=2\ngo\n") +
                                  talk("mark|TimeS=1|frame=1\ndemand|RequestId=r1\ngo\n"));
}
