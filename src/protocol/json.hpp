// JSON as the configuration and the change log need it: parsed whole, bounded in depth. A number keeps its
// text, so that what is passed on stays as it was written.
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

  // Nothing if the text is not one whole JSON value.
  static std::optional<Json> parse(std::string_view text);

  Kind kind() const { return kind_; }
  bool is_object() const { return kind_ == Kind::kObject; }
  bool is_array() const { return kind_ == Kind::kArray; }

  // The member of that name, or a null value.
  const Json& operator[](std::string_view name) const;
  const std::vector<Json>& items() const { return items_; }
  const std::vector<std::pair<std::string, Json>>& members() const { return members_; }

  // Text, a number as written, true or false; empty for everything else.
  const std::string& text() const { return text_; }
  double number(double fallback) const;
  std::optional<long long> integer() const;
  bool boolean() const { return kind_ == Kind::kBool && text_ == "true"; }

 private:
  friend class JsonReader;
  Kind kind_ = Kind::kNull;
  std::string text_;
  std::vector<Json> items_;
  std::vector<std::pair<std::string, Json>> members_;
};

// The value as JSON text without spaces; members keep their order, numbers their digits.
std::string serialize(const Json& value);

}  // namespace hareramp::protocol
