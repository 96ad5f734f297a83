// The kernel's counters of a TCP connection since it was established (TCP_INFO, tcp(7)).
#pragma once

#include <cstdint>
#include <optional>

namespace hareramp::transport {

struct TcpCounts {
  std::uint64_t segments_out = 0, segments_in = 0;  // including handshake and acknowledgements
  std::uint64_t bytes_out = 0;                      // payload, including retransmissions
  std::uint64_t bytes_in = 0;                       // payload, without retransmissions
};

// Nothing if the descriptor is not a TCP connection.
std::optional<TcpCounts> tcp_counts(int descriptor);

}  // namespace hareramp::transport
