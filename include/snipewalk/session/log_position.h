// Positions in the replicated log of a service: the term of the primary that
// wrote an entry, and the index of the entry.
#ifndef SNIPEWALK_SESSION_LOG_POSITION_H_
#define SNIPEWALK_SESSION_LOG_POSITION_H_

#include <compare>
#include <cstdint>
#include <string>

namespace snipewalk {

// Ordered by term, then by index. The zero position precedes all entries.
struct log_position
{
  std::uint64_t mTerm = 0;
  std::uint64_t mIndex = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): misreads the defaulted operator.
  auto operator<=>(const log_position&) const = default;

  bool IsZero() const { return mTerm == 0 && mIndex == 0; }
  // Formats the position as "term.index", for log lines only.
  std::string ToString() const
  {
    return std::to_string(mTerm) + "." + std::to_string(mIndex);
  }
};

} // namespace snipewalk

#endif // SNIPEWALK_SESSION_LOG_POSITION_H_
