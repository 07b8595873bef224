// Newest object version of a kind that other instances have seen, and what this
// instance does while its own view of the kind is older: it restarts its watch,
// and then asks another instance. A state machine without sockets or clocks.
#ifndef SNIPEWALK_SESSION_VERSION_HINT_H_
#define SNIPEWALK_SESSION_VERSION_HINT_H_

#include "snipewalk/base/time.h"

#include <algorithm>
#include <cstdint>
#include <optional>

namespace snipewalk {

class version_hint
{
public:
  // A version that other instances have seen must reach this instance's view
  // within this time; otherwise the watch is restarted, and again after each
  // further interval of this length.
  static constexpr milliseconds kRestartInterval{ 250 };
  // Another instance is asked after this time, which leaves a restarted watch
  // the time for one call, and again after each further interval of this
  // length.
  static constexpr milliseconds kRequestInterval{ 500 };

  // Notes a version that another instance has seen.
  void Note(std::uint64_t aVersion) { mVersion = std::max(mVersion, aVersion); }
  std::uint64_t Version() const { return mVersion; }

  // Notes whether this instance's view is as recent as Version().
  void Compare(bool aHasSeen, time_point aNow);

  // How long the view has been older than Version(); zero if it is not.
  duration BehindFor(time_point aNow) const;

  // Whether to restart the watch. The caller does so if it is true.
  bool TakeRestart(time_point aNow);
  // Whether to ask another instance. The caller does so if it is true.
  bool TakeRequest(time_point aNow);

private:
  std::uint64_t mVersion = 0;
  // Unset while the view is as recent as mVersion.
  std::optional<time_point> mBehindSince;
  time_point mRestartedAt = time_point::min();
  time_point mRequestedAt = time_point::min();
};

} // namespace snipewalk

#endif // SNIPEWALK_SESSION_VERSION_HINT_H_
