#include "program/relay.hpp"

#include <fmt/format.h>
#include <signal.h>
#include <sys/resource.h>

#include <exception>

#include "distribution/relay_actor.hpp"
#include "program/config.hpp"
#include "transport/scheduler.hpp"
#include "transport/signals.hpp"

namespace hareramp::program {

namespace {

using transport::Scheduler;
using transport::Task;

constexpr std::size_t kReservedDescriptors = 32;    // standard streams, epoll, signals, listener, source
constexpr std::size_t kDefaultMemory = 192u << 20;  // bytes; only scales settings that a relay does not use

// Raises the descriptor limit to the hard limit. Throws ConfigError if that is too low for the subscribers.
void raise_descriptor_limit(std::size_t subscribers) {
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
  if (limit.rlim_max < subscribers + kReservedDescriptors)
    throw ConfigError(
        fmt::format("relay/subscribers_most is {}, but this process may have only {} descriptors, {} of them "
                    "reserved: raise the limit (ulimit -n) or lower subscribers_most",
                    subscribers, limit.rlim_max, kReservedDescriptors));
}

void log_counters(const distribution::RelayActor& actor, const Counters& counters, Log& log) {
  const distribution::Relay& relay = actor.relay();
  const distribution::RelayCounts& counts = relay.counts();
  log.info(
      "counters",
      "relay: counters subscribers={} last={} changes={} batches={} snapshots={} restarts={} refused={} "
      "stalled={} live_purges={} window_bytes={} bytes_given={} writes={} log_connected={} log_silent={}",
      relay.subscribers(), relay.last(), counts.changes, counts.batches, counts.snapshots, counts.restarts,
      counts.refused, counts.stalled, relay.live_purges(), relay.window_bytes(), actor.bytes_given(),
      actor.writes(), counters.log_connected, counters.log_silent);
}

}  // namespace

int relay(const OperatorFile& operator_file, const std::string& operator_path, Log& log) {
  signal(SIGPIPE, SIG_IGN);
  const distribution::RelaySettings& settings = operator_file.relay;
  if (!settings.enabled) throw ConfigError("the operator's file does not enable the relay (relay/enabled)");
  log.configure(operator_file.log_form, operator_file.log_level);
  raise_descriptor_limit(settings.subscribers_most);
  const protocol::Json no_settings;
  const Limits limits = fill_limits(no_settings, no_settings);
  Counters counters;
  Scheduler scheduler;
  scheduler.on_failure = [&](const std::exception_ptr& failure) {
    ++counters.failures;
    try {
      std::rethrow_exception(failure);
    } catch (const std::exception& error) {
      log.warning("task_failed", "a task failed: {}", error.what());
    }
  };
  transport::SignalSet signals(scheduler, {SIGTERM, SIGINT, SIGUSR1, SIGHUP});
  distribution::RelayActor actor(scheduler, limits, counters, log, settings, settings.listen.port());
  const auto reload = [&] {
    try {
      const OperatorFile new_file = load_operator_file(operator_path, kDefaultMemory);
      if (new_file.relay.sources.empty()) throw ConfigError("relay/sources is empty");
      actor.set_sources(new_file.relay.sources);
      log.configure(new_file.log_form, new_file.log_level);
    } catch (const std::exception& error) {
      log.warning("reload_failed", "relay: reload failed, the previous settings stay in use: {}",
                  error.what());
    }
  };
  const auto handle_signals = [&]() -> Task<> {
    for (;;) {
      const int signal = co_await signals.next();
      if (signal == SIGUSR1) log_counters(actor, counters, log);
      if (signal == SIGHUP) reload();
      if (signal == SIGTERM || signal == SIGINT) scheduler.stop();
    }
  };
  actor.start();
  scheduler.spawn(handle_signals());
  log.info("relaying", "relay: serving the change stream at {}, at most {} subscribers",
           actor.address().text(), settings.subscribers_most);
  scheduler.run();
  log_counters(actor, counters, log);
  scheduler.clear();
  return 0;
}

}  // namespace hareramp::program
