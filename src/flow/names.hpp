// The names that records refer to by number: locations, nodes, request classes. Does no I/O. A number is a
// hash of the name, so that it is the same after a reload, after a restart and at every director, and
// messages in the spool keep their meaning.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "ipfix/encoder.hpp"
#include "ipfix/record.hpp"

namespace hareramp::flow {

class Names {
 public:
  // remove_unused() removes the names not looked up within retention_s seconds. At most max_names are kept.
  Names(double retention_s, std::size_t max_names) : retention_s_(retention_s), max_names_(max_names) {}

  using Visitor = std::function<void(ipfix::NameKind, ipfix::NameNumber, const std::string&)>;
  // The number of a name. Calls on_new_name if the name is not in the table yet. The empty name has the
  // number 0 (no name), and so has every new name once the table is full.
  ipfix::NameNumber number(double now, ipfix::NameKind kind, std::string_view name,
                           const Visitor& on_new_name);
  void each(const Visitor& visit) const;
  void remove_unused(double now);
  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    ipfix::NameNumber number;
    double last_used_at = 0;
  };
  using Key = std::pair<ipfix::NameKind, std::string>;
  double retention_s_;
  std::size_t max_names_;
  std::map<Key, Entry> entries_;
  std::map<std::pair<ipfix::NameKind, ipfix::NameNumber>, std::string> by_number_;
};

}  // namespace hareramp::flow
