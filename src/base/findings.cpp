// Implementation of findings.
#include "snipewalk/base/findings.h"

#include <algorithm>

namespace snipewalk {

namespace {

std::string
LineOf(const finding& aFinding)
{
  std::string line = aFinding.mSource;
  if (aFinding.mLine > 0) {
    line += ":" + std::to_string(aFinding.mLine) + ":" +
            std::to_string(aFinding.mColumn);
  }
  line += ": ";
  if (!aFinding.mPath.empty()) {
    line += aFinding.mPath + ": ";
  }
  line += aFinding.mMessage + " [" + aFinding.mName + "]";
  if (aFinding.mConfirmable) {
    line += " (can be confirmed)";
  }
  return line;
}

} // namespace

bool
findings::Has(const std::string& aName) const
{
  return std::any_of(mAll.begin(), mAll.end(), [&](const finding& aFinding) {
    return aFinding.mName == aName;
  });
}

std::string
findings::ToString() const
{
  std::string text;
  for (const auto& one : mAll) {
    text += LineOf(one) + "\n";
  }
  return text;
}

} // namespace snipewalk
