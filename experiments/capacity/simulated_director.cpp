#include "capacity/simulated_director.hpp"

#include <fmt/format.h>

namespace hareramp::capacity {

namespace {
constexpr double kPurgeDeadline = 2.3;  // s from its issue until a purge must be in force everywhere
}  // namespace

std::string director_configuration(const DirectorParameters& parameters) {
  return fmt::format(
      R"({{"name":"director","listen":"{0}","seed":"8c1f30d27a5be964","changelog":"{1}",
"limits":{{"cores":1.0,"memory_mb":{2},"sockets":{3}}},
"known":{{"seq":0,"results":[{4}]}},
"settings":{{"Balancers":{5},"Kinds":["cache","parent","origin"],"Zones":["hub","edge"],"Locality":1,
"MembershipMode":"push","Weights":"nominal",
"Contract":{{"ColdS":60.0,"DrainGraceS":1.0,"FallMultiple":2.0,"FallS":3.0,"StartCapacity":0.1}},
"FamilyInfo":{{"CanJoin":false,"Direct":true,"GoesThrough":[false,true],"GoodForS":[0.0,0.0],"OriginKind":2,
"ParentColdFrom":0.1,"ParentLimitFactor":2.0,"ParentWarmsInS":60.0,"PeersFill":"none","PurgeDoneS":6.0,
"PurgeSlackS":0.5,"SeatsByZone":[0,{5}],"ShieldKind":1,"StaleForS":[0.0,0.0],"StreamKbPerS":4600.0,"Tells":"all"}},
"Permissions":{{"Cancel":true,"ConnIdleS":15.0,"ConnectTimeoutS":0.4,"MaxAttempts":6,"MaxRetryAfterS":2.0,
"RetryAfter":true,"SecondCopies":true,"StreamsPerConn":100}},
"RequestClasses":[{{"Name":"segment","AimStretch":2.0,"DeadlineS":3.0,"Effect":"retryable","PromiseS":1.0}},
{{"Name":"note","DeadlineS":3.0,"Effect":"fragile","PromiseS":0.8}}]}}}})",
      parameters.listen, parameters.change_stream, parameters.memory_mb, parameters.descriptors,
      parameters.known.empty()
          ? ""
          : fmt::format(R"({{"seq":0,"fleet":{{"version":1,"full":true,"servers":[{}]}}}})",
                        parameters.known),
      parameters.directors);
}

SimulatedDirector::SimulatedDirector(transport::Scheduler& scheduler, const program::Config& config, Log& log,
                                     std::uint64_t seed, std::vector<distribution::Endpoint> endpoints,
                                     distribution::SubscriptionOptions options)
    : config_(config),
      module_(scheduler, config.limits, counters_, log, config.names, config.settings, seed),
      recorder_(module_, kPurgeDeadline),
      changes_(scheduler, config.limits, counters_, log, std::move(endpoints), config.last_known_event,
               recorder_, options) {}

void SimulatedDirector::start() {
  module_.start();
  changes_.start(config_.known);
}

}  // namespace hareramp::capacity
