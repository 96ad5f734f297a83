#include "protocol/lines.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <optional>
#include <utility>

namespace hareramp::protocol {

namespace {

// In the order of the values of AnswerDetail after kNone.
constexpr std::array<std::string_view, 10> kAnswerDetails = {
    "mem", "parent", "origin", "shared", "old", "denied", "unreached", "absent", "crowded", "behind"};
constexpr std::array<std::pair<std::string_view, Result>, 6> kResults = {{{"ACK", Result::kCompleted},
                                                                          {"NOMOD", Result::kCompleted},
                                                                          {"NOENT", Result::kAbsent},
                                                                          {"AGAIN", Result::kRejected},
                                                                          {"EIO", Result::kError},
                                                                          {"STALE", Result::kNotSent}}};

// Removes and returns the text before the separator, or all of it if there is none.
std::string_view next_part(std::string_view& text, char separator) {
  const auto position = text.find(separator);
  const std::string_view part = text.substr(0, position);
  text.remove_prefix(position == std::string_view::npos ? text.size() : position + 1);
  return part;
}

template <class Number>
std::optional<Number> parse_number(std::string_view text) {
  Number value{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) return {};
  return value;
}

// At least 1: 0 has a different meaning in every time field of the protocol.
long long milliseconds(double seconds) { return std::max(1LL, static_cast<long long>(seconds * 1000)); }

}  // namespace

std::string format_serve_line(const RequestId& request, const ForwardedRequest& forwarded_request,
                              Seconds time_left, const NodeId& node, const FillOptions& fill) {
  std::string line;
  const auto add = [&](const auto&... parts) { ((line += parts), ...); };
  add("serve ", request.value, " lane=", forwarded_request.lane, ",name=", forwarded_request.name);
  if (!forwarded_request.piece.empty()) add(",piece=", forwarded_request.piece);
  add(",ttl=", std::to_string(milliseconds(time_left)));
  if (fill.source != node) add(",next=", fill.source.value);
  if (fill.rank > 0) add(",admit=", std::to_string(fill.rank));
  // Rounded down: a copy must never be older than the limit.
  if (fill.max_copy_age > 0) add(",agelim=", std::to_string(milliseconds(fill.max_copy_age)));
  const char* separator = ",ways=";
  const auto add_way = [&](bool enabled, const char* way) {
    if (enabled) add(std::exchange(separator, "+"), way);
  };
  add_way(fill.join, "ride");
  add_way(fill.cached_only, "have-only");
  add_way(fill.bypass_parent_storage, "through");
  add_way(fill.background_refresh, "update");
  if (!forwarded_request.cached.empty()) add(",cached=", forwarded_request.cached);
  add(" ", std::to_string(forwarded_request.body.size()), "\r\n");
  return line;
}

std::string format_cancel_command(const RequestId& request) { return "cancel " + request.value + "\r\n"; }

bool AnswerParser::parse(std::string_view input, std::size_t& consumed, AnswerHandler& handler) {
  consumed = 0;
  for (;;) {
    const std::string_view rest = input.substr(consumed);
    missing_bytes_ = 0;
    const auto end = rest.find('\n', searched_);
    if (end == std::string_view::npos) {
      searched_ = rest.size();
      return searched_ <= max_line_bytes_;
    }
    if (end == 0 || end > max_line_bytes_ || rest[end - 1] != '\r') return false;
    searched_ = end;
    std::string_view line = rest.substr(0, end - 1);
    const std::string_view id = next_part(line, ' '), status = next_part(line, ' ');
    std::string_view fields = next_part(line, ' ');
    const auto length = parse_number<std::size_t>(line);
    const auto found = std::find_if(kResults.begin(), kResults.end(),
                                    [&](const auto& known) { return known.first == status; });
    if (id.empty() || fields.empty() || found == kResults.end() || !length || *length > max_body_bytes_)
      return false;
    const std::size_t answer_length = end + 1 + *length + 2;
    if (rest.size() < answer_length) {
      missing_bytes_ = answer_length - rest.size();
      return true;
    }
    if (rest.substr(answer_length - 2, 2) != "\r\n") return false;

    AnswerDetail detail = AnswerDetail::kNone;
    Seconds waited = 0;
    std::string_view tag;
    LoadReport report;
    if (fields == "-") fields = {};
    while (!fields.empty()) {
      std::string_view value = next_part(fields, ',');
      const std::string_view name = next_part(value, '=');
      if (name == "why") {
        const auto known_detail = std::find(kAnswerDetails.begin(), kAnswerDetails.end(), value);
        if (known_detail != kAnswerDetails.end())
          detail = static_cast<AnswerDetail>(known_detail - kAnswerDetails.begin() + 1);
      } else if (name == "slow") {
        const auto number = parse_number<double>(value);
        if (number && std::isfinite(*number)) waited = std::max(0.0, *number / 1000);
      } else if (name == "sum") {
        tag = value;
      } else if (name == "rep") {
        while (!value.empty()) {
          std::string_view entry = next_part(value, ';');
          const std::string_view gauge = next_part(entry, ':');
          const auto number = parse_number<double>(entry);
          if (number && std::isfinite(*number)) report.insert_or_assign(std::string(gauge), *number);
        }
      } else if (name != "t0") {  // time at which the origin served the copy; not used here
        handler.unknown_field(name);
      }
    }
    searched_ = 0;
    consumed += answer_length;
    answer_bytes_ = answer_length;
    handler.answer(id, found->second, detail, waited, status == "NOMOD", tag, report,
                   rest.substr(end + 1, *length));
  }
}

}  // namespace hareramp::protocol
