// A cache stand-in that keeps copies, for the cases about purges.
#pragma once

#include "kit.hpp"

namespace kit {

// A cache that keeps what it fills; the origin behind it gives out a copy at once.
class Cache {
 public:
  // purge_done: seconds after a purge at which the cache drops its older copies by itself.
  Cache(Case& the_case, std::atomic<double>& purged_at, double purge_done)
      : the_case_(the_case), purged_at_(purged_at), purge_done_(purge_done) {}
  void serve(const Command& command) {
    const double now = unix_seconds(), purged_at = purged_at_;
    const std::string limit = command.field("agelim");
    const std::lock_guard lock(mutex_);
    auto found = copies_.find(command.key());
    if (found != copies_.end() && purged_at > 0 && now > purged_at + purge_done_ && found->second < purged_at)
      copies_.erase(found), found = copies_.end();
    const bool fits = found != copies_.end() && (limit.empty() || limit == "0" ||
                                                 now - found->second <= std::atof(limit.c_str()) / 1000);
    double copy = fits ? found->second : now;
    const char* why = fits ? "mem" : "origin";
    if (!fits && command.field("next").empty()) {
      the_case_.record.line("cache got " + command.id + " " + command.key() + " agelim=" + limit +
                            ": absent");
      return command.answer("NOENT", "why=absent");
    }
    if (!fits) copies_[command.key()] = copy;
    the_case_.record.line("cache got " + command.id + " " + command.key() + " agelim=" + limit + ": " + why +
                          ", copy of " + unix_ms(copy));
    command.answer("ACK", "sum=v" + unix_ms(copy) + ",t0=" + unix_ms(copy) + ",why=" + why, unix_ms(copy));
    if (judge) judge(command, copy);
  }
  std::function<void(const Command&, double copy)> judge;

 private:
  Case& the_case_;
  std::atomic<double>& purged_at_;
  double purge_done_;
  std::mutex mutex_;
  std::map<std::string, double> copies_;
};

}  // namespace kit
