#include "protocol/lines.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <optional>
#include <utility>

namespace hareramp::protocol {

namespace {

constexpr std::array<std::string_view, 10> kNotes = {"mem",    "parent",    "origin", "shared",  "old",
                                                     "denied", "unreached", "absent", "crowded", "behind"};
constexpr std::array<std::pair<std::string_view, Result>, 6> kWords = {{{"ACK", Result::kCompleted},
                                                                        {"NOMOD", Result::kCompleted},
                                                                        {"NOENT", Result::kAbsent},
                                                                        {"AGAIN", Result::kRejected},
                                                                        {"EIO", Result::kError},
                                                                        {"STALE", Result::kNotSent}}};

std::string_view next_part(std::string_view& text, char mark) {
  const auto at = text.find(mark);
  const std::string_view part = text.substr(0, at);
  text.remove_prefix(at == std::string_view::npos ? text.size() : at + 1);
  return part;
}

template <class Number>
std::optional<Number> number(std::string_view text) {
  Number value{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) return {};
  return value;
}

// At least 1: 0 means something else wherever a time stands.
long long milliseconds(double seconds) { return std::max(1LL, static_cast<long long>(seconds * 1000)); }

}  // namespace

std::string format_serve_command(const RequestId& request, const ForwardedRequest& forwarded_request,
                                 Seconds wait, const NodeId& node, const FillOptions& fill) {
  std::string line;
  const auto add = [&](const auto&... parts) { ((line += parts), ...); };
  add("serve ", request.value, " lane=", forwarded_request.lane, ",name=", forwarded_request.name);
  if (!forwarded_request.piece.empty()) add(",piece=", forwarded_request.piece);
  add(",ttl=", std::to_string(milliseconds(wait)));
  if (fill.source != node) add(",next=", fill.source.value);
  if (fill.rank > 0) add(",admit=", std::to_string(fill.rank));
  // Rounded down: a copy must never be older than was meant.
  if (fill.max_copy_age > 0) add(",agelim=", std::to_string(milliseconds(fill.max_copy_age)));
  const char* mark = ",ways=";
  const auto way = [&](bool wanted, const char* word) {
    if (wanted) add(std::exchange(mark, "+"), word);
  };
  way(fill.join, "ride");
  way(fill.cached_only, "have-only");
  way(fill.bypass_parent_storage, "through");
  way(fill.background_refresh, "update");
  if (!forwarded_request.cached.empty()) add(",cached=", forwarded_request.cached);
  add(" ", std::to_string(forwarded_request.body.size()), "\r\n", forwarded_request.body, "\r\n");
  return line;
}

std::string format_cancel_command(const RequestId& request) { return "cancel " + request.value + "\r\n"; }

bool AnswerParser::feed(std::string_view input, std::size_t& used, AnswerHandler& handler) {
  used = 0;
  for (;;) {
    const std::string_view rest = input.substr(used);
    wanted_ = 0;
    const auto end = rest.find('\n', looked_);
    if (end == std::string_view::npos) {
      looked_ = rest.size();
      return looked_ <= most_line_;
    }
    if (end == 0 || end > most_line_ || rest[end - 1] != '\r') return false;
    looked_ = end;
    std::string_view words = rest.substr(0, end - 1);
    const std::string_view id = next_part(words, ' '), word = next_part(words, ' ');
    std::string_view fields = next_part(words, ' ');
    const auto length = number<std::size_t>(words);
    const auto meant =
        std::find_if(kWords.begin(), kWords.end(), [&](const auto& known) { return known.first == word; });
    if (id.empty() || fields.empty() || meant == kWords.end() || !length || *length > most_body_)
      return false;
    const std::size_t whole = end + 1 + *length + 2;
    if (rest.size() < whole) {
      wanted_ = whole - rest.size();
      return true;
    }
    if (rest.substr(whole - 2, 2) != "\r\n") return false;

    AnswerDetail note = AnswerDetail::kNone;
    Seconds waited = 0;
    std::string_view tag;
    LoadReport report;
    if (fields == "-") fields = {};
    while (!fields.empty()) {
      std::string_view value = next_part(fields, ',');
      const std::string_view name = next_part(value, '=');
      if (name == "why") {
        const auto place = std::find(kNotes.begin(), kNotes.end(), value);
        if (place != kNotes.end()) note = static_cast<AnswerDetail>(place - kNotes.begin() + 1);
      } else if (name == "slow") {
        const auto told = number<double>(value);
        if (told && std::isfinite(*told)) waited = std::max(0.0, *told / 1000);
      } else if (name == "sum") {
        tag = value;
      } else if (name == "rep") {
        while (!value.empty()) {
          std::string_view figure = next_part(value, ';');
          const std::string_view which = next_part(figure, ':');
          const auto told = number<double>(figure);
          if (told && std::isfinite(*told)) report.insert_or_assign(std::string(which), *told);
        }
      } else if (name != "t0") {  // when the origin gave the copy out: nobody here asks
        handler.unknown_field(name);
      }
    }
    looked_ = 0;
    used += whole;
    answer_bytes_ = whole;
    handler.answer(id, meant->second, note, waited, word == "NOMOD", tag, report,
                   rest.substr(end + 1, *length));
  }
}

}  // namespace hareramp::protocol
