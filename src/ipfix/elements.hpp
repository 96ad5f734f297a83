// The information elements that the director exports, with number, size, type and source. The enterprise
// elements are our own; RFC 5610 records tell collectors of them. No I/O.
#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace hareramp::ipfix {

// Private enterprise number of RFC 5103: an IANA element of the reverse direction.
constexpr std::uint32_t kReversePen = 29305;
constexpr std::uint16_t kVariable = 65535;  // a length told in each record, RFC 7011, 7

// One field of a template.
struct Field {
  std::uint16_t id = 0, length = 0;
  std::uint32_t enterprise = 0;  // 0: IANA
  bool operator==(const Field&) const = default;
};

// informationElementDataType, RFC 5610, 3.1
enum class DataType : std::uint8_t {
  kUnsigned8 = 1,
  kUnsigned16 = 2,
  kUnsigned32 = 3,
  kUnsigned64 = 4,
  kString = 13
};
// informationElementSemantics, RFC 5610, 3.6
enum class Semantics : std::uint8_t { kDefault = 0, kDeltaCounter = 3, kTotalCounter = 2, kIdentifier = 4 };
// informationElementUnits, RFC 5610, 3.5
enum class Units : std::uint16_t { kNone = 0, kOctets = 2, kPackets = 3 };

struct OwnElement {
  std::uint16_t id;
  std::string_view name;
  DataType type;
  Semantics semantics;
  Units units;
};

// Numbers under the operator's enterprise number. A number, once given out, keeps its meaning.
enum Own : std::uint16_t {
  kLocationReference = 1,
  kNodeReference = 2,
  kRequestClassReference = 3,
  kNodeRole = 4,
  kRequestOutcome = 5,
  kCacheNote = 6,
  kRequestDeltaCount = 7,
  kPayloadOctetTotal = 8,
  kReversePayloadOctetTotal = 9,
  kNameReference = 10,
  kNameKind = 11,
  kReferenceName = 12,
  kRunNumber = 13
};

extern const std::array<OwnElement, 13> kOwnElements;

}  // namespace hareramp::ipfix
