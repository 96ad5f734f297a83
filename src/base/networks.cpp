#include "base/networks.hpp"

#include <boost/asio/ip/network_v4.hpp>
#include <boost/asio/ip/network_v6.hpp>

namespace hareramp {

namespace ip = boost::asio::ip;

namespace {

ip::address_v4 network_address(const ip::address_v4& address, unsigned length) {
  return ip::network_v4(address, static_cast<unsigned short>(length)).canonical().address();
}
ip::address_v6 network_address(const ip::address_v6& address, unsigned length) {
  return ip::network_v6(address, static_cast<unsigned short>(length)).canonical().address();
}

template <class Network, class Map>
std::optional<std::string> insert(const Network& network, std::string_view prefix, std::string_view name,
                                  Map& map) {
  if (network.canonical() != network)
    return "'" + std::string(prefix) + "', which has host bits set after its prefix (the network is " +
           network.canonical().to_string() + ")";
  if (!map[network.prefix_length()].emplace(network.address(), name).second)
    return "'" + std::string(prefix) + "', which is listed twice";
  return {};
}

template <class Address, class Map>
const std::string* longest_match(const Address& address, const Map& map) {
  for (const auto& [length, networks] : map) {
    const auto found = networks.find(network_address(address, length));
    if (found != networks.end()) return &found->second;
  }
  return nullptr;
}

}  // namespace

std::optional<std::string> Networks::add(std::string_view prefix, std::string_view name) {
  const std::string text(prefix);
  boost::system::error_code error;
  const auto v4 = ip::make_network_v4(text, error);
  if (!error) return insert(v4, prefix, name, v4_);
  const auto v6 = ip::make_network_v6(text, error);
  if (!error) return insert(v6, prefix, name, v6_);
  return "'" + text + "', which is not a network such as 10.1.0.0/16 or 2001:db8::/32";
}

const std::string* Networks::find(const ip::address& address) const {
  if (address.is_v4()) return longest_match(address.to_v4(), v4_);
  const ip::address_v6 v6 = address.to_v6();
  if (v6.is_v4_mapped()) return longest_match(ip::make_address_v4(ip::v4_mapped, v6), v4_);
  return longest_match(v6, v6_);
}

std::size_t Networks::size() const {
  std::size_t count = 0;
  for (const auto& [length, networks] : v4_) count += networks.size();
  for (const auto& [length, networks] : v6_) count += networks.size();
  return count;
}

}  // namespace hareramp
