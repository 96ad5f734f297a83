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

constexpr std::size_t kOwnDescriptors = 32;       // standard streams, epoll, signals, listener, source
constexpr std::size_t kUsualMemory = 192u << 20;  // bytes; only scales what a relay does not use

// As many descriptors as the system lets this process have, which must do for the subscribers.
void raise_descriptor_limit(std::size_t subscribers) {
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
  if (limit.rlim_max < subscribers + kOwnDescriptors)
    throw BadConfig(
        fmt::format("relay/subscribers_most is {}, but this process may have only {} descriptors, {} of them "
                    "its own: raise "
                    "the limit (ulimit -n) or lower subscribers_most",
                    subscribers, limit.rlim_max, kOwnDescriptors));
}

void log_counts(const distribution::RelayActor& actor, const Counters& counters, Log& log) {
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
  if (!settings.enabled) throw BadConfig("the operator's file has no relay switched on: relay/enabled");
  log.configure(operator_file.log_form, operator_file.log_level);
  raise_descriptor_limit(settings.subscribers_most);
  const protocol::Json nothing;
  const Limits limits = fill_limits(nothing, nothing);
  Counters counters;
  Scheduler scheduler;
  scheduler.on_failure = [&](std::exception_ptr failure) {
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
      const OperatorFile fresh = load_operator(operator_path, kUsualMemory);
      if (fresh.relay.sources.empty()) throw BadConfig("relay/sources is empty");
      actor.set_sources(fresh.relay.sources);
      log.configure(fresh.log_form, fresh.log_level);
    } catch (const std::exception& error) {
      log.warning("reload_failed", "relay: the operator's file stays as it is: {}", error.what());
    }
  };
  const auto heed_signals = [&]() -> Task<> {
    for (;;) {
      const int signal = co_await signals.next();
      if (signal == SIGUSR1) log_counts(actor, counters, log);
      if (signal == SIGHUP) reload();
      if (signal == SIGTERM || signal == SIGINT) scheduler.stop();
    }
  };
  actor.start();
  scheduler.spawn(heed_signals());
  log.info("relaying", "relay: serving the change stream at {}, {} subscribers at most",
           actor.address().text(), settings.subscribers_most);
  scheduler.run();
  log_counts(actor, counters, log);
  scheduler.clear();
  return 0;
}

}  // namespace hareramp::program
