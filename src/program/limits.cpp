#include <algorithm>

#include "program/config.hpp"

namespace hareramp::program {

namespace {
constexpr std::size_t kKb = 1024;
constexpr std::size_t kMb = 1024 * kKb;

// Bytes of the memory limit for each connection; the connection itself takes a tenth to a quarter of it.
constexpr double kMemoryPerClient = 32 * kKb;
constexpr double kMemoryPerNodeConnection = 16 * kKb;

constexpr double kDefaultDeadline = 6;  // s; used where the settings have no request class

// SIGKILL may come this long after SIGTERM: the longest deadline of a request class, but kKillDeadlineCap at
// most, plus kKillGrace.
constexpr double kKillDeadlineCap = 3;  // s
constexpr double kKillGrace = 0.7;      // s
// The last answer is sent this long before SIGKILL: time for a late turn of the event loop and for the
// network delay to the client.
constexpr double kKillMargin = 0.3;  // s
// With short deadlines the margin is this fraction of the longest one: with a deadline of 0.4 s, a request
// that is read 0.6 s after SIGTERM still gets its whole deadline.
constexpr double kKillMarginFraction = 0.25;

void fill_shutdown(Limits& limits, double longest_deadline) {
  const double kill_time = std::min(longest_deadline, kKillDeadlineCap) + kKillGrace;
  const double margin = std::min(kKillMargin, kKillMarginFraction * longest_deadline);
  limits.drain_accept_window = 0.75;  // new requests may arrive until 0.6 s after SIGTERM
  limits.shutdown_answer_deadline = kill_time - margin;
  limits.shutdown_close_deadline = kill_time - margin / 2;  // the last answers are written by then
  limits.shutdown_exit_deadline = kill_time - margin / 4;   // the last flow records are sent by then
}
}  // namespace

Limits fill_limits(const protocol::Json& platform_limits, const protocol::Json& settings) {
  const auto clamp_count = [](double value, double minimum, double maximum) {
    return static_cast<std::size_t>(std::clamp(value, minimum, maximum));
  };
  const double sockets = platform_limits["sockets"].number(1024),
               memory = platform_limits["memory_mb"].number(192) * kMb;
  const protocol::Json& permissions = settings["Permissions"];

  Limits limits;
  limits.memory = static_cast<std::size_t>(memory);
  limits.uncharged_request_bytes = 2 * kKb;  // a head of our clients, and what comes with it
  limits.max_head = 16 * kKb;                // our clients' are under 1 KB; a proxy may add to them
  limits.max_request_body = 64 * kKb;        // a write has at most 48,000 bytes
  limits.max_read_ahead = 32 * kKb;          // pipelined requests
  limits.retained_buffer = 32 * kKb;         // one typical read; all idle clients together keep under 11 MB
  limits.read_size = 16 * kKb;               // one typical read
  limits.max_answer_line = 8 * kKb;          // lines in use are under 300 bytes
  limits.max_answer_body = 512 * kKb;        // objects have at most 240,000 bytes
  limits.max_event = 1 * kMb;                // a full endpoint list of thousands of nodes
  limits.change_stream_read_size = 4 * kKb;  // some 40 purges: about 0.3 ms of work in a turn of the loop
  // Each of these bounds holds for one request or answer; policy/memory_budget bounds their sum.
  limits.max_pending_answers = clamp_count(memory / 4, kMb, 1024.0 * kMb);
  // A deadline over ten times the longest of any request class, or a size that takes longer than that to
  // send, is not plausible for a request: a single such value would outweigh what is measured from all the
  // others.
  double longest = 0;
  for (const protocol::Json& request_class : settings["RequestClasses"].items())
    longest = std::max(longest, request_class["DeadlineS"].number(0));
  if (longest <= 0) longest = kDefaultDeadline;
  limits.max_deadline = 10 * longest;
  fill_shutdown(limits, longest);
  const double stream_kb_per_s = settings["FamilyInfo"]["StreamKbPerS"].number(0);
  limits.max_request_kb = stream_kb_per_s > 0 ? stream_kb_per_s * limits.max_deadline : 1e6;
  limits.group_count = 256;  // fixed by the protocol

  limits.max_run_ids = clamp_count(memory / (4 * kKb), 1024, 1 << 22);  // about 60 bytes each
  // About 110 bytes each: a tenth of the memory. With 32 MB the parts of 30 s at 1,000 new ones a second.
  limits.max_tracked_parts = clamp_count(memory / kKb, 1024, 1 << 24);

  // However many descriptors there are, no more connections than the memory suffices for.
  limits.max_clients = clamp_count(std::min(sockets / 3, memory / kMemoryPerClient), 1, 100000);
  // 32 descriptors are reserved for the log, epoll, signals, the listener and the change stream, which use 8.
  limits.max_node_connections =
      clamp_count(std::min(sockets - sockets / 3 - 32, memory / kMemoryPerNodeConnection), 1, 100000);
  // One for each attempt in flight, as far as the descriptors suffice: 17 with 256 descriptors, about 80 with
  // 1,024.
  limits.max_connections_per_node = clamp_count(limits.max_node_connections / 8.0, 2, 10000);
  limits.max_attempts_per_connection = clamp_count(permissions["StreamsPerConn"].number(100), 1, 10000);
  // About 250 bytes each: a sixteenth of the memory.
  limits.max_expected_late_answers = clamp_count(memory / (4 * kKb), 256, 1 << 20);
  limits.listen_backlog = 512;  // a proxy in front that reconnects all its clients at once

  limits.connect_timeout = permissions["ConnectTimeoutS"].number(0.4);
  limits.send_start_timeout = limits.connect_timeout;  // shorter than each grace period for drains and purges
  // Longer than a node needs to read what has arrived; a write has 100 times as long to finish.
  limits.final_write_delay = 0.01;
  // Well below the node's own idle timeout, so that the node never closes a connection first.
  limits.node_idle_timeout = 0.7 * permissions["ConnIdleS"].number(15);
  limits.second_answer_window = 1;
  limits.suspect_timeout = limits.connect_timeout;  // the time that a new connection would have to be set up
  // A node writes an answer in one go; this covers ten late turns of an event loop.
  limits.answer_stall_timeout = 0.4 * limits.connect_timeout;
  limits.client_idle_timeout = 6;       // clients close theirs after 4 s; some never would
  limits.request_read_timeout = 2.2;    // sent within 1 s; a request that is not must be ended within 3 s
  limits.first_request_grace = 0.05;    // several times the network delay from a client
  limits.accept_retry_delay = 0.01;     // a client waits no longer than its network delay
  limits.answer_write_timeout = 10;     // longer than any client waits
  limits.min_answer_write_time = 1;     // an answer of usual size over a slow path
  limits.linger_timeout = 0.25;         // several round trips to a client
  limits.max_linger = 1.5;              // 60 MB at full speed
  limits.deadline_margin = 0.03;        // network delay to the client (12 ms) and a late turn of the loop
  limits.deadline_guard_delay = 0.005;  // the director's own answer comes within a turn of the loop
  limits.change_stream_silence_timeout = 2.2;  // two comments missed; a stop must be noticed within 4 s
  limits.change_stream_retry_delay = 0.2;      // a change must arrive within seconds
  // A drain may be the last event of the backlog, but the requests that wait for it must be answered.
  limits.max_change_backlog_hold = 0.5;

  limits.max_flow_connections = limits.max_clients + limits.max_node_connections + 32;
  // Under 200 bytes each: a tenth of the memory.
  limits.max_flow_names = clamp_count(memory / 2048, 1024, 65536);
  limits.max_flows_per_turn = 256;         // about 0.3 ms of work
  limits.max_flow_messages_per_turn = 64;  // clients wait meanwhile
  limits.max_spool_jobs = 64;              // one batch each: several seconds at 10 batches a second
  limits.spool_read_size = 256 * kKb;
  limits.flow_tick_interval = 0.05;         // the most by which a record is late
  limits.flow_name_retention = 3600;        // longer than any message waits in memory
  limits.flow_connect_timeout = 2;          // collectors may be far away
  limits.flow_stall_timeout = 10;           // as long as a client may take to read an answer
  limits.flow_retry_delay = 0.2;            // a restarted collector is back within a second
  limits.flow_max_retry_delay = 30;         // one that was down for an hour is reached within half a minute
  limits.flow_primary_check_interval = 10;  // each check costs one connection
  limits.flow_trim_interval = 1;
  limits.flow_shutdown_timeout = 1;  // within what remains of the shutdown time
  return limits;
}

}  // namespace hareramp::program
