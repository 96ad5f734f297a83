// Whoever the change stream is read for. The reader waits for the answer to one slice of changes before it
// reads the next, so a receiver that is slow makes the source wait and nothing pile up.
#pragma once

#include <functional>
#include <vector>

#include "protocol/json.hpp"

namespace hareramp::distribution {

struct NumberedChange {
  long long number = 0;  // its place in the stream; 0: it has none
  protocol::Json change;
};

class ChangeReceiver {
 public:
  virtual ~ChangeReceiver() = default;
  // A change that was known before the stream was read. Only posts.
  virtual void known_change_arrived(protocol::Json change) = 0;
  // Changes of the stream, in order. Only posts; done is called once, with whether all of them were taken in:
  // false has them read again. more_waits: the stream had more to read just then.
  virtual void changes_arrived(std::vector<NumberedChange> changes, bool more_waits,
                               std::function<void(bool taken)> done) = 0;
};

}  // namespace hareramp::distribution
