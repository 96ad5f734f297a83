// A message that waits to be written to a node: the command of an attempt, or that of cancelling one.
//
// An attempt tells the node how much time is left and how old a copy may be. Both are true only at the moment
// of writing, which may be long after the attempt was queued. So its bytes are made (encode) right before the
// first of them is written, and made anew where none of them has been.
#pragma once

#include <cstddef>
#include <memory>
#include <string>

#include "policy.hpp"
#include "protocol/lines.hpp"

namespace hareramp::routing {

struct UpstreamMessage {
  static UpstreamMessage attempt(const RequestId& request,
                                 std::shared_ptr<const protocol::ForwardedRequest> forwarded_request,
                                 const FillOptions& fill, Seconds give_up_at);
  static UpstreamMessage cancel(const RequestId& request);

  // Whether its first byte may be written at this time (of the scheduler): an attempt has time left, and its
  // client still waits.
  bool may_begin(Seconds now) const;
  // Makes the bytes of an attempt as they must read if the first is written now. oldest_copy is what the
  // module says at this moment, 0 for any age; it can only make the bound of the fill terms stricter.
  // hold_back_end: the last bytes of a write are to be held back for a moment.
  void encode(Seconds now, const NodeId& node, Seconds max_copy_age, bool hold_back_end);

  std::string bytes;
  RequestId request;     // empty: a cancel, which nobody waits for
  std::size_t held = 0;  // bytes of its end that are held back for a moment
  Seconds whole_at = 0;  // when they may go, once all before them has gone; 0 until then

  // Of an attempt alone.
  std::shared_ptr<const protocol::ForwardedRequest> forwarded_request;
  FillOptions fill;
  Seconds give_up_at = 0;  // the scheduler's time
};

}  // namespace hareramp::routing
