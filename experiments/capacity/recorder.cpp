#include "capacity/recorder.hpp"

#include <algorithm>

#include "protocol/events.hpp"
#include "transport/clock.hpp"

namespace hareramp::capacity {

namespace {
constexpr std::uint64_t kFactor = 0x9e3779b97f4a7c15u;  // odd: it has an inverse modulo 2^64
constexpr std::uint64_t kMaxPurgeNumber = 10'000'000;   // highest number that is recorded

constexpr std::uint64_t inverse_of(std::uint64_t odd) {
  // Correct in the lowest three bits; each step doubles the number of correct bits.
  std::uint64_t inverse = odd;
  for (int step = 0; step < 5; ++step) inverse *= 2 - odd * inverse;
  return inverse;
}
static_assert(kFactor * inverse_of(kFactor) == 1);
}  // namespace

std::uint64_t object_of_purge(std::uint64_t purge) { return purge * kFactor; }
std::uint64_t purge_of_object(std::uint64_t object) { return object * inverse_of(kFactor); }

void Recorder::changes_arrived(std::vector<distribution::NumberedChange> changes, bool more_waits,
                               std::function<void(bool taken)> done) {
  for (const auto& [number, change] : changes)
    if (change["invalidate"].is_object()) record_purge(change["invalidate"]);
  receiver_.changes_arrived(std::move(changes), more_waits, std::move(done));
}

void Recorder::record_purge(const protocol::Json& purge) {
  ObjectId object;
  if (!protocol::parse_object_id(purge["object"].text(), object)) return;
  const std::uint64_t number = purge_of_object(object.value);
  if (number == 0 || number > kMaxPurgeNumber) return;  // a purge of a backlog, which is not recorded
  if (record_.seen.size() <= number) record_.seen.resize(number + 1);
  ++record_.received;
  if (record_.seen[number]++ > 0) ++record_.duplicates;
  if (number < record_.newest) ++record_.out_of_order;
  record_.newest = std::max(record_.newest, number);
  const double latency = transport::Clock::unix_now() - purge["time"].number(0) / 1000;
  if (latency > late_after_) ++record_.late;
  record_.max_latency_s = std::max(record_.max_latency_s, latency);
}

}  // namespace hareramp::capacity
