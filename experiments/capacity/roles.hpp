// Main functions of an experiment's child processes: the source of the change stream, and a process with many
// simulated directors. They are controlled by signals only:
//   SIGUSR1  begin one second after the next whole second of the system's steady clock, so that processes
//   that
//            receive the signal within the same second begin at the same time
//   SIGUSR2  print a report, one line of JSON
//   SIGHUP   source: issue no further purges
//   SIGALRM  source: issue the backlog now (with backlog_later)
#pragma once

#include <cstdint>
#include <string>

namespace hareramp::capacity {

struct SourceRole {
  int nodes = 460;
  double rate = 0;                // purges/s after SIGUSR1
  long long backlog = 0;          // purges issued before the start, spread over the hour before it
  int node_changes = 0;           // node changes among the backlog
  bool backlog_later = false;     // issue the backlog on SIGALRM instead of at the start
  std::uint64_t first_purge = 1;  // number of the first purge
  std::string listen = "127.0.0.1:0";
  std::string list;  // file with the entries of the full node list; empty: generated entries without a server
};
// Prints "listening ADDRESS" first. Returns on SIGTERM.
int run_source(const SourceRole& role);

struct DirectorsRole {
  int count = 1;
  std::string source;       // comma-separated addresses of the change stream
  bool compressed = false;  // requests gzip and randomizes the retry delay
  double rate = 0;          // purges/s of the source, to compute when each was issued
  double spread_s = 0;      // interval over which their starts are spread evenly
  long long until = 1;      // "ready" is printed once all have received this event
  int directors = 4500;     // number of directors in the settings
};
// Prints "ready SECONDS" once all directors have received event `until`. Returns on SIGTERM.
int run_directors(const DirectorsRole& role);

}  // namespace hareramp::capacity
