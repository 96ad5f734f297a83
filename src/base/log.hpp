// The director's log: one record a call (UTC time, level, event name, words, fields) on a descriptor, as text
// or as JSON lines, through spdlog. Nothing is logged per request. It must never wait for whoever reads it.
#pragma once

#include <fmt/format.h>

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace spdlog {
class logger;
}

namespace hareramp {

enum class LogFormat { kText, kJson };
enum class LogLevel { kDebug, kInfo, kWarning, kError };

// One named value of a record; shown in the form kJson only: the words of the text say it already.
struct LogField {
  std::string_view name;
  std::variant<std::string, double, std::uint64_t> value;
};
using LogFields = std::initializer_list<LogField>;

class Log {
 public:
  explicit Log(int descriptor);
  ~Log();
  Log(const Log&) = delete;
  Log& operator=(const Log&) = delete;

  void configure(LogFormat form, LogLevel least);
  LogFormat format() const { return format_; }

  // event is in snake_case and stays the same over versions; words are for people and may change.
  void event(LogLevel level, std::string_view event, std::string_view words, LogFields fields = {});

  template <class... Parts>
  void info(std::string_view name, fmt::format_string<Parts...> words, Parts&&... parts) {
    event(LogLevel::kInfo, name, fmt::format(words, std::forward<Parts>(parts)...));
  }
  template <class... Parts>
  void warning(std::string_view name, fmt::format_string<Parts...> words, Parts&&... parts) {
    event(LogLevel::kWarning, name, fmt::format(words, std::forward<Parts>(parts)...));
  }

 private:
  LogFormat format_ = LogFormat::kText;
  std::unique_ptr<spdlog::logger> logger_;
};

}  // namespace hareramp
