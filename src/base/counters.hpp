// The director's counters: plain integers that any layer may increment; program/counters.cpp prints them
// under the names below. At any moment taken = completed + bounced + forfeited + left + open.
#pragma once

#include <cstdint>

// COUNT(name, description)
#define HARERAMP_COUNTERS(COUNT)                                                                 \
  COUNT(taken, "requests received complete")                                                     \
  COUNT(completed, "requests answered 200 or 304")                                               \
  COUNT(bounced, "requests rejected with 503; a retry is safe")                                  \
  COUNT(forfeited, "requests failed with 500; whether they ran is unknown")                      \
  COUNT(left, "requests whose client disconnected before the answer")                            \
  COUNT(open, "requests not answered yet")                                                       \
  COUNT(not_modified, "of the completed: answered 304")                                          \
  COUNT(overdue, "of the forfeited: ended by the deadline guard")                                \
  COUNT(turned_back, "of the bounced: rejected because a limit of the director was reached")     \
  COUNT(unread_rejected, "of these: so much more was unread that a close could not be seen")     \
  COUNT(clients_accepted, "client connections accepted")                                         \
  COUNT(clients_closed, "of these, closed")                                                      \
  COUNT(clients_slow, "client connections closed: the client did not read the answer in time")   \
  COUNT(clients_idle, "client connections closed: no request for too long")                      \
  COUNT(clients_unfinished, "client connections closed: a request was not sent in time")         \
  COUNT(clients_evicted, "client connections closed: to make room for another client")           \
  COUNT(clients_shed, "client connections closed: no memory for their request")                  \
  COUNT(clients_bad, "client connections closed: malformed or unsupported request")              \
  COUNT(accept_paused, "times that accepting paused because of a limit or an error")             \
  COUNT(health_asked, "health check requests")                                                   \
  COUNT(not_found, "requests for a path that is not served")                                     \
  COUNT(attempts, "attempts started")                                                            \
  COUNT(ended_completed, "attempts ended: completed")                                            \
  COUNT(ended_error, "attempts ended: error answer")                                             \
  COUNT(ended_turned_away, "attempts ended: rejected by the node")                               \
  COUNT(ended_timed_out, "attempts ended: timed out")                                            \
  COUNT(ended_unreachable, "attempts ended: no connection to the node")                          \
  COUNT(ended_broken, "attempts ended: the connection was lost")                                 \
  COUNT(ended_cancelled, "attempts ended: cancelled")                                            \
  COUNT(ended_not_sent, "attempts ended: never sent")                                            \
  COUNT(ended_absent, "attempts ended: the node has no copy")                                    \
  COUNT(links_opened, "connections to nodes established")                                        \
  COUNT(links_failed, "connections to nodes that could not be established")                      \
  COUNT(links_broken, "connections to nodes that ended with attempts in flight")                 \
  COUNT(links_idle, "connections to nodes closed as idle")                                       \
  COUNT(links_doubted, "connections to nodes given up as unresponsive")                          \
  COUNT(links_turned_away, "connections to nodes retired: every answer on them was a rejection") \
  COUNT(links_forgetting, "connections to nodes retired: too many late answers to expect")       \
  COUNT(links_stalled, "connections to nodes that stalled in the middle of an answer")           \
  COUNT(moved_on, "unsent attempts moved from an ended connection to another one")               \
  COUNT(answers_paused, "answers of nodes that had to wait for memory before they were read")    \
  COUNT(late_answers, "answers to attempts that had already ended")                              \
  COUNT(bad_answers, "malformed answers from nodes")                                             \
  COUNT(unknown_fields, "unknown fields in answers of nodes and in the change stream")           \
  COUNT(log_connected, "connections to the change stream")                                       \
  COUNT(log_silent, "of these, given up as silent")                                              \
  COUNT(log_lost, "times that the change stream was lost after it had been followed")            \
  COUNT(list_stale, "1 while the node list is too old to use, because the stream is lost")       \
  COUNT(list_stale_periods, "times that this began")                                             \
  COUNT(events, "events of the change stream")                                                   \
  COUNT(events_skipped, "of these, not understood or out of order")                              \
  COUNT(late_turns, "iterations of the event loop that started very late")                       \
  COUNT(reloads, "configuration reloads applied")                                                \
  COUNT(reloads_failed, "configuration reloads that failed")                                     \
  COUNT(nodes, "nodes known now, including those removed recently")                              \
  COUNT(purges, "purges received")                                                               \
  COUNT(memory_resident, "bytes of memory that the process uses now")                            \
  COUNT(memory_limit, "bytes of memory that the process may use")                                \
  COUNT(bytes_answered, "body bytes sent to clients")                                            \
  COUNT(bytes_filled, "body bytes received from nodes")                                          \
  COUNT(octets_from_clients, "bytes read from client connections")                               \
  COUNT(octets_to_clients, "bytes written to client connections")                                \
  COUNT(octets_from_nodes, "bytes read from node connections")                                   \
  COUNT(octets_to_nodes, "bytes written to node connections")                                    \
  COUNT(flows, "flows in the table now")                                                         \
  COUNT(flow_records, "flow records produced")                                                   \
  COUNT(flows_evicted, "of these, ended early because the table was full")                       \
  COUNT(flows_uncounted, "connections not counted because the table was full")                   \
  COUNT(flow_messages, "flow export messages finished")                                          \
  COUNT(flow_messages_sent, "of these, sent to collectors; once for each collector")             \
  COUNT(flow_messages_dropped, "of these, dropped unsent; once for each collector")              \
  COUNT(flow_records_dropped, "flow records in the dropped messages")                            \
  COUNT(collectors_up, "connections to collectors established")                                  \
  COUNT(collectors_failed, "connections to collectors that failed or were lost")                 \
  COUNT(collectors_full, "datagrams deferred because the send buffer was full")                  \
  COUNT(spool_written, "messages written to the spool")                                          \
  COUNT(spool_failed, "messages that could not be written to the spool")                         \
  COUNT(spool_read, "messages read back from the spool")                                         \
  COUNT(failures, "tasks, callbacks and client connections ended by a failure inside the director")

namespace hareramp {

struct Counters {
#define HARERAMP_COUNT(name, description) std::uint64_t name = 0;
  HARERAMP_COUNTERS(HARERAMP_COUNT)
#undef HARERAMP_COUNT
};

}  // namespace hareramp
