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

Process::Process(const std::string& program, const std::vector<std::string>& words,
                 const std::map<std::string, std::string>& variables, std::uint64_t descriptors) {
  path_ = std::filesystem::temp_directory_path() / "hareramp-rig-XXXXXX";
  const int file = mkstemp(path_.data());
  std::vector<std::string> all = {program};
  all.insert(all.end(), words.begin(), words.end());
  child_ = fork();
  if (child_ == 0) {
    for (const char* known : {"EDGE_NAME", "EDGE_LISTEN", "EDGE_CONFIG", "HARERAMP_OPERATOR"})
      unsetenv(known);
    for (const auto& [key, value] : variables) setenv(key.c_str(), value.c_str(), 1);
    dup2(file, 1), dup2(file, 2);
    for (int other = 3; other < 1024; ++other) ::close(other);
    const rlimit most{descriptors, descriptors};
    if (descriptors > 0) setrlimit(RLIMIT_NOFILE, &most);
    std::vector<char*> raw;
    for (std::string& word : all) raw.push_back(word.data());
    raw.push_back(nullptr);
    execv(raw[0], raw.data());
    _exit(127);
  }
  ::close(file);
}

Process::~Process() {
  if (!ended()) {
    kill(child_, SIGKILL);
    waitpid(child_, nullptr, 0);
  }
  std::filesystem::remove(path_);
}

void Process::send(int signal) { kill(child_, signal); }
bool Process::ended() {
  if (!ended_) ended_ = waitpid(child_, &status_, WNOHANG) == child_;
  return ended_;
}
int Process::status() const { return WIFEXITED(status_) ? WEXITSTATUS(status_) : 1000 + WTERMSIG(status_); }

std::string Process::printed() const {
  std::ifstream file(path_);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

std::map<std::string, std::uint64_t> Process::counters() const {
  std::map<std::string, std::uint64_t> all;
  const std::string text = printed();
  const auto at = text.rfind("counters ");
  if (at == std::string::npos) return all;
  std::istringstream words(text.substr(at, text.find('\n', at) - at));
  for (std::string word; words >> word;) {
    const auto equals = word.find('=');
    if (equals != std::string::npos)
      all[word.substr(0, equals)] = std::strtoull(word.c_str() + equals + 1, nullptr, 10);
  }
  return all;
}

}  // namespace hareramp::rig
