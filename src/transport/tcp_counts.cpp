#include "transport/tcp_counts.hpp"

#include <linux/tcp.h>  // the C library's header lacks the newer fields and conflicts with this one
#include <netinet/in.h>
#include <sys/socket.h>

namespace hareramp::transport {

std::optional<TcpCounts> tcp_counts(int descriptor) {
  tcp_info info{};
  socklen_t size = sizeof info;
  if (getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return {};
  return TcpCounts{info.tcpi_segs_out, info.tcpi_segs_in, info.tcpi_bytes_sent, info.tcpi_bytes_received};
}

}  // namespace hareramp::transport
