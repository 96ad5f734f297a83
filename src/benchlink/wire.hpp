// The bench's line protocol, translated into calls of Director and back. No decision is taken here.
#pragma once

#include <iosfwd>

namespace hareramp::benchlink {

// Serves batches until the input ends. Returns the exit status: 0 at a clean end, 2 on broken framing.
int serve(std::istream& in, std::ostream& out, std::ostream& complaints);

}  // namespace hareramp::benchlink
