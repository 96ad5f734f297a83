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

// Guards against whoever reads the log and stops: a pipe that is full must not stop the director. A record
// that can't be written is lost and counted, and the next one that can says how many were. Up to PIPE_BUF
// bytes go without waiting where poll says that the descriptor takes any; the longest record is under that.
class PatientSink : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 public:
  explicit PatientSink(int descriptor) : descriptor_(descriptor) {}

  std::uint64_t take_lost() { return std::exchange(lost_, 0); }
  std::uint64_t lost() const { return lost_; }
  bool takes_any() const {
    pollfd room{descriptor_, POLLOUT, 0};
    return poll(&room, 1, 0) == 1 && (room.revents & POLLOUT) != 0;
  }
  void lose_one() { ++lost_; }

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
  logger_ = std::make_unique<spdlog::logger>("hareramp", std::make_shared<PatientSink>(descriptor));
  logger_->set_error_handler([](const std::string&) {});  // there is nowhere left to say it
  configure(LogFormat::kText, LogLevel::kInfo);
}

Log::~Log() = default;

void Log::configure(LogFormat form, LogLevel least) {
  format_ = form;
  const char* pattern =
      form == LogFormat::kText ? "%Y-%m-%dT%H:%M:%SZ %v" : "{\"time\":\"%Y-%m-%dT%H:%M:%S.%eZ\",%v}";
  logger_->set_formatter(
      std::make_unique<spdlog::pattern_formatter>(pattern, spdlog::pattern_time_type::utc, "\n"));
  logger_->set_level(spdlog_level(least));
}

void Log::event(LogLevel level, std::string_view event, std::string_view words, LogFields fields) {
  const auto severity = spdlog_level(level);
  if (!logger_->should_log(severity)) return;
  auto& sink = static_cast<PatientSink&>(*logger_->sinks().front());
  if (!sink.takes_any()) return sink.lose_one();
  const std::uint64_t lost = sink.take_lost();
  const auto write = [&](LogLevel how, std::string_view name, std::string_view text, LogFields with) {
    if (format_ == LogFormat::kText)
      return logger_->log(spdlog_level(how), spdlog::string_view_t(text.data(), text.size()));
    nlohmann::ordered_json record;
    record["level"] = name_of(how);
    record["event"] = name;
    record["words"] = text;
    for (const LogField& field : with)
      std::visit([&](const auto& value) { record[std::string(field.name)] = value; }, field.value);
    std::string line = record.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    line = line.substr(1, line.size() - 2);  // the braces and the time come from the pattern
    logger_->log(spdlog_level(how), spdlog::string_view_t(line.data(), line.size()));
  };
  write(level, event, words, fields);
  if (lost > 0)
    write(LogLevel::kError, "log_lost", fmt::format("{} lines of the log are lost", lost), {{"lost", lost}});
}

}  // namespace hareramp
