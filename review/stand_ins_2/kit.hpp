// Stand-ins for the second review: cache nodes, the change log, clients, and a director started by the
// command `run` of the deploy file. Everything is on 127.0.0.1, on free ports. Blocking sockets, one thread a
// connection.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cmath>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace kit {

// Exit statuses of a case.
constexpr int kHeld = 0, kBroken = 1, kCannotRun = 2;

inline double unix_seconds() {
  return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
}
inline std::string unix_ms(double at) { return std::to_string(static_cast<long long>(at * 1000)); }
inline void sleep_for(double seconds) {
  if (seconds > 0) std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}
inline void sleep_until(double at) { sleep_for(at - unix_seconds()); }

[[noreturn]] inline void cannot_run(const std::string& why) {
  std::fprintf(stderr, "can't run: %s\n", why.c_str());
  std::_Exit(kCannotRun);
}

// record.txt: one line for each thing sent, answered or run, with the Unix time.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path, std::ios::trunc) {}
  void line(const std::string& text) {
    const double at = unix_seconds();
    char stamp[32];
    std::snprintf(stamp, sizeof stamp, "%.4f ", at);
    const std::lock_guard lock(mutex_);
    file_ << stamp << text << "\n";
  }
  void flush() {
    const std::lock_guard lock(mutex_);
    file_.flush();
  }

 private:
  std::mutex mutex_;
  std::ofstream file_;
};

inline bool trouble() {
  const char* value = std::getenv("TROUBLE");
  return !value || std::string(value) != "0";
}

// --- sockets ---

inline sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}
inline int port_of(int descriptor) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}
inline int listen_on(int port) {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in address = loopback(port);
  if (::bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
      ::listen(descriptor, 512) != 0) {
    ::close(descriptor);
    return -1;
  }
  return descriptor;
}
inline int free_port() {
  const int descriptor = listen_on(0);
  if (descriptor < 0) cannot_run("no free port");
  const int port = port_of(descriptor);
  ::close(descriptor);
  return port;
}
inline int connect_to(int port) {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (descriptor < 0) return -1;
  const int on = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  const sockaddr_in address = loopback(port);
  if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0)
    return descriptor;
  ::close(descriptor);
  return -1;
}
inline bool send_all(int descriptor, const std::string& text) {
  for (std::size_t sent = 0; sent < text.size();) {
    const ssize_t count = ::send(descriptor, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) return false;
    sent += static_cast<std::size_t>(count);
  }
  return true;
}
// Reads once into the text, until a Unix time. False: the end, an error or the time.
inline bool read_some(int descriptor, std::string& text, double until) {
  pollfd request{descriptor, POLLIN, 0};
  const double left = until - unix_seconds();
  if (left <= 0 || ::poll(&request, 1, static_cast<int>(left * 1000) + 1) <= 0) return false;
  char bytes[65536];
  const ssize_t count = ::recv(descriptor, bytes, sizeof bytes, 0);
  if (count <= 0) return false;
  text.append(bytes, static_cast<std::size_t>(count));
  return true;
}

// A listener whose connections each get a thread. The threads run until the process ends.
class Server {
 public:
  using Handler = std::function<void(int descriptor)>;
  explicit Server(Handler handler) : handler_(std::move(handler)) { open(); }
  int port() const { return port_; }
  // Refuses connections, and resets the open ones.
  void go_down() {
    const std::lock_guard lock(mutex_);
    if (listener_ >= 0) ::shutdown(listener_, SHUT_RDWR);
    listener_ = -1;
    for (const int descriptor : open_) ::shutdown(descriptor, SHUT_RDWR);
  }
  void open() {
    const int descriptor = listen_on(port_);
    if (descriptor < 0) cannot_run("can't listen");
    port_ = port_of(descriptor);
    {
      const std::lock_guard lock(mutex_);
      listener_ = descriptor;
    }
    std::thread([this, descriptor] { accept_all(descriptor); }).detach();
  }

 private:
  void accept_all(int listener) {
    for (;;) {
      const int descriptor = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (descriptor < 0) break;
      const int on = 1;
      setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      const std::lock_guard lock(mutex_);
      open_.insert(descriptor);
      std::thread([this, descriptor] {
        handler_(descriptor);
        const std::lock_guard closing(mutex_);
        open_.erase(descriptor);
        ::close(descriptor);
      }).detach();
    }
    ::close(listener);
  }
  Handler handler_;
  int port_ = 0, listener_ = -1;
  std::mutex mutex_;
  std::set<int> open_;
};

// --- cache nodes ---

// The writing side of a node's connection: answers may come from several threads.
struct Line {
  explicit Line(int descriptor) : descriptor(descriptor) {}
  void write(const std::string& text) {
    const std::lock_guard lock(mutex);
    if (open) send_all(descriptor, text);
  }
  std::mutex mutex;
  int descriptor;
  bool open = true;
};

struct Command {
  std::string id;
  std::map<std::string, std::string> fields;
  std::string body;
  double came_at = 0;
  std::shared_ptr<Line> line;
  std::string field(const std::string& name) const {
    const auto found = fields.find(name);
    return found == fields.end() ? "" : found->second;
  }
  std::string key() const { return field("name") + "/" + field("piece"); }
  void answer(const std::string& word, const std::string& fields_text, const std::string& bytes = "") const {
    line->write(id + " " + word + " " + fields_text + " " + std::to_string(bytes.size()) + "\r\n" + bytes +
                "\r\n");
  }
};

// Reads the commands of one connection and calls on_serve for each, in a thread of its own.
inline void read_commands(int descriptor, const std::function<void(Command)>& on_serve) {
  const auto line = std::make_shared<Line>(descriptor);
  std::string in;
  while (read_some(descriptor, in, unix_seconds() + 1000)) {
    for (;;) {
      const auto end = in.find("\r\n");
      if (end == std::string::npos) break;
      std::istringstream words(in.substr(0, end));
      std::string verb, fields;
      std::size_t length = 0;
      Command command;
      words >> verb >> command.id;
      if (verb != "serve") {  // cancel: the answer is sent all the same, and nobody reads it
        if (verb == "health") line->write(command.id + " READY - 0\r\n\r\n");
        in.erase(0, end + 2);
        continue;
      }
      words >> fields >> length;
      if (in.size() < end + 2 + length + 2) break;
      command.body = in.substr(end + 2, length);
      in.erase(0, end + 2 + length + 2);
      std::istringstream list(fields);
      for (std::string entry; std::getline(list, entry, ',');) {
        const auto equals = entry.find('=');
        if (equals != std::string::npos) command.fields[entry.substr(0, equals)] = entry.substr(equals + 1);
      }
      command.came_at = unix_seconds();
      command.line = line;
      std::thread([on_serve, command] { on_serve(command); }).detach();
    }
  }
  const std::lock_guard lock(line->mutex);
  line->open = false;
}

// --- the change log ---

// Serves /changes as the protocol page says. on_follow, if set, is called once the head is written and before
// the first event, for a change log that answers slowly.
class ChangeLog {
 public:
  ChangeLog() : server_([this](int descriptor) { serve(descriptor); }) {}
  int port() const { return server_.port(); }
  void add(const std::string& what) {
    const std::lock_guard lock(mutex_);
    events_.push_back("{\"seq\":" + std::to_string(events_.size() + 1) + "," + what + "}");
    changed_.notify_all();
  }
  long long last() {
    const std::lock_guard lock(mutex_);
    return static_cast<long long>(events_.size());
  }
  std::string event(std::size_t number) {
    const std::lock_guard lock(mutex_);
    return events_.at(number - 1);
  }
  void go_down() {
    server_.go_down();
    const std::lock_guard lock(mutex_);
    ++generation_;
    changed_.notify_all();
  }
  void come_back() { server_.open(); }
  // Adds these events, writes the beginning of the first one to each follower, and ends the connections. New
  // ones are accepted.
  void break_off(const std::vector<std::string>& events) {
    const std::lock_guard lock(mutex_);
    const std::string first = "id: " + std::to_string(events_.size() + 1) + "\ndata: {\"seq\":";
    for (const std::string& what : events)
      events_.push_back("{\"seq\":" + std::to_string(events_.size() + 1) + "," + what + "}");
    ++generation_;
    for (const int descriptor : followers_) {
      send_all(descriptor, first);
      ::shutdown(descriptor, SHUT_RDWR);
    }
    changed_.notify_all();
  }
  std::function<void()> on_asked;  // before the head
  std::function<void(int descriptor)> on_follow;
  std::function<void(long long number)> on_sent;

 private:
  void serve(int descriptor) {
    std::string in;
    while (in.find("\r\n\r\n") == std::string::npos)
      if (!read_some(descriptor, in, unix_seconds() + 10)) return;
    std::size_t sent = 0;
    std::string lower = in;
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    const auto at = lower.find("last-event-id:");
    if (at != std::string::npos) sent = static_cast<std::size_t>(std::atoll(lower.c_str() + at + 14));
    if (on_asked) on_asked();
    if (!send_all(descriptor, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")) return;
    if (on_follow) on_follow(descriptor);
    std::unique_lock lock(mutex_);
    followers_.insert(descriptor);
    const int generation = generation_;
    follow(descriptor, sent, generation, lock);
    followers_.erase(descriptor);
  }
  void follow(int descriptor, std::size_t sent, int generation, std::unique_lock<std::mutex>& lock) {
    while (generation == generation_) {
      std::string text;
      std::vector<long long> numbers;
      for (; sent < events_.size(); ++sent) {
        text += "id: " + std::to_string(sent + 1) + "\ndata: " + events_[sent] + "\n\n";
        numbers.push_back(static_cast<long long>(sent + 1));
      }
      if (text.empty()) text = ": still here\n\n";
      lock.unlock();
      const bool ok = send_all(descriptor, text);
      for (const long long number : numbers)
        if (ok && on_sent) on_sent(number);
      lock.lock();
      if (!ok) return;
      changed_.wait_for(lock, std::chrono::seconds(1),
                        [&] { return generation != generation_ || sent < events_.size(); });
    }
  }
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<std::string> events_;
  std::set<int> followers_;
  int generation_ = 0;
  Server server_;
};

// --- clients ---

struct Answer {
  int status = 0;  // 0: no whole answer
  std::string head, body;
  double at = 0;
};

inline std::string request_text(const std::string& id, const std::string& target, double deadline_ms,
                                const std::string& headers = "") {
  return "GET " + target + " HTTP/1.1\r\nHost: service.internal\r\nX-Correlation-Id: " + id +
         "\r\nX-Deadline-Ms: " + std::to_string(static_cast<long long>(deadline_ms)) + "\r\n" + headers +
         "\r\n";
}

// Reads one answer; `in` keeps what was read past it.
inline Answer read_answer(int descriptor, std::string& in, double until) {
  Answer answer;
  for (;;) {
    const auto end = in.find("\r\n\r\n");
    if (end != std::string::npos) {
      std::size_t length = 0;
      const auto at = in.find("Content-Length: ");
      if (at != std::string::npos && at < end)
        length = static_cast<std::size_t>(std::atoll(in.c_str() + at + 16));
      if (in.size() >= end + 4 + length) {
        answer.status = std::atoi(in.c_str() + 9);
        answer.head = in.substr(0, end);
        answer.body = in.substr(end + 4, length);
        answer.at = unix_seconds();
        in.erase(0, end + 4 + length);
        return answer;
      }
    }
    if (!read_some(descriptor, in, until)) return answer;
  }
}

inline std::string new_id(std::mt19937_64& random) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(random()));
  return text;
}

// --- the director ---

class Director {
 public:
  // run: the command `run` of the deploy file. folder: the root of the repository.
  Director(const std::string& run, const std::string& name, int port, const std::string& config_path,
           const std::string& log_path)
      : port_(port) {
    const std::string listen = "127.0.0.1:" + std::to_string(port);
    process_ = ::fork();
    if (process_ < 0) cannot_run("fork");
    if (process_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // whatever ends the case ends the director
      const int log = ::open(log_path.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
      ::dup2(log, 1);
      ::dup2(log, 2);
      ::setenv("EDGE_NAME", name.c_str(), 1);
      ::setenv("EDGE_LISTEN", listen.c_str(), 1);
      ::setenv("EDGE_CONFIG", config_path.c_str(), 1);
      ::execl("/bin/sh", "sh", "-c", run.c_str(), static_cast<char*>(nullptr));
      std::_Exit(127);
    }
  }
  ~Director() { end(); }
  int port() const { return port_; }
  pid_t process() const { return process_; }
  void wait_until_ready() {
    for (const double until = unix_seconds() + 10; unix_seconds() < until; sleep_for(0.02)) {
      const int descriptor = connect_to(port_);
      if (descriptor < 0) continue;
      std::string in;
      send_all(descriptor, "GET /_health HTTP/1.1\r\nHost: service.internal\r\nConnection: close\r\n\r\n");
      const Answer answer = read_answer(descriptor, in, unix_seconds() + 1);
      ::close(descriptor);
      if (answer.status == 200) return;
    }
    end();
    cannot_run("the director isn't ready");
  }
  // Whether the process has ended by itself.
  bool has_ended() {
    return process_ > 0 && ::waitpid(process_, nullptr, WNOHANG) == process_ && (process_ = -1);
  }
  void end() {
    if (process_ <= 0) return;
    ::kill(process_, SIGKILL);
    ::waitpid(process_, nullptr, 0);
    process_ = -1;
  }

 private:
  int port_;
  pid_t process_ = -1;
};

// What every case is told: the command `run`, the case's folder and a temporary folder.
struct Case {
  std::string run, folder, scratch;
  Record record;
  Case(int count, char** words)
      : run(count > 3 ? words[1] : ""),
        folder(count > 3 ? words[2] : "."),
        scratch(count > 3 ? words[3] : "."),
        record(folder + "/record.txt") {
    if (count <= 3) cannot_run("usage: PROGRAM RUN FOLDER SCRATCH");
    ::signal(SIGPIPE, SIG_IGN);
  }
  std::string write_file(const std::string& name, const std::string& text) const {
    const std::string path = scratch + "/" + name;
    std::ofstream(path, std::ios::trunc) << text;
    return path;
  }
  // Ends the director and the case.
  [[noreturn]] void finish(Director& director, int status, const std::string& result) {
    record.line("result: " + result);
    std::printf("%s\n", result.c_str());
    std::fflush(stdout);
    director.end();
    record.flush();
    std::_Exit(status);
  }
};

inline std::string list_entry(const std::string& id, int port, const std::string& zone,
                              const std::string& kind, int cell, const std::string& state, double weight,
                              const std::string& started_ms) {
  std::ostringstream text;
  text << R"({"id":")" << id << R"(","addr":"127.0.0.1:)" << port << R"(","zone":")" << zone
       << R"(","kind":")" << kind << R"(","cell":)" << cell << R"(,"state":")" << state << R"(","weight":)"
       << weight << R"(,"started_ms":)" << started_ms << "}";
  return text.str();
}

// Settings like those of a small deployment (zones, kinds and figures in the ranges of sorting-edge).
struct Settings {
  int directors_in_zone = 1, directors = 1;
  double drain_grace_s = 1.0, fall_multiple = 2.0, fall_s = 3.0, start_capacity = 0.2, cold_s = 10.0;
  double parent_cold_from = 0.08, parent_warms_in_s = 22.0, parent_limit = 2.0;
  bool second_copies = true, direct = true;
  std::string peers_fill = "any";
  double sockets = 512, memory_mb = 96;
  std::string text() const {
    std::ostringstream out;
    out << R"({"Balancers":)" << directors
        << R"(,"Kinds":["cache","parent","origin"],"Zones":["hub","edge"],)"
        << R"("Locality":1,"MembershipMode":"push","Weights":"nominal","PeriodS":0.002,)"
        << R"("Contract":{"AnswerSlackS":0.05,"ColdS":)" << cold_s << R"(,"DrainGraceS":)" << drain_grace_s
        << R"(,"FallMultiple":)" << fall_multiple << R"(,"FallS":)" << fall_s << R"(,"StartCapacity":)"
        << start_capacity << R"(},"FamilyInfo":{"CanJoin":false,"Direct":)" << (direct ? "true" : "false")
        << R"(,"GoesThrough":[false,false,true],"GoodForS":[0.0,0.0,0.0],"StaleForS":[0.0,0.0,0.0],)"
        << R"("HubByZone":[0,0],"OriginKind":2,"ShieldKind":1,"ParentColdFrom":)" << parent_cold_from
        << R"(,"ParentLimitFactor":)" << parent_limit << R"(,"ParentWarmsInS":)" << parent_warms_in_s
        << R"(,"PeersFill":")" << peers_fill << R"(","PurgeDoneS":6.0,"PurgeSlackS":0.5,"SeatsByZone":[0,)"
        << directors_in_zone << R"(],"StreamKbPerS":4600.0,"Tells":"all"},)"
        << R"("Permissions":{"Cancel":true,"ConnIdleS":15.0,"ConnectTimeoutS":0.4,"MaxAttempts":6,)"
        << R"("MaxRetryAfterS":2.0,"RetryAfter":true,"SecondCopies":)" << (second_copies ? "true" : "false")
        << R"(,"StreamsPerConn":100},"RequestClasses":[)"
        << R"({"Name":"segment","AimStretch":2.0,"DeadlineS":6.0,"Effect":"retryable","Group":"all","PromiseS":0.5,"WindowS":6.0},)"
        << R"({"Name":"rules","AimStretch":2.0,"DeadlineS":2.5,"Effect":"retryable","Group":"all","PromiseS":0.4,"WindowS":2.5},)"
        << R"({"Name":"handover","DeadlineS":3.0,"Effect":"fragile","Group":"all","PromiseS":0.8,"WindowS":3.0}]})";
    return out.str();
  }
};

inline std::string config_text(const Settings& settings, int change_log_port, long long seq,
                               const std::string& known) {
  std::ostringstream out;
  out << R"({"name":"d1","listen":"127.0.0.1:1","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":)"
      << settings.memory_mb << R"(,"sockets":)" << settings.sockets << R"(},"changelog":"127.0.0.1:)"
      << change_log_port << R"(","flow_bytes_per_s":310000,"link_bytes_per_s":1240000,"known":{"seq":)" << seq
      << R"(,"results":[)" << known << R"(]},"settings":)" << settings.text() << "}\n";
  return out.str();
}

}  // namespace kit
