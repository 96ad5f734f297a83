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

// A message that can't be used, laid to the instance that it names.
struct Malformed : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// A stream that can't be followed any further.
struct BrokenFraming : std::runtime_error {
  using std::runtime_error::runtime_error;
};

std::string text_of(double seconds) {
  char buffer[64];
  const auto end = std::to_chars(buffer, buffer + sizeof buffer, seconds, std::chars_format::fixed, 6).ptr;
  return {buffer, end};
}

std::vector<std::string_view> split(std::string_view text, char mark) {
  std::vector<std::string_view> parts;
  for (;;) {
    const auto at = text.find(mark);
    parts.push_back(text.substr(0, at));
    if (at == std::string_view::npos) return parts;
    text.remove_prefix(at + 1);
  }
}

// One line: its tag and its name=value parts. Reading a field that is missing or unusable says which.
class Line {
 public:
  explicit Line(std::string_view text) {
    const auto parts = split(text, '\t');
    tag_ = parts[0];
    for (std::size_t i = 1; i < parts.size(); ++i) {
      const auto equals = parts[i].find('=');
      if (equals == std::string_view::npos) {
        stray_ = parts[i];
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
  Value word(std::string_view name, const std::map<std::string, Value>& words) const {
    const auto found = words.find(text(name));
    if (found == words.end()) fail(name, "is not a known word");
    return found->second;
  }
  LoadReport report(std::string_view name) const {
    LoadReport report;
    const std::string value = text(name, "");
    if (value.empty()) return report;
    for (const auto pair : split(value, ',')) {
      const auto colon = pair.find(':');
      double figure = 0;
      const auto digits = colon == std::string_view::npos ? std::string_view() : pair.substr(colon + 1);
      const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), figure);
      if (error != std::errc() || end != digits.data() + digits.size()) fail(name, "is not a load report");
      report.emplace(pair.substr(0, colon), figure);
    }
    return report;
  }
  [[noreturn]] void fail(std::string_view name, std::string_view what) const {
    throw Malformed(tag_ + ": field " + std::string(name) + " " + std::string(what));
  }

 private:
  std::string tag_;
  std::string stray_;
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
const std::map<std::string, ListCompleteness> kScopes = {{"delta", ListCompleteness::kChanges},
                                                         {"full", ListCompleteness::kFull},
                                                         {"cached", ListCompleteness::kCached},
                                                         {"failed", ListCompleteness::kFailed}};

// Writes what the module wants done, as lines for one instance.
class WireActions : public Actions {
 public:
  WireActions(int who, std::string& reply) : who_("\tWho=" + std::to_string(who)), reply_(reply) {}

  void attempt(const RequestId& request, const NodeId& node, const FillOptions& fill,
               Seconds time_out) override {
    const int switches = (fill.join ? 1 : 0) | (fill.cached_only ? 2 : 0) |
                         (fill.bypass_parent_storage ? 4 : 0) | (fill.background_refresh ? 8 : 0);
    reply_ += "serve_via" + who_ + "\tRequestId=" + request.value + "\tNode=" + node.value +
              "\tFillFrom=" + fill.source.value + "\tRank=" + std::to_string(fill.rank) +
              "\tSwitches=" + std::to_string(switches);
    if (fill.max_copy_age > 0) reply_ += "\tAgeSpanS=" + text_of(std::max(fill.max_copy_age, 1e-6));
    if (time_out > 0) reply_ += "\tGiveUpAfterS=" + text_of(std::max(time_out, 1e-6));
    reply_ += '\n';
  }
  void cancel(const RequestId& request, AttemptNumber number) override {
    reply_ +=
        "retract" + who_ + "\tRequestId=" + request.value + "\tShot=" + std::to_string(number.value) + '\n';
  }
  void reject(const RequestId& request, Seconds retry_after) override {
    reply_ += "reject" + who_ + "\tRequestId=" + request.value;
    if (retry_after > 0) reply_ += "\tStayAwayS=" + text_of(retry_after);
    reply_ += '\n';
  }
  void fail(const RequestId& request) override {
    reply_ += "abort" + who_ + "\tRequestId=" + request.value + '\n';
  }
  void set_timer(Seconds at, const TimerToken& token) override {
    reply_ += "notify_me" + who_ + "\tTimeS=" + text_of(at) + "\tToken=" + token.value + '\n';
  }
  void probe(const NodeId& node) override { reply_ += "check" + who_ + "\tNode=" + node.value + '\n'; }
  void watch_list() override { reply_ += "watch" + who_ + "\tActive=1\n"; }
  void log(const std::string& words) override { reply_ += "emit" + who_ + "\tWords=" + words + '\n'; }

 private:
  std::string who_;
  std::string& reply_;
};

struct Instance {
  std::unique_ptr<WireActions> actions;
  std::unique_ptr<Director> director;
};

class Server {
 public:
  Server(std::istream& in, std::ostream& out) : in_(in), out_(out) {}

  void run() {
    std::string raw;
    while (next(raw)) {
      if (raw.empty()) continue;
      const Line mark(raw);
      if (mark.tag() != "mark") throw BrokenFraming("expected mark, got '" + mark.tag() + "'");
      long long frame = 0;
      try {
        now_ = mark.number<double>("TimeS");
        frame = mark.number<long long>("frame");
      } catch (const Malformed& error) {
        throw BrokenFraming(error.what());
      }
      reply_.clear();
      batch();
      reply_ += "finished\tframe=" + std::to_string(frame) + '\n';
      out_ << reply_ << std::flush;
    }
  }

 private:
  bool next(std::string& raw) {
    if (!std::getline(in_, raw)) return false;
    if (!raw.empty() && raw.back() == '\r') raw.pop_back();
    return true;
  }

  void batch() {
    std::string raw;
    for (bool held = false;;) {
      if (!held && !next(raw)) throw BrokenFraming("the input ended inside a batch");
      held = false;
      if (raw == "go") return;
      const Line line(raw);
      if (line.tag() == "mark") throw BrokenFraming("a batch began inside another");
      if (line.tag() == "item") throw BrokenFraming("an item stands outside a list");
      // The list's entries follow it whatever becomes of the event itself.
      std::vector<Line> items;
      while (next(raw)) {
        held = true;
        if (raw.substr(0, 4) != "item" || (raw.size() > 4 && raw[4] != '\t')) break;
        items.emplace_back(raw);
        held = false;
      }
      if (!held) throw BrokenFraming("the input ended inside a batch");
      int who = 0;
      try {
        who = line.number<int>("Who");
      } catch (const Malformed& error) {
        if (!known(line.tag())) continue;
        throw BrokenFraming(error.what());
      }
      try {
        event(who, line, items);
      } catch (const Malformed& error) {
        reply_ += "exception\tWho=" + std::to_string(who) + "\tWords=" + error.what() + '\n';
        instances_.erase(who);
      }
    }
  }

  static bool known(const std::string& tag) {
    for (const char* name : {"attach", "exit", "sync", "demand", "begun", "resolved", "dropped", "wake",
                             "health_result", "heard", "recalled"}) {
      if (tag == name) return true;
    }
    return false;
  }

  void event(int who, const Line& line, const std::vector<Line>& items) {
    const std::string& tag = line.tag();
    if (tag == "attach") return attach(who, line);
    if (tag == "exit") return void(instances_.erase(who));
    const auto found = instances_.find(who);
    if (found == instances_.end() || !known(tag)) return;
    Director& director = *found->second.director;
    if (tag == "sync") return sync(director, line, items);
    if (tag == "demand") {
      director.request_arrived(now_, {line.text("RequestId")}, {line.number<int>("Band")},
                               {line.number<int>("Party", 0)}, {line.number<std::uint64_t>("Asset", 0)},
                               {line.number<std::int64_t>("Part", 0)},
                               {line.number<std::int64_t>("Group", -1)}, line.number<double>("DeadlineS"),
                               line.number<double>("BytesK", 0), line.flag("Resent"), line.flag("IsWrite"));
    } else if (tag == "begun") {
      director.attempt_started(now_, {line.text("RequestId")}, {line.number<int>("Shot")});
    } else if (tag == "resolved") {
      const int note = line.number<int>("Remark", 0);
      director.attempt_ended(now_, {line.text("RequestId")}, {line.number<int>("Shot")}, {line.text("Node")},
                             line.word("Status", kResults),
                             note < 0 || note > 10 ? AnswerDetail::kNone : static_cast<AnswerDetail>(note),
                             line.number<double>("WaitedS", 0), line.number<double>("SpentS", 0),
                             line.report("Gauge"), line.flag("Closed"));
    } else if (tag == "dropped") {
      director.client_disconnected(now_, {line.text("RequestId")});
    } else if (tag == "wake") {
      director.timer_fired(now_, {line.text("Token")});
    } else if (tag == "health_result") {
      director.probe_ended(now_, {line.text("Node")}, line.word("Status", kResults), line.report("Gauge"));
    } else if (tag == "recalled") {
      const double age = line.number<double>("AgeSpanS", 0);
      if (line.has("Asset")) {
        director.object_purged(now_, {line.number<std::uint64_t>("Asset")}, age);
      } else {
        director.group_purged(now_, {line.number<std::int64_t>("FamilyId")}, age);
      }
    }
  }

  void attach(int who, const Line& line) {
    const auto seed = line.number<std::uint64_t>("Prng", 0);
    Settings settings;
    for (const auto& [name, value] : line.fields())
      if (name != "Who" && name != "Prng") protocol::put_setting(settings, name, value);
    Instance instance;
    instance.actions = std::make_unique<WireActions>(who, reply_);
    instance.director = std::make_unique<Director>(now_, std::move(settings), seed, *instance.actions);
    instances_[who] = std::move(instance);
  }

  void sync(Director& director, const Line& line, const std::vector<Line>& items) {
    const auto scope = line.word("Scope", kScopes);
    if (line.number<std::size_t>("Members", 0) != items.size())
      line.fail("Members", "does not match the items");
    director.list_starts(now_, scope);
    for (const Line& item : items) {
      director.list_entry(now_, {item.text("Node")}, {item.number<int>("Az", 0)},
                          {item.number<int>("Sku", 0)}, {item.number<int>("Stripe", 0)},
                          item.word("Readiness", kEndpointStates), item.number<double>("Share", 1),
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

int serve(std::istream& in, std::ostream& out, std::ostream& complaints) {
  try {
    Server(in, out).run();
    return 0;
  } catch (const BrokenFraming& error) {
    complaints << "hareramp_benchlink: broken framing: " << error.what() << '\n';
    return 2;
  }
}

}  // namespace hareramp::benchlink
