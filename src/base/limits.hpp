// Every limit of the director in one type: sizes in bytes, counts, times in seconds. Filled once at start
// from the configuration (program/limits.cpp) and handed down; nobody below changes it.
#pragma once

#include <cstddef>
#include <cstdint>

namespace hareramp {

struct Limits {
  // sizes
  std::size_t head_bytes = 0;       // a request's or response's head
  std::size_t request_body = 0;     // a write's body
  std::size_t read_ahead = 0;       // bytes taken from a client whose request is still open
  std::size_t buffer_kept = 0;      // memory that an empty buffer keeps
  std::size_t read_room = 0;        // room made for one read
  std::size_t answer_line = 0;      // the line of a cache node's answer
  std::size_t answer_body = 0;      // the bytes of a cache node's answer
  std::size_t event_bytes = 0;      // an event of the change log
  std::size_t event_slice = 0;      // bytes read of the change log before the module is told of them
  double largest_kb = 0;            // of a request, as it says of itself
  std::size_t waiting_answers = 0;  // bytes of answers that slow clients have not yet read, all together
  // counts
  std::size_t clients = 0;           // connections from clients
  std::size_t links = 0;             // connections to nodes, all together
  std::size_t links_per_node = 0;    // of these, to one node
  std::size_t streams_per_link = 0;  // attempts out on one connection
  int backlog = 0;                   // connections that wait to be accepted
  std::int64_t groups = 0;           // of objects
  // times
  double connect = 0;        // to set up a connection to a node
  double begin_within = 0;   // for an attempt's first byte to leave, else it is not sent
  double hold_back = 0;      // the end of a write, from the rest of it
  double link_idle = 0;      // a connection to a node with nothing out: before the node closes it
  double link_doubt = 0;     // nothing heard on a connection while something was given up on it
  double link_stall = 0;     // nothing more of an answer that has begun: it will not end
  double client_idle = 0;    // a client's connection with no request
  double request_whole = 0;  // from a request's first byte to its last
  double longest_wait = 0;   // that a request may ask for
  double first_request = 0;  // a new connection is not closed for another one so soon
  double accept_again = 0;   // between looks for room for another client
  double answer_taken = 0;   // for a client to take an answer
  double linger = 0;         // for a client to notice that we close, after the last that it sent
  double linger_most = 0;    // however much more it sends
  double stop_margin = 0;    // our own hard stop lies so much before the client's
  double overdue = 0;        // past our own hard stop a request without an answer is ended here
  double log_silent = 0;     // the change log is taken for dead after so long a silence
  double log_again = 0;      // between tries to reach the change log
  double changes_hold = 0;   // after a late turn requests wait for a backlog of changes, so long at most
  double serve_on = 0;       // after SIGTERM, new work is still taken for so long
  double answers_by = 0;     // after SIGTERM, each request has its final answer by then
  double leave = 0;          // after SIGTERM, no client is waited for past that
  double exit_by = 0;        // after SIGTERM, all is over by then

  // flow export; nothing of it counts where that is off
  std::size_t flow_connections = 0;  // counted at once
  std::size_t flow_names = 0;        // of depots, nodes and grades
  std::size_t flows_a_turn = 0;      // told of in one turn of the loop
  std::size_t spool_jobs = 0;        // that wait for the disk
  std::size_t spool_read = 0;        // bytes read at once for a collector that catches up
  double flow_tick = 0;              // between looks at what is due
  double flow_name_kept = 0;         // a name that no record needs any more
  double flow_connect = 0;           // to reach a collector
  double flow_stall = 0;             // a collector that takes nothing more is left
  double flow_pause = 0;             // after the first failure of a collector
  double flow_pause_longest = 0;     // after many
  double flow_come_home = 0;         // between looks whether an earlier collector is back
  double flow_trim = 0;              // between looks at the spool's age, and writings of its cursors
  double flow_leave = 0;             // for the last records, once all requests are answered

  bool operator==(const Limits&) const = default;
};

}  // namespace hareramp
