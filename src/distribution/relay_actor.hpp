// The actor around a relay's core: subscribes to the source, accepts subscribers' connections, and executes
// the effects that the core returns. All decisions are the core's. Single-threaded; a subscriber that does
// not read delays no other.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "base/counters.hpp"
#include "base/limits.hpp"
#include "base/log.hpp"
#include "distribution/relay.hpp"
#include "distribution/subscription.hpp"
#include "transport/mailbox.hpp"
#include "transport/scheduler.hpp"
#include "transport/socket.hpp"

namespace hareramp::distribution {

class RelayActor : public ChangeReceiver {
 public:
  // Starts to listen; throws std::system_error if that fails.
  RelayActor(transport::Scheduler& scheduler, const Limits& limits, Counters& counters, Log& log,
             const RelaySettings& settings, std::uint64_t seed);
  ~RelayActor() override;

  void start();
  transport::Address address() const { return listener_.address(); }
  // Stops listening and closes every subscriber's connection; subscribers then reconnect to another relay.
  // Connections that have not sent their whole request yet.
  std::size_t unfinished_requests() const { return unfinished_requests_; }
  void close();
  void set_sources(std::vector<Endpoint> sources) { subscription_.set_endpoints(std::move(sources)); }
  const Relay& relay() const { return relay_; }
  std::uint64_t bytes_given() const { return bytes_given_; }
  std::uint64_t writes() const { return writes_; }

  // ChangeReceiver: both only post to the mailbox.
  void known_change_arrived(protocol::Json change) override;
  void changes_arrived(std::vector<NumberedChange> changes, bool more_available,
                       std::function<void(bool accepted)> done) override;

 private:
  class Session;
  using SessionPointer = std::shared_ptr<Session>;

  static transport::Task<> run_mailbox(RelayActor& self);
  static transport::Task<> accept_subscribers(RelayActor& self);
  static transport::Task<> tick(RelayActor& self);
  static transport::Task<> serve(RelayActor& self, SessionPointer session);
  static transport::Task<> write_remaining(RelayActor& self, SessionPointer session, SharedBytes bytes,
                                           std::size_t offset);
  void post(RelayEvent event);
  void step(const RelayEvent& event);
  void execute(const Accept& accept);
  void execute(const Refuse& refuse);
  void execute(const Send& send);
  void execute(const Close& close);
  bool source_alive() const;

  transport::Scheduler& scheduler_;
  const Limits& limits_;
  Log& log_;
  RelaySettings settings_;
  Relay relay_;
  transport::Mailbox mailbox_;
  Subscription subscription_;
  transport::Listener listener_;
  std::map<SubscriberId, SessionPointer> sessions_;
  SubscriberId last_id_ = 0;
  std::size_t unfinished_requests_ = 0;  // connections whose request has not been read whole
  // The unanswered done of the last changes_arrived(); empty unless reading waits for purges to expire.
  std::function<void(bool)> pending_done_;
  std::uint64_t bytes_given_ = 0, writes_ = 0;
};

}  // namespace hareramp::distribution
