// Decides how old a copy may be that serves a request: by the times for which its request class allows
// copies, by the purges that have arrived, and by those that may have been missed. Independent of clock and
// sockets.
#pragma once

#include "policy.hpp"
#include "policy/invalidations.hpp"
#include "policy/unseen_purges.hpp"

namespace hareramp::policy {

// How long the copies of a request class may be used, in seconds after the origin gave them out.
struct CopyLifetimes {
  Seconds fresh_for = 0;  // 0: until a purge
  Seconds stale_for = 0;  // past the fresh time, for requests that accept stale copies
};

class CopyAge {
 public:
  // purge_lifetime: seconds after which every node has dropped the copies that a purge names. purge_slack:
  // seconds after the notification of a purge for which older copies may still be served.
  CopyAge(Seconds purge_lifetime, Seconds purge_slack);

  Invalidations& invalidations() { return invalidations_; }
  UnseenPurges& unseen_purges() { return unseen_purges_; }

  // The greatest age in seconds; 0: any.
  Seconds max_age(Seconds now, ObjectId object, GroupId group, const CopyLifetimes& lifetimes,
                  bool accepts_stale) const;

 private:
  Invalidations invalidations_;
  UnseenPurges unseen_purges_;
};

}  // namespace hareramp::policy
