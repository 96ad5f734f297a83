// Sets of IP addresses: which of the operator's named networks an address belongs to, by longest prefix, for
// IPv4 and IPv6. Addresses and prefixes are Boost.Asio's. Pure; built once and asked often.
#pragma once

#include <boost/asio/ip/address.hpp>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace hareramp {

class Networks {
 public:
  // Adds 10.1.0.0/16 or 2001:db8::/32 under a name. Says what is there and wrong with it, or nothing.
  // Prefixes may lie within one another; the same one twice is refused, also under the same name, and so are
  // bits set behind the prefix, which are commonly a slip.
  std::optional<std::string> add(std::string_view prefix, std::string_view name);
  // The name of the longest prefix that holds the address, or nothing. An IPv4 address mapped into IPv6
  // (RFC 4291, 2.5.5.2) counts as the IPv4 address that it is.
  const std::string* find(const boost::asio::ip::address& address) const;
  std::size_t size() const;

 private:
  // By length, the longest first: a look-up costs one search for each length in use.
  template <class Address>
  using ByLength = std::map<unsigned, std::map<Address, std::string>, std::greater<>>;
  ByLength<boost::asio::ip::address_v4> v4_;
  ByLength<boost::asio::ip::address_v6> v6_;
};

}  // namespace hareramp
