#include "program/serve.hpp"

#include <signal.h>

#include <exception>
#include <string>

#include "routing/change_log.hpp"
#include "routing/front.hpp"
#include "routing/module.hpp"
#include "transport/scheduler.hpp"
#include "transport/signals.hpp"

namespace hareramp::program {

namespace {

using transport::Scheduler;
using transport::Task;

class Service {
 public:
  Service(const Config& config, const std::string& path, Log& log)
      : config_(config),
        path_(path),
        log_(log),
        signals_(scheduler_, {SIGTERM, SIGINT, SIGUSR1, SIGHUP}),
        module_(scheduler_, config.limits, counters_, log, config.names, config.settings, config.seed),
        change_log_(scheduler_, config.limits, counters_, log, config.change_log, config.change_log_host,
                    config.known_to, module_),
        front_(scheduler_, config.limits, counters_, config.listen, config.names, module_) {
    scheduler_.on_failure = [this](std::exception_ptr failure) {
      ++counters_.failures;
      try {
        std::rethrow_exception(failure);
      } catch (const std::exception& error) {
        log_.line("a task failed: {}", error.what());
      } catch (...) {
        log_.line("a task failed");
      }
    };
  }

  void run() {
    module_.start();
    change_log_.start(config_.known);
    front_.start();
    scheduler_.spawn(heed_signals());
    log_.line("{}: serving, with {} clients at most", config_.name, config_.limits.clients);
    scheduler_.run();
    log_.line("{}: {}", config_.name, counters_line(counters_));
  }

 private:
  Task<> heed_signals() {
    bool leaving = false;
    for (;;) {
      const int signal = co_await signals_.next();
      if (signal == SIGHUP) reload();
      if (signal == SIGUSR1) log_.line("{}: {}", config_.name, counters_line(counters_));
      if ((signal != SIGTERM && signal != SIGINT) || leaving) continue;
      leaving = true;
      log_.line("{}: leaving, {} pulls open", config_.name, module_.open_pulls());
      scheduler_.spawn(leave());
    }
  }

  // Guards against a file that is missing, half written or unusable: what was in force stays in force, and
  // the next SIGHUP reads anew. Signals that come while one is being heeded fold into one, after the newest
  // file.
  void reload() {
    try {
      const Config fresh = load_config(path_);
      ++counters_.reloads;
      change_log_.moved(fresh.change_log, fresh.change_log_host);
      std::string kept;
      const auto compare = [&](const char* field, bool same) {
        if (!same) kept += std::string(kept.empty() ? "" : ", ") + field;
      };
      compare("name", fresh.name == config_.name);
      compare("listen", fresh.listen == config_.listen);
      compare("seed", fresh.seed == config_.seed);
      compare("limits", fresh.limits == config_.limits);
      compare("settings", fresh.settings == config_.settings);
      if (!kept.empty()) log_.line("{}: changed only by a restart: {}", config_.name, kept);
    } catch (const std::exception& error) {
      ++counters_.reloads_failed;
      log_.line("{}: the configuration stays as it is: {}", config_.name, error.what());
    }
  }

  // New work still comes for a moment; then what has been taken is answered.
  Task<> leave() {
    const Seconds start = Scheduler::now();
    co_await scheduler_.sleep_until(start + config_.limits.serve_on);
    for (front_.close(); front_.clients() > 0 && Scheduler::now() < start + config_.limits.leave;
         front_.close()) {
      co_await scheduler_.sleep_until(Scheduler::now() + 0.01);
    }
    scheduler_.stop();
  }

  const Config& config_;
  const std::string path_;
  Log& log_;
  Counters counters_;
  Scheduler scheduler_;
  transport::Signals signals_;
  routing::ModuleActor module_;
  routing::ChangeLog change_log_;
  routing::Front front_;
};

}  // namespace

int serve(const Config& config, const std::string& path, Log& log) {
  signal(SIGPIPE, SIG_IGN);
  Service(config, path, log).run();
  return 0;
}

}  // namespace hareramp::program
