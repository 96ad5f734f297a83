// A program of ours as a child process, with what it prints in a file. Killed when this goes.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace hareramp::rig {

class Process {
 public:
  // Variables of the director's that this process has are taken away, those given are set; descriptors: how
  // many it may hold at most, 0 leaves that as it is.
  Process(const std::string& program, const std::vector<std::string>& words,
          const std::map<std::string, std::string>& variables = {}, std::uint64_t descriptors = 0);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  pid_t id() const { return child_; }
  void send(int signal);
  bool ended();
  int status() const;  // the exit status, or 1000 and the signal that ended it
  std::string printed() const;
  bool has_printed(const std::string& words) const { return printed().find(words) != std::string::npos; }
  // The figures of the last line of counters.
  std::map<std::string, std::uint64_t> counters() const;

 private:
  std::string path_;
  pid_t child_ = -1;
  int status_ = 0;
  bool ended_ = false;
};

}  // namespace hareramp::rig
