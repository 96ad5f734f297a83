// The director's log: one line a call with its UTC time, on a descriptor. Nothing is logged per pull.
#pragma once

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>

#include <cstdint>
#include <ctime>
#include <string>
#include <utility>

namespace hareramp {

class Log {
 public:
  explicit Log(int descriptor) : descriptor_(descriptor) {}

  template <class... Parts>
  void line(fmt::format_string<Parts...> words, Parts&&... parts) {
    write(fmt::format(words, std::forward<Parts>(parts)...));
  }

 private:
  // Guards against whoever reads the log and stops: a pipe that is full must not stop the director. A line
  // that can't be written is lost and counted, and the next one that can says how many were. Up to PIPE_BUF
  // bytes go without waiting where poll says that the descriptor takes any; the longest line is under that.
  void write(const std::string& words) {
    pollfd room{descriptor_, POLLOUT, 0};
    if (poll(&room, 1, 0) != 1 || (room.revents & POLLOUT) == 0) {
      ++lost_;
      return;
    }
    std::string text = fmt::format("{:%FT%TZ} {}\n", fmt::gmtime(std::time(nullptr)), words);
    if (lost_ > 0) text += fmt::format("{} lines of the log are lost\n", std::exchange(lost_, 0));
    if (::write(descriptor_, text.data(), text.size()) < 0) ++lost_;
  }

  int descriptor_;
  std::uint64_t lost_ = 0;
};

}  // namespace hareramp
