// Implementation of the history file.
#include "snipewalk/load/history_file.h"

namespace snipewalk {

history_file::history_file(const std::string& aPath)
  : mKept(!aPath.empty())
{
  if (mKept) {
    mFile.open(aPath, std::ios::trunc);
  }
}

void
history_file::Append(const std::string& aLines)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mFile << aLines << std::flush;
}

} // namespace snipewalk
