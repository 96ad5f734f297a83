#include "protocol/json.hpp"

#include <charconv>
#include <cstdint>

namespace hareramp::protocol {

namespace {
constexpr int kDeepest = 32;  // levels: what we read has six

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
  explicit JsonReader(std::string_view text) : left_(text) {}

  std::optional<Json> whole() {
    Json value;
    if (!read(value, 0)) return {};
    skip_space();
    if (!left_.empty()) return {};
    return value;
  }

 private:
  void skip_space() {
    while (!left_.empty() && std::string_view(" \t\r\n").find(left_.front()) != std::string_view::npos)
      left_.remove_prefix(1);
  }
  bool take(char c) {
    if (left_.empty() || left_.front() != c) return false;
    left_.remove_prefix(1);
    return true;
  }
  bool take_word(std::string_view word) {
    if (!left_.starts_with(word)) return false;
    left_.remove_prefix(word.size());
    return true;
  }

  bool read(Json& value, int depth) {
    if (depth > kDeepest) return false;
    skip_space();
    if (left_.empty()) return false;
    switch (left_.front()) {
      case '{':
        return read_object(value, depth);
      case '[':
        return read_list(value, depth);
      case '"':
        value.kind_ = Json::Kind::kString;
        return read_text(value.text_);
      case 't':
      case 'f':
        value.kind_ = Json::Kind::kBool;
        value.text_ = left_.front() == 't' ? "true" : "false";
        return take_word(value.text_);
      case 'n':
        return take_word("null");
      default:
        value.kind_ = Json::Kind::kNumber;
        return read_number(value.text_);
    }
  }

  bool read_object(Json& value, int depth) {
    value.kind_ = Json::Kind::kObject;
    take('{');
    skip_space();
    if (take('}')) return true;
    for (;;) {
      auto& [name, member] = value.members_.emplace_back();
      skip_space();
      if (left_.empty() || left_.front() != '"' || !read_text(name)) return false;
      skip_space();
      if (!take(':') || !read(member, depth + 1)) return false;
      skip_space();
      if (take('}')) return true;
      if (!take(',')) return false;
    }
  }

  bool read_list(Json& value, int depth) {
    value.kind_ = Json::Kind::kArray;
    take('[');
    skip_space();
    if (take(']')) return true;
    for (;;) {
      if (!read(value.items_.emplace_back(), depth + 1)) return false;
      skip_space();
      if (take(']')) return true;
      if (!take(',')) return false;
    }
  }

  bool read_number(std::string& out) {
    std::size_t at = 0;
    const auto digits = [&] {
      const std::size_t from = at;
      while (at < left_.size() && is_digit(left_[at])) ++at;
      return at > from;
    };
    if (at < left_.size() && left_[at] == '-') ++at;
    const std::size_t first = at;
    if (!digits() || (left_[first] == '0' && at > first + 1)) return false;
    if (at < left_.size() && left_[at] == '.') {
      ++at;
      if (!digits()) return false;
    }
    if (at < left_.size() && (left_[at] == 'e' || left_[at] == 'E')) {
      ++at;
      if (at < left_.size() && (left_[at] == '+' || left_[at] == '-')) ++at;
      if (!digits()) return false;
    }
    out = left_.substr(0, at);
    left_.remove_prefix(at);
    return true;
  }

  bool read_hex(std::uint32_t& code) {
    if (left_.size() < 4) return false;
    const auto [end, error] = std::from_chars(left_.data(), left_.data() + 4, code, 16);
    if (error != std::errc() || end != left_.data() + 4) return false;
    left_.remove_prefix(4);
    return true;
  }

  bool read_text(std::string& out) {
    take('"');
    while (!left_.empty()) {
      const char c = left_.front();
      left_.remove_prefix(1);
      if (c == '"') return true;
      if (static_cast<unsigned char>(c) < 0x20) return false;
      if (c != '\\') {
        out += c;
        continue;
      }
      if (left_.empty()) return false;
      const char escaped = left_.front();
      left_.remove_prefix(1);
      constexpr std::string_view kNames = "\"\\/bfnrt", kMeant = "\"\\/\b\f\n\r\t";
      if (const auto place = kNames.find(escaped); place != std::string_view::npos) {
        out += kMeant[place];
      } else if (escaped != 'u' || !read_escape(out)) {
        return false;
      }
    }
    return false;
  }

  bool read_escape(std::string& out) {
    std::uint32_t code = 0, low = 0;
    if (!read_hex(code) || (code >= 0xdc00 && code < 0xe000)) return false;
    if (code >= 0xd800 && code < 0xdc00) {
      if (!take('\\') || !take('u') || !read_hex(low) || low < 0xdc00 || low >= 0xe000) return false;
      code = 0x10000 + ((code - 0xd800) << 10) + (low - 0xdc00);
    }
    append_utf8(out, code);
    return true;
  }

  std::string_view left_;
};

std::optional<Json> Json::parse(std::string_view text) { return JsonReader(text).whole(); }

const Json& Json::operator[](std::string_view name) const {
  static const Json kNothing;
  for (const auto& [key, member] : members_)
    if (key == name) return member;
  return kNothing;
}

namespace {

void append_quoted(std::string& out, std::string_view text) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  out += '"';
  for (const char c : text) {
    const auto code = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
      out += '\\';
      out += c;
    } else if (code < 0x20) {
      out += "\\u00";
      out += kDigits[code >> 4];
      out += kDigits[code & 15];
    } else {
      out += c;
    }
  }
  out += '"';
}

void append_text(std::string& out, const Json& value) {
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
      for (std::size_t place = 0; place < value.items().size(); ++place) {
        if (place > 0) out += ',';
        append_text(out, value.items()[place]);
      }
      out += ']';
      break;
    case Json::Kind::kObject:
      out += '{';
      for (std::size_t place = 0; place < value.members().size(); ++place) {
        if (place > 0) out += ',';
        append_quoted(out, value.members()[place].first);
        out += ':';
        append_text(out, value.members()[place].second);
      }
      out += '}';
      break;
  }
}

}  // namespace

std::string serialize(const Json& value) {
  std::string out;
  append_text(out, value);
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
