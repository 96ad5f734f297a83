// The part of ClientConnection that reads one request: from the HTTP message to the call of the
// DirectorActor.
#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>
#include <utility>

#include "routing/client_connection.hpp"
#include "routing/client_listener.hpp"

namespace hareramp::routing {

using protocol::equal_ignoring_case;
using transport::Scheduler;

namespace {

template <class Number>
bool read_number(std::string_view text, Number& value) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  return error == std::errc() && end == text.data() + text.size();
}
bool read_bounded_number(std::string_view text, double max, double& value) {
  return read_number(text, value) && std::isfinite(value) && value >= 0 && value <= max;
}
// Whether the text may be written into a command line for a node: it must not contain a separator of that
// line.
bool is_command_word(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return c > 0x20 && c < 0x7f && c != ',' && c != '=' && c != '+';
  });
}
constexpr std::size_t kIdDigits = 16;
// No class, object and part that exist have a longer target; what is cut off makes it none of them.
constexpr std::size_t kMaxTargetBytes = 512;
// A longer tag is ignored, as no tag at all: the whole copy is sent.
constexpr std::size_t kMaxEtagBytes = 512;

bool is_id(std::string_view text) {
  return text.size() == kIdDigits &&
         text.find_first_not_of("0123456789abcdefABCDEF") == std::string_view::npos;
}

constexpr std::string_view kTargetPrefix = "/invoke/";
constexpr std::string_view kPartPrefix = "block-";

// A request's target: /invoke/CLASS/OBJECT or /invoke/CLASS/OBJECT/block-PART. Views into the target.
struct RequestTarget {
  std::string_view request_class_name;
  std::string_view object;
  std::string_view part_digits;  // the digits of the part; empty where the target names none
  PartNumber part;
};

// No value where the text is not such a target.
std::optional<RequestTarget> read_target(std::string_view text) {
  RequestTarget target;
  text.remove_prefix(kTargetPrefix.size());
  const auto class_end = text.find('/');
  if (class_end == std::string_view::npos) return {};
  target.request_class_name = text.substr(0, class_end);
  text.remove_prefix(class_end + 1);
  const auto object_end = text.find('/');
  target.object = text.substr(0, object_end);
  if (object_end == std::string_view::npos) return target;
  target.part_digits = text.substr(object_end + 1);
  if (!target.part_digits.starts_with(kPartPrefix)) return {};
  target.part_digits.remove_prefix(kPartPrefix.size());
  if (!read_number(target.part_digits, target.part.value) || target.part.value < 0) return {};
  return target;
}

}  // namespace

void ClientConnection::start_line(std::string_view method, std::string_view target) {
  http_request_ = HttpRequest();
  http_request_.is_get = method == "GET";
  http_request_.is_put = method == "PUT";
  http_request_.target = target.substr(0, kMaxTargetBytes);
}

void ClientConnection::header(std::string_view name, std::string_view value) {
  HttpRequest& request = http_request_;
  const Limits& limits = listener_.limits_;
  if (equal_ignoring_case(name, "x-correlation-id")) {
    request.malformed = request.malformed || !request.id.empty();
    request.has_id = is_id(value);
    request.id = value.substr(0, kIdDigits);
  } else if (equal_ignoring_case(name, "x-deadline-ms")) {
    request.malformed = request.malformed || request.has_deadline;
    request.has_deadline = read_bounded_number(value, limits.max_deadline * 1000, request.deadline_ms);
  } else if (equal_ignoring_case(name, "x-resent")) {
    request.resent = value == "1";
  } else if (equal_ignoring_case(name, "x-family")) {
    request.malformed = request.malformed || !read_number(value, request.group) || request.group < 0 ||
                        request.group >= limits.group_count;
  } else if (equal_ignoring_case(name, "x-need-kb")) {
    request.malformed =
        request.malformed || !read_bounded_number(value, limits.max_request_kb, request.size_kb);
  } else if (equal_ignoring_case(name, "if-none-match")) {
    if (value.starts_with("W/")) value.remove_prefix(2);
    if (value.size() >= 2 && value.front() == '"' && value.back() == '"')
      value = value.substr(1, value.size() - 2);
    if (value.size() <= kMaxEtagBytes && is_command_word(value))
      request.cached_etag = value;  // a list of tags, or *, is ignored: our clients do not send one
  }
}

void ClientConnection::body(std::string_view piece) { http_request_.body += piece; }

// --- one request ---

void ClientConnection::serve() {
  const std::string_view target = http_request_.target;
  if (target == "/_health") {
    ++listener_.counters_.health_asked;
    seen_valid_request_ = true;
    return answer(http_request_.is_get ? 200 : 405, "", "ok\n");
  }
  if (!target.starts_with(kTargetPrefix)) {
    ++listener_.counters_.not_found;
    return answer(404, "", "");
  }
  if (!http_request_.is_get && !http_request_.is_put) return answer(405, "Allow: GET, PUT\r\n", "");
  if (!serve_request()) {
    ++listener_.counters_.clients_bad;
    keep_alive_ = false;
    answer(400, "", "");
  }
}

// False where this is not a request that is served here.
bool ClientConnection::serve_request() {
  const auto target = read_target(http_request_.target);
  if (!target) return false;
  ObjectId object;
  const auto& request_classes = listener_.names_.request_classes;
  const auto found = std::find(request_classes.begin(), request_classes.end(), target->request_class_name);
  if (found == request_classes.end() || !protocol::parse_object_id(target->object, object)) return false;
  if (!http_request_.has_id || !http_request_.has_deadline || http_request_.malformed) return false;
  // What a node would answer with an error: a read with a body, or a method that does not match the request
  // class, such as GET for one that writes.
  const auto class_index = static_cast<std::size_t>(found - request_classes.begin());
  const auto& writes = listener_.names_.writes;
  if (http_request_.is_get && !http_request_.body.empty()) return false;
  if (class_index < writes.size() && writes[class_index] != http_request_.is_put) return false;
  seen_valid_request_ = true;

  // Guards against clients that send requests and do not read the answers: these must not fill the memory.
  // Nothing of this request has run.
  if (!listener_.make_room_for_answer()) {
    listener_.director_.count_rejected_at_limit();
    answer(503, "", "", ipfix::Outcome::kRejected);
    return true;
  }
  // The request was read from bytes that arrived before the client disconnected: no client waits for the
  // answer.
  if (client_has_closed()) {
    close_connection();
    return true;
  }
  // Guards against requests of a client that sent much at once and has left: nothing of this one has run. The
  // cost: a client that sends far ahead of its answers has to repeat some requests.
  if (close_may_be_hidden()) {
    ++listener_.counters_.unread_rejected;
    listener_.director_.count_rejected_at_limit();
    answer(503, "", "", ipfix::Outcome::kRejected);
    return true;
  }
  auto forwarded_request = std::make_shared<protocol::ForwardedRequest>();
  forwarded_request->lane = target->request_class_name;
  forwarded_request->name = target->object;
  forwarded_request->piece = target->part_digits;
  forwarded_request->cached = std::move(http_request_.cached_etag);
  forwarded_request->body = std::move(http_request_.body);
  forwarded_request->body_memory = {listener_.director_.memory_budget(), policy::MemoryUse::kRequests};
  forwarded_request->body_memory.resize(forwarded_request->body.size());
  if (flow_observer_) {
    request_class_ = listener_.flows_->request_class(forwarded_request->lane);
    forwarded_request->request_class_number = request_class_.value;
    forwarded_request->location_number = location_.value;
  }
  const Limits& limits = listener_.limits_;
  // A request that is read after a pause of the process may have waited for all of it, while its client's
  // time counts from the moment of sending.
  const Seconds deadline =
      Scheduler::now() + std::max(0.0, http_request_.deadline_ms / 1000 - limits.deadline_margin -
                                           listener_.scheduler_.lateness());
  forwarded_request_ = forwarded_request;
  open_request_ = listener_.director_.request_arrived(
      {std::move(http_request_.id)}, {static_cast<int>(class_index)}, object, target->part,
      {http_request_.group}, deadline, http_request_.size_kb, http_request_.resent, http_request_.is_put,
      std::move(forwarded_request), weak_from_this());
  finish_reading_request();
  awaiting_director_ =
      true;  // the DirectorActor has the request; its answer comes later, through the mailbox
  return true;
}

}  // namespace hareramp::routing
