// Adapter between a simulator's line protocol and Director: turns events into calls and the director's
// actions into lines. It takes no decisions itself.
#pragma once

#include <iosfwd>

namespace hareramp::benchlink {

// Processes batches of events until the input ends. Returns the exit status: 0 at the end of the input, 2 if
// the framing is broken; errors then gets a message.
int serve(std::istream& in, std::ostream& out, std::ostream& errors);

}  // namespace hareramp::benchlink
