// The names that records refer to by a number: depots, nodes, service grades. Pure. A number is made from the
// name itself, so that it is the same after a reload, after a restart and at every director, and messages
// kept on a disk still mean what they meant.
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
  // A name that is not asked for within keep seconds is forgotten by forget(); at most so many are held.
  Names(double keep, std::size_t most) : keep_(keep), most_(most) {}

  using Tell = std::function<void(ipfix::NameKind, ipfix::NameNumber, const std::string&)>;
  // The number of a name; first_time is called when it is new here. The empty name and, past the bound, a
  // new one have the number 0: no name.
  ipfix::NameNumber number(double now, ipfix::NameKind kind, std::string_view name, const Tell& first_time);
  void each(const Tell& tell) const;
  void forget(double now);
  std::size_t size() const { return held_.size(); }

 private:
  struct Held {
    ipfix::NameNumber number;
    double asked_at = 0;
  };
  using Key = std::pair<ipfix::NameKind, std::string>;
  double keep_;
  std::size_t most_;
  std::map<Key, Held> held_;
  std::map<std::pair<ipfix::NameKind, ipfix::NameNumber>, std::string> by_number_;
};

}  // namespace hareramp::flow
