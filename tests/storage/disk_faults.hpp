// Fault injection for disk operations, inside the test's own process. The calls that change files (write,
// pwrite, ftruncate, fdatasync, msync, open for creation ...) are defined in the test program, so that the
// shared libraries under test, LMDB and SQLite, use these definitions too. Only calls on files below a given
// directory are counted and can fail.
#pragma once

#include <string>

namespace disk_faults {

enum class Effect {
  kFails,         // the call does nothing and reports failure
  kWritesHalf,    // a write writes half of its bytes; a call that can't be halved fails
  kDoneButFails,  // the call takes effect and nevertheless reports failure
  kKills,         // the process exits at this call, before it takes effect
};

// A step number that no run reaches. As the first step it means that no call is affected, as the last step
// that all calls from the first step on are.
constexpr int kNeverReached = 1 << 30;

struct Script {
  std::string directory;
  // Calls are counted from 1; those from the first to the last step have the effect.
  int first_step = kNeverReached;
  int last_step = 0;
  Effect effect = Effect::kFails;
  int error_number = 0;
  // The steps after the last one, up to and including this one, fail without doing anything.
  int fails_until = 0;
  // Sets the first and the last step to the step after the first fdatasync. In LMDB that is the write of the
  // meta page in a commit.
  bool after_first_sync = false;
};

// The script is active while the object exists. At most one object may exist at a time.
class Injection {
 public:
  explicit Injection(const Script& script);
  ~Injection();
  Injection(const Injection&) = delete;
  Injection& operator=(const Injection&) = delete;
  int steps() const;     // counted calls so far
  int failures() const;  // of these, the calls that the script affected
};

}  // namespace disk_faults
