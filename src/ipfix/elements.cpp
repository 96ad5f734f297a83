#include "ipfix/elements.hpp"

namespace hareramp::ipfix {

const std::array<EnterpriseElement, 13> kEnterpriseElements = {{
    {kLocationReference, "depotReference", DataType::kUnsigned32, Semantics::kIdentifier, Units::kNone},
    {kNodeReference, "nodeReference", DataType::kUnsigned32, Semantics::kIdentifier, Units::kNone},
    {kRequestClassReference, "gradeReference", DataType::kUnsigned32, Semantics::kIdentifier, Units::kNone},
    {kNodeRole, "nodePart", DataType::kUnsigned8, Semantics::kIdentifier, Units::kNone},
    {kRequestOutcome, "requestOutcome", DataType::kUnsigned8, Semantics::kIdentifier, Units::kNone},
    {kCacheNote, "cacheNote", DataType::kUnsigned8, Semantics::kIdentifier, Units::kNone},
    {kRequestDeltaCount, "requestDeltaCount", DataType::kUnsigned32, Semantics::kDeltaCounter, Units::kNone},
    {kPayloadOctetTotal, "payloadOctetTotalCount", DataType::kUnsigned64, Semantics::kTotalCounter,
     Units::kOctets},
    {kReversePayloadOctetTotal, "reversePayloadOctetTotalCount", DataType::kUnsigned64,
     Semantics::kTotalCounter, Units::kOctets},
    {kNameReference, "nameReference", DataType::kUnsigned32, Semantics::kIdentifier, Units::kNone},
    {kNameKind, "nameKind", DataType::kUnsigned8, Semantics::kIdentifier, Units::kNone},
    {kReferenceName, "referenceName", DataType::kString, Semantics::kDefault, Units::kNone},
    {kRunNumber, "runNumber", DataType::kUnsigned64, Semantics::kIdentifier, Units::kNone},
}};

}  // namespace hareramp::ipfix
