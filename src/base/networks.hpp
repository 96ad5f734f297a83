// A table of the operator's named networks, looked up by longest-prefix match, for IPv4 and IPv6. Addresses
// and prefixes are Boost.Asio's. No I/O; built once and read often.
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
  // Adds a network such as 10.1.0.0/16 or 2001:db8::/32 under a name. Returns a description of the error, or
  // nothing. Prefixes may overlap. A prefix that is already in the table is an error, also under the same
  // name, and so are host bits that are not zero, which are usually a typing error.
  std::optional<std::string> add(std::string_view prefix, std::string_view name);
  // The name of the longest prefix that contains the address, or nullptr. An IPv4-mapped IPv6 address
  // (RFC 4291, 2.5.5.2) is looked up as the IPv4 address.
  const std::string* find(const boost::asio::ip::address& address) const;
  std::size_t size() const;

 private:
  // By prefix length, longest first: a lookup costs one search for each length in use.
  template <class Address>
  using ByLength = std::map<unsigned, std::map<Address, std::string>, std::greater<>>;
  ByLength<boost::asio::ip::address_v4> v4_;
  ByLength<boost::asio::ip::address_v6> v6_;
};

}  // namespace hareramp
