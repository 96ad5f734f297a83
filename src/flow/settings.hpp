// Settings of flow export. program/operator.cpp reads them from the operator's file and fills in the
// defaults. Times are in seconds, sizes in bytes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "base/networks.hpp"
#include "transport/socket.hpp"

namespace hareramp::flow {

enum class Protocol : std::uint8_t { kIpfix, kNetflow9 };
enum class Transport : std::uint8_t { kUdp, kTcp };
enum class Mode : std::uint8_t { kDuplicate, kFailover };

struct CollectorSettings {
  transport::Address address;
  Transport transport = Transport::kUdp;
  Protocol protocol = Protocol::kIpfix;
  Mode mode = Mode::kDuplicate;
  bool operator==(const CollectorSettings&) const = default;
};

struct SpoolSettings {
  bool enabled = false;
  std::string directory;
  std::size_t bytes = 0;
  double age = 0, replay_per_s = 0;
  bool operator==(const SpoolSettings&) const = default;
};

struct ExportSettings {
  bool enabled = false;
  // read at start only
  std::uint32_t observation_domain = 1, enterprise_number = 0;
  std::size_t max_flows = 0, message_bytes = 0, queue_bytes = 0;
  SpoolSettings spool;
  // read at start and on each reload
  double active_timeout = 0, idle_timeout = 0, template_resend = 0, resend = 0;
  std::size_t template_resend_messages = 0;
  std::vector<CollectorSettings> collectors;
  std::shared_ptr<const Networks> networks;  // never null
};

}  // namespace hareramp::flow
