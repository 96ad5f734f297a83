// Holds a JSON document against a JSON Schema (draft 7, through valijson), and says of the first slip where
// it is, what is there and what is wanted. Pure.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

namespace hareramp {

struct SchemaViolation {
  std::string pointer;  // RFC 6901; empty: the document itself
  std::string found, wanted;
  // FILE: at /a/0: found X; wanted Y
  std::string line(const std::string& file) const;
};

std::optional<SchemaViolation> first_violation(const nlohmann::json& schema, const nlohmann::json& document);

// A value in a few words, for such a line.
std::string describe_value(const nlohmann::json& value);

}  // namespace hareramp
