// The table of networks: longest-prefix match for IPv4 and IPv6, and malformed or duplicate prefixes.
#include "base/networks.hpp"

#include <doctest/doctest.h>

using hareramp::Networks;

namespace {
std::string find(const Networks& networks, const char* address) {
  const std::string* name = networks.find(boost::asio::ip::make_address(address));
  return name ? *name : "-";
}
}  // namespace

TEST_CASE("find() returns the longest matching prefix, for IPv4 and IPv6") {
  Networks networks;
  for (const auto& [prefix, name] : {std::pair("10.0.0.0/8", "all"),
                                     {"10.1.0.0/16", "north"},
                                     {"10.1.2.0/24", "dock"},
                                     {"10.1.2.3/32", "till"},
                                     {"2001:db8::/32", "six"},
                                     {"2001:db8:1::/48", "north"}})
    CHECK_FALSE(networks.add(prefix, name));
  CHECK(networks.size() == 6);
  CHECK(find(networks, "10.200.0.1") == "all");
  CHECK(find(networks, "10.1.200.1") == "north");
  CHECK(find(networks, "10.1.2.4") == "dock");
  CHECK(find(networks, "10.1.2.3") == "till");
  CHECK(find(networks, "11.0.0.1") == "-");
  CHECK(find(networks, "2001:db8:2::1") == "six");
  CHECK(find(networks, "2001:db8:1::1") == "north");
  CHECK(find(networks, "2002::1") == "-");
  CHECK(find(networks, "::ffff:10.1.2.3") == "till");
  Networks all;
  CHECK_FALSE(all.add("0.0.0.0/0", "any"));
  CHECK(find(all, "203.0.113.9") == "any");
  CHECK(find(all, "::1") == "-");
}

TEST_CASE("malformed and duplicate prefixes are rejected with a reason") {
  Networks networks;
  CHECK_FALSE(networks.add("10.1.0.0/16", "a"));
  CHECK(networks.add("10.1.0.0/16", "b").value().find("twice") != std::string::npos);
  CHECK(networks.add("10.1.0.1/16", "b").value().find("the network is 10.1.0.0/16") != std::string::npos);
  for (const char* malformed :
       {"", "10.1.0.0", "10.1.0.0/33", "10.1/16", "2001:db8::/129", "host/8", "10.1.0.0/-1"})
    CHECK(networks.add(malformed, "b").has_value());
  CHECK(networks.size() == 1);
}
