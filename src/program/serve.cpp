#include "program/serve.hpp"

#include <signal.h>

#include <algorithm>
#include <exception>
#include <memory>
#include <string>
#include <vector>

#include "distribution/subscription.hpp"
#include "flow/exporter.hpp"
#include "program/operator.hpp"
#include "routing/client_listener.hpp"
#include "routing/director_actor.hpp"
#include "transport/scheduler.hpp"
#include "transport/signals.hpp"

namespace hareramp::program {

namespace {

using transport::Scheduler;
using transport::Task;

// The relays that the operator names, from one that is drawn by this director's seed on; else the platform's
// source.
std::vector<distribution::Endpoint> change_stream(const Config& config, const OperatorFile& operator_file) {
  std::vector<distribution::Endpoint> relays = operator_file.change_stream.relays;
  if (!operator_file.change_stream.enabled) return {{config.change_log, config.change_log_host}};
  std::rotate(relays.begin(), relays.begin() + static_cast<std::ptrdiff_t>(config.seed % relays.size()),
              relays.end());
  return relays;
}

distribution::SubscriptionOptions subscription_options(const Config& config,
                                                       const OperatorFile& operator_file) {
  distribution::SubscriptionOptions options;
  if (!operator_file.change_stream.enabled) return options;
  options.compressed = operator_file.change_stream.compressed;
  options.silence_timeout = distribution::kRelaySilenceTimeout;
  options.retry_longest = operator_file.change_stream.retry_longest;
  options.seed = config.seed;
  return options;
}

class Service {
 public:
  Service(const Config& config, const std::string& path, const OperatorFile& operator_file,
          const std::string& operator_path, Log& log)
      : config_(config),
        path_(path),
        operator_path_(operator_path),
        log_(log),
        signals_(scheduler_, {SIGTERM, SIGINT, SIGUSR1, SIGHUP}),
        change_stream_enabled_(operator_file.change_stream.enabled),
        flows_(operator_file.flow_export.enabled
                   ? std::make_unique<flow::Exporter>(scheduler_, config.limits, counters_, log,
                                                      operator_file.flow_export, config.seed)
                   : nullptr),
        module_(scheduler_, config.limits, counters_, log, config.names, config.settings, config.seed,
                flows_.get()),
        changes_(scheduler_, config.limits, counters_, log, change_stream(config, operator_file),
                 config.known_to, module_, subscription_options(config, operator_file)),
        front_(scheduler_, config.limits, counters_, config.listen, config.names, module_, flows_.get()) {
    scheduler_.on_late = [this](Seconds until) {
      module_.woke_late(until);
      if (scheduler_.lateness() >=
          1)  // shorter ones are only counted: a machine without a free core has many
        log_.warning("stood_still", "the process stood still for {:.1f} s", scheduler_.lateness());
    };
    scheduler_.on_failure = [this](std::exception_ptr failure) {
      ++counters_.failures;
      try {
        std::rethrow_exception(failure);
      } catch (const std::exception& error) {
        log_.warning("task_failed", "a task failed: {}", error.what());
      } catch (...) {
        log_.warning("task_failed", "a task failed");
      }
    };
  }

  // Connections are counted to their end, so they go before what counts them.
  ~Service() { scheduler_.clear(); }

  void run() {
    if (flows_) flows_->start();
    module_.start();
    changes_.start(config_.known);
    front_.start();
    scheduler_.spawn(heed_signals());
    log_.event(LogLevel::kInfo, "serving",
               fmt::format("{}: serving, with {} clients at most", config_.name, config_.limits.max_clients),
               {{"name", config_.name}, {"clients_most", std::uint64_t{config_.limits.max_clients}}});
    scheduler_.run();
    log_counters();
  }

 private:
  void log_counters() {
    log_.event(LogLevel::kInfo, "counters", fmt::format("{}: {}", config_.name, counters_line(counters_)));
  }

  Task<> heed_signals() {
    bool leaving = false;
    for (;;) {
      const int signal = co_await signals_.next();
      if (signal == SIGHUP) reload();
      if (signal == SIGUSR1) log_counters();
      if ((signal != SIGTERM && signal != SIGINT) || leaving) continue;
      leaving = true;
      log_.event(LogLevel::kInfo, "leaving",
                 fmt::format("{}: leaving, {} requests open", config_.name, module_.open_requests()),
                 {{"name", config_.name}, {"open", std::uint64_t{module_.open_requests()}}});
      scheduler_.spawn(leave());
    }
  }

  // Guards against a file that is missing, half written or unusable: what was in force stays in force, and
  // the next SIGHUP reads anew. Signals that come while one is being heeded fold into one, after the newest
  // file.
  void reload() {
    try {
      const Config fresh = load_config(path_);
      const OperatorFile fresh_operator = load_operator(operator_path_, config_.memory);
      ++counters_.reloads;
      changes_.set_endpoints(change_stream(fresh, fresh_operator));
      log_.configure(fresh_operator.log_form, fresh_operator.log_level);
      if (flows_ && fresh_operator.flow_export.enabled) flows_->reload(fresh_operator.flow_export);
      std::string kept;
      const auto compare = [&](const char* field, bool same) {
        if (!same) kept += std::string(kept.empty() ? "" : ", ") + field;
      };
      compare("name", fresh.name == config_.name);
      compare("listen", fresh.listen == config_.listen);
      compare("seed", fresh.seed == config_.seed);
      compare("limits", fresh.limits == config_.limits);
      compare("settings", fresh.settings == config_.settings);
      compare("change_stream/enabled", fresh_operator.change_stream.enabled == change_stream_enabled_);
      compare("flow_export/enabled", fresh_operator.flow_export.enabled == (flows_ != nullptr));
      if (!kept.empty())
        log_.info("changed_only_by_restart", "{}: changed only by a restart: {}", config_.name, kept);
    } catch (const std::exception& error) {
      ++counters_.reloads_failed;
      log_.warning("reload_failed", "{}: the configuration stays as it is: {}", config_.name, error.what());
    }
  }

  // New work still comes for a moment; then what has been taken is answered. All of it ends before the
  // process may be killed, also where nodes stay silent or clients do not read.
  Task<> leave() {
    const Seconds start = Scheduler::now();
    module_.cap_deadlines(start + config_.limits.shutdown_answer_deadline);
    co_await scheduler_.sleep_until(start + config_.limits.drain_accept_window);
    for (front_.close();
         front_.clients() > 0 && Scheduler::now() < start + config_.limits.shutdown_close_deadline;
         front_.close()) {
      co_await scheduler_.sleep_until(Scheduler::now() + 0.01);
    }
    if (flows_)
      co_await flows_->finish(std::min(Scheduler::now() + config_.limits.flow_shutdown_timeout,
                                       start + config_.limits.shutdown_exit_deadline));
    scheduler_.stop();
  }

  const Config& config_;
  const std::string path_, operator_path_;
  Log& log_;
  Counters counters_;
  Scheduler scheduler_;
  transport::SignalSet signals_;
  const bool change_stream_enabled_;
  std::unique_ptr<flow::Exporter> flows_;  // null: flows are not exported
  routing::DirectorActor module_;
  distribution::Subscription changes_;
  routing::ClientListener front_;
};

}  // namespace

int serve(const Config& config, const std::string& path, const std::string& operator_path, Log& log) {
  signal(SIGPIPE, SIG_IGN);
  signal(SIGXFSZ, SIG_IGN);  // a file at its limit is a write that fails, not an end
  const OperatorFile operator_file = load_operator(operator_path, config.memory);
  log.configure(operator_file.log_form, operator_file.log_level);
  Service(config, path, operator_file, operator_path, log).run();
  return 0;
}

}  // namespace hareramp::program
