// A disk that fails as a script says, inside the test's own process: the calls that change files (write,
// pwrite, ftruncate, fdatasync, msync, open for creation ...) are defined in the test program, and so taken
// by the shared libraries under test, LMDB and SQLite, too. Only calls on files below a given folder are
// counted and can fail.
#pragma once

#include <string>

namespace disk_faults {

enum class Effect {
  kFails,         // nothing is done, and the call says so
  kWritesHalf,    // a write takes half of its bytes; what can't be halved fails
  kDoneButFails,  // the call does its work and yet says that it failed
  kKills,         // the process ends at this call, before its work
};

constexpr int kNeverReached = 1 << 30;

struct Script {
  std::string directory;
  int first_step =
      kNeverReached;  // calls are counted from 1; those from the first to the last step have the effect
  int last_step = 0;
  Effect effect = Effect::kFails;
  int error_number = 0;
  // The steps after the last one up to this one fail without doing anything.
  int fails_until = 0;
  // The first and last step is the one after the first fdatasync: in LMDB, a commit's write of the meta page.
  bool after_first_sync = false;
};

// The script is in force until the object goes. One at a time.
class Injection {
 public:
  explicit Injection(const Script& script);
  ~Injection();
  Injection(const Injection&) = delete;
  Injection& operator=(const Injection&) = delete;
  int steps() const;     // calls so far
  int failures() const;  // of these, calls that the script had fail
};

}  // namespace disk_faults
