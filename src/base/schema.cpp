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

// What a part of the schema asks for, in words.
std::string wanted_by(const json& schema) {
  if (schema.contains("enum")) {
    std::string words = "one of";
    for (const json& one : schema["enum"]) words += (words == "one of" ? " " : ", ") + one.dump();
    return words;
  }
  const std::string type = schema.value("type", "a value");
  std::string words = type == "integer"   ? "a whole number"
                      : type == "number"  ? "a number"
                      : type == "boolean" ? "true or false"
                      : type == "string"  ? "a text"
                      : type == "array"   ? "a list"
                      : type == "object"  ? "an object"
                                          : type;
  if (schema.contains("minimum")) words += " from " + schema["minimum"].dump();
  if (schema.contains("maximum")) words += " to " + schema["maximum"].dump();
  if (schema.contains("minLength")) words += " of at least " + schema["minLength"].dump() + " characters";
  if (schema.contains("maxLength")) words += " of at most " + schema["maxLength"].dump() + " characters";
  if (schema.contains("minItems")) words += " of at least " + schema["minItems"].dump() + " entries";
  if (schema.contains("maxItems")) words += " of at most " + schema["maxItems"].dump() + " entries";
  if (schema.contains("pattern") && schema.contains("description"))
    words += ": " + schema["description"].get<std::string>();
  return words;
}

// valijson names a place as <root>["a"][0]; here it becomes /a/0.
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

// The part of the schema for a place in the document.
const json& part_for(const json& schema, const std::string& pointer) {
  const json* part = &schema;
  std::istringstream steps(pointer);
  for (std::string step; std::getline(steps, step, '/');) {
    if (step.empty()) continue;
    if (part->contains("items") && step.find_first_not_of("0123456789") == std::string::npos)
      part = &(*part)["items"];
    else if (part->contains("properties") && (*part)["properties"].contains(step))
      part = &(*part)["properties"][step];
    if (part->contains("$ref"))
      part = &schema.at(json::json_pointer((*part)["$ref"].get<std::string>().substr(1)));
  }
  return *part;
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
  // The innermost place that is wrong.
  valijson::ValidationResults::Error error, deepest;
  while (results.popError(error))
    if (error.context.size() > deepest.context.size()) deepest = error;
  const std::string pointer = pointer_of(deepest.context);
  const json& value = document.at(json::json_pointer(pointer));
  const json& part = part_for(schema_json, pointer);
  if (value.is_object() && part.contains("properties")) {
    for (const auto& [key, member] : value.items()) {
      if (part["properties"].contains(key)) continue;
      std::string known;
      for (const auto& [name, ignored] : part["properties"].items())
        known += (known.empty() ? "" : ", ") + name;
      return SchemaViolation{std::string(pointer).append("/").append(key), "an unknown key",
                             "one of " + known};
    }
    if (part.contains("required"))
      for (const json& name : part["required"])
        if (!value.contains(name.get<std::string>()))
          return SchemaViolation{pointer + "/" + name.get<std::string>(), "nothing",
                                 wanted_by(part["properties"][name.get<std::string>()])};
  }
  return SchemaViolation{pointer, describe_value(value), wanted_by(part)};
}

}  // namespace hareramp
