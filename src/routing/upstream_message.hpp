// A message queued for writing to a node: the command of an attempt, or the command that cancels one.
//
// The command of an attempt carries the time that is left and the greatest age of a copy. Both are true only
// at the moment of writing, which may be long after the attempt was queued. So the command is encoded right
// before its first byte is written, and encoded again at each try as long as no byte has been written.
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "policy.hpp"
#include "protocol/lines.hpp"

namespace hareramp::routing {

struct UpstreamMessage {
  static UpstreamMessage attempt(const RequestId& request,
                                 std::shared_ptr<const protocol::ForwardedRequest> forwarded_request,
                                 const FillOptions& fill, Seconds give_up_at);
  static UpstreamMessage cancel(const RequestId& request);

  // Whether the first byte may be written at this moment of the scheduler's time: an attempt must have time
  // left, and its client must still be connected.
  bool may_be_sent(Seconds now) const;
  // Encodes the command of an attempt for a write that begins now. max_copy_age is the Director's bound at
  // this moment, 0 for any age; it can only make the bound in the fill options stricter. hold_back_end: the
  // last bytes of a write are to be held back for a short time (Limits::final_write_delay).
  void encode(Seconds now, const NodeId& node, Seconds max_copy_age, bool hold_back_end);

  // The command's size in bytes, once it is encoded.
  std::size_t size() const { return bytes.size() + body().size() + end().size(); }
  // Bytes of the encoded command from an offset on, as far as they lie together, and not past `limit`.
  std::string_view piece(std::size_t offset, std::size_t limit) const;

  // Without the body of a write and the command's end: the body is written from the request itself, so that
  // no copy of it waits for a node that reads slowly.
  std::string bytes;
  RequestId request;          // empty for a cancel command, which no attempt waits for
  std::size_t held_back = 0;  // bytes at the end that are held back for a short time
  Seconds release_at = 0;     // when these may be written; 0 until all bytes before them have been

  // Set for an attempt only.
  std::shared_ptr<const protocol::ForwardedRequest> forwarded_request;
  FillOptions fill;
  Seconds give_up_at = 0;  // the scheduler's time

 private:
  bool has_body() const { return forwarded_request && !forwarded_request->body.empty(); }
  std::string_view body() const { return has_body() ? std::string_view(forwarded_request->body) : ""; }
  std::string_view end() const { return has_body() ? protocol::kCommandEnd : ""; }
};

}  // namespace hareramp::routing
