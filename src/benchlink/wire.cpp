#include "wire.hpp"

#include <charconv>
#include <cmath>
#include <istream>
#include <map>
#include <memory>
#include <optional>
#include <ostream>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "policy.hpp"
#include "protocol/settings.hpp"

namespace hareramp::benchlink {
namespace {

// An event that can't be used. It is reported for the instance that it names, which is then removed.
struct MalformedEvent : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// The input can no longer be split into batches and events. The program ends.
struct FramingError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

std::string format_seconds(double seconds) {
  char buffer[64];
  const auto end = std::to_chars(buffer, buffer + sizeof buffer, seconds, std::chars_format::fixed, 6).ptr;
  return {buffer, end};
}

std::vector<std::string_view> split(std::string_view text, char separator) {
  std::vector<std::string_view> parts;
  for (;;) {
    const auto at = text.find(separator);
    parts.push_back(text.substr(0, at));
    if (at == std::string_view::npos) return parts;
    text.remove_prefix(at + 1);
  }
}

// One line: a tag and name=value fields, separated by tabs. Reading a field that is missing or invalid throws
// MalformedEvent with the name of the field.
class Line {
 public:
  explicit Line(std::string_view text) {
    const auto parts = split(text, '\t');
    tag_ = parts[0];
    for (std::size_t i = 1; i < parts.size(); ++i) {
      const auto equals = parts[i].find('=');
      if (equals == std::string_view::npos) {
        invalid_field_ = parts[i];
      } else {
        fields_.emplace(parts[i].substr(0, equals), parts[i].substr(equals + 1));
      }
    }
  }

  const std::string& tag() const { return tag_; }
  const std::map<std::string, std::string, std::less<>>& fields() const { return fields_; }
  bool has(std::string_view name) const { return fields_.find(name) != fields_.end(); }

  std::string text(std::string_view name) const {
    const auto found = fields_.find(name);
    if (found == fields_.end() || found->second.empty()) fail(name, "is missing");
    return found->second;
  }
  std::string text(std::string_view name, std::string fallback) const {
    const auto found = fields_.find(name);
    return found == fields_.end() ? std::move(fallback) : found->second;
  }
  template <class Number>
  Number number(std::string_view name) const {
    const std::string value = text(name);
    Number result{};
    const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), result);
    if (error != std::errc() || end != value.data() + value.size()) fail(name, "is not a number");
    if constexpr (std::is_floating_point_v<Number>) {
      if (!std::isfinite(result)) fail(name, "is not finite");
    }
    return result;
  }
  template <class Number>
  Number number(std::string_view name, Number fallback) const {
    return has(name) ? number<Number>(name) : fallback;
  }
  bool flag(std::string_view name) const {
    const std::string value = text(name, "0");
    if (value == "1" || value == "true") return true;
    if (value == "0" || value == "false") return false;
    fail(name, "is not a bool");
  }
  template <class Value>
  Value mapped_value(std::string_view name, const std::map<std::string, Value>& values) const {
    const auto found = values.find(text(name));
    if (found == values.end()) fail(name, "is not a known value");
    return found->second;
  }
  LoadReport load_report(std::string_view name) const {
    LoadReport report;
    const std::string value = text(name, "");
    if (value.empty()) return report;
    for (const auto pair : split(value, ',')) {
      const auto colon = pair.find(':');
      double measurement = 0;
      const auto digits = colon == std::string_view::npos ? std::string_view() : pair.substr(colon + 1);
      const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), measurement);
      if (error != std::errc() || end != digits.data() + digits.size()) fail(name, "is not a load report");
      report.emplace(pair.substr(0, colon), measurement);
    }
    return report;
  }
  [[noreturn]] void fail(std::string_view name, std::string_view problem) const {
    throw MalformedEvent(tag_ + ": field " + std::string(name) + " " + std::string(problem));
  }

 private:
  std::string tag_;
  std::string invalid_field_;
  std::map<std::string, std::string, std::less<>> fields_;
};

const std::map<std::string, Result> kResults = {{"success", Result::kCompleted},
                                                {"failure", Result::kError},
                                                {"overloaded", Result::kRejected},
                                                {"timed_out", Result::kTimedOut},
                                                {"unreachable", Result::kUnreachable},
                                                {"broken", Result::kBroken},
                                                {"withdrawn", Result::kCancelled},
                                                {"void", Result::kNotSent},
                                                {"absent", Result::kAbsent}};
const std::map<std::string, EndpointState> kEndpointStates = {{"Running", EndpointState::kRunning},
                                                              {"Stopping", EndpointState::kDraining},
                                                              {"Deleted", EndpointState::kRemoved}};
const std::map<std::string, ListCompleteness> kListCompleteness = {{"delta", ListCompleteness::kChanges},
                                                                   {"full", ListCompleteness::kFull},
                                                                   {"cached", ListCompleteness::kCached},
                                                                   {"failed", ListCompleteness::kFailed}};

// Writes the actions of a director as lines, for one instance.
class WireActions : public Actions {
 public:
  WireActions(int instance_id, std::string& reply)
      : instance_field_("\tWho=" + std::to_string(instance_id)), reply_(reply) {}

  void attempt(const RequestId& request, const NodeId& node, const FillOptions& fill,
               Seconds time_out) override {
    const int switches = (fill.join ? 1 : 0) | (fill.cached_only ? 2 : 0) |
                         (fill.bypass_parent_storage ? 4 : 0) | (fill.background_refresh ? 8 : 0);
    reply_ += "serve_via" + instance_field_ + "\tRequestId=" + request.value + "\tNode=" + node.value +
              "\tFillFrom=" + fill.source.value + "\tRank=" + std::to_string(fill.rank) +
              "\tSwitches=" + std::to_string(switches);
    if (fill.max_copy_age > 0) reply_ += "\tAgeSpanS=" + format_seconds(std::max(fill.max_copy_age, 1e-6));
    if (time_out > 0) reply_ += "\tGiveUpAfterS=" + format_seconds(std::max(time_out, 1e-6));
    reply_ += '\n';
  }
  void cancel(const RequestId& request, AttemptNumber number) override {
    reply_ += "retract" + instance_field_ + "\tRequestId=" + request.value +
              "\tShot=" + std::to_string(number.value) + '\n';
  }
  void reject(const RequestId& request, Seconds retry_after) override {
    reply_ += "reject" + instance_field_ + "\tRequestId=" + request.value;
    if (retry_after > 0) reply_ += "\tStayAwayS=" + format_seconds(retry_after);
    reply_ += '\n';
  }
  void fail(const RequestId& request) override {
    reply_ += "abort" + instance_field_ + "\tRequestId=" + request.value + '\n';
  }
  void set_timer(Seconds at, const TimerToken& token) override {
    reply_ +=
        "notify_me" + instance_field_ + "\tTimeS=" + format_seconds(at) + "\tToken=" + token.value + '\n';
  }
  void probe(const NodeId& node) override {
    reply_ += "check" + instance_field_ + "\tNode=" + node.value + '\n';
  }
  void watch_list() override { reply_ += "watch" + instance_field_ + "\tActive=1\n"; }
  void log(const std::string& message) override {
    reply_ += "emit" + instance_field_ + "\tWords=" + message + '\n';
  }

 private:
  std::string instance_field_;
  std::string& reply_;
};

struct Instance {
  std::unique_ptr<WireActions> actions;
  std::unique_ptr<Director> director;
};

// Reads batches (a line mark, events, a line go) and writes the actions that follow from each, ended by a
// line finished.
class Server {
 public:
  Server(std::istream& in, std::ostream& out) : in_(in), out_(out) {}

  void run() {
    std::string raw_line;
    while (read_line(raw_line)) {
      if (raw_line.empty()) continue;
      const Line mark(raw_line);
      if (mark.tag() != "mark") throw FramingError("expected mark, got '" + mark.tag() + "'");
      long long frame = 0;
      try {
        now_ = mark.number<double>("TimeS");
        frame = mark.number<long long>("frame");
      } catch (const MalformedEvent& error) {
        throw FramingError(error.what());
      }
      reply_.clear();
      process_batch();
      reply_ += "finished\tframe=" + std::to_string(frame) + '\n';
      out_ << reply_ << std::flush;
    }
  }

 private:
  bool read_line(std::string& raw_line) {
    if (!std::getline(in_, raw_line)) return false;
    if (!raw_line.empty() && raw_line.back() == '\r') raw_line.pop_back();
    return true;
  }

  void process_batch() {
    std::string raw_line;
    for (bool line_pending = false;;) {
      if (!line_pending && !read_line(raw_line)) throw FramingError("the input ended inside a batch");
      line_pending = false;
      if (raw_line == "go") return;
      const Line line(raw_line);
      if (line.tag() == "mark") throw FramingError("mark inside a batch");
      if (line.tag() == "item") throw FramingError("an item outside a list");
      // The items of a list follow its event and are read first, even if the event turns out to be unusable.
      std::vector<Line> items;
      while (read_line(raw_line)) {
        line_pending = true;
        if (raw_line.substr(0, 4) != "item" || (raw_line.size() > 4 && raw_line[4] != '\t')) break;
        items.emplace_back(raw_line);
        line_pending = false;
      }
      if (!line_pending) throw FramingError("the input ended inside a batch");
      int instance_id = 0;
      try {
        instance_id = line.number<int>("Who");
      } catch (const MalformedEvent& error) {
        if (!is_known_event(line.tag())) continue;
        throw FramingError(error.what());
      }
      try {
        handle_event(instance_id, line, items);
      } catch (const MalformedEvent& error) {
        reply_ += "exception\tWho=" + std::to_string(instance_id) + "\tWords=" + error.what() + '\n';
        instances_.erase(instance_id);
      }
    }
  }

  static bool is_known_event(const std::string& tag) {
    for (const char* name : {"attach", "exit", "sync", "demand", "begun", "resolved", "dropped", "wake",
                             "health_result", "heard", "recalled"}) {
      if (tag == name) return true;
    }
    return false;
  }

  void handle_event(int instance_id, const Line& line, const std::vector<Line>& items) {
    const std::string& tag = line.tag();
    if (tag == "attach") return attach(instance_id, line);
    if (tag == "exit") return void(instances_.erase(instance_id));
    const auto found = instances_.find(instance_id);
    if (found == instances_.end() || !is_known_event(tag)) return;
    Director& director = *found->second.director;
    if (tag == "sync") return update_endpoint_list(director, line, items);
    if (tag == "demand") {
      director.request_arrived(now_, {line.text("RequestId")}, {line.number<int>("Band")},
                               {line.number<int>("Party", 0)}, {line.number<std::uint64_t>("Asset", 0)},
                               {line.number<std::int64_t>("Part", 0)},
                               {line.number<std::int64_t>("Group", -1)}, line.number<double>("DeadlineS"),
                               line.number<double>("BytesK", 0), line.flag("Resent"), line.flag("IsWrite"));
    } else if (tag == "begun") {
      director.attempt_started(now_, {line.text("RequestId")}, {line.number<int>("Shot")});
    } else if (tag == "resolved") {
      const int detail = line.number<int>("Remark", 0);
      director.attempt_ended(
          now_, {line.text("RequestId")}, {line.number<int>("Shot")}, {line.text("Node")},
          line.mapped_value("Status", kResults),
          detail < 0 || detail > 10 ? AnswerDetail::kNone : static_cast<AnswerDetail>(detail),
          line.number<double>("WaitedS", 0), line.number<double>("SpentS", 0), line.load_report("Gauge"),
          line.flag("Closed"));
    } else if (tag == "dropped") {
      director.client_disconnected(now_, {line.text("RequestId")});
    } else if (tag == "wake") {
      director.timer_fired(now_, {line.text("Token")});
    } else if (tag == "health_result") {
      director.probe_ended(now_, {line.text("Node")}, line.mapped_value("Status", kResults),
                           line.load_report("Gauge"));
    } else if (tag == "recalled") {
      const double age = line.number<double>("AgeSpanS", 0);
      if (line.has("Asset")) {
        director.object_purged(now_, {line.number<std::uint64_t>("Asset")}, age);
      } else {
        director.group_purged(now_, {line.number<std::int64_t>("FamilyId")}, age);
      }
    }
  }

  void attach(int instance_id, const Line& line) {
    const auto seed = line.number<std::uint64_t>("Prng", 0);
    Settings settings;
    for (const auto& [name, value] : line.fields())
      if (name != "Who" && name != "Prng") protocol::put_setting(settings, name, value);
    Instance instance;
    instance.actions = std::make_unique<WireActions>(instance_id, reply_);
    instance.director = std::make_unique<Director>(now_, std::move(settings), seed, *instance.actions);
    instances_[instance_id] = std::move(instance);
  }

  void update_endpoint_list(Director& director, const Line& line, const std::vector<Line>& items) {
    const auto completeness = line.mapped_value("Scope", kListCompleteness);
    if (line.number<std::size_t>("Members", 0) != items.size())
      line.fail("Members", "does not match the items");
    director.list_starts(now_, completeness);
    for (const Line& item : items) {
      director.list_entry(now_, {item.text("Node")}, {item.number<int>("Az", 0)},
                          {item.number<int>("Sku", 0)}, {item.number<int>("Stripe", 0)},
                          item.mapped_value("Readiness", kEndpointStates), item.number<double>("Share", 1),
                          item.number<double>("LaunchedS", 0));
    }
    director.list_ends(now_);
  }

  std::istream& in_;
  std::ostream& out_;
  double now_ = 0;
  std::string reply_;
  std::map<int, Instance> instances_;
};

}  // namespace

int serve(std::istream& in, std::ostream& out, std::ostream& errors) {
  try {
    Server(in, out).run();
    return 0;
  } catch (const FramingError& error) {
    errors << "hareramp_benchlink: broken framing: " << error.what() << '\n';
    return 2;
  }
}

}  // namespace hareramp::benchlink
