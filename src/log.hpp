// The director's log: one line a call, on whatever stream it was opened for. Nothing is logged per pull.
#pragma once

#include <fmt/format.h>

#include <cstdio>
#include <string_view>
#include <utility>

namespace hareramp {

class Log {
 public:
  explicit Log(std::FILE* stream) : stream_(stream) {}
  template <class... Parts>
  void line(fmt::format_string<Parts...> words, Parts&&... parts) {
    write(fmt::format(words, std::forward<Parts>(parts)...));
  }

 private:
  // A log that can't be written must not stop the director; what is lost then is the line.
  void write(std::string_view text) {
    std::fwrite(text.data(), 1, text.size(), stream_);
    std::fputc('\n', stream_);
    std::fflush(stream_);
  }
  std::FILE* stream_;
};

}  // namespace hareramp
