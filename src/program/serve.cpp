#include "program/serve.hpp"

#include <signal.h>

#include <algorithm>
#include <exception>
#include <memory>
#include <string>
#include <vector>

#include "base/process_memory.hpp"
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

// The endpoints of the change stream, in the order in which they are tried: the operator's relays, starting
// at one chosen by this director's seed, or else the platform's source.
std::vector<distribution::Endpoint> change_stream_endpoints(const Config& config,
                                                            const OperatorFile& operator_file) {
  std::vector<distribution::Endpoint> relays = operator_file.change_stream.relays;
  if (!operator_file.change_stream.enabled) return {{config.change_stream_source, config.change_stream_host}};
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
  Service(const Config& config, const std::string& config_path, const OperatorFile& operator_file,
          const std::string& operator_path, Log& log)
      : config_(config),
        config_path_(config_path),
        operator_path_(operator_path),
        log_(log),
        signals_(scheduler_, {SIGTERM, SIGINT, SIGUSR1, SIGHUP}),
        change_stream_enabled_(operator_file.change_stream.enabled),
        flow_exporter_(operator_file.flow_export.enabled
                           ? std::make_unique<flow::Exporter>(scheduler_, config.limits, counters_, log,
                                                              operator_file.flow_export, config.seed)
                           : nullptr),
        director_(scheduler_, config.limits, counters_, log, config.names, config.settings, config.seed,
                  flow_exporter_.get()),
        subscription_(scheduler_, config.limits, counters_, log,
                      change_stream_endpoints(config, operator_file), config.last_known_event, director_,
                      subscription_options(config, operator_file)),
        client_listener_(scheduler_, config.limits, counters_, config.listen, config.names, director_,
                         flow_exporter_.get()) {
    scheduler_.on_late = [this](Seconds until) {
      director_.woke_late(until);
      if (scheduler_.lateness() >=
          1)  // shorter ones are only counted: a machine without a free core has many
        log_.warning("stood_still", "the process was stalled for {:.1f} s", scheduler_.lateness());
    };
    scheduler_.on_failure = [this](const std::exception_ptr& failure) {
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

  // Closes the connections while the counters and observers that they update still exist.
  ~Service() { scheduler_.clear(); }

  void run() {
    if (flow_exporter_) flow_exporter_->start();
    director_.start();
    subscription_.start(config_.known);
    client_listener_.start();
    scheduler_.spawn(handle_signals());
    log_.event(LogLevel::kInfo, "serving",
               fmt::format("{}: serving, at most {} clients", config_.name, config_.limits.max_clients),
               {{"name", config_.name}, {"clients_most", std::uint64_t{config_.limits.max_clients}}});
    scheduler_.run();
    log_counters();
  }

 private:
  void log_counters() {
    counters_.memory_resident = resident_memory();
    counters_.memory_limit = config_.memory;
    log_.event(LogLevel::kInfo, "counters", fmt::format("{}: {}", config_.name, counters_line(counters_)));
  }

  Task<> handle_signals() {
    bool shutting_down = false;
    for (;;) {
      const int signal = co_await signals_.next();
      if (signal == SIGHUP) reload();
      if (signal == SIGUSR1) log_counters();
      if ((signal != SIGTERM && signal != SIGINT) || shutting_down) continue;
      shutting_down = true;
      log_.event(LogLevel::kInfo, "leaving",
                 fmt::format("{}: shutting down, {} requests open", config_.name, director_.open_requests()),
                 {{"name", config_.name}, {"open", std::uint64_t{director_.open_requests()}}});
      scheduler_.spawn(shut_down());
    }
  }

  // If a file is missing, half written or invalid, the previous settings stay in use, and the next SIGHUP
  // reads the files again. SIGHUPs that arrive while one is being handled are merged into one, which reads
  // the newest files.
  void reload() {
    try {
      const Config new_config = load_config(config_path_);
      const OperatorFile new_operator_file = load_operator_file(operator_path_, config_.memory);
      ++counters_.reloads;
      subscription_.set_endpoints(change_stream_endpoints(new_config, new_operator_file));
      log_.configure(new_operator_file.log_form, new_operator_file.log_level);
      if (flow_exporter_ && new_operator_file.flow_export.enabled)
        flow_exporter_->reload(new_operator_file.flow_export);
      std::string restart_fields;
      const auto compare = [&](const char* field, bool same) {
        if (!same) restart_fields += std::string(restart_fields.empty() ? "" : ", ") + field;
      };
      compare("name", new_config.name == config_.name);
      compare("listen", new_config.listen == config_.listen);
      compare("seed", new_config.seed == config_.seed);
      compare("limits", new_config.limits == config_.limits);
      compare("settings", new_config.settings == config_.settings);
      compare("change_stream/enabled", new_operator_file.change_stream.enabled == change_stream_enabled_);
      compare("flow_export/enabled", new_operator_file.flow_export.enabled == (flow_exporter_ != nullptr));
      if (!restart_fields.empty())
        log_.info("changed_only_by_restart", "{}: takes effect only after a restart: {}", config_.name,
                  restart_fields);
    } catch (const std::exception& error) {
      ++counters_.reloads_failed;
      log_.warning("reload_failed", "{}: reload failed, the previous configuration stays in use: {}",
                   config_.name, error.what());
    }
  }

  // Accepts new requests for a moment longer, then answers all that were accepted. All of it ends before the
  // process may be killed, even if nodes stay silent or clients do not read.
  Task<> shut_down() {
    const Seconds start = Scheduler::now();
    director_.cap_deadlines(start + config_.limits.shutdown_answer_deadline);
    co_await scheduler_.sleep_until(start + config_.limits.drain_accept_window);
    for (client_listener_.close();
         client_listener_.clients() > 0 && Scheduler::now() < start + config_.limits.shutdown_close_deadline;
         client_listener_.close()) {
      co_await scheduler_.sleep_until(Scheduler::now() + 0.01);
    }
    if (flow_exporter_)
      co_await flow_exporter_->finish(std::min(Scheduler::now() + config_.limits.flow_shutdown_timeout,
                                               start + config_.limits.shutdown_exit_deadline));
    scheduler_.stop();
  }

  const Config& config_;
  const std::string config_path_, operator_path_;
  Log& log_;
  Counters counters_;
  Scheduler scheduler_;
  transport::SignalSet signals_;
  const bool change_stream_enabled_;
  std::unique_ptr<flow::Exporter> flow_exporter_;  // null: flows are not exported
  routing::DirectorActor director_;
  distribution::Subscription subscription_;
  routing::ClientListener client_listener_;
};

}  // namespace

int serve(const Config& config, const std::string& config_path, const std::string& operator_path, Log& log) {
  keep_large_blocks_apart();
  signal(SIGPIPE, SIG_IGN);
  signal(SIGXFSZ, SIG_IGN);  // writing to a file at its size limit fails instead of ending the process
  const OperatorFile operator_file = load_operator_file(operator_path, config.memory);
  log.configure(operator_file.log_form, operator_file.log_level);
  Service(config, config_path, operator_file, operator_path, log).run();
  return 0;
}

}  // namespace hareramp::program
