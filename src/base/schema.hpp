// Validates a JSON document against a JSON Schema (draft 7, through valijson) and reports one violation:
// where it is, what was found and what the schema requires. No I/O.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

namespace hareramp {

struct SchemaViolation {
  std::string pointer;  // JSON pointer (RFC 6901); empty: the whole document
  std::string found, wanted;
  // FILE: at /a/0: found X; wanted Y
  std::string line(const std::string& file) const;
};

// The violation at the most deeply nested value, or nothing if the document is valid.
std::optional<SchemaViolation> first_violation(const nlohmann::json& schema, const nlohmann::json& document);

// A short description of a value for error messages.
std::string describe_value(const nlohmann::json& value);

}  // namespace hareramp
