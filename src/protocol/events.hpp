// Server-sent events, parsed as they arrive, and what the change log says in them.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "policy.hpp"
#include "protocol/json.hpp"

namespace hareramp::protocol {

class EventHandler {
 public:
  virtual ~EventHandler() = default;
  virtual void event(std::string_view id, std::string_view data) = 0;
};

class EventParser {
 public:
  explicit EventParser(std::size_t most_bytes) : most_bytes_(most_bytes) {}
  // Takes any piece of the stream. False: an event is over the bound, the stream can't be followed.
  bool feed(std::string_view piece, EventHandler& handler);

 private:
  void line(EventHandler& handler);
  std::size_t most_bytes_;
  std::string line_, id_, data_;
  bool after_cr_ = false, has_data_ = false;
};

class ChangeHandler {
 public:
  virtual ~ChangeHandler() = default;
  virtual void list_starts(bool whole) = 0;
  virtual void list_entry(const NodeId& node, const std::string& address, const std::string& zone,
                          const std::string& kind, CellIndex cell, EndpointState endpoint_state,
                          double weight, double started_unix_ms) = 0;
  virtual void list_ends() = 0;
  virtual void object_purged(ObjectId object, double unix_ms) = 0;
  virtual void group_purged(GroupId group, double unix_ms) = 0;
  // Something that we do not know, or can't use; the rest of the change is still read.
  virtual void skipped(const std::string& what) = 0;
  virtual void unknown_field(std::string_view name) = 0;
};

void read_change(const Json& change, ChangeHandler& handler);

// An object's name on the sockets: 1 to 16 hex digits.
bool parse_object_id(std::string_view text, ObjectId& object);

}  // namespace hareramp::protocol
