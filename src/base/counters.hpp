// What the director counts. Plain numbers, so that any layer can add to them; program/counters.cpp prints
// them. taken = completed + bounced + forfeited + left + open at any moment.
#pragma once

#include <cstdint>

// name, and what it counts
#define HARERAMP_COUNTERS(COUNT)                                                     \
  COUNT(taken, "requests taken in whole")                                            \
  COUNT(completed, "requests answered 200 or 304")                                   \
  COUNT(bounced, "requests answered 503: trying again is harmless")                  \
  COUNT(forfeited, "requests answered 500: no promise")                              \
  COUNT(left, "requests whose client went away first")                               \
  COUNT(open, "requests with no answer yet")                                         \
  COUNT(not_modified, "of the completed: 304")                                       \
  COUNT(overdue, "of the forfeited: ended by the director's last resort")            \
  COUNT(turned_back, "of the bounced: a limit of the director was reached")          \
  COUNT(clients_accepted, "connections from clients")                                \
  COUNT(clients_closed, "of these closed")                                           \
  COUNT(clients_slow, "closed: the answer was not taken in time")                    \
  COUNT(clients_bad, "closed: not a request as we read it")                          \
  COUNT(accept_paused, "times that accepting paused at a limit")                     \
  COUNT(health_asked, "health requests")                                             \
  COUNT(not_found, "requests for something that is not served here")                 \
  COUNT(attempts, "attempts begun")                                                  \
  COUNT(ended_completed, "attempts ended: completed")                                \
  COUNT(ended_error, "attempts ended: error")                                        \
  COUNT(ended_turned_away, "attempts ended: turned away")                            \
  COUNT(ended_timed_out, "attempts ended: timed out")                                \
  COUNT(ended_unreachable, "attempts ended: no connection")                          \
  COUNT(ended_broken, "attempts ended: connection broke")                            \
  COUNT(ended_cancelled, "attempts ended: called off")                               \
  COUNT(ended_not_sent, "attempts ended: never sent")                                \
  COUNT(ended_absent, "attempts ended: no copy")                                     \
  COUNT(links_opened, "connections to nodes that came up")                           \
  COUNT(links_failed, "connections to nodes that did not")                           \
  COUNT(links_broken, "connections to nodes that ended with work out")               \
  COUNT(links_idle, "connections to nodes closed as idle")                           \
  COUNT(links_doubted, "connections to nodes given up as silent")                    \
  COUNT(links_turned_away, "connections that only heard of a full node")             \
  COUNT(links_stalled, "connections to nodes given up in the middle of an answer")   \
  COUNT(moved_on, "attempts that went on, unsent, from a connection that ended")     \
  COUNT(late_answers, "answers to what was no longer wanted")                        \
  COUNT(bad_answers, "lines of nodes that could not be read")                        \
  COUNT(unknown_fields, "fields of nodes and of the change log that we do not know") \
  COUNT(log_connected, "connections to the change log")                              \
  COUNT(log_silent, "of these given up as silent")                                   \
  COUNT(events, "events of the change log")                                          \
  COUNT(events_skipped, "of these not understood, or out of turn")                   \
  COUNT(late_turns, "turns of the loop that came very late")                         \
  COUNT(reloads, "configurations read again and taken")                              \
  COUNT(reloads_failed, "configurations that could not be read or used")             \
  COUNT(nodes, "nodes known now, those just gone included")                          \
  COUNT(purges, "purges told")                                                       \
  COUNT(bytes_answered, "bytes of answers to clients")                               \
  COUNT(bytes_filled, "bytes of answers from nodes")                                 \
  COUNT(octets_from_clients, "bytes read from clients' connections")                 \
  COUNT(octets_to_clients, "bytes written to clients' connections")                  \
  COUNT(octets_from_nodes, "bytes read from nodes' connections")                     \
  COUNT(octets_to_nodes, "bytes written to nodes' connections")                      \
  COUNT(flows, "flows held now")                                                     \
  COUNT(flow_records, "flow records told of")                                        \
  COUNT(flows_evicted, "of these told early: the table was full")                    \
  COUNT(flows_uncounted, "connections not counted: no room for them")                \
  COUNT(flow_messages, "messages of flow records finished")                          \
  COUNT(flow_messages_sent, "of these handed to collectors, each counted")           \
  COUNT(flow_messages_dropped, "of these dropped unsent, each collector counted")    \
  COUNT(flow_records_dropped, "flow records in the messages dropped")                \
  COUNT(collectors_up, "times that a collector was reached")                         \
  COUNT(collectors_failed, "times that a collector was not reached, or was lost")    \
  COUNT(collectors_full, "datagrams put off: the system had no room for them")       \
  COUNT(spool_written, "messages on the disk")                                       \
  COUNT(spool_failed, "messages that the disk did not take")                         \
  COUNT(spool_read, "messages read back from the disk")                              \
  COUNT(failures, "connections ended by a failure inside the director")

namespace hareramp {

struct Counters {
#define HARERAMP_COUNT(name, what) std::uint64_t name = 0;
  HARERAMP_COUNTERS(HARERAMP_COUNT)
#undef HARERAMP_COUNT
};

}  // namespace hareramp
