#include "policy/copy_age.hpp"

#include <algorithm>

namespace hareramp::policy {

namespace {
// Smallest age bound: it must never round to 0, which means any age.
constexpr Seconds kMinCopyAge = 1e-5;
// Purges that arrived count for this much longer: they were issued a little before they arrived.
constexpr Seconds kDeliveryMargin = 1;
// Fraction of the purge slack that purges have to arrive after the stream's source was asked for them; the
// rest is for attempts on their way to a node.
constexpr double kArrivalFraction = 0.5;
}  // namespace

CopyAge::CopyAge(Seconds purge_lifetime, Seconds purge_slack)
    : invalidations_(purge_lifetime + kDeliveryMargin),
      unseen_purges_(purge_lifetime, kArrivalFraction * purge_slack) {}

Seconds CopyAge::max_age(Seconds now, ObjectId object, GroupId group, const CopyLifetimes& lifetimes,
                         bool accepts_stale) const {
  const bool may_be_stale = lifetimes.fresh_for > 0 && accepts_stale;
  const Seconds bound = lifetimes.fresh_for + (may_be_stale ? lifetimes.stale_for : 0);
  // Rule 5: a purge counts until every node must have dropped its older copies.
  const auto purged_at =
      std::max(invalidations_.latest_purge(object, group), unseen_purges_.latest_purge(now));
  if (!purged_at) return bound;
  const Seconds since = std::max(now - *purged_at, kMinCopyAge);
  return bound > 0 ? std::min(bound, since) : since;
}

}  // namespace hareramp::policy
