// Numbers of events over the lives of a source. A source that begins anew counts from 1 again; what relays
// tell carries, above the source's number, how often that has happened, so that numbers always rise.
#pragma once

namespace hareramp::distribution {

constexpr int kEpochShift = 32;  // bits of the source's own number: 4 billion events, over a year at 100/s
constexpr long long kSourceNumberMask = (1LL << kEpochShift) - 1;

constexpr long long epoch_of(long long number) { return number >> kEpochShift; }
constexpr long long numbered(long long epoch, long long source_number) {
  return (epoch << kEpochShift) | (source_number & kSourceNumberMask);
}

}  // namespace hareramp::distribution
