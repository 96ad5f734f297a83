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
  limits.drain_accept_window = 0.75;  // new work may come until 0.6 s after SIGTERM
  limits.shutdown_answer_deadline = kill - margin;
  limits.shutdown_close_deadline = kill - margin / 2;  // the last answers are written in between
  limits.shutdown_exit_deadline = kill - margin / 4;   // the last records are
}
}  // namespace

Limits fill_limits(const protocol::Json& given, const protocol::Json& settings) {
  const auto count = [](double value, double least, double most) {
    return static_cast<std::size_t>(std::clamp(value, least, most));
  };
  const double sockets = given["sockets"].number(1024), memory = given["memory_mb"].number(192) * kMb;
  const protocol::Json& allowed = settings["Permissions"];

  Limits limits;
  limits.max_head = 16 * kKb;                // ours are under 1 KB; room for a proxy's additions
  limits.max_request_body = 64 * kKb;        // a write brings 48,000 bytes at most
  limits.max_read_ahead = 32 * kKb;          // pipelined requests
  limits.retained_buffer = 32 * kKb;         // one usual read: idle clients together stay within 11 MB
  limits.read_size = 16 * kKb;               // one usual read
  limits.max_answer_line = 8 * kKb;          // under 300 bytes in use
  limits.max_answer_body = 512 * kKb;        // objects hold 240,000 bytes at most
  limits.max_event = 1 * kMb;                // a whole list of thousands of nodes
  limits.change_stream_read_size = 4 * kKb;  // some 40 purges: about 0.3 ms of work in a turn of the loop
  // The budget, for 192 MB and 1,024 descriptors with every client at its worst: 341 clients' buffers and
  // bodies 38 MB, answers waiting for slow clients 48 MB, the answers of the requests that are then still
  // open 82 MB (240,000 bytes each), nodes' buffers 10 MB. The days played take 7 MB.
  limits.max_pending_answers = count(memory / 4, kMb, 1024.0 * kMb);
  // What could not be sent, or would be waited for, ten times longer than any grade allows is no figure of a
  // request: one of those would drown what is learnt from all others.
  double longest = 0;
  for (const protocol::Json& request_class : settings["RequestClasses"].items())
    longest = std::max(longest, request_class["DeadlineS"].number(0));
  if (longest <= 0) longest = kUsualDeadline;
  limits.max_deadline = 10 * longest;
  fill_shutdown(limits, longest);
  const double flow = settings["FamilyInfo"]["StreamKbPerS"].number(0);
  limits.max_request_kb = flow > 0 ? flow * limits.max_deadline : 1e6;
  limits.group_count = 256;  // as the protocol has it

  limits.max_clients = count(sockets / 3, 1, 100000);
  // 32 are left for the log, epoll, signals, the listener and the change log, which take 8.
  limits.max_node_connections = count(sockets - sockets / 3 - 32, 1, 100000);
  // One for each attempt that is out, as far as they go: 17 of 256 descriptors, 80 of 1,024.
  limits.max_connections_per_node = count(limits.max_node_connections / 8.0, 2, 10000);
  limits.max_attempts_per_connection = count(allowed["StreamsPerConn"].number(100), 1, 10000);
  limits.listen_backlog = 512;  // a front that reconnects all its clients at once

  limits.connect_timeout = allowed["ConnectTimeoutS"].number(0.4);
  limits.send_start_timeout = limits.connect_timeout;  // under every grace of the rules on drains and purges
  limits.final_write_delay =
      0.01;  // longer than a node takes to read what has come; a write has 100 times as long
  // A good part of the node's own time, so that the node never closes first.
  limits.node_idle_timeout = 0.7 * allowed["ConnIdleS"].number(15);
  limits.suspect_timeout = limits.connect_timeout;  // as long as a new connection would have to come up
  limits.answer_stall_timeout =
      0.4 * limits.connect_timeout;     // a node writes an answer at once; ten late turns of a loop
  limits.client_idle_timeout = 6;       // clients close theirs after 4 s; some would keep them for good
  limits.request_read_timeout = 2.2;    // comes within a second; who does not is owed an end within 3 s
  limits.first_request_grace = 0.05;    // several ways from a client
  limits.accept_retry_delay = 0.01;     // a client is not kept waiting for longer than its way here
  limits.answer_write_timeout = 10;     // longer than any client waits
  limits.linger_timeout = 0.25;         // one way to a client and back, several times
  limits.max_linger = 1.5;              // 60 MB at full speed
  limits.deadline_margin = 0.03;        // the way to the client (12 ms) and a late turn of the loop
  limits.deadline_guard_delay = 0.005;  // the module's own end comes within a turn of the loop
  limits.change_stream_silence_timeout = 2.2;  // two comments missed; a stop must be noticed within 4 s
  limits.change_stream_retry_delay = 0.2;      // a change must be told within seconds
  limits.max_change_backlog_hold = 0.5;  // drains may be at a backlog's end, but requests are owed answers

  limits.max_flow_connections = limits.max_clients + limits.max_node_connections + 32;
  limits.max_flow_names = count(memory / 2048, 1024, 65536);  // under 200 bytes each: a tenth of the memory
  limits.max_flows_per_turn = 256;                            // some 0.3 ms
  limits.max_spool_jobs = 64;                                 // a batch each: at 10 a second, several seconds
  limits.spool_read_size = 256 * kKb;
  limits.flow_tick_interval = 0.05;   // a record is late by so much at most
  limits.flow_name_retention = 3600;  // longer than any message waits in memory
  limits.flow_connect_timeout = 2;    // collectors may be far away
  limits.flow_stall_timeout = 10;     // as long as a client may take
  limits.flow_retry_delay = 0.2;      // a collector that is restarted is back within a second
  limits.flow_max_retry_delay = 30;   // one that is gone for an hour is found again within half a minute
  limits.flow_primary_check_interval = 10;  // a look costs one connection
  limits.flow_trim_interval = 1;
  limits.flow_shutdown_timeout = 1;  // within what is left of the time to leave
  return limits;
}

}  // namespace hareramp::program
