// State of the stand-in for the platform's store: versioned objects, watches,
// the lagging list of instances and call rates. Without sockets or clocks.
#ifndef SNIPEWALK_STANDINS_STORE_STATE_H_
#define SNIPEWALK_STANDINS_STORE_STATE_H_

#include "snipewalk/base/time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace snipewalk::standins {

struct kept_object
{
  // The store's revision at the change.
  std::uint64_t mVersion = 0;
  bool mDeleted = false;
  std::string mValue;
};

// What a conditional change requires of the present version.
struct change_condition
{
  // If-None-Match: *
  bool mMustBeAbsent = false;
  // If-Match
  std::optional<std::uint64_t> mVersion;
};

class store_objects
{
public:
  using object_name = std::pair<std::string, std::string>;

  // Null when the object does not exist or was deleted.
  const kept_object* Get(const object_name& aName) const;
  // New version, or nothing when the condition does not hold.
  std::optional<std::uint64_t> Put(const object_name& aName,
                                   std::string aValue,
                                   const change_condition& aCondition);
  std::optional<std::uint64_t> Delete(const object_name& aName,
                                      const change_condition& aCondition);
  // Objects of a kind changed after `aFrom` in the order of their change. From
  // zero, deleted ones are left out.
  std::vector<std::pair<std::string, kept_object>> ChangedAfter(
    const std::string& aKind,
    std::uint64_t aFrom) const;
  std::uint64_t Revision() const { return mRevision; }

private:
  bool Holds(const object_name& aName,
             const change_condition& aCondition) const;

  // Deleted objects remain, so that watches report them.
  std::map<object_name, kept_object> mObjects;
  std::uint64_t mRevision = 0;
};

// The platform's list of instances. Changes become visible after a lag.
class instance_list
{
public:
  using instances = std::vector<std::pair<std::string, std::string>>;

  void SetLag(milliseconds aLag) { mLag = aLag; }
  void Set(instances aInstances, time_point aNow);
  const instances& Visible(time_point aNow);

private:
  milliseconds mLag{ 0 };
  std::deque<std::pair<time_point, instances>> mComing;
  instances mVisible;
};

// Counts calls by kind and in the present second.
class call_meter
{
public:
  enum class call_class
  {
    Read,
    Write
  };

  // Counts a call; false when it is above the limit of its class.
  bool Count(const std::string& aKind, call_class aClass, time_point aNow);
  void SetLimits(std::uint64_t aReads, std::uint64_t aWrites);
  const std::map<std::string, std::uint64_t>& ByKind() const { return mByKind; }
  std::uint64_t Refused() const { return mRefused; }
  // Largest number of calls that arrived within one second.
  std::uint64_t PeakReads() const { return mReads.mPeak; }
  std::uint64_t PeakWrites() const { return mWrites.mPeak; }
  std::uint64_t PeakCalls() const { return mAll.mPeak; }

private:
  // Calls of the last second.
  struct window
  {
    std::deque<time_point> mCalls;
    std::uint64_t mPeak = 0;
    std::uint64_t mLimit = 0;

    std::uint64_t Add(time_point aNow);
  };

  std::map<std::string, std::uint64_t> mByKind;
  std::uint64_t mRefused = 0;
  // Limits that the platform sustains (docs/design.md, section 1.3).
  window mReads{ {}, 0, 2'000 };
  window mWrites{ {}, 0, 500 };
  window mAll;
};

} // namespace snipewalk::standins

#endif // SNIPEWALK_STANDINS_STORE_STATE_H_
