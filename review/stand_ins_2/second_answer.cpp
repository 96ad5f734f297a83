// Case: usual clients that rest on their connections between writes, beside a flood of bad clients.
#include "kit.hpp"

using namespace kit;

namespace {
constexpr double kRunFor = 20;            // s
constexpr int kUsual = 24, kReads = 180;  // connections; all of them are under a third of the descriptors
constexpr int kHalves = 120;              // the same
constexpr std::size_t kObjectBytes = 240000, kWriteBytes = 48000;
constexpr double kRest = 1.0;  // s between a usual client's answer and its next request
constexpr double kDeadline = 3.0, kLateAllowed = 0.55;  // s
constexpr double kServeTime = 0.05;                     // s
}  // namespace

int main(int count, char** words) {
  Case the_case(count, words);
  Settings settings;
  settings.memory_mb = 32;
  settings.sockets = 1024;
  const std::string object_bytes(kObjectBytes, 'x');
  const auto serve = [&](const Command& command) {
    if (command.field("lane") == "handover")
      the_case.record.line("node got " + command.id + " " + command.key());
    sleep_for(kServeTime);
    command.answer("ACK", "sum=a,t0=" + unix_ms(unix_seconds()) + ",why=mem",
                   command.field("lane") == "handover" ? "done" : object_bytes);
  };
  const auto node = [&](int descriptor) { read_commands(descriptor, serve); };
  Server cache_1(node), cache_2(node), origin(node);
  ChangeLog log;
  log.add(R"("fleet":{"version":1,"full":true,"servers":[)" +
          list_entry("cache-1", cache_1.port(), "edge", "cache", 0, "active", 200, "0") + "," +
          list_entry("cache-2", cache_2.port(), "edge", "cache", 0, "active", 200, "0") + "," +
          list_entry("origin", origin.port(), "hub", "origin", 0, "active", 400, "0") + "]}");
  const std::string config =
      the_case.write_file("config.json", config_text(settings, log.port(), 1, log.event(1)));
  Director director(the_case.run, "d1", free_port(), config, the_case.scratch + "/director.log");
  director.wait_until_ready();

  std::atomic<bool> stop = false;
  std::atomic<int> asked = 0, served = 0, refused = 0, other = 0, lost = 0, second = 0;
  std::vector<std::thread> threads;
  const auto write_text = [](const std::string& id, const std::string& object, std::size_t length) {
    return "PUT /invoke/handover/" + object +
           " HTTP/1.1\r\nHost: service.internal\r\nX-Correlation-Id: " + id +
           "\r\nX-Deadline-Ms: 3000\r\nX-Family: 3\r\nX-Need-Kb: 60\r\nContent-Length: " +
           std::to_string(length) + "\r\n\r\n";
  };
  for (int client = 0; client < kUsual; ++client)
    threads.emplace_back([&, client] {
      std::mt19937_64 random(client);
      int descriptor = -1;
      std::string in;
      while (!stop) {
        if (descriptor < 0) descriptor = connect_to(director.port()), in.clear();
        if (descriptor < 0) continue;
        const std::string id = new_id(random);
        ++asked;
        if (!send_all(descriptor,
                      write_text(id, new_id(random), kWriteBytes) + std::string(kWriteBytes, 'b'))) {
          ::close(descriptor), descriptor = -1;
          continue;
        }
        const double at = unix_seconds();
        const Answer answer = read_answer(descriptor, in, at + kDeadline + kLateAllowed);
        the_case.record.line("client " + std::to_string(client) + " got " + std::to_string(answer.status) +
                             " for " + id);
        ++(answer.status == 200 ? served : answer.status == 503 ? refused : answer.status ? other : lost);
        if (answer.status == 0 || answer.head.find("Connection: close") != std::string::npos) {
          ::close(descriptor), descriptor = -1;
          continue;
        }
        // The answer is whole, and no request is open. A close is allowed; a further answer is not.
        const double rested = unix_seconds() + kRest;
        if (in.empty()) read_some(descriptor, in, rested);
        if (!in.empty()) {
          ++second;
          the_case.record.line("SECOND ANSWER for " + id + ": " + in.substr(0, in.find('\r')));
          ::close(descriptor), descriptor = -1;
          sleep_until(rested);
        } else if (unix_seconds() < rested - 0.01) {  // the director has closed the connection
          ::close(descriptor), descriptor = -1;
          sleep_until(rested);
        }
      }
      if (descriptor >= 0) ::close(descriptor);
    });
  if (trouble()) {
    sleep_for(1.0);
    the_case.record.line("bad clients: " + std::to_string(kReads) + " ask at full speed, " +
                         std::to_string(kHalves) + " send half a write and go");
    for (int client = 0; client < kReads; ++client)
      threads.emplace_back([&, client] {
        std::mt19937_64 random(1000 + client);
        int descriptor = -1;
        std::string in;
        while (!stop) {
          if (descriptor < 0) descriptor = connect_to(director.port()), in.clear();
          if (descriptor >= 0 &&
              send_all(descriptor, request_text(new_id(random), "/invoke/segment/" + new_id(random),
                                                kDeadline * 1000, "X-Family: 2\r\nX-Need-Kb: 1000\r\n"))) {
            const Answer answer = read_answer(descriptor, in, unix_seconds() + 4);
            if (answer.status != 0 && answer.head.find("Connection: close") == std::string::npos) continue;
          }
          if (descriptor >= 0) ::close(descriptor), descriptor = -1;
          sleep_for(0.002);
        }
        if (descriptor >= 0) ::close(descriptor);
      });
    for (int client = 0; client < kHalves; ++client)
      threads.emplace_back([&, client] {
        std::mt19937_64 random(5000 + client);
        while (!stop) {
          const int descriptor = connect_to(director.port());
          if (descriptor >= 0)
            send_all(descriptor, write_text(new_id(random), "12", 64000) + std::string(60000, 'b'));
          sleep_for(std::uniform_real_distribution<double>(0.2, 0.7)(random));
          if (descriptor >= 0) ::close(descriptor);
        }
      });
  }
  sleep_for(kRunFor);
  stop = true;
  for (std::thread& thread : threads) thread.join();
  const bool ended = director.has_ended();
  if (ended || asked < 50)
    the_case.finish(director, kCannotRun, "the director ended, or too little was asked");
  std::ostringstream result;
  result << "asked " << asked << ", served " << served << ", refused " << refused << ", failed " << other
         << ", no answer " << lost << ", second answers " << second;
  the_case.finish(director, second > 0 ? kBroken : kHeld, result.str());
}
