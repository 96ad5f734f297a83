#include "rig/process.hpp"

#include <signal.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace hareramp::rig {

Process::Process(const std::string& program, const std::vector<std::string>& arguments,
                 const std::map<std::string, std::string>& environment, std::uint64_t descriptor_limit) {
  output_path_ = std::filesystem::temp_directory_path() / "hareramp-rig-XXXXXX";
  const int output = mkstemp(output_path_.data());
  std::vector<std::string> command = {program};
  command.insert(command.end(), arguments.begin(), arguments.end());
  child_ = fork();
  if (child_ == 0) {
    for (const char* variable : {"EDGE_NAME", "EDGE_LISTEN", "EDGE_CONFIG", "HARERAMP_OPERATOR"})
      unsetenv(variable);
    for (const auto& [key, value] : environment) setenv(key.c_str(), value.c_str(), 1);
    dup2(output, 1), dup2(output, 2);
    for (int descriptor = 3; descriptor < 1024; ++descriptor) ::close(descriptor);
    const rlimit limit{descriptor_limit, descriptor_limit};
    if (descriptor_limit > 0) setrlimit(RLIMIT_NOFILE, &limit);
    std::vector<char*> argv;
    for (std::string& argument : command) argv.push_back(argument.data());
    argv.push_back(nullptr);
    execv(argv[0], argv.data());
    _exit(127);
  }
  ::close(output);
}

Process::~Process() {
  if (!ended()) {
    kill(child_, SIGKILL);
    waitpid(child_, nullptr, 0);
  }
  std::filesystem::remove(output_path_);
}

void Process::send(int signal) { kill(child_, signal); }
bool Process::ended() {
  if (!ended_) ended_ = waitpid(child_, &status_, WNOHANG) == child_;
  return ended_;
}
int Process::status() const { return WIFEXITED(status_) ? WEXITSTATUS(status_) : 1000 + WTERMSIG(status_); }

std::string Process::printed() const {
  std::ifstream file(output_path_);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

std::map<std::string, std::uint64_t> Process::counters() const {
  std::map<std::string, std::uint64_t> values;
  const std::string text = printed();
  const auto line = text.rfind("counters ");
  if (line == std::string::npos) return values;
  std::istringstream pairs(text.substr(line, text.find('\n', line) - line));
  for (std::string pair; pairs >> pair;) {
    const auto equals = pair.find('=');
    if (equals != std::string::npos)
      values[pair.substr(0, equals)] = std::strtoull(pair.c_str() + equals + 1, nullptr, 10);
  }
  return values;
}

}  // namespace hareramp::rig
