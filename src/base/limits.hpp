// Every limit of the director in one type: sizes in bytes, counts, times in seconds. Filled once at start
// from the configuration (program/limits.cpp) and handed down; nobody below changes it.
#pragma once

#include <cstddef>
#include <cstdint>

namespace hareramp {

struct Limits {
  // sizes
  std::size_t max_head = 0;                 // a request's or response's head
  std::size_t max_request_body = 0;         // a write's body
  std::size_t max_read_ahead = 0;           // bytes taken from a client whose request is still open
  std::size_t retained_buffer = 0;          // memory that an empty buffer keeps
  std::size_t read_size = 0;                // room made for one read
  std::size_t max_answer_line = 0;          // the line of a cache node's answer
  std::size_t max_answer_body = 0;          // the bytes of a cache node's answer
  std::size_t max_event = 0;                // an event of the change log
  std::size_t change_stream_read_size = 0;  // bytes read of the change log before the module is told of them
  double max_request_kb = 0;                // of a request, as it says of itself
  std::size_t max_pending_answers = 0;  // bytes of answers that slow clients have not yet read, all together
  // counts
  std::size_t max_clients = 0;                  // connections from clients
  std::size_t max_node_connections = 0;         // connections to nodes, all together
  std::size_t max_connections_per_node = 0;     // of these, to one node
  std::size_t max_attempts_per_connection = 0;  // attempts out on one connection
  int listen_backlog = 0;                       // connections that wait to be accepted
  std::int64_t group_count = 0;                 // of objects
  // times
  double connect_timeout = 0;       // to set up a connection to a node
  double send_start_timeout = 0;    // for an attempt's first byte to leave, else it is not sent
  double final_write_delay = 0;     // the end of a write, from the rest of it
  double node_idle_timeout = 0;     // a connection to a node with nothing out: before the node closes it
  double suspect_timeout = 0;       // nothing heard on a connection while something was given up on it
  double answer_stall_timeout = 0;  // nothing more of an answer that has begun: it will not end
  double client_idle_timeout = 0;   // a client's connection with no request
  double request_read_timeout = 0;  // from a request's first byte to its last
  double max_deadline = 0;          // that a request may ask for
  double first_request_grace = 0;   // a new connection is not closed for another one so soon
  double accept_retry_delay = 0;    // between looks for room for another client
  double answer_write_timeout = 0;  // for a client to take an answer
  double linger_timeout = 0;        // for a client to notice that we close, after the last that it sent
  double max_linger = 0;            // however much more it sends
  double deadline_margin = 0;       // our own hard stop lies so much before the client's
  double deadline_guard_delay = 0;  // past our own hard stop a request without an answer is ended here
  double change_stream_silence_timeout = 0;  // the change log is taken for dead after so long a silence
  double change_stream_retry_delay = 0;      // between tries to reach the change log
  double max_change_backlog_hold =
      0;  // after a late turn requests wait for a backlog of changes, so long at most
  double drain_accept_window = 0;       // after SIGTERM, new work is still taken for so long
  double shutdown_answer_deadline = 0;  // after SIGTERM, each request has its final answer by then
  double shutdown_close_deadline = 0;   // after SIGTERM, no client is waited for past that
  double shutdown_exit_deadline = 0;    // after SIGTERM, all is over by then

  // flow export; nothing of it counts where that is off
  std::size_t max_flow_connections = 0;    // counted at once
  std::size_t max_flow_names = 0;          // of depots, nodes and grades
  std::size_t max_flows_per_turn = 0;      // told of in one turn of the loop
  std::size_t max_spool_jobs = 0;          // that wait for the disk
  std::size_t spool_read_size = 0;         // bytes read at once for a collector that catches up
  double flow_tick_interval = 0;           // between looks at what is due
  double flow_name_retention = 0;          // a name that no record needs any more
  double flow_connect_timeout = 0;         // to reach a collector
  double flow_stall_timeout = 0;           // a collector that takes nothing more is left
  double flow_retry_delay = 0;             // after the first failure of a collector
  double flow_max_retry_delay = 0;         // after many
  double flow_primary_check_interval = 0;  // between looks whether an earlier collector is back
  double flow_trim_interval = 0;           // between looks at the spool's age, and writings of its cursors
  double flow_shutdown_timeout = 0;        // for the last records, once all requests are answered

  bool operator==(const Limits&) const = default;
};

}  // namespace hareramp
