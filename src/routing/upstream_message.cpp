#include "routing/upstream_message.hpp"

#include <algorithm>
#include <utility>

namespace hareramp::routing {

namespace {

constexpr std::size_t kHeldBackBytes = 2;  // the line end after the body of a write

// The smaller of two bounds on the age of a copy, where 0 means no bound.
Seconds stricter_bound(Seconds first, Seconds second) {
  if (first <= 0) return second;
  if (second <= 0) return first;
  return std::min(first, second);
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

bool UpstreamMessage::may_be_sent(Seconds now) const {
  return !forwarded_request || (now < give_up_at && !forwarded_request->client_gone);
}

void UpstreamMessage::encode(Seconds now, const NodeId& node, Seconds max_copy_age, bool hold_back_end) {
  if (!forwarded_request) return;
  FillOptions fill_options = fill;
  fill_options.max_copy_age = stricter_bound(fill.max_copy_age, max_copy_age);
  bytes = protocol::format_serve_command(request, *forwarded_request, give_up_at - now, node, fill_options);
  held_back = hold_back_end && !forwarded_request->body.empty() ? kHeldBackBytes : 0;
  release_at = 0;
}

}  // namespace hareramp::routing
