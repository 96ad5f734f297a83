// Stand-ins for the reviews' cases: cache nodes, a change log, clients, and the start of a director by the
// `run` command of deploy/balancer.toml. Plain blocking sockets, one thread for each connection, loopback
// addresses only. A case's program puts them together and judges by what clients, nodes and the platform see.
#pragma once

#include <arpa/inet.h>
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
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace stand_in {

// Unix time in seconds.
inline double now() {
  return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
}
inline long long unix_ms() { return static_cast<long long>(now() * 1000); }
inline void sleep_for(double seconds) {
  if (seconds > 0) std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

// The record of a play: one line for each event, with the time since the start.
class Record {
 public:
  explicit Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")), start_(now()) {}
  ~Record() { std::fclose(file_); }
  __attribute__((format(printf, 2, 3))) void line(const char* format, ...) {
    const std::lock_guard lock(mutex_);
    std::fprintf(file_, "%9.4f ", now() - start_);
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(file_, format, arguments);
    va_end(arguments);
    std::fputc('\n', file_);
    std::fflush(file_);
  }
  double start() const { return start_; }

 private:
  std::mutex mutex_;
  std::FILE* file_;
  double start_;
};

inline sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

// A listening socket on a free port of 127.0.0.1, or on the port given.
inline int listen_at(int& port, int backlog = 512) {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = loopback(port);
  if (::bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
      ::listen(descriptor, backlog) != 0) {
    ::close(descriptor);
    return -1;
  }
  socklen_t size = sizeof address;
  getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
  port = ntohs(address.sin_port);
  return descriptor;
}
inline int free_port() {
  int port = 0;
  ::close(listen_at(port));
  return port;
}

inline void reset(int descriptor) {
  const linger at_once{1, 0};
  setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
  ::close(descriptor);
}

// One side of a TCP connection: writes whole, reads lines and counted bytes.
class Stream {
 public:
  explicit Stream(int descriptor) : descriptor_(descriptor) {
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  ~Stream() { close(); }
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;
  int descriptor() const { return descriptor_; }
  void shut() { ::shutdown(descriptor_, SHUT_RDWR); }
  void close() {
    if (descriptor_ >= 0) ::close(std::exchange(descriptor_, -1));
  }
  void abort() {
    if (descriptor_ >= 0) reset(std::exchange(descriptor_, -1));
  }
  bool write(std::string_view bytes) {
    while (!bytes.empty()) {
      const ssize_t count = ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (count < 0 && errno == EINTR) continue;
      if (count <= 0) return false;
      bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
  }
  // False at the end of the stream, or when `until` has passed (timed_out() is then true).
  bool fill(double until) {
    timed_out_ = false;
    for (;;) {
      const double left = until - now();
      pollfd request{descriptor_, POLLIN, 0};
      const int ready = ::poll(&request, 1, left > 0 ? static_cast<int>(left * 1000) + 1 : 0);
      if (ready < 0 && errno == EINTR) continue;
      if (ready <= 0) {
        if (now() < until) continue;
        timed_out_ = true;
        return false;
      }
      char bytes[65536];
      const ssize_t count = ::recv(descriptor_, bytes, sizeof bytes, 0);
      if (count < 0 && errno == EINTR) continue;
      if (count <= 0) return false;
      if (buffer_.empty()) first_byte_at_ = now();
      buffer_.append(bytes, static_cast<std::size_t>(count));
      return true;
    }
  }
  // The next line without its CR LF (or LF).
  bool line(std::string& text, double until = 1e18) {
    for (;;) {
      const auto end = buffer_.find('\n');
      if (end != std::string::npos) {
        text = buffer_.substr(0, end);
        buffer_.erase(0, end + 1);
        if (!text.empty() && text.back() == '\r') text.pop_back();
        return true;
      }
      if (!fill(until)) return false;
    }
  }
  bool bytes(std::string& text, std::size_t count, double until = 1e18) {
    while (buffer_.size() < count)
      if (!fill(until)) return false;
    text = buffer_.substr(0, count);
    buffer_.erase(0, count);
    return true;
  }
  bool timed_out() const { return timed_out_; }
  bool has_bytes() const { return !buffer_.empty(); }
  double first_byte_at() const { return first_byte_at_; }

 private:
  int descriptor_;
  std::string buffer_;
  bool timed_out_ = false;
  double first_byte_at_ = 0;
};

// Accepts connections, each served by a thread of its own, until it is stopped.
class Server {
 public:
  using Handler = std::function<void(std::shared_ptr<Stream>)>;
  explicit Server(Handler handler, int port = 0) : handler_(std::move(handler)), port_(port) {}
  ~Server() { stop(); }
  bool start() {
    listener_ = listen_at(port_);
    if (listener_ < 0) return false;
    stopping_ = false;
    acceptor_ = std::thread([this] { accept(); });
    return true;
  }
  int port() const { return port_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  // Closes the listener; with `connections`, the open connections too (by a reset where asked for).
  void stop_listening() {
    if (stopping_.exchange(true)) return;
    ::shutdown(listener_, SHUT_RDWR);
    if (acceptor_.joinable()) acceptor_.join();
    ::close(listener_);
    listener_ = -1;
  }
  void close_connections() {
    const std::lock_guard lock(mutex_);
    for (const auto& weak : streams_)
      if (const auto stream = weak.lock()) stream->shut();
    streams_.clear();
  }
  void stop() {
    if (listener_ >= 0) stop_listening();
    close_connections();
    std::vector<std::thread> threads;
    {
      const std::lock_guard lock(mutex_);
      threads.swap(threads_);
    }
    for (std::thread& thread : threads) thread.join();
  }

 private:
  void accept() {
    for (;;) {
      const int descriptor = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (stopping_) {
        if (descriptor >= 0) ::close(descriptor);
        return;
      }
      if (descriptor < 0) continue;
      const auto stream = std::make_shared<Stream>(descriptor);
      const std::lock_guard lock(mutex_);
      streams_.push_back(stream);
      threads_.emplace_back([this, stream] { handler_(stream); });
    }
  }
  Handler handler_;
  int port_;
  int listener_ = -1;
  std::atomic<bool> stopping_{true};
  std::thread acceptor_;
  std::mutex mutex_;
  std::vector<std::weak_ptr<Stream>> streams_;
  std::vector<std::thread> threads_;
};

// The platform's change log: GET /changes, server-sent events, a comment each second.
class ChangeLog {
 public:
  explicit ChangeLog(long long known, int port = 0)
      : last_(known), server_([this](std::shared_ptr<Stream> stream) { serve(*stream); }, port) {}
  ~ChangeLog() { stop(); }
  bool start() { return server_.start(); }
  void stop() {
    stopping_ = true;
    server_.stop();
  }
  std::string address() const { return server_.address(); }
  // The change log is out of service: open connections end, new ones are refused. up() ends that.
  void down() {
    server_.stop_listening();
    server_.close_connections();
  }
  bool up() { return server_.start(); }
  // members: the event without its number, as in "fleet":{...}. Returns the number.
  long long add(const std::string& members) {
    const std::lock_guard lock(mutex_);
    const long long number = ++last_;
    events_.emplace_back(number, "{\"seq\":" + std::to_string(number) + "," + members + "}");
    return number;
  }
  std::atomic<bool> breaks_off{false};  // the next event is written half, then its connection ends
  std::atomic<double> answer_delay{0};  // seconds from a GET to the head of its answer
  std::atomic<int> asked{0};            // number of GETs read
  // Called with the number of each event that has been written to a connection.
  std::function<void(long long)> told;

 private:
  void serve(Stream& stream) {
    std::string text;
    long long after = 0;
    for (;;) {
      if (!stream.line(text)) return;
      if (text.empty()) break;
      if (strncasecmp(text.c_str(), "last-event-id:", 14) == 0) after = std::atoll(text.c_str() + 14);
    }
    ++asked;
    const double due = now() + answer_delay;
    while (now() < due && !stopping_) sleep_for(0.01);
    if (!stream.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")) return;
    double next_comment = now() + 1;
    while (!stopping_) {
      std::vector<std::pair<long long, std::string>> due_events;
      {
        const std::lock_guard lock(mutex_);
        for (const auto& event : events_)
          if (event.first > after) due_events.push_back(event);
      }
      for (const auto& [number, data] : due_events) {
        if (breaks_off.exchange(false)) {
          stream.write("id: " + std::to_string(number) + "\ndata: " + data.substr(0, data.size() / 2));
          return stream.shut();
        }
        if (!stream.write("id: " + std::to_string(number) + "\ndata: " + data + "\n\n")) return;
        after = number;
        if (told) told(number);
      }
      if (now() >= next_comment) {
        if (!stream.write(": here\n\n")) return;
        next_comment = now() + 1;
      }
      sleep_for(0.005);
    }
  }
  std::mutex mutex_;
  long long last_;
  std::vector<std::pair<long long, std::string>> events_;
  std::atomic<bool> stopping_{false};
  Server server_;
};

// A command of the nodes' protocol as a node reads it.
struct Command {
  std::string verb, id, body;
  std::map<std::string, std::string> fields;
  double first_byte_at = 0, whole_at = 0;
  std::string field(const std::string& name) const {
    const auto found = fields.find(name);
    return found == fields.end() ? "" : found->second;
  }
};

inline std::map<std::string, std::string> read_fields(const std::string& text) {
  std::map<std::string, std::string> fields;
  if (text == "-") return fields;
  std::istringstream list(text);
  for (std::string item; std::getline(list, item, ',');) {
    const auto equals = item.find('=');
    fields[item.substr(0, equals)] = equals == std::string::npos ? "" : item.substr(equals + 1);
  }
  return fields;
}

// Reads one command. False: the connection ended, or what came can't be read.
inline bool read_command(Stream& stream, Command& command) {
  std::string line;
  const bool begun = stream.has_bytes();
  const double since = now();
  if (!stream.line(line)) return false;
  command = Command();
  command.first_byte_at = begun ? since : stream.first_byte_at();
  std::istringstream words(line);
  std::string fields, length;
  words >> command.verb >> command.id >> fields >> length;
  if (command.verb == "serve") {
    command.fields = read_fields(fields);
    std::string end;
    const auto size = static_cast<std::size_t>(std::atoll(length.c_str()));
    if (!stream.bytes(command.body, size) || !stream.bytes(end, 2)) return false;
  }
  command.whole_at = now();
  return true;
}

inline std::string answer(const std::string& id, const std::string& word, const std::string& fields,
                          const std::string& bytes = "") {
  return id + " " + word + " " + (fields.empty() ? "-" : fields) + " " + std::to_string(bytes.size()) +
         "\r\n" + bytes + "\r\n";
}

// A client's connection to the director, and one request at a time on it.
struct Reply {
  int status = 0;  // 0: no whole answer
  std::string body, head;
  double taken_at = 0, ended_at = 0;
  bool late = false;  // nothing whole until the time given
};
class Client {
 public:
  explicit Client(int port) : port_(port) {}
  bool connect() {
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(port_);
    if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
      ::close(descriptor);
      return false;
    }
    stream_ = std::make_unique<Stream>(descriptor);
    return true;
  }
  bool connected() const { return stream_ != nullptr; }
  Stream* stream() { return stream_.get(); }
  void close() { stream_.reset(); }
  // Writes a request and reads its answer, for `patience` seconds at most.
  Reply ask(const std::string& request, double patience) {
    Reply reply;
    if (!stream_ && !connect()) return reply;
    if (!stream_->write(request)) {
      close();
      return reply;
    }
    reply.taken_at = now();
    read(reply, reply.taken_at + patience);
    if (reply.status == 0) close();
    return reply;
  }
  void read(Reply& reply, double until) {
    std::string line;
    std::size_t length = 0;
    bool closes = false;
    int status = 0;
    while (stream_->line(line, until)) {
      reply.head += line + "\n";
      if (status == 0) status = std::atoi(line.c_str() + std::min<std::size_t>(9, line.size()));
      if (strncasecmp(line.c_str(), "content-length:", 15) == 0)
        length = static_cast<std::size_t>(std::atoll(line.c_str() + 15));
      if (strncasecmp(line.c_str(), "connection: close", 17) == 0) closes = true;
      if (!line.empty()) continue;
      if (stream_->bytes(reply.body, length, until)) reply.status = status;
      break;
    }
    reply.ended_at = now();
    reply.late = reply.status == 0 && stream_->timed_out();
    if (closes) close();
  }

 private:
  int port_;
  std::unique_ptr<Stream> stream_;
};

inline std::string hex_id(std::uint64_t number) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(number));
  return text;
}

inline std::string request_text(const std::string& method, const std::string& class_name,
                                const std::string& object, int part, const std::string& id, int deadline_ms,
                                const std::string& headers = "", const std::string& body = "") {
  std::string text = method + " /invoke/" + class_name + "/" + object + "/block-" + std::to_string(part) +
                     " HTTP/1.1\r\nHost: service.internal\r\nX-Correlation-Id: " + id +
                     "\r\nX-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\n" + headers;
  if (method == "PUT") text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return text + "\r\n" + body;
}

// A director, started from the repository's root by the `run` command of the deploy file.
class Director {
 public:
  // Reads the value of `run` from deploy/balancer.toml.
  static std::string run_command(const std::string& root) {
    std::ifstream file(root + "/deploy/balancer.toml");
    for (std::string line; std::getline(file, line);) {
      if (line.rfind("run", 0) != 0) continue;
      const auto begin = line.find('"'), end = line.rfind('"');
      if (begin != std::string::npos && end > begin) return line.substr(begin + 1, end - begin - 1);
    }
    return "";
  }
  bool start(const std::string& root, const std::string& name, int port, const std::string& config,
             const std::string& log) {
    const std::string command = run_command(root);
    if (command.empty()) return false;
    port_ = port;
    pid_ = ::fork();
    if (pid_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // no director outlives the case
      if (::chdir(root.c_str()) != 0) _exit(127);
      ::setenv("EDGE_NAME", name.c_str(), 1);
      ::setenv("EDGE_LISTEN", ("127.0.0.1:" + std::to_string(port)).c_str(), 1);
      ::setenv("EDGE_CONFIG", config.c_str(), 1);
      if (!std::freopen(log.c_str(), "a", stderr)) _exit(127);
      ::execl("/bin/sh", "sh", "-c", command.c_str(), nullptr);
      _exit(127);
    }
    for (const double until = now() + 10; now() < until; sleep_for(0.02)) {
      Client client(port);
      if (client.ask("GET /_health HTTP/1.1\r\nHost: service.internal\r\n\r\n", 1).status == 200) return true;
      if (ended()) return false;
    }
    return false;
  }
  ~Director() { kill(); }
  pid_t pid() const { return pid_; }
  int port() const { return port_; }
  void signal(int number) {
    if (pid_ > 0) ::kill(pid_, number);
  }
  bool ended() {
    if (pid_ <= 0) return true;
    if (::waitpid(pid_, &status_, WNOHANG) != pid_) return false;
    pid_ = -1;
    return true;
  }
  int status() const { return status_; }
  void kill() {
    if (pid_ <= 0) return;
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, &status_, 0);
    pid_ = -1;
  }
  // Megabytes: resident now, and the most so far.
  double memory(const char* field = "VmRSS:") const {
    std::ifstream file("/proc/" + std::to_string(pid_) + "/status");
    for (std::string line; std::getline(file, line);)
      if (line.rfind(field, 0) == 0) return std::atof(line.c_str() + std::strlen(field)) / 1024;
    return 0;
  }

 private:
  pid_t pid_ = -1;
  int port_ = 0, status_ = 0;
};

// An entry of the list of nodes, as the change log gives it.
struct Entry {
  std::string id, address, zone, kind;
  double weight = 1;
  long long started_ms = 0;
  std::string state = "active";
};
inline std::string entry_text(const Entry& entry) {
  std::ostringstream text;
  text << R"({"id":")" << entry.id << R"(","addr":")" << entry.address << R"(","zone":")" << entry.zone
       << R"(","kind":")" << entry.kind << R"(","cell":0,"state":")" << entry.state << R"(","weight":)"
       << entry.weight << R"(,"started_ms":)" << entry.started_ms << "}";
  return text.str();
}
inline std::string list_text(const std::vector<Entry>& entries, int version, bool full) {
  std::string text = "\"fleet\":{\"version\":" + std::to_string(version) +
                     ",\"full\":" + (full ? "true" : "false") + ",\"servers\":[";
  for (const Entry& entry : entries) text += (&entry == &entries.front() ? "" : ",") + entry_text(entry);
  return text + "]}";
}
// The configuration of one director: what DEPLOY.md shows, with the list as event 1 and these settings.
inline std::string config_text(const std::string& name, int port, const std::string& seed,
                               const std::string& change_log, const std::vector<Entry>& known,
                               const std::string& settings) {
  return R"({"name":")" + name + R"(","listen":"127.0.0.1:)" + std::to_string(port) + R"(","seed":")" + seed +
         R"(","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"changelog":")" + change_log +
         R"(","flow_bytes_per_s":310000,"link_bytes_per_s":1240000,"known":{"seq":1,"results":[{"seq":1,)" +
         list_text(known, 1, true) + R"(}]},"settings":)" + settings + "}\n";
}
inline void write_file(const std::string& path, const std::string& text) {
  std::ofstream file(path);
  file << text;
}
// What every case's program is told by its run.sh: the repository's root, the folder of the record, a
// temporary folder, and whether the disruption is left out (TROUBLE=0).
struct Play {
  std::string root, folder, scratch;
  bool trouble = true;
  Play(int count, char** arguments) {
    if (count < 4) std::exit(2);
    root = arguments[1], folder = arguments[2], scratch = arguments[3];
    const char* text = std::getenv("TROUBLE");
    trouble = !text || std::string(text) != "0";
    ::signal(SIGPIPE, SIG_IGN);
  }
};

}  // namespace stand_in
