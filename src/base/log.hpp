// The director's log: each call writes one record (UTC time, level, event name, message, fields) to a file
// descriptor, as text or as JSON lines, through spdlog. Records for each request
// exist only at the level debug. Logging never blocks
// on the reader of the descriptor.
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

// One named value of a record. Written only as JSON; in the text format the message contains it already.
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

  void configure(LogFormat form, LogLevel lowest_level);
  LogFormat format() const { return format_; }
  // Whether records of this level are written: to be asked before one is formatted for each request.
  bool is_enabled(LogLevel level) const;

  // The event name is in snake_case and stays the same in all versions; the message is for human readers and
  // may change.
  void event(LogLevel level, std::string_view event, std::string_view message, LogFields fields = {});

  template <class... Parts>
  void info(std::string_view name, fmt::format_string<Parts...> message, Parts&&... parts) {
    event(LogLevel::kInfo, name, fmt::format(message, std::forward<Parts>(parts)...));
  }
  template <class... Parts>
  void warning(std::string_view name, fmt::format_string<Parts...> message, Parts&&... parts) {
    event(LogLevel::kWarning, name, fmt::format(message, std::forward<Parts>(parts)...));
  }

 private:
  LogFormat format_ = LogFormat::kText;
  std::unique_ptr<spdlog::logger> logger_;
};

}  // namespace hareramp
