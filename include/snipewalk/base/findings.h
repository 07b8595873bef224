// Problems found in an input, each with its place. A reader collects them all
// and reports them together.
#ifndef SNIPEWALK_BASE_FINDINGS_H_
#define SNIPEWALK_BASE_FINDINGS_H_

#include <string>
#include <vector>

namespace snipewalk {

struct finding
{
  // File or object name.
  std::string mSource;
  // Both count from 1; zero when the problem has no place in the text.
  int mLine = 0;
  int mColumn = 0;
  // Path of the value, such as "servers[2].address".
  std::string mPath;
  // Stable name, such as "unknown_key"; operators confirm findings by it.
  std::string mName;
  std::string mMessage;
  // True when the document may confirm the finding by name.
  bool mConfirmable = false;
};

class findings
{
public:
  void Add(finding aFinding) { mAll.push_back(std::move(aFinding)); }
  bool empty() const { return mAll.empty(); }
  const std::vector<finding>& All() const { return mAll; }
  bool Has(const std::string& aName) const;

  // One line a finding: "source:line:column: path: message [name]".
  std::string ToString() const;

private:
  std::vector<finding> mAll;
};

} // namespace snipewalk

#endif // SNIPEWALK_BASE_FINDINGS_H_
