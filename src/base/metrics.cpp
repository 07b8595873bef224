// Implementation of the distributions on Boost.Accumulators.
#include "snipewalk/base/metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <array>
#include <utility>

namespace snipewalk {

namespace {

namespace acc = boost::accumulators;

using accumulator_set = acc::accumulator_set<
  double,
  acc::stats<acc::tag::count, acc::tag::mean, acc::tag::extended_p_square>>;

constexpr std::array<double, 3> kProbabilities = { 0.5, 0.9, 0.99 };

} // namespace

struct distribution::accumulators
{
  accumulator_set mSet{ acc::tag::extended_p_square::probabilities =
                          kProbabilities };
};

distribution::distribution(std::string aName, std::string aUnit)
  : mName(std::move(aName))
  , mUnit(std::move(aUnit))
  , mAccumulators(std::make_unique<accumulators>())
{
}

distribution::~distribution() = default;

void
distribution::Record(double aValue)
{
  mAccumulators->mSet(aValue);
}

metric_summary
distribution::Summary() const
{
  const auto& set = mAccumulators->mSet;
  metric_summary summary;
  summary.mName = mName;
  summary.mUnit = mUnit;
  summary.mCount = acc::count(set);
  if (summary.mCount > 0) {
    const auto quantiles = acc::extended_p_square(set);
    summary.mMean = acc::mean(set);
    summary.mP50 = quantiles[0];
    summary.mP90 = quantiles[1];
    summary.mP99 = quantiles[2];
  }
  return summary;
}

distribution&
metrics_registry::Get(const std::string& aName, const std::string& aUnit)
{
  auto& entry = mDistributions[aName];
  if (!entry) {
    entry = std::make_unique<distribution>(aName, aUnit);
  }
  return *entry;
}

void
metrics_registry::Count(const std::string& aName, std::uint64_t aBy)
{
  mCounters[aName] += aBy;
}

std::vector<metric_summary>
metrics_registry::Summaries() const
{
  std::vector<metric_summary> summaries;
  summaries.reserve(mDistributions.size());
  for (const auto& [name, entry] : mDistributions) {
    summaries.push_back(entry->Summary());
  }
  return summaries;
}

} // namespace snipewalk
