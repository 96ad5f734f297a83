// The child processes of an experiment: the source of the change stream, and many simulated directors. Each
// prints one line of JSON when it is told to report (SIGUSR2) and is steered by signals alone:
//   SIGUSR1  begin: at the next whole second plus one, by the system's steady clock, so that children told in
//            the same second begin together
//   SIGUSR2  print a report
//   SIGHUP   the source: no further purges
//   SIGALRM  the source: its backlog now, where it was told to keep it back
#pragma once

#include <cstdint>
#include <string>

namespace hareramp::capacity {

struct SourceRole {
  int nodes = 460;
  double rate = 0;                // purges/s once begun
  long long backlog = 0;          // purges that are there at the start, spread over the hour before it
  int node_changes = 0;           // among them
  bool backlog_later = false;     // at SIGALRM, in place of the start
  std::uint64_t first_purge = 1;  // number of the first one
  std::string listen = "127.0.0.1:0";
  std::string list;  // file with the entries of the whole list; empty: nodes that nobody plays
};
// Prints "listening ADDRESS" first. Returns at SIGTERM.
int run_source(const SourceRole& role);

struct DirectorsRole {
  int count = 1;
  std::string source;       // addresses of the change stream, separated by commas
  bool compressed = false;  // asks for gzip, and draws the pauses between tries
  double rate = 0;          // purges/s of the source, to know when each was issued
  double spread_s = 0;      // they start evenly over so long
  long long until = 1;      // "ready" is printed once all have been told this event
  int directors = 4500;     // that the settings name
};
// Prints "ready SECONDS" once all were told the event asked for. Returns at SIGTERM.
int run_directors(const DirectorsRole& role);

}  // namespace hareramp::capacity
