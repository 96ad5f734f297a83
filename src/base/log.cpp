#include "base/log.hpp"

#include <poll.h>
#include <spdlog/details/null_mutex.h>
#include <spdlog/logger.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/base_sink.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

namespace hareramp {

namespace {

// Writes to a descriptor without blocking: a reader that stops reading its pipe must not stop the director. A
// record that can't be written is lost and counted; the next record that is written is followed by the number
// lost. If poll reports that the descriptor is writable, up to PIPE_BUF bytes are written without blocking;
// the longest record is shorter than that.
class NonBlockingSink : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 public:
  explicit NonBlockingSink(int descriptor) : descriptor_(descriptor) {}

  std::uint64_t exchange_lost() { return std::exchange(lost_, 0); }
  std::uint64_t lost() const { return lost_; }
  bool is_writable() const {
    pollfd request{descriptor_, POLLOUT, 0};
    return poll(&request, 1, 0) == 1 && (request.revents & POLLOUT) != 0;
  }
  void count_lost() { ++lost_; }

 private:
  void sink_it_(const spdlog::details::log_msg& message) override {
    spdlog::memory_buf_t text;
    formatter_->format(message, text);
    if (::write(descriptor_, text.data(), text.size()) < 0) ++lost_;
  }
  void flush_() override {}

  int descriptor_;
  std::uint64_t lost_ = 0;
};

spdlog::level::level_enum spdlog_level(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return spdlog::level::debug;
    case LogLevel::kInfo:
      return spdlog::level::info;
    case LogLevel::kWarning:
      return spdlog::level::warn;
    case LogLevel::kError:
      return spdlog::level::err;
  }
  return spdlog::level::info;
}

const char* name_of(LogLevel level) {
  constexpr const char* kNames[] = {"debug", "info", "warning", "error"};
  return kNames[static_cast<int>(level)];
}

}  // namespace

Log::Log(int descriptor) {
  logger_ = std::make_unique<spdlog::logger>("hareramp", std::make_shared<NonBlockingSink>(descriptor));
  logger_->set_error_handler([](const std::string&) {});  // nowhere left to report it
  configure(LogFormat::kText, LogLevel::kInfo);
}

Log::~Log() = default;

void Log::configure(LogFormat form, LogLevel lowest_level) {
  format_ = form;
  const char* pattern =
      form == LogFormat::kText ? "%Y-%m-%dT%H:%M:%SZ %v" : "{\"time\":\"%Y-%m-%dT%H:%M:%S.%eZ\",%v}";
  logger_->set_formatter(
      std::make_unique<spdlog::pattern_formatter>(pattern, spdlog::pattern_time_type::utc, "\n"));
  logger_->set_level(spdlog_level(lowest_level));
}

bool Log::is_enabled(LogLevel level) const { return logger_->should_log(spdlog_level(level)); }

void Log::event(LogLevel level, std::string_view event, std::string_view message, LogFields fields) {
  const auto severity = spdlog_level(level);
  if (!logger_->should_log(severity)) return;
  auto& sink = static_cast<NonBlockingSink&>(*logger_->sinks().front());
  if (!sink.is_writable()) return sink.count_lost();
  const std::uint64_t lost = sink.exchange_lost();
  const auto write = [&](LogLevel record_level, std::string_view name, std::string_view text,
                         LogFields values) {
    if (format_ == LogFormat::kText)
      return logger_->log(spdlog_level(record_level), spdlog::string_view_t(text.data(), text.size()));
    nlohmann::ordered_json record;
    record["level"] = name_of(record_level);
    record["event"] = name;
    record["words"] = text;
    for (const LogField& field : values)
      std::visit([&](const auto& value) { record[std::string(field.name)] = value; }, field.value);
    std::string line = record.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    line = line.substr(1, line.size() - 2);  // the pattern supplies the braces and the time
    logger_->log(spdlog_level(record_level), spdlog::string_view_t(line.data(), line.size()));
  };
  write(level, event, message, fields);
  if (lost > 0)
    write(LogLevel::kError, "log_lost", fmt::format("{} log lines were lost", lost), {{"lost", lost}});
}

}  // namespace hareramp
