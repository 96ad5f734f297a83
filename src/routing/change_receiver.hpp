// Whoever the change stream is read for. The reader waits for the answer to one slice of changes before it
// reads the next, so a receiver that is slow makes the source wait and nothing pile up.
#pragma once

#include <functional>
#include <vector>

#include "protocol/json.hpp"

namespace hareramp::routing {

class ChangeReceiver {
 public:
  virtual ~ChangeReceiver() = default;
  // One change that was known before the stream was read (known), or one told beside it. Only posts.
  virtual void change_arrived(protocol::Json change, bool known) = 0;
  // Changes of the stream, in order. Only posts; done is called once, with whether all of them were taken in:
  // false has them read again. more_waits: the stream had more to read just then.
  virtual void changes_arrived(std::vector<protocol::Json> changes, bool more_waits,
                               std::function<void(bool taken)> done) = 0;
};

}  // namespace hareramp::routing
