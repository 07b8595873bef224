// Figures of a load run: latencies, throughput, where reads were served and
// how long writes stood still.
#ifndef SNIPEWALK_LOAD_LOAD_STATISTICS_H_
#define SNIPEWALK_LOAD_LOAD_STATISTICS_H_

#include "snipewalk/load/history.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace snipewalk {

// Latencies in microseconds.
struct latency_summary
{
  std::size_t mCount = 0;
  std::int64_t mP50 = 0;
  std::int64_t mP90 = 0;
  std::int64_t mP99 = 0;
  std::int64_t mP999 = 0;
  std::int64_t mMax = 0;
};

struct load_report
{
  double mSeconds = 0;
  // Done requests of all kinds in a second.
  double mDonePerSecond = 0;
  std::map<std::string, latency_summary> mLatencies;
  std::map<std::string, std::size_t> mDone;
  std::map<std::string, std::size_t> mNotRun;
  std::map<std::string, std::size_t> mUnknown;
  // Refusals and unknown outcomes by reason.
  std::map<std::string, std::size_t> mReasons;
  // Reads outside transactions by replicas, in percent; -1 without reads.
  double mReplicaPercent = -1;
  // Longest time without an acknowledged write, in milliseconds, by service.
  std::map<std::string, double> mGapMs;
  std::map<std::string, std::size_t> mReadsByServer;
};

class load_statistics
{
public:
  void Add(const history_record& aRecord);
  void Merge(const load_statistics& aOther);
  // `aEnd` is the time at which the callers stopped; a service that took no
  // more writes has a gap up to it. Times are those of the records.
  load_report Report(std::int64_t aStart, std::int64_t aEnd) const;

private:
  // Per service.
  struct service_figures
  {
    std::vector<std::int64_t> mAcknowledged;
    // Server that executed the last acknowledged write: the primary as far as
    // callers can tell.
    std::string mPrimary;
    std::size_t mReadsByPrimary = 0;
    std::size_t mReadsByReplicas = 0;
  };

  std::map<history_kind, std::vector<std::int64_t>> mLatencies;
  std::map<history_kind, std::map<statement_outcome, std::size_t>> mOutcomes;
  std::map<std::string, std::size_t> mReasons;
  std::map<std::string, service_figures> mServices;
  std::map<std::string, std::size_t> mReadsByServer;
};

// Quantiles by the nearest-rank method. Reorders the values.
latency_summary
SummariseLatencies(std::vector<std::int64_t>& aValues);

std::string
WriteReportTable(const load_report& aReport);

std::string
WriteReportJson(const load_report& aReport);

} // namespace snipewalk

#endif // SNIPEWALK_LOAD_LOAD_STATISTICS_H_
