// Distributions of measured values in bounded memory: count, mean and
// quantiles estimated by Boost.Accumulators.
#ifndef SNIPEWALK_BASE_METRICS_H_
#define SNIPEWALK_BASE_METRICS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace snipewalk {

// Mean and quantiles are zero while the count is zero.
struct metric_summary
{
  std::string mName;
  // "ms", "bytes" and the like.
  std::string mUnit;
  std::uint64_t mCount = 0;
  double mMean = 0;
  double mP50 = 0;
  double mP90 = 0;
  double mP99 = 0;
};

// The P-square algorithm (extended_p_square) keeps a fixed number of markers a
// distribution. It is inexact for fewer than some tens of values.
class distribution
{
public:
  distribution(std::string aName, std::string aUnit);
  ~distribution();
  distribution(const distribution&) = delete;
  distribution& operator=(const distribution&) = delete;

  void Record(double aValue);
  metric_summary Summary() const;

private:
  struct accumulators;

  std::string mName;
  std::string mUnit;
  std::unique_ptr<accumulators> mAccumulators;
};

// Distributions and counters of one thread. Not thread-safe: summaries are
// copied out and published.
class metrics_registry
{
public:
  // The distribution with this name; made at its first use.
  distribution& Get(const std::string& aName, const std::string& aUnit);

  void Count(const std::string& aName, std::uint64_t aBy = 1);

  std::vector<metric_summary> Summaries() const;
  const std::map<std::string, std::uint64_t>& Counters() const
  {
    return mCounters;
  }

private:
  std::map<std::string, std::unique_ptr<distribution>> mDistributions;
  std::map<std::string, std::uint64_t> mCounters;
};

} // namespace snipewalk

#endif // SNIPEWALK_BASE_METRICS_H_
