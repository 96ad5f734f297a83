// What the kernel has counted of a TCP connection since it came up (TCP_INFO, tcp(7)).
#pragma once

#include <cstdint>
#include <optional>

namespace hareramp::transport {

struct TcpCounts {
  std::uint64_t segments_out = 0, segments_in = 0;  // all of them, handshake and acknowledgements included
  std::uint64_t bytes_out = 0;                      // of payload, repeats included
  std::uint64_t bytes_in = 0;                       // of payload, each once
};

// Nothing if the descriptor is no TCP connection.
std::optional<TcpCounts> tcp_counts(int descriptor);

}  // namespace hareramp::transport
