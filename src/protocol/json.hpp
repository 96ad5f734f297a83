// JSON values as the configuration and the change stream need them: parsed from a complete text, with bounded
// nesting depth. A number keeps its text, so that serialize() writes it unchanged.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hareramp::protocol {

class Json {
 public:
  enum class Kind { kNull, kBool, kNumber, kString, kArray, kObject };

  // Nothing if the text is not exactly one JSON value.
  static std::optional<Json> parse(std::string_view text);

  Kind kind() const { return kind_; }
  bool is_object() const { return kind_ == Kind::kObject; }
  bool is_array() const { return kind_ == Kind::kArray; }

  // The member with that name, or a null value.
  const Json& operator[](std::string_view name) const;
  const std::vector<Json>& items() const { return items_; }
  const std::vector<std::pair<std::string, Json>>& members() const { return members_; }

  // The string, the number as written, or "true" or "false"; empty for every other kind.
  const std::string& text() const { return text_; }
  // The fallback if the value is not a number.
  double number(double fallback) const;
  // Nothing if the value is not a whole number.
  std::optional<long long> integer() const;
  bool boolean() const { return kind_ == Kind::kBool && text_ == "true"; }

 private:
  friend class JsonReader;
  Kind kind_ = Kind::kNull;
  std::string text_;
  std::vector<Json> items_;
  std::vector<std::pair<std::string, Json>> members_;
};

// The value as JSON text without whitespace; members keep their order and numbers their digits.
std::string serialize(const Json& value);

}  // namespace hareramp::protocol
