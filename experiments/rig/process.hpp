// Runs one of the project's programs as a child process and keeps its standard output and standard error in a
// temporary file. The destructor kills the process.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace hareramp::rig {

class Process {
 public:
  // The child does not inherit the environment variables that the director reads (EDGE_NAME and so on); those
  // in `environment` are set. descriptor_limit: open file descriptors that the child may have, 0: the limit
  // of this process.
  Process(const std::string& program, const std::vector<std::string>& arguments,
          const std::map<std::string, std::string>& environment = {}, std::uint64_t descriptor_limit = 0);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  pid_t id() const { return child_; }
  void send(int signal);
  bool ended();
  int status() const;  // exit status, or 1000 plus the number of the signal that ended the process
  std::string printed() const;
  bool has_printed(const std::string& text) const { return printed().find(text) != std::string::npos; }
  // The values of the last "counters" line in the output, by name.
  std::map<std::string, std::uint64_t> counters() const;

 private:
  std::string output_path_;
  pid_t child_ = -1;
  int status_ = 0;
  bool ended_ = false;
};

}  // namespace hareramp::rig
