// The actor that subscribes to the change stream. It delivers the changes known at the start and those of the
// stream to the receiver, in order and each once. A separate task keeps a connection to one of several
// endpoints and reads in batches. It reads the next batch only after the receiver has processed the last one,
// which bounds the data in this process however much the source has to send.
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

// How a subscription connects to its endpoints. The defaults are those for the platform's own source: a
// single endpoint that is retried at a constant interval.
struct SubscriptionOptions {
  bool compressed = false;         // requests the content coding gzip
  bool restarts_followed = false;  // a complete node list with a number already seen means a restarted source
  // Upper bound of the exponential backoff, which starts at Limits::change_stream_retry_delay, doubles with
  // each consecutive failure and is shortened at random to between half and all of it. 0: the delay is always
  // Limits::change_stream_retry_delay, without backoff and without jitter.
  transport::Seconds retry_longest = 0;
  // Time without data after which the endpoint is given up; 0: Limits::change_stream_silence_timeout.
  transport::Seconds silence_timeout = 0;
  std::uint64_t seed = 1;
};

class Subscription {
 public:
  // endpoints: at least one, tried in order. last: the number of the last event already known.
  Subscription(transport::Scheduler& scheduler, const Limits& limits, Counters& counters, Log& log,
               std::vector<Endpoint> endpoints, long long last, ChangeReceiver& receiver,
               SubscriptionOptions options = {});
  ~Subscription();
  // known: changes from before the stream, which reach the receiver before any change of the stream.
  void start(const std::vector<protocol::Json>& known);
  // Only posts to the mailbox. Replaces the endpoints and reconnects, continuing after the last event that
  // the receiver has processed. If the current endpoint is among the new ones its connection stays, and only
  // the endpoints tried after it change.
  void set_endpoints(std::vector<Endpoint> endpoints);
  // The number of the last event that the receiver has processed; a new connection continues after it.
  long long last() const { return last_accepted_; }
  // When data last arrived from the source, in the scheduler's time; -infinity: never.
  transport::Seconds last_received_at() const { return last_received_at_; }

 private:
  class Connection;
  struct Event {
    long long number = 0;                  // 0: none
    std::optional<protocol::Json> change;  // empty: not valid JSON
  };
  void reconnect();
  transport::Seconds effective_silence_timeout() const;
  // How long to wait for a response to begin, after so many connections in a row on which none did.
  transport::Seconds answer_timeout(int unanswered) const;
  transport::Seconds retry_delay(int failures);
  void handle_batch(std::vector<Event> events, bool first_of_connection, bool more_available,
                    const std::shared_ptr<Connection>& connection);
  void finish_batch(long long last_number, bool accepted, Connection& connection);
  static transport::Task<> run_mailbox(Subscription& self);
  void report_failure(const std::string& reason);
  void report_loss(StreamLoss loss);
  void report_followed(transport::Seconds asked_at);

  transport::Scheduler& scheduler_;
  const Limits& limits_;
  Counters& counters_;
  Log& log_;
  std::vector<Endpoint> endpoints_;
  std::size_t endpoint_index_ = 0;  // of the current endpoint
  long long last_accepted_;         // number of the last event that the receiver has processed
  long long last_posted_;           // number of the last event passed to the receiver
  ChangeReceiver& receiver_;
  SubscriptionOptions options_;
  std::mt19937_64 random_;
  transport::Mailbox mailbox_;
  std::shared_ptr<Connection> connection_;
  transport::Seconds last_received_at_ = -transport::kNever;
  bool followed_ = false;         // the receiver knows that the stream is followed
  bool batch_in_flight_ = false;  // the receiver has not yet answered for a batch; at most one
  std::string last_failure_;      // the last reason logged; cleared when a stream starts again
};

}  // namespace hareramp::distribution
