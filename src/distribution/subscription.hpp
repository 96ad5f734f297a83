// The actor that follows the change stream: takes what is known at the start and what the stream brings, and
// posts it to the receiver in order and once. A task of its own keeps a connection to one of several
// endpoints and reads in slices: the next slice is read only after the receiver has taken the last one in, so
// that what waits is bounded however much the source has to send.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "base/counters.hpp"
#include "base/limits.hpp"
#include "base/log.hpp"
#include "distribution/change_receiver.hpp"
#include "protocol/events.hpp"
#include "protocol/http.hpp"
#include "transport/mailbox.hpp"
#include "transport/scheduler.hpp"
#include "transport/socket.hpp"

namespace hareramp::distribution {

// A source or relay of the change stream.
struct Endpoint {
  transport::Address address;
  std::string host;  // for the Host field
  bool operator==(const Endpoint& other) const { return address == other.address; }
};

// How endpoints are followed. The defaults are the platform's: one source, asked again at a steady pace.
struct SubscriptionOptions {
  bool compressed = false;         // asks for the content coding gzip
  bool restarts_followed = false;  // a whole list under a number already used is a stream that began anew
  // Seconds before the next try: from a random part (a half to all) of the first up to that of the longest,
  // doubled with each failure in a row. 0 for the longest: always Limits::log_again, undrawn.
  transport::Seconds retry_longest = 0;
  // Silence after which an endpoint is left; 0: Limits::log_silent.
  transport::Seconds silence_timeout = 0;
  std::uint64_t seed = 1;
};

class Subscription {
 public:
  // endpoints: at least one, tried from the first on. last: the number of the last event known already.
  Subscription(transport::Scheduler& scheduler, const Limits& limits, Counters& counters, Log& log,
               std::vector<Endpoint> endpoints, long long last, ChangeReceiver& receiver,
               SubscriptionOptions options = {});
  ~Subscription();
  // With the events known already, which reach the receiver before anything else can.
  void start(const std::vector<protocol::Json>& known);
  // Only posts: from then on these are followed, after the last event taken in, and the old ones no more.
  // Where the endpoint followed now is among them nothing changes but what comes after it.
  void set_endpoints(std::vector<Endpoint> endpoints);
  // The number of the last event that the receiver has taken in; a new connection goes on behind it.
  long long last() const { return last_; }
  // When the source was last heard, in the scheduler's time; -infinity: never.
  transport::Seconds heard_at() const { return heard_at_; }

 private:
  class Connection;
  struct Event {
    long long number = 0;                  // 0: none
    std::optional<protocol::Json> change;  // empty: can't be read
  };
  void follow();
  transport::Seconds silent_after() const;
  transport::Seconds retry_pause(int failures);
  void slice_arrived(std::vector<Event> events, bool first_of_connection, bool more_waits,
                     const std::shared_ptr<Connection>& connection);
  void slice_ended(long long newest, bool taken, Connection& connection);
  static transport::Task<> live(Subscription& self);
  void troubled(const std::string& what);

  transport::Scheduler& scheduler_;
  const Limits& limits_;
  Counters& counters_;
  Log& log_;
  std::vector<Endpoint> endpoints_;
  std::size_t place_ = 0;  // of the endpoint followed now
  long long last_;         // taken in by the receiver
  long long received_;     // on its way to the receiver
  ChangeReceiver& receiver_;
  SubscriptionOptions options_;
  std::mt19937_64 chance_;
  transport::Mailbox mailbox_;
  std::shared_ptr<Connection> connection_;
  transport::Seconds heard_at_ = -transport::kNever;
  bool slice_out_ = false;  // one is on its way to the receiver; never two
  std::string trouble_;     // what was logged last, until events come again
};

}  // namespace hareramp::distribution
