#include "policy/request_timers.hpp"

#include <charconv>
#include <string>
#include <string_view>

namespace hareramp::policy {

namespace {

// The forms of a token: resume:SERIAL:ID and late:ATTEMPT:SERIAL:ID.
constexpr std::string_view kResumePrefix = "resume:";
constexpr std::string_view kLatePrefix = "late:";

// Reads a number and the colon behind it from the start of the text, and removes both.
template <class Number>
bool take_number(std::string_view& text, Number& number) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end == text.data() + text.size() || *end != ':') return false;
  text.remove_prefix(static_cast<std::size_t>(end - text.data()) + 1);
  return true;
}

}  // namespace

TimerToken RequestTimer::token() const {
  std::string text(purpose == Purpose::kResume ? kResumePrefix : kLatePrefix);
  if (purpose == Purpose::kLateAttempt) text += std::to_string(attempt) + ":";
  return {text + std::to_string(serial) + ":" + request.value};
}

std::optional<RequestTimer> RequestTimer::parse(const TimerToken& token) {
  std::string_view text = token.value;
  RequestTimer timer;
  if (text.starts_with(kResumePrefix)) {
    text.remove_prefix(kResumePrefix.size());
  } else if (text.starts_with(kLatePrefix)) {
    timer.purpose = Purpose::kLateAttempt;
    text.remove_prefix(kLatePrefix.size());
    if (!take_number(text, timer.attempt)) return std::nullopt;
  } else {
    return std::nullopt;
  }
  if (!take_number(text, timer.serial)) return std::nullopt;
  timer.request.value = text;
  return timer;
}

}  // namespace hareramp::policy
