// Program: checks the history of a load run. Exit code 0 when it is correct, 1
// on a violation, 2 on bad input.
#include "snipewalk/base/command_line.h"
#include "snipewalk/load/history_check.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/strings/str_split.h>

#include <fstream>
#include <iomanip>
#include <iostream>
#include <utility>

ABSL_FLAG(std::string, history, "", "file with the history as JSON lines");
ABSL_FLAG(std::vector<std::string>,
          logs,
          {},
          "final logs, each <service>=<file with pages of /standin/log>");
ABSL_FLAG(std::uint32_t,
          show,
          20,
          "findings shown of each violation; the counts include all");

namespace {

constexpr int kExitViolation = 1;
constexpr int kExitBadInput = 2;

using namespace snipewalk;

// Reads all --logs; false after reporting each that cannot be read.
bool
ReadLogs(final_logs& aLogs)
{
  bool allRead = true;
  for (const std::string& log : absl::GetFlag(FLAGS_logs)) {
    const std::pair<std::string, std::string> parts =
      absl::StrSplit(log, absl::MaxSplits('=', 1));
    std::ifstream file(parts.second);
    auto entries =
      file ? ReadFinalLog(file) : absl::NotFoundError("cannot open the file");
    if (!entries.ok()) {
      std::cerr << "log " << log << ": " << entries.status().message() << "\n";
      allRead = false;
      continue;
    }
    aLogs[parts.first] = *std::move(entries);
  }
  return allRead;
}

void
Print(const history_report& aReport)
{
  std::cout << "requests " << aReport.mRequests << ", reads " << aReport.mReads
            << ", acknowledged writes " << aReport.mAcknowledgedWrites
            << ", unresolved writes " << aReport.mUnresolvedWrites
            << ", transactions " << aReport.mTransactions << ", log entries "
            << aReport.mLogEntries << "\n";
  const auto counts = aReport.CountsByViolation();
  for (const auto& entry : kViolationNames) {
    const auto found = counts.find(entry.mValue);
    std::cout << std::left << std::setw(20) << entry.mName
              << (found == counts.end() ? 0 : found->second) << "\n";
  }
  std::map<violation, std::uint32_t> shown;
  for (const history_finding& finding : aReport.mFindings) {
    if (++shown[finding.mViolation] <= absl::GetFlag(FLAGS_show)) {
      std::cout << NameOf(kViolationNames, finding.mViolation)
                << " service=" << finding.mService << " key=" << finding.mKey
                << " session=" << finding.mSession << " at=" << finding.mAt
                << ": " << finding.mText << "\n";
    }
  }
}

} // namespace

int
main(int argc, char** argv)
{
  snipewalk::DescribeProgram("snipewalk-check",
                             "checks the history of a load run");
  absl::ParseCommandLine(argc, argv);
  std::ifstream file(absl::GetFlag(FLAGS_history));
  const auto history =
    file ? ReadHistory(file) : absl::NotFoundError("cannot open the file");
  if (!history.ok()) {
    std::cerr << "history " << absl::GetFlag(FLAGS_history) << ": "
              << history.status().message() << "\n";
  }
  if (history.ok() && history->empty()) {
    std::cerr << "the history is empty, so it shows nothing\n";
    return kExitBadInput;
  }
  final_logs logs;
  if (!ReadLogs(logs) || !history.ok()) {
    return kExitBadInput;
  }
  const history_report report = CheckHistory(*history, logs);
  Print(report);
  return report.mFindings.empty() ? 0 : kExitViolation;
}
