#include "protocol/json.hpp"

#include <charconv>
#include <cstdint>

namespace hareramp::protocol {

namespace {
constexpr int kMaxDepth = 32;  // levels of nesting; the texts that the director reads have six

bool is_digit(char c) { return c >= '0' && c <= '9'; }

void append_utf8(std::string& out, std::uint32_t code) {
  if (code < 0x80) {
    out += static_cast<char>(code);
  } else if (code < 0x800) {
    out += static_cast<char>(0xc0 | (code >> 6));
    out += static_cast<char>(0x80 | (code & 0x3f));
  } else if (code < 0x10000) {
    out += static_cast<char>(0xe0 | (code >> 12));
    out += static_cast<char>(0x80 | ((code >> 6) & 0x3f));
    out += static_cast<char>(0x80 | (code & 0x3f));
  } else {
    out += static_cast<char>(0xf0 | (code >> 18));
    out += static_cast<char>(0x80 | ((code >> 12) & 0x3f));
    out += static_cast<char>(0x80 | ((code >> 6) & 0x3f));
    out += static_cast<char>(0x80 | (code & 0x3f));
  }
}
}  // namespace

class JsonReader {
 public:
  explicit JsonReader(std::string_view text) : rest_(text) {}

  std::optional<Json> read_document() {
    Json value;
    if (!read(value, 0)) return {};
    skip_space();
    if (!rest_.empty()) return {};
    return value;
  }

 private:
  void skip_space() {
    while (!rest_.empty() && std::string_view(" \t\r\n").find(rest_.front()) != std::string_view::npos)
      rest_.remove_prefix(1);
  }
  bool consume(char c) {
    if (rest_.empty() || rest_.front() != c) return false;
    rest_.remove_prefix(1);
    return true;
  }
  bool consume_literal(std::string_view literal) {
    if (!rest_.starts_with(literal)) return false;
    rest_.remove_prefix(literal.size());
    return true;
  }

  bool read(Json& value, int depth) {
    if (depth > kMaxDepth) return false;
    skip_space();
    if (rest_.empty()) return false;
    switch (rest_.front()) {
      case '{':
        return read_object(value, depth);
      case '[':
        return read_array(value, depth);
      case '"':
        value.kind_ = Json::Kind::kString;
        return read_string(value.text_);
      case 't':
      case 'f':
        value.kind_ = Json::Kind::kBool;
        value.text_ = rest_.front() == 't' ? "true" : "false";
        return consume_literal(value.text_);
      case 'n':
        return consume_literal("null");
      default:
        value.kind_ = Json::Kind::kNumber;
        return read_number(value.text_);
    }
  }

  bool read_object(Json& value, int depth) {
    value.kind_ = Json::Kind::kObject;
    consume('{');
    skip_space();
    if (consume('}')) return true;
    for (;;) {
      auto& [name, member] = value.members_.emplace_back();
      skip_space();
      if (rest_.empty() || rest_.front() != '"' || !read_string(name)) return false;
      skip_space();
      if (!consume(':') || !read(member, depth + 1)) return false;
      skip_space();
      if (consume('}')) return true;
      if (!consume(',')) return false;
    }
  }

  bool read_array(Json& value, int depth) {
    value.kind_ = Json::Kind::kArray;
    consume('[');
    skip_space();
    if (consume(']')) return true;
    for (;;) {
      if (!read(value.items_.emplace_back(), depth + 1)) return false;
      skip_space();
      if (consume(']')) return true;
      if (!consume(',')) return false;
    }
  }

  bool read_number(std::string& out) {
    std::size_t position = 0;
    const auto digits = [&] {
      const std::size_t start = position;
      while (position < rest_.size() && is_digit(rest_[position])) ++position;
      return position > start;
    };
    if (position < rest_.size() && rest_[position] == '-') ++position;
    const std::size_t first_digit = position;
    if (!digits() || (rest_[first_digit] == '0' && position > first_digit + 1)) return false;
    if (position < rest_.size() && rest_[position] == '.') {
      ++position;
      if (!digits()) return false;
    }
    if (position < rest_.size() && (rest_[position] == 'e' || rest_[position] == 'E')) {
      ++position;
      if (position < rest_.size() && (rest_[position] == '+' || rest_[position] == '-')) ++position;
      if (!digits()) return false;
    }
    out = rest_.substr(0, position);
    rest_.remove_prefix(position);
    return true;
  }

  bool read_four_hex_digits(std::uint32_t& code) {
    if (rest_.size() < 4) return false;
    const auto [end, error] = std::from_chars(rest_.data(), rest_.data() + 4, code, 16);
    if (error != std::errc() || end != rest_.data() + 4) return false;
    rest_.remove_prefix(4);
    return true;
  }

  bool read_string(std::string& out) {
    consume('"');
    while (!rest_.empty()) {
      const char c = rest_.front();
      rest_.remove_prefix(1);
      if (c == '"') return true;
      if (static_cast<unsigned char>(c) < 0x20) return false;
      if (c != '\\') {
        out += c;
        continue;
      }
      if (rest_.empty()) return false;
      const char escaped = rest_.front();
      rest_.remove_prefix(1);
      constexpr std::string_view kEscapes = "\"\\/bfnrt", kCharacters = "\"\\/\b\f\n\r\t";
      if (const auto index = kEscapes.find(escaped); index != std::string_view::npos) {
        out += kCharacters[index];
      } else if (escaped != 'u' || !read_unicode_escape(out)) {
        return false;
      }
    }
    return false;
  }

  bool read_unicode_escape(std::string& out) {
    std::uint32_t code = 0, low = 0;
    if (!read_four_hex_digits(code) || (code >= 0xdc00 && code < 0xe000)) return false;
    if (code >= 0xd800 && code < 0xdc00) {
      if (!consume('\\') || !consume('u') || !read_four_hex_digits(low) || low < 0xdc00 || low >= 0xe000)
        return false;
      code = 0x10000 + ((code - 0xd800) << 10) + (low - 0xdc00);
    }
    append_utf8(out, code);
    return true;
  }

  std::string_view rest_;
};

std::optional<Json> Json::parse(std::string_view text) { return JsonReader(text).read_document(); }

const Json& Json::operator[](std::string_view name) const {
  static const Json kNull;
  for (const auto& [key, member] : members_)
    if (key == name) return member;
  return kNull;
}

namespace {

void append_quoted(std::string& out, std::string_view text) {
  constexpr std::string_view kHexDigits = "0123456789abcdef";
  out += '"';
  for (const char c : text) {
    const auto code = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
      out += '\\';
      out += c;
    } else if (code < 0x20) {
      out += "\\u00";
      out += kHexDigits[code >> 4];
      out += kHexDigits[code & 15];
    } else {
      out += c;
    }
  }
  out += '"';
}

void append_value(std::string& out, const Json& value) {
  switch (value.kind()) {
    case Json::Kind::kNull:
      out += "null";
      break;
    case Json::Kind::kBool:
    case Json::Kind::kNumber:
      out += value.text();
      break;
    case Json::Kind::kString:
      append_quoted(out, value.text());
      break;
    case Json::Kind::kArray:
      out += '[';
      for (std::size_t index = 0; index < value.items().size(); ++index) {
        if (index > 0) out += ',';
        append_value(out, value.items()[index]);
      }
      out += ']';
      break;
    case Json::Kind::kObject:
      out += '{';
      for (std::size_t index = 0; index < value.members().size(); ++index) {
        if (index > 0) out += ',';
        append_quoted(out, value.members()[index].first);
        out += ':';
        append_value(out, value.members()[index].second);
      }
      out += '}';
      break;
  }
}

}  // namespace

std::string serialize(const Json& value) {
  std::string out;
  append_value(out, value);
  return out;
}

double Json::number(double fallback) const {
  double value = 0;
  if (kind_ != Kind::kNumber) return fallback;
  const auto [end, error] = std::from_chars(text_.data(), text_.data() + text_.size(), value);
  return error == std::errc() && end == text_.data() + text_.size() ? value : fallback;
}

std::optional<long long> Json::integer() const {
  long long value = 0;
  if (kind_ != Kind::kNumber) return {};
  const auto [end, error] = std::from_chars(text_.data(), text_.data() + text_.size(), value);
  if (error != std::errc() || end != text_.data() + text_.size()) return {};
  return value;
}

}  // namespace hareramp::protocol
