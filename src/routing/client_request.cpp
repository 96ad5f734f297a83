// How a ClientConnection reads one request: from the HTTP message to what the director is asked.
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
bool read_figure(std::string_view text, double most, double& value) {
  return read_number(text, value) && std::isfinite(value) && value >= 0 && value <= most;
}
// What goes on in a line of words must hold no mark of that line.
bool is_word(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return c > 0x20 && c < 0x7f && c != ',' && c != '=' && c != '+';
  });
}
bool is_id(std::string_view text) {
  return text.size() == 16 && text.find_first_not_of("0123456789abcdefABCDEF") == std::string_view::npos;
}

constexpr std::string_view kTargetStart = "/invoke/";
constexpr std::string_view kPartStart = "block-";

// A request's target: /invoke/CLASS/OBJECT or /invoke/CLASS/OBJECT/block-PART. Views into the target.
struct RequestTarget {
  std::string_view request_class_name;
  std::string_view object;
  std::string_view piece;  // the digits of the part; empty where the target names none
  PartNumber part;
};

// None where the text is no such target.
std::optional<RequestTarget> read_target(std::string_view text) {
  RequestTarget target;
  text.remove_prefix(kTargetStart.size());
  const auto class_end = text.find('/');
  if (class_end == std::string_view::npos) return {};
  target.request_class_name = text.substr(0, class_end);
  text.remove_prefix(class_end + 1);
  const auto object_end = text.find('/');
  target.object = text.substr(0, object_end);
  if (object_end == std::string_view::npos) return target;
  target.piece = text.substr(object_end + 1);
  if (!target.piece.starts_with(kPartStart)) return {};
  target.piece.remove_prefix(kPartStart.size());
  if (!read_number(target.piece, target.part.value) || target.part.value < 0) return {};
  return target;
}

}  // namespace

void ClientConnection::start_line(std::string_view method, std::string_view target) {
  http_request_ = HttpRequest();
  http_request_.get = method == "GET";
  http_request_.put = method == "PUT";
  http_request_.target = target;
}

void ClientConnection::header(std::string_view name, std::string_view value) {
  HttpRequest& r = http_request_;
  const Limits& limits = listener_.limits_;
  if (equal_ignoring_case(name, "x-correlation-id")) {
    r.bad = r.bad || !r.id.empty();
    r.has_id = is_id(value);
    r.id = value;
  } else if (equal_ignoring_case(name, "x-deadline-ms")) {
    r.bad = r.bad || r.has_stop;
    r.has_stop = read_figure(value, limits.max_deadline * 1000, r.wait);
  } else if (equal_ignoring_case(name, "x-resent")) {
    r.resent = value == "1";
  } else if (equal_ignoring_case(name, "x-family")) {
    r.bad = r.bad || !read_number(value, r.family) || r.family < 0 || r.family >= limits.group_count;
  } else if (equal_ignoring_case(name, "x-need-kb")) {
    r.bad = r.bad || !read_figure(value, limits.max_request_kb, r.size_kb);
  } else if (equal_ignoring_case(name, "if-none-match")) {
    if (value.starts_with("W/")) value.remove_prefix(2);
    if (value.size() >= 2 && value.front() == '"' && value.back() == '"')
      value = value.substr(1, value.size() - 2);
    if (is_word(value)) r.cached = value;  // a list of tags, or *, is not what our clients send
  }
}

void ClientConnection::body(std::string_view piece) { http_request_.body += piece; }

// --- one request ---

void ClientConnection::serve() {
  const std::string_view target = http_request_.target;
  if (target == "/_health") {
    ++listener_.counters_.health_asked;
    shown_ = true;
    return answer(http_request_.get ? 200 : 405, "", "ok\n");
  }
  if (!target.starts_with(kTargetStart)) {
    ++listener_.counters_.not_found;
    return answer(404, "", "");
  }
  if (!http_request_.get && !http_request_.put) return answer(405, "Allow: GET, PUT\r\n", "");
  if (!serve_request()) {
    ++listener_.counters_.clients_bad;
    keep_ = false;
    answer(400, "", "");
  }
}

// False where it is no request that is served here.
bool ClientConnection::serve_request() {
  const auto target = read_target(http_request_.target);
  if (!target) return false;
  ObjectId object;
  const auto& request_classes = listener_.names_.request_classes;
  const auto known = std::find(request_classes.begin(), request_classes.end(), target->request_class_name);
  if (known == request_classes.end() || !protocol::parse_object_id(target->object, object)) return false;
  if (!http_request_.has_id || !http_request_.has_stop || http_request_.bad) return false;
  // What a node would answer with an error: a read that brings bytes, a write that does not write.
  const auto place = static_cast<std::size_t>(known - request_classes.begin());
  const auto& writes = listener_.names_.writes;
  if (http_request_.get && !http_request_.body.empty()) return false;
  if (place < writes.size() && writes[place] != http_request_.put) return false;
  shown_ = true;

  // Guards against clients that ask and do not read: their answers must not fill the memory. Nothing has run.
  if (listener_.waiting_answers_ > listener_.limits_.max_pending_answers) {
    listener_.module_.turned_back();
    answer(503, "", "", ipfix::Outcome::kBounced);
    return true;
  }
  // Read out of what came before the client went: nobody waits for it.
  if (client_has_closed()) {
    leave();
    return true;
  }
  auto forwarded_request = std::make_shared<protocol::ForwardedRequest>();
  forwarded_request->lane = target->request_class_name;
  forwarded_request->name = target->object;
  forwarded_request->piece = target->piece;
  forwarded_request->cached = std::move(http_request_.cached);
  forwarded_request->body = std::move(http_request_.body);
  if (flow_observer_) {
    request_class_ = listener_.flows_->request_class(forwarded_request->lane);
    forwarded_request->request_class_number = request_class_.value;
    forwarded_request->location_number = location_.value;
  }
  const Limits& limits = listener_.limits_;
  // A request read after a pause may have waited for all of it, and its client's time began with the sending.
  const Seconds deadline =
      Scheduler::now() +
      std::max(0.0, http_request_.wait / 1000 - limits.deadline_margin - listener_.scheduler_.lateness());
  request_ = {std::move(http_request_.id)};
  forwarded_request_ = forwarded_request;
  listener_.module_.request_arrived(request_, {static_cast<int>(place)}, object, target->part,
                                    {http_request_.family}, deadline, http_request_.size_kb,
                                    http_request_.resent, http_request_.put, std::move(forwarded_request),
                                    weak_from_this());
  owed_ = true;  // the module has it; its answer comes by the mailbox, later
  return true;
}

}  // namespace hareramp::routing
