#include "routing/upstream_message.hpp"

#include <algorithm>
#include <utility>

namespace hareramp::routing {

namespace {

constexpr std::size_t kHeldBytes = 2;  // the line's end behind a write's body

// The lesser of two bounds on a copy's age, where 0 bounds nothing.
Seconds stricter(Seconds one, Seconds other) {
  if (one <= 0) return other;
  if (other <= 0) return one;
  return std::min(one, other);
}

}  // namespace

UpstreamMessage UpstreamMessage::attempt(const RequestId& request,
                                         std::shared_ptr<const protocol::ForwardedRequest> forwarded_request,
                                         const FillOptions& fill, Seconds give_up_at) {
  UpstreamMessage message;
  message.request = request;
  message.forwarded_request = std::move(forwarded_request);
  message.fill = fill;
  message.give_up_at = give_up_at;
  return message;
}

UpstreamMessage UpstreamMessage::cancel(const RequestId& request) {
  UpstreamMessage message;
  message.bytes = protocol::format_cancel_command(request);
  return message;
}

bool UpstreamMessage::may_begin(Seconds now) const {
  return !forwarded_request || (now < give_up_at && !forwarded_request->client_gone);
}

void UpstreamMessage::encode(Seconds now, const NodeId& node, Seconds max_copy_age, bool hold_back_end) {
  if (!forwarded_request) return;
  FillOptions terms = fill;
  terms.max_copy_age = stricter(fill.max_copy_age, max_copy_age);
  bytes = protocol::format_serve_command(request, *forwarded_request, give_up_at - now, node, terms);
  held = hold_back_end && !forwarded_request->body.empty() ? kHeldBytes : 0;
  whole_at = 0;
}

}  // namespace hareramp::routing
