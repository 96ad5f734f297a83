// A client whose bytes never end: reads from it, which io_failures_test.cpp takes over, never have to wait.
#pragma once

#include <cstdint>
#include <string>
#include <utility>

#include "transport/socket.hpp"

namespace hareramp::routing {

// While an EndlessInput exists, the director reads these bytes from the client at this port, the second part
// again and again, without ever having to wait.
class EndlessInput {
 public:
  static inline const EndlessInput* in_use = nullptr;
  EndlessInput(std::uint16_t port, std::string start, std::string repeated)
      : port_(port), start_(std::move(start)), repeated_(std::move(repeated)) {
    in_use = this;
  }
  ~EndlessInput() { in_use = nullptr; }
  EndlessInput(const EndlessInput&) = delete;
  EndlessInput& operator=(const EndlessInput&) = delete;
  bool is_read_from(int descriptor) const {
    const auto peer = transport::Address::peer(descriptor);
    return peer && peer->port() == port_;
  }
  std::size_t read(char* bytes, std::size_t size) const {
    for (std::size_t i = 0; i < size; ++i, ++position_)
      bytes[i] = position_ < start_.size() ? start_[position_]
                                           : repeated_[(position_ - start_.size()) % repeated_.size()];
    return size;
  }

 private:
  std::uint16_t port_;
  std::string start_, repeated_;
  mutable std::size_t position_ = 0;
};

}  // namespace hareramp::routing
