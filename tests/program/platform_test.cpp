// Checks the program that the line `run` of the deploy file starts against what the platform requires: one
// process in place of the shell, one thread, the dynamic C library, only IPv4 sockets of TCP and UDP, no
// calls that start programs or copy data within the kernel, and every feature of the operator's file off.
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

// The value of a key that has a line of its own in the deploy file.
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

// Inode numbers of the sockets in one of the kernel's tables, which lists them in this column.
std::set<std::string> socket_inodes(const files::path& table, int column) {
  std::set<std::string> inodes;
  std::istringstream lines(file_text(table));
  for (std::string line; std::getline(lines, line);) {
    std::istringstream words(line);
    std::string word;
    for (int i = 0; i <= column; ++i) words >> word;
    inodes.insert(word);
  }
  return inodes;
}

// The kind of each descriptor of a process: the kernel's table for a socket, the name of an anonymous inode,
// or "file".
std::multiset<std::string> descriptor_kinds(const files::path& proc) {
  const std::map<std::string, std::set<std::string>> tables = {{"tcp", socket_inodes(proc / "net/tcp", 9)},
                                                               {"udp", socket_inodes(proc / "net/udp", 9)},
                                                               {"tcp6", socket_inodes(proc / "net/tcp6", 9)},
                                                               {"udp6", socket_inodes(proc / "net/udp6", 9)},
                                                               {"unix", socket_inodes(proc / "net/unix", 6)}};
  std::multiset<std::string> kinds;
  for (const auto& entry : files::directory_iterator(proc / "fd")) {
    std::error_code error;
    const std::string target = files::read_symlink(entry.path(), error).string();
    if (error) continue;
    if (!target.starts_with("socket:[")) {
      kinds.insert(target.starts_with("anon_inode:") ? target.substr(11) : "file");
      continue;
    }
    const std::string inode = target.substr(8, target.size() - 9);
    const auto found = std::find_if(tables.begin(), tables.end(),
                                    [&](const auto& table) { return table.second.contains(inode); });
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

// The processor time that a process has used, in hundredths of a second.
long processor_time(const files::path& proc) {
  const std::string text = file_text(proc / "stat");
  std::istringstream words(text.substr(text.rfind(')') + 2));
  std::string word;
  long user = 0, system = 0;
  for (int i = 0; i < 11; ++i) words >> word;
  words >> user >> system;
  return (user + system) * 100 / sysconf(_SC_CLK_TCK);
}

// The names that an ELF file imports from its libraries.
std::set<std::string> imported_names(const std::string& file) {
  std::set<std::string> names;
  const auto* header = reinterpret_cast<const Elf64_Ehdr*>(file.data());
  const auto* sections = reinterpret_cast<const Elf64_Shdr*>(file.data() + header->e_shoff);
  for (int i = 0; i < header->e_shnum; ++i) {
    if (sections[i].sh_type != SHT_DYNSYM) continue;
    const char* string_table = file.data() + sections[sections[i].sh_link].sh_offset;
    const auto* symbols = reinterpret_cast<const Elf64_Sym*>(file.data() + sections[i].sh_offset);
    for (std::size_t symbol = 0; symbol < sections[i].sh_size / sizeof(Elf64_Sym); ++symbol)
      if (symbols[symbol].st_shndx == SHN_UNDEF) names.insert(string_table + symbols[symbol].st_name);
  }
  return names;
}

}  // namespace

TEST_CASE(
    "the deploy file's run: one process by exec, one thread, TCP over IPv4, and no busy loop when idle") {
  std::string run = deploy_value("run");
  CHECK(run.starts_with("exec build/hareramp serve"));
  CHECK(run.find("operator") == std::string::npos);
  REQUIRE(run.find("build/hareramp ") != std::string::npos);
  run.replace(run.find("build/hareramp "), 14, HARERAMP_BINARY);

  Scheduler scheduler;
  rig::IdleChangeStream change_stream(scheduler);
  rig::Node cache(scheduler, {{"segment", 3000}}, {}, 1), origin(scheduler, {{"segment", 3000}}, {}, 2);
  const transport::Address listen = unused_address(scheduler);
  rig::Site site;
  site.listen = listen.text(), site.change_log = change_stream.address().text();
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
    CHECK(status_field(proc, "Name") == "hareramp");  // exec has replaced the shell
    CHECK(status_field(proc, "Threads") == "1");
    CHECK(children_of(director.id()).empty());
    CHECK(file_text(proc / "maps").find("/libc.so.6") != std::string::npos);
    for (const std::string& kind : descriptor_kinds(proc)) {
      const std::set<std::string> allowed = {"file", "tcp", "[eventpoll]", "[signalfd]"};
      CHECK_MESSAGE(allowed.contains(kind), kind);
    }
    CHECK(descriptor_kinds(proc).count("tcp") >= 2);  // makes sure that sockets are recognised at all

    // A busy loop would use all of this second, or as much of it as a busy machine gives.
    const long time_before = processor_time(proc);
    const Seconds start = Scheduler::now();
    REQUIRE(run_until(scheduler, [&] { return Scheduler::now() > start + 1; }));
    CHECK(processor_time(proc) - time_before < 10);
    director.send(SIGTERM);
    REQUIRE(run_until(scheduler, [&] { return director.ended(); }));
    CHECK(director.status() == 0);
  }
  scheduler.clear();
  files::remove(config);
}

TEST_CASE("the program imports nothing from the C library that the platform forbids") {
  const auto names = imported_names(file_text(HARERAMP_BINARY));
  CHECK(names.contains("accept4"));  // makes sure that names are read at all
  for (const char* name : {"fork", "vfork", "clone", "execve", "execv", "execvp", "posix_spawn",
                           "posix_spawnp", "system", "popen", "splice", "vmsplice", "tee", "sendfile",
                           "sendfile64", "io_uring_setup", "io_uring_queue_init", "dlopen"})
    CHECK_MESSAGE(!names.contains(name), name);
}

TEST_CASE("the shipped operator's file enables nothing") {
  const std::string text = file_text(std::string(HARERAMP_SOURCE) + "/deploy/operator.json");
  CHECK(text.find("\"enabled\": false") != std::string::npos);
  CHECK_FALSE(std::regex_search(text, std::regex("\"enabled\"\\s*:\\s*true")));
}
