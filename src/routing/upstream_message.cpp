#include "routing/upstream_message.hpp"

#include <algorithm>
#include <utility>

namespace hareramp::routing {

namespace {

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
  bytes = protocol::format_serve_line(request, *forwarded_request, give_up_at - now, node, fill_options);
  if (!has_body()) bytes += protocol::kCommandEnd;
  held_back = hold_back_end ? end().size() : 0;
  release_at = 0;
}

std::string_view UpstreamMessage::piece(std::size_t offset, std::size_t limit) const {
  std::size_t begin = 0;
  for (const std::string_view part : {std::string_view(bytes), body(), end()}) {
    if (offset < begin + part.size()) return part.substr(offset - begin, limit - offset);
    begin += part.size();
  }
  return {};
}

}  // namespace hareramp::routing
