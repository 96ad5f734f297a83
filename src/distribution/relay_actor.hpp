// The actor round a relay's core: follows the source, takes subscribers' connections, and carries out what
// the core returns. One thread; a subscriber that does not read holds nobody up. It decides nothing itself.
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
  // Listens at once; throws std::system_error where it can't.
  RelayActor(transport::Scheduler& scheduler, const Limits& limits, Counters& counters, Log& log,
             const RelaySettings& settings, std::uint64_t seed);
  ~RelayActor() override;

  void start();
  transport::Address address() const { return listener_.address(); }
  // Nobody is served any more, and every subscriber is closed: it goes on at another relay.
  void close();
  void set_sources(std::vector<Endpoint> sources) { subscription_.set_endpoints(std::move(sources)); }
  const Relay& relay() const { return relay_; }
  std::uint64_t bytes_given() const { return bytes_given_; }
  std::uint64_t writes() const { return writes_; }

  // From here on each call only posts.
  void known_change_arrived(protocol::Json change) override;
  void changes_arrived(std::vector<NumberedChange> changes, bool more_waits,
                       std::function<void(bool taken)> done) override;

 private:
  class Session;
  using SessionPointer = std::shared_ptr<Session>;

  static transport::Task<> live(RelayActor& self);
  static transport::Task<> accept_subscribers(RelayActor& self);
  static transport::Task<> tick(RelayActor& self);
  static transport::Task<> serve(RelayActor& self, SessionPointer session);
  static transport::Task<> write_rest(RelayActor& self, SessionPointer session, SharedBytes bytes,
                                      std::size_t from);
  void post(RelayEvent event);
  void step(const RelayEvent& event);
  void carry_out(const Accept& accept);
  void carry_out(const Refuse& refuse);
  void carry_out(const Give& give);
  void carry_out(const Close& close);
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
  std::function<void(bool)> done_later_;  // the source waits for room
  std::uint64_t bytes_given_ = 0, writes_ = 0;
};

}  // namespace hareramp::distribution
