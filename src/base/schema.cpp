#include "base/schema.hpp"

#include <fmt/format.h>

#include <nlohmann/json.hpp>
#include <sstream>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>
#include <vector>

namespace hareramp {

namespace {

using nlohmann::json;

// Describes the values that a subschema accepts.
std::string describe_requirement(const json& schema) {
  if (schema.contains("enum")) {
    std::string text = "one of";
    for (const json& allowed : schema["enum"]) text += (text == "one of" ? " " : ", ") + allowed.dump();
    return text;
  }
  const std::string type = schema.value("type", "a value");
  std::string text = type == "integer"   ? "a whole number"
                     : type == "number"  ? "a number"
                     : type == "boolean" ? "true or false"
                     : type == "string"  ? "a text"
                     : type == "array"   ? "a list"
                     : type == "object"  ? "an object"
                                         : type;
  if (schema.contains("minimum")) text += " from " + schema["minimum"].dump();
  if (schema.contains("maximum")) text += " to " + schema["maximum"].dump();
  if (schema.contains("minLength")) text += " of at least " + schema["minLength"].dump() + " characters";
  if (schema.contains("maxLength")) text += " of at most " + schema["maxLength"].dump() + " characters";
  if (schema.contains("minItems")) text += " of at least " + schema["minItems"].dump() + " entries";
  if (schema.contains("maxItems")) text += " of at most " + schema["maxItems"].dump() + " entries";
  if (schema.contains("pattern") && schema.contains("description"))
    text += ": " + schema["description"].get<std::string>();
  return text;
}

// Converts valijson's path to a value, as in <root>["a"][0], to a JSON pointer, as in /a/0.
std::string pointer_of(const std::vector<std::string>& context) {
  std::string pointer;
  for (std::string part : context) {
    if (part == "<root>") continue;
    if (part.size() >= 2 && part.front() == '[' && part.back() == ']') part = part.substr(1, part.size() - 2);
    if (part.size() >= 2 && part.front() == '"' && part.back() == '"') part = part.substr(1, part.size() - 2);
    std::string escaped;
    for (const char c : part) escaped += c == '~' ? "~0" : c == '/' ? "~1" : std::string(1, c);
    pointer += "/" + escaped;
  }
  return pointer;
}

// The subschema that applies to the value at a JSON pointer in the document.
const json& subschema_at(const json& schema, const std::string& pointer) {
  const json* subschema = &schema;
  std::istringstream tokens(pointer);
  for (std::string token; std::getline(tokens, token, '/');) {
    if (token.empty()) continue;
    if (subschema->contains("items") && token.find_first_not_of("0123456789") == std::string::npos)
      subschema = &(*subschema)["items"];
    else if (subschema->contains("properties") && (*subschema)["properties"].contains(token))
      subschema = &(*subschema)["properties"][token];
    if (subschema->contains("$ref"))
      subschema = &schema.at(json::json_pointer((*subschema)["$ref"].get<std::string>().substr(1)));
  }
  return *subschema;
}

}  // namespace

std::string describe_value(const json& value) {
  std::string text = value.is_object() ? "an object" : value.is_array() ? "a list" : value.dump();
  if (text.size() > 80) text = text.substr(0, 77) + "...";
  return text;
}

std::string SchemaViolation::line(const std::string& file) const {
  return fmt::format("{}: at {}: found {}; wanted {}", file, pointer.empty() ? "/" : pointer, found, wanted);
}

std::optional<SchemaViolation> first_violation(const json& schema_json, const json& document) {
  valijson::Schema schema;
  valijson::SchemaParser parser;
  const valijson::adapters::NlohmannJsonAdapter schema_adapter(schema_json), document_adapter(document);
  parser.populateSchema(schema_adapter, schema);
  valijson::Validator validator(valijson::Validator::kStrongTypes);
  valijson::ValidationResults results;
  if (validator.validate(schema, document_adapter, &results)) return {};
  // Report the most deeply nested violation.
  valijson::ValidationResults::Error error, deepest;
  while (results.popError(error))
    if (error.context.size() > deepest.context.size()) deepest = error;
  const std::string pointer = pointer_of(deepest.context);
  const json& value = document.at(json::json_pointer(pointer));
  const json& subschema = subschema_at(schema_json, pointer);
  if (value.is_object() && subschema.contains("properties")) {
    for (const auto& [key, member] : value.items()) {
      if (subschema["properties"].contains(key)) continue;
      std::string known;
      for (const auto& [name, ignored] : subschema["properties"].items())
        known += (known.empty() ? "" : ", ") + name;
      return SchemaViolation{std::string(pointer).append("/").append(key), "an unknown key",
                             "one of " + known};
    }
    if (subschema.contains("required"))
      for (const json& name : subschema["required"])
        if (!value.contains(name.get<std::string>()))
          return SchemaViolation{pointer + "/" + name.get<std::string>(), "nothing",
                                 describe_requirement(subschema["properties"][name.get<std::string>()])};
  }
  return SchemaViolation{pointer, describe_value(value), describe_requirement(subschema)};
}

}  // namespace hareramp
