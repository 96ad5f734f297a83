#include "fleet_size/site.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>

namespace hareramp::fleet_size {

namespace {

constexpr int kSecondByte = 77;  // nodes have addresses 127.77.x.y
constexpr int kNodesPerThirdByte = 250;
constexpr int kDescriptors = 512;  // of the director
constexpr int kMemoryMb = 48;
constexpr double kParentWeight = 64.0;
constexpr double kOriginWeight = 1000.0;

std::string zone_name(int zone) { return fmt::format("edge{}", zone); }

std::string_view kind_name(NodeKind kind) {
  switch (kind) {
    case NodeKind::kCache:
      return "cache";
    case NodeKind::kParent:
      return "parent";
    case NodeKind::kOrigin:
      return "origin";
  }
  return "";
}

}  // namespace

Site::Site(int nodes, Growth growth) {
  const int factor = std::max(1, nodes / kUsualNodes);
  const bool smaller = growth == Growth::kSmallerNodes;
  growth_factor_ = smaller ? 1 : factor;
  const double weight = smaller ? kUsualWeight / factor : kUsualWeight;
  nodes_.push_back({"origin", "hub", NodeKind::kOrigin, kOriginWeight});
  for (int parent = 0; parent < nodes / kNodesPerParent; ++parent)
    nodes_.push_back({fmt::format("parent-{:03}", parent), "hub", NodeKind::kParent, kParentWeight});
  for (int cache = 0; static_cast<int>(nodes_.size()) < nodes; ++cache) {
    const int zone = cache % kZones;
    nodes_.push_back({fmt::format("cache-{:04}", cache), zone_name(zone), NodeKind::kCache, weight});
    if (zone == 0) ++own_zone_caches_;
  }
}

std::string Site::address_of(int node, std::uint16_t port) {
  return fmt::format("127.{}.{}.{}:{}", kSecondByte, node / kNodesPerThirdByte, node % kNodesPerThirdByte + 1,
                     port);
}

std::optional<int> Site::node_at(const transport::Address& address) {
  const auto bytes = address.bytes();
  if (bytes.size() != 4 || bytes[0] != 127 || bytes[1] != kSecondByte || bytes[3] == 0) return {};
  return bytes[2] * kNodesPerThirdByte + bytes[3] - 1;
}

std::string Site::entry(int node, std::uint16_t port, std::string_view state) const {
  const SiteNode& listed = nodes_[static_cast<std::size_t>(node)];
  return fmt::format(
      R"({{"id":"{}","addr":"{}","zone":"{}","kind":"{}","cell":0,"state":"{}","weight":{},"started_ms":0}})",
      listed.id, address_of(node, port), listed.zone, kind_name(listed.kind), state, listed.weight);
}

std::string Site::configuration(const std::string& listen, const std::string& change_source,
                                std::uint16_t port) const {
  std::vector<std::string> entries;
  entries.reserve(nodes_.size());
  for (int node = 0; node < static_cast<int>(nodes_.size()); ++node)
    entries.push_back(entry(node, port, "active"));
  std::vector<std::string> zones = {"\"hub\""};
  std::vector<int> seats = {0};
  for (int zone = 0; zone < kZones; ++zone) {
    zones.push_back(fmt::format("\"{}\"", zone_name(zone)));
    seats.push_back(growth_factor_);
  }
  return fmt::format(
             R"({{"name":"fleet-size","listen":"{}","seed":"8c1f30d27a5be964","changelog":"{}",
"limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},
"known":{{"seq":1,"results":[{{"seq":1,"fleet":{{"version":1,"full":true,"servers":[{}]}}}}]}},)",
             listen, change_source, kMemoryMb, kDescriptors, fmt::join(entries, ",")) +
         fmt::format(
             R"("settings":{{"Balancers":{},"Kinds":["cache","parent","origin"],"Zones":[{}],"Locality":1,
"MembershipMode":"push","Weights":"nominal",
"Contract":{{"ColdS":10.0,"DrainGraceS":1.0,"FallMultiple":2.0,"FallS":3.0,"StartCapacity":0.2}},
"FamilyInfo":{{"CanJoin":false,"Direct":true,"GoesThrough":[false],"GoodForS":[0.0],"OriginKind":2,
"PeersFill":"none","PurgeDoneS":6.0,"SeatsByZone":[{}],"ShieldKind":1,"StaleForS":[0.0],"StreamKbPerS":{},
"Tells":"all"}},
"Permissions":{{"Cancel":true,"ConnIdleS":15.0,"ConnectTimeoutS":0.4,"MaxAttempts":6,"MaxRetryAfterS":2.0,
"RetryAfter":true,"SecondCopies":true,"StreamsPerConn":100}},
"RequestClasses":[{{"Name":"segment","AimStretch":2.0,"DeadlineS":3.0,"Effect":"retryable","PromiseS":0.5}}]}}}})",
             kZones * growth_factor_, fmt::join(zones, ","), fmt::join(seats, ","), kStreamKbPerS);
}

}  // namespace hareramp::fleet_size
