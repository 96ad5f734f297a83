// The information elements that the director exports, with number, size, type and source. The enterprise
// elements are specific to hareramp; RFC 5610 records describe them to collectors. No I/O.
#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace hareramp::ipfix {

// Private enterprise number of RFC 5103: an IANA element of the reverse direction.
constexpr std::uint32_t kReversePen = 29305;
// Field length in a template that means: each record carries the length of this field (RFC 7011, 7).
constexpr std::uint16_t kVariableLength = 65535;

// One field of a template.
struct Field {
  std::uint16_t id = 0, length = 0;
  std::uint32_t enterprise = 0;  // private enterprise number; 0: an element of the IANA registry
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

// An enterprise element of hareramp, as RFC 5610 describes it.
struct EnterpriseElement {
  std::uint16_t id;
  std::string_view name;
  DataType type;
  Semantics semantics;
  Units units;
};

// Element numbers under the operator's enterprise number. The meaning of an assigned number never changes.
enum ElementId : std::uint16_t {
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

extern const std::array<EnterpriseElement, 13> kEnterpriseElements;

}  // namespace hareramp::ipfix
