// Event numbers across restarts of a source. A restarted source counts from 1 again. A relay therefore puts
// an epoch, the number of restarts so far, above the bits of the source's own number, so that the numbers
// which a relay sends always rise.
#pragma once

namespace hareramp::distribution {

constexpr int kEpochShift = 32;  // bits of the source's own number: 4 billion events, over a year at 100/s
constexpr long long kSourceNumberMask = (1LL << kEpochShift) - 1;

constexpr long long epoch_of(long long number) { return number >> kEpochShift; }
// Replaces any epoch that the number already has.
constexpr long long number_in_epoch(long long epoch, long long source_number) {
  return (epoch << kEpochShift) | (source_number & kSourceNumberMask);
}

}  // namespace hareramp::distribution
