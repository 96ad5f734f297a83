// Incremental parsing of server-sent events, and the changes that the change stream carries in them.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "policy.hpp"
#include "protocol/json.hpp"

namespace hareramp::protocol {

// Receives the parsed events. Views are valid only during the call.
class SseHandler {
 public:
  virtual ~SseHandler() = default;
  virtual void event(std::string_view id, std::string_view data) = 0;
};

// Parses a stream of server-sent events; only the fields data and id are used.
class SseParser {
 public:
  explicit SseParser(std::size_t max_event_bytes) : max_event_bytes_(max_event_bytes) {}
  // Parses the next bytes of the stream, cut anywhere. False: an event exceeds the limit, and the rest of the
  // stream can't be read.
  bool parse(std::string_view input, SseHandler& handler);
  // Whether the input so far ends between two events, not within one. A comment is no part of an event.
  bool between_events() const { return !in_event_ && line_.empty(); }

 private:
  void end_line(SseHandler& handler);
  std::size_t max_event_bytes_;
  std::string line_, id_, data_;
  bool after_cr_ = false, has_data_ = false, in_event_ = false;
};

// Receives the parts of one change of the change stream.
class ChangeHandler {
 public:
  virtual ~ChangeHandler() = default;
  virtual void list_starts(bool full) = 0;
  virtual void list_entry(const NodeId& node, const std::string& address, const std::string& zone,
                          const std::string& kind, CellIndex cell, EndpointState endpoint_state,
                          double weight, double started_unix_ms) = 0;
  virtual void list_ends() = 0;
  virtual void object_purged(ObjectId object, double unix_ms) = 0;
  virtual void group_purged(GroupId group, double unix_ms) = 0;
  // A part of the change that is unknown or can't be used; the rest of the change is still read.
  virtual void skipped(const std::string& description) = 0;
  virtual void unknown_field(std::string_view name) = 0;
};

// Passes the parts of a change to the handler, in their order.
void read_change(const Json& change, ChangeHandler& handler);

// Parses an object's ID as clients and the change stream write it: 1 to 16 hex digits. False: it is
// malformed.
bool parse_object_id(std::string_view text, ObjectId& object);

}  // namespace hareramp::protocol
