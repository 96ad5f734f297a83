// What the platform asks of the line `run` in the deploy file, held against the program that it starts: one
// process in the place of the shell, one thread, the dynamic C library, IPv4 sockets of TCP and UDP, nothing
// that starts programs or copies by the kernel, and everything of the operator's file off.
#include <elf.h>
#include <signal.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <set>

#include "helpers.hpp"
#include "rig/process.hpp"
#include "rig/world.hpp"

using namespace hareramp;
using transport::Scheduler;
namespace files = std::filesystem;

namespace {

std::string file_text(const files::path& path) {
  std::ifstream file(path, std::ios::binary);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

// The value of a key that stands alone on its line in the deploy file.
std::string deploy_value(const std::string& key) {
  std::smatch found;
  const std::string text = file_text(std::string(HARERAMP_SOURCE) + "/deploy/balancer.toml");
  const std::regex line("(?:^|\n)" + key + " = \"([^\"\n]*)\"");
  REQUIRE(std::regex_search(text, found, line));
  return found[1];
}

std::string status_field(const files::path& proc, const std::string& name) {
  std::istringstream lines(file_text(proc / "status"));
  for (std::string line; std::getline(lines, line);)
    if (line.starts_with(name + ":\t")) return line.substr(name.size() + 2);
  return "";
}

// Numbers of the sockets in one of the kernel's tables, which has them in this column.
std::set<std::string> socket_numbers(const files::path& table, int column) {
  std::set<std::string> numbers;
  std::istringstream lines(file_text(table));
  for (std::string line; std::getline(lines, line);) {
    std::istringstream words(line);
    std::string word;
    for (int i = 0; i <= column; ++i) words >> word;
    numbers.insert(word);
  }
  return numbers;
}

// What the descriptors of a process are, socket or other, one word each.
std::multiset<std::string> descriptors(const files::path& proc) {
  const std::map<std::string, std::set<std::string>> tables = {
      {"tcp", socket_numbers(proc / "net/tcp", 9)},
      {"udp", socket_numbers(proc / "net/udp", 9)},
      {"tcp6", socket_numbers(proc / "net/tcp6", 9)},
      {"udp6", socket_numbers(proc / "net/udp6", 9)},
      {"unix", socket_numbers(proc / "net/unix", 6)}};
  std::multiset<std::string> kinds;
  for (const auto& entry : files::directory_iterator(proc / "fd")) {
    std::error_code gone;
    const std::string to = files::read_symlink(entry.path(), gone).string();
    if (gone) continue;
    if (!to.starts_with("socket:[")) {
      kinds.insert(to.starts_with("anon_inode:") ? to.substr(11) : "file");
      continue;
    }
    const std::string number = to.substr(8, to.size() - 9);
    const auto found = std::find_if(tables.begin(), tables.end(),
                                    [&](const auto& table) { return table.second.contains(number); });
    kinds.insert(found == tables.end() ? "socket without a table" : found->first);
  }
  return kinds;
}

std::vector<std::string> children_of(pid_t parent) {
  std::vector<std::string> children;
  for (const auto& entry : files::directory_iterator("/proc"))
    if (status_field(entry.path(), "PPid") == std::to_string(parent))
      children.push_back(status_field(entry.path(), "Name"));
  return children;
}

// Hundredths of a second of processor time.
long used(const files::path& proc) {
  const std::string text = file_text(proc / "stat");
  std::istringstream words(text.substr(text.rfind(')') + 2));
  std::string word;
  long user = 0, system = 0;
  for (int i = 0; i < 11; ++i) words >> word;
  words >> user >> system;
  return (user + system) * 100 / sysconf(_SC_CLK_TCK);
}

// Names that an ELF file wants from its libraries.
std::set<std::string> asked_for(const std::string& file) {
  std::set<std::string> names;
  const auto* header = reinterpret_cast<const Elf64_Ehdr*>(file.data());
  const auto* sections = reinterpret_cast<const Elf64_Shdr*>(file.data() + header->e_shoff);
  for (int i = 0; i < header->e_shnum; ++i) {
    if (sections[i].sh_type != SHT_DYNSYM) continue;
    const char* words = file.data() + sections[sections[i].sh_link].sh_offset;
    const auto* symbols = reinterpret_cast<const Elf64_Sym*>(file.data() + sections[i].sh_offset);
    for (std::size_t k = 0; k < sections[i].sh_size / sizeof(Elf64_Sym); ++k)
      if (symbols[k].st_shndx == SHN_UNDEF) names.insert(words + symbols[k].st_name);
  }
  return names;
}

}  // namespace

TEST_CASE("the deploy file's run: one process by exec, one thread, TCP over IPv4, and idle when idle") {
  std::string run = deploy_value("run");
  CHECK(run.starts_with("exec build/hareramp serve"));
  CHECK(run.find("operator") == std::string::npos);
  REQUIRE(run.find("build/hareramp ") != std::string::npos);
  run.replace(run.find("build/hareramp "), 14, HARERAMP_BINARY);

  Scheduler scheduler;
  rig::IdleChangeStream changes(scheduler);
  rig::Node cache(scheduler, {{"segment", 3000}}, {}, 1), origin(scheduler, {{"segment", 3000}}, {}, 2);
  const transport::Address listen = unused_address(scheduler);
  rig::Site site;
  site.listen = listen.text(), site.change_log = changes.address().text();
  site.caches = {{"c1", cache.address().text()}}, site.origin = origin.address().text();
  std::string config = files::temp_directory_path() / "hareramp-platform-XXXXXX";
  ::close(mkstemp(config.data()));
  std::ofstream(config) << rig::configuration(site);
  {
    rig::Process director("/bin/sh", {"-c", run}, {{"EDGE_CONFIG", config}});
    REQUIRE_MESSAGE(run_until(scheduler, [&] { return director.has_printed("serving"); }),
                    director.printed());
    rig::Client client(scheduler, listen, *transport::Address::parse("127.0.0.1:0"), "segment", false, {}, 1);
    client.start(20, 0);
    REQUIRE(run_until(scheduler, [&] { return client.done(); }));
    CHECK(client.counts().completed == 20);

    const files::path proc = "/proc/" + std::to_string(director.id());
    CHECK(status_field(proc, "Name") == "hareramp");  // the shell is gone
    CHECK(status_field(proc, "Threads") == "1");
    CHECK(children_of(director.id()).empty());
    CHECK(file_text(proc / "maps").find("/libc.so.6") != std::string::npos);
    for (const std::string& kind : descriptors(proc)) {
      const std::set<std::string> wanted = {"file", "tcp", "[eventpoll]", "[signalfd]"};
      CHECK_MESSAGE(wanted.contains(kind), kind);
    }
    CHECK(descriptors(proc).count("tcp") >= 2);  // the check sees sockets at all

    // A thread that spins would use all of this second, or what of it a busy machine gives.
    const long before = used(proc);
    const Seconds start = Scheduler::now();
    REQUIRE(run_until(scheduler, [&] { return Scheduler::now() > start + 1; }));
    CHECK(used(proc) - before < 10);
    director.send(SIGTERM);
    REQUIRE(run_until(scheduler, [&] { return director.ended(); }));
    CHECK(director.status() == 0);
  }
  scheduler.clear();
  files::remove(config);
}

TEST_CASE("the program itself asks the C library for nothing that the platform refuses") {
  const auto names = asked_for(file_text(HARERAMP_BINARY));
  CHECK(names.contains("accept4"));  // the check sees names at all
  for (const char* name : {"fork", "vfork", "clone", "execve", "execv", "execvp", "posix_spawn",
                           "posix_spawnp", "system", "popen", "splice", "vmsplice", "tee", "sendfile",
                           "sendfile64", "io_uring_setup", "io_uring_queue_init", "dlopen"})
    CHECK_MESSAGE(!names.contains(name), name);
}

TEST_CASE("the shipped operator's file has everything off") {
  const std::string text = file_text(std::string(HARERAMP_SOURCE) + "/deploy/operator.json");
  CHECK(text.find("\"enabled\": false") != std::string::npos);
  CHECK_FALSE(std::regex_search(text, std::regex("\"enabled\"\\s*:\\s*true")));
}
