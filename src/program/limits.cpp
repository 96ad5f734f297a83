#include <algorithm>

#include "program/config.hpp"

namespace hareramp::program {

namespace {
constexpr std::size_t kKb = 1024;
constexpr std::size_t kMb = 1024 * kKb;

constexpr double kUsualDeadline = 6;  // s: where the settings name no class of requests

// SIGKILL may come so long after SIGTERM: the longest deadline, but no more than kKillLongest, and
// kKillAfter.
constexpr double kKillLongest = 3;  // s
constexpr double kKillAfter = 0.7;  // s
// The last answer lies so much before SIGKILL, for a late turn of the loop and the way to the client.
constexpr double kKillMargin = 0.3;  // s
// Where deadlines are short the margin is this part of the longest: with 0.4 s a request that is read 0.6 s
// after SIGTERM still has its whole time.
constexpr double kKillMarginPart = 0.25;

void fill_shutdown(Limits& limits, double longest_deadline) {
  const double kill = std::min(longest_deadline, kKillLongest) + kKillAfter;
  const double margin = std::min(kKillMargin, kKillMarginPart * longest_deadline);
  limits.serve_on = 0.75;  // new work may come until 0.6 s after SIGTERM
  limits.answers_by = kill - margin;
  limits.leave = kill - margin / 2;    // the last answers are written in between
  limits.exit_by = kill - margin / 4;  // the last records are
}
}  // namespace

Limits fill_limits(const protocol::Json& given, const protocol::Json& settings) {
  const auto count = [](double value, double least, double most) {
    return static_cast<std::size_t>(std::clamp(value, least, most));
  };
  const double sockets = given["sockets"].number(1024), memory = given["memory_mb"].number(192) * kMb;
  const protocol::Json& allowed = settings["Permissions"];

  Limits limits;
  limits.head_bytes = 16 * kKb;    // ours are under 1 KB; room for a proxy's additions
  limits.request_body = 64 * kKb;  // a write brings 48,000 bytes at most
  limits.read_ahead = 32 * kKb;    // pipelined requests
  limits.buffer_kept = 32 * kKb;   // one usual read: idle clients together stay within 11 MB
  limits.read_room = 16 * kKb;     // one usual read
  limits.answer_line = 8 * kKb;    // under 300 bytes in use
  limits.answer_body = 512 * kKb;  // objects hold 240,000 bytes at most
  limits.event_bytes = 1 * kMb;    // a whole list of thousands of nodes
  limits.event_slice = 4 * kKb;    // some 40 purges: about 0.3 ms of work in a turn of the loop
  // The budget, for 192 MB and 1,024 descriptors with every client at its worst: 341 clients' buffers and
  // bodies 38 MB, answers waiting for slow clients 48 MB, the answers of the requests that are then still
  // open 82 MB (240,000 bytes each), nodes' buffers 10 MB. The days played take 7 MB.
  limits.waiting_answers = count(memory / 4, kMb, 1024.0 * kMb);
  // What could not be sent, or would be waited for, ten times longer than any grade allows is no figure of a
  // request: one of those would drown what is learnt from all others.
  double longest = 0;
  for (const protocol::Json& request_class : settings["RequestClasses"].items())
    longest = std::max(longest, request_class["DeadlineS"].number(0));
  if (longest <= 0) longest = kUsualDeadline;
  limits.longest_wait = 10 * longest;
  fill_shutdown(limits, longest);
  const double flow = settings["FamilyInfo"]["StreamKbPerS"].number(0);
  limits.largest_kb = flow > 0 ? flow * limits.longest_wait : 1e6;
  limits.groups = 256;  // as the protocol has it

  limits.clients = count(sockets / 3, 1, 100000);
  // 32 are left for the log, epoll, signals, the listener and the change log, which take 8.
  limits.links = count(sockets - sockets / 3 - 32, 1, 100000);
  // One for each attempt that is out, as far as they go: 17 of 256 descriptors, 80 of 1,024.
  limits.links_per_node = count(limits.links / 8.0, 2, 10000);
  limits.streams_per_link = count(allowed["StreamsPerConn"].number(100), 1, 10000);
  limits.backlog = 512;  // a front that reconnects all its clients at once

  limits.connect = allowed["ConnectTimeoutS"].number(0.4);
  limits.begin_within = limits.connect;  // under every grace of the rules on drains and purges
  limits.hold_back = 0.01;  // longer than a node takes to read what has come; a write has 100 times as long
  // A good part of the node's own time, so that the node never closes first.
  limits.link_idle = 0.7 * allowed["ConnIdleS"].number(15);
  limits.link_doubt = limits.connect;        // as long as a new connection would have to come up
  limits.link_stall = 0.4 * limits.connect;  // a node writes an answer at once; ten late turns of a loop
  limits.client_idle = 6;                    // clients close theirs after 4 s; some would keep them for good
  limits.request_whole = 2.2;                // comes within a second; who does not is owed an end within 3 s
  limits.first_request = 0.05;               // several ways from a client
  limits.accept_again = 0.01;                // a client is not kept waiting for longer than its way here
  limits.answer_taken = 10;                  // longer than any client waits
  limits.linger = 0.25;                      // one way to a client and back, several times
  limits.linger_most = 1.5;                  // 60 MB at full speed
  limits.stop_margin = 0.03;                 // the way to the client (12 ms) and a late turn of the loop
  limits.overdue = 0.005;                    // the module's own end comes within a turn of the loop
  limits.log_silent = 2.2;                   // two comments missed; a stop must be noticed within 4 s
  limits.log_again = 0.2;                    // a change must be told within seconds
  limits.changes_hold = 0.5;  // drains may be at a backlog's end, but requests are owed answers

  limits.flow_connections = limits.clients + limits.links + 32;
  limits.flow_names = count(memory / 2048, 1024, 65536);  // under 200 bytes each: a tenth of the memory
  limits.flows_a_turn = 256;                              // some 0.3 ms
  limits.spool_jobs = 64;                                 // a batch each: at 10 a second, several seconds
  limits.spool_read = 256 * kKb;
  limits.flow_tick = 0.05;         // a record is late by so much at most
  limits.flow_name_kept = 3600;    // longer than any message waits in memory
  limits.flow_connect = 2;         // collectors may be far away
  limits.flow_stall = 10;          // as long as a client may take
  limits.flow_pause = 0.2;         // a collector that is restarted is back within a second
  limits.flow_pause_longest = 30;  // one that is gone for an hour is found again within half a minute
  limits.flow_come_home = 10;      // a look costs one connection
  limits.flow_trim = 1;
  limits.flow_leave = 1;  // within what is left of the time to leave
  return limits;
}

}  // namespace hareramp::program
