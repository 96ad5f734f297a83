// All limits of the director in one type: sizes in bytes, counts, times in seconds. program/limits.cpp
// derives them once at start from the configuration; no other code changes them.
#pragma once

#include <cstddef>
#include <cstdint>

namespace hareramp {

struct Limits {
  // sizes, in bytes unless the name says otherwise
  std::size_t memory = 0;  // that the process may use; 0: no limit
  // Memory of each client's request that counts towards no budget.
  std::size_t uncharged_request_bytes = 0;
  std::size_t max_head = 0;          // head of a request or response
  std::size_t max_request_body = 0;  // body of a write
  std::size_t max_read_ahead = 0;    // bytes buffered from a client whose request is still being answered
  std::size_t retained_buffer = 0;   // memory that an empty buffer keeps
  std::size_t read_size = 0;         // buffer space provided for one read
  std::size_t max_answer_line = 0;   // first line of a cache node's answer
  std::size_t max_answer_body = 0;   // body of a cache node's answer
  std::size_t max_event = 0;         // one event of the change stream
  std::size_t change_stream_read_size = 0;  // bytes of the change stream read and handed on at once
  double max_request_kb = 0;                // size that a request may declare, in KB
  std::size_t max_pending_answers = 0;  // bytes of answers not yet read by slow clients, all clients together
  // counts
  std::size_t max_run_ids = 0;                  // ids of requests that may have run and must not run again
  std::size_t max_tracked_parts = 0;            // parts of objects remembered as requested recently
  std::size_t max_clients = 0;                  // client connections
  std::size_t max_node_connections = 0;         // connections to nodes, all nodes together
  std::size_t max_connections_per_node = 0;     // connections to one node
  std::size_t max_attempts_per_connection = 0;  // attempts in flight on one connection
  // Requests that nodes may still answer although their attempt has ended, all connections together.
  std::size_t max_expected_late_answers = 0;
  int listen_backlog = 0;        // connections waiting to be accepted
  std::int64_t group_count = 0;  // groups of objects
  // times, in seconds
  // To establish a connection to a node.
  double connect_timeout = 0;
  // For an attempt's first byte to be written; after that the attempt is not sent at all.
  double send_start_timeout = 0;
  // How long the last bytes of a write are held back after the rest of it.
  double final_write_delay = 0;
  // A connection to a node without attempts in flight is closed after this, before the node closes it.
  double node_idle_timeout = 0;
  // For so long after an answer the node may send it a second time on the same connection.
  double second_answer_window = 0;
  // A connection on which an attempt was given up is suspect if the node has sent nothing for so long.
  double suspect_timeout = 0;
  // An answer of a node that has begun is given up if no more of it arrives for so long.
  double answer_stall_timeout = 0;
  // For a client connection without a request.
  double client_idle_timeout = 0;
  // From a request's first byte to its last.
  double request_read_timeout = 0;
  // The longest deadline that a request may ask for.
  double max_deadline = 0;
  // For this long a new client connection is not closed to make room for another one.
  double first_request_grace = 0;
  // Between attempts to make room for another client.
  double accept_retry_delay = 0;
  // For a client to read an answer.
  double answer_write_timeout = 0;
  // The same while there is no memory for the answers to others.
  double min_answer_write_time = 0;
  // For a client to notice that its connection is being closed, after the last bytes that it sent.
  double linger_timeout = 0;
  // The longest time that a closing connection lingers, however much more the client sends.
  double max_linger = 0;
  // How much earlier the director's own deadline of a request is than the client's.
  double deadline_margin = 0;
  // How long after the director's own deadline a request that is still open is ended (the deadline guard).
  double deadline_guard_delay = 0;
  // Silence after which a connection to the change stream is given up.
  double change_stream_silence_timeout = 0;
  // Between attempts to reach the change stream.
  double change_stream_retry_delay = 0;
  // The longest time that requests are held after a late turn of the loop while queued changes are applied.
  double max_change_backlog_hold = 0;
  // New requests are accepted for so long after SIGTERM.
  double drain_accept_window = 0;
  // Every request has its final answer so long after SIGTERM.
  double shutdown_answer_deadline = 0;
  // No client connection is waited for any longer than so long after SIGTERM.
  double shutdown_close_deadline = 0;
  // The process has ended so long after SIGTERM.
  double shutdown_exit_deadline = 0;

  // flow export; unused where flow export is off
  std::size_t max_flow_connections = 0;  // connections counted at once
  std::size_t max_flow_names = 0;        // names of locations, nodes and request classes
  std::size_t max_flows_per_turn = 0;    // flows ended in one turn of the event loop
  // Flow export messages sent to one collector in one turn of the event loop.
  std::size_t max_flow_messages_per_turn = 0;
  std::size_t max_spool_jobs = 0;   // jobs queued for the disk
  std::size_t spool_read_size = 0;  // bytes read at once for a collector that catches up
  double flow_tick_interval = 0;    // s between checks for expired flows and messages that are due
  double flow_name_retention = 0;   // s that a name is kept after its last use in a record
  double flow_connect_timeout = 0;  // s to connect to a collector
  double flow_stall_timeout = 0;    // s after which a collector that accepts no more data is given up
  double flow_retry_delay = 0;      // s to the next connection attempt after a collector's first failure
  double flow_max_retry_delay = 0;  // s, the longest delay after repeated failures
  double flow_primary_check_interval = 0;  // s between checks whether a preferred collector is back
  double flow_trim_interval = 0;           // s between checks of the spool's age, and writes of its cursors
  double flow_shutdown_timeout = 0;        // s to export the last records after all requests are answered

  bool operator==(const Limits&) const = default;
};

}  // namespace hareramp
