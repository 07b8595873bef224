// File that the threads of a load run append their history to.
#ifndef SNIPEWALK_LOAD_HISTORY_FILE_H_
#define SNIPEWALK_LOAD_HISTORY_FILE_H_

#include <fstream>
#include <mutex>
#include <string>

namespace snipewalk {

class history_file
{
public:
  // An empty path keeps no history.
  explicit history_file(const std::string& aPath);

  bool IsKept() const { return mKept; }
  // False when the file could not be opened or written.
  bool IsGood() const { return !mKept || mFile.good(); }
  // Whole lines with their ends. Any thread.
  void Append(const std::string& aLines);

private:
  bool mKept;
  std::mutex mMutex;
  std::ofstream mFile;
};

} // namespace snipewalk

#endif // SNIPEWALK_LOAD_HISTORY_FILE_H_
