// Learns how long the requests of each class take to send. Independent of clock and sockets.
//
// A request states its size, and any client may state any. So a mean is learned only from answers in which a
// node has sent the object, and only where the size fits the time that the answer took. What is stated in
// requests for objects that no node has counts for nothing. Until a class has its first such answer, stated
// sizes are all that there is; they may raise the mean that is assumed, but not lower it.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "policy.hpp"
#include "policy/average.hpp"

namespace hareramp::policy {

class SendTimes {
 public:
  explicit SendTimes(std::size_t request_classes = 0) : classes_(request_classes) {}

  // stated: sending time by the stated size; 0 where none is stated.
  void request_arrived(Seconds now, std::size_t request_class, Seconds stated);
  // A node sent the object. send_time: by its size; elapsed: duration of the attempt without the wait for a
  // fill source.
  void answered(Seconds now, std::size_t request_class, Seconds send_time, Seconds elapsed);
  // Whether an answer may have taken so long if its object takes send_time to send.
  static bool fits(Seconds send_time, Seconds elapsed);

  // Mean sending time of the class in seconds.
  Seconds mean(std::size_t request_class) const;
  // The same by answers alone; empty before the first one.
  std::optional<Seconds> answered_mean(std::size_t request_class) const;
  // The same over the requests of all classes; empty before the first request.
  std::optional<Seconds> overall_mean(Seconds now) const;
  // Seconds of sending that all requests together ask for per second.
  double demand(Seconds now) const;
  const Average& arrivals() const { return arrivals_; }

  // Work in seconds of sending that a fill source in slow start is charged for a request: by its own size,
  // but no less than a fixed fraction of its class's mean.
  Seconds charge(std::size_t request_class, Seconds stated) const;

 private:
  struct RequestClass {
    Average arrivals, stated, answered;
    // What comes nearest to its mean, whether or not it may be relied on.
    const Average& best_known() const { return answered.has_data() ? answered : stated; }
  };

  std::vector<RequestClass> classes_;
  Average arrivals_;
};

}  // namespace hareramp::policy
