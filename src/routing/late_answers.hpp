// The requests for which a connection to a node may still bring an answer although their attempt has ended:
// it was given up, or has been answered, and a second answer may follow. Until then the connection must not
// carry the same id again, as the two answers could not be distinguished.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <utility>

#include "policy.hpp"

namespace hareramp::routing {

class LateAnswers {
 public:
  // total: counts the requests of all connections together; outlives this object.
  explicit LateAnswers(std::size_t& total) : total_(total) {}
  ~LateAnswers() { clear(); }
  LateAnswers(const LateAnswers&) = delete;
  LateAnswers& operator=(const LateAnswers&) = delete;

  void expect(const RequestId& request, Seconds now);
  bool expects(const RequestId& request) const { return expected_since_.contains(request); }
  // Forgets the requests that are expected since before this time.
  void expire(Seconds before);
  void clear();
  std::size_t size() const { return expected_since_.size(); }

 private:
  std::size_t& total_;
  std::map<RequestId, Seconds> expected_since_;
  std::deque<std::pair<Seconds, RequestId>> in_order_;
};

}  // namespace hareramp::routing
