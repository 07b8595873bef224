// Callers of the scripts: one that writes rising values to an item, and readers
// that compare what they get with what was acknowledged before.
#ifndef REVIEW_STANDIN_2_CALLERS_H_
#define REVIEW_STANDIN_2_CALLERS_H_

#include "standin-2/deployment.hh"

#include <algorithm>
#include <atomic>
#include <functional>

namespace review {

// Database with a route of the kind "primary".
inline constexpr const char* kRoute = "main";

// The item that is written at present, and its newest acknowledged value. Each
// item gets rising values; one whose write was not acknowledged is written no
// more, as that write may take effect later.
class written_item
{
public:
  struct state
  {
    std::string mPrefix;
    int mItem = 0;
    int mNewest = 0;
  };
  explicit written_item(std::string aPrefix = "k")
    : mState{ std::move(aPrefix) }
  {
  }
  void Acknowledge(int aValue)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mState.mNewest = std::max(mState.mNewest, aValue);
  }
  void Leave()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    ++mState.mItem;
    mState.mNewest = 0;
  }
  state Get()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mState;
  }

private:
  std::mutex mMutex;
  state mState;
};

inline std::string
ItemName(const written_item::state& aState)
{
  return aState.mPrefix + std::to_string(aState.mItem);
}

inline std::string
OneLine(std::string aText)
{
  std::replace(aText.begin(), aText.end(), '\r', ' ');
  std::replace(aText.begin(), aText.end(), '\n', '/');
  return aText;
}

// Calls `aUse` with an open session, again and again.
inline void
WithSessions(std::uint16_t aPort,
             const std::atomic<bool>& aStop,
             const std::function<bool(session_caller&)>& aUse)
{
  while (!aStop) {
    try {
      session_caller session(aPort, milliseconds(1'500));
      const auto opened = session.Start(kRoute);
      if (!opened.mWhole || !opened.mError.empty()) {
        SleepMs(50);
        continue;
      }
      while (!aStop && aUse(session)) {
      }
    } catch (const std::exception&) {
    }
    SleepMs(20);
  }
}

// Writes until it is told to stop.
inline void
WriteItems(std::uint16_t aPort,
           const std::string& aInstance,
           written_item& aItem,
           record& aLines,
           const std::atomic<bool>& aStop)
{
  int value = 0;
  WithSessions(aPort, aStop, [&](session_caller& aAt) {
    const std::string text = std::to_string(++value);
    const std::string name = ItemName(aItem.Get());
    const auto answer = aAt.Query("WRITE " + name + " " + text);
    if (answer.mCompleted) {
      aItem.Acknowledge(value);
      aLines.Line("write of " + text + " to " + name + " acknowledged by " +
                  aInstance + ": " + OneLine(answer.mText));
    } else {
      aItem.Leave();
    }
    SleepMs(10);
    return answer.mWhole;
  });
}

// The same in transactions of one write, with a pause of 20 to 200 ms before the
// commit.
inline void
WriteItemsInTransactions(std::uint16_t aPort,
                         const std::string& aInstance,
                         written_item& aItem,
                         record& aLines,
                         const std::atomic<bool>& aStop)
{
  int value = 0;
  WithSessions(aPort, aStop, [&](session_caller& aAt) {
    const std::string text = std::to_string(++value);
    const std::string name = ItemName(aItem.Get());
    bool whole = aAt.Query("BEGIN").mCompleted &&
                 aAt.Query("WRITE " + name + " " + text).mCompleted;
    if (whole) {
      SleepMs(20 + 45 * (value % 5));
      const auto answer = aAt.Query("COMMIT");
      whole = answer.mCompleted;
      if (whole) {
        aItem.Acknowledge(value);
        aLines.Line("commit of " + text + " to " + name + " acknowledged by " +
                    aInstance + ": " + OneLine(answer.mText));
      } else {
        aItem.Leave();
      }
    }
    SleepMs(5);
    return whole;
  });
}

// Reads until it is told to stop; counts the reads and the stale ones.
inline void
ReadItems(std::uint16_t aPort,
          const std::string& aInstance,
          written_item& aItem,
          record& aLines,
          const std::atomic<bool>& aStop,
          std::atomic<int>& aReads,
          std::atomic<int>& aStale)
{
  WithSessions(aPort, aStop, [&](session_caller& aAt) {
    const auto before = aItem.Get();
    const auto sent = NowMs();
    const auto answer = aAt.Query("READ " + ItemName(before));
    if (answer.mCompleted) {
      ++aReads;
      const int seen = std::atoi(answer.mRow.c_str());
      const std::string text = OneLine(answer.mText);
      if (seen >= before.mNewest) {
        aLines.Line("read of " + ItemName(before) + " by " + aInstance + ": " +
                    text);
      } else {
        ++aStale;
        aLines.Line("STALE: read of " + ItemName(before) + " sent at " +
                    std::to_string(sent) + " ms to " + aInstance + " got " +
                    answer.mRow + ", though " +
                    std::to_string(before.mNewest) +
                    " was acknowledged before: " + text);
      }
    }
    SleepMs(15);
    return answer.mWhole;
  });
}

} // namespace review

#endif // REVIEW_STANDIN_2_CALLERS_H_
