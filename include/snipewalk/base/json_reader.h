// Reads JSON with comments into typed values and reports each problem with its
// line and column. Used for settings and service documents.
#ifndef SNIPEWALK_BASE_JSON_READER_H_
#define SNIPEWALK_BASE_JSON_READER_H_

#include "snipewalk/base/findings.h"
#include "snipewalk/base/name_table.h"

#include <cstdint>
#include <limits>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <json/value.h>

namespace snipewalk {

// A parsed text. Comments of both forms are allowed; duplicate keys, trailing
// commas and text after the value are findings.
class json_text
{
public:
  // Returns nothing after adding at least one finding when the text is not
  // JSON or is larger than `aLimitBytes`.
  static std::optional<json_text> Parse(
    const std::string& aText,
    const std::string& aSource,
    findings& aFindings,
    std::size_t aLimitBytes = kDefaultLimitBytes);

  const Json::Value& Root() const { return mRoot; }

  // A finding at the place of `aValue`, which belongs to this text.
  finding At(const Json::Value& aValue,
             std::string aPath,
             std::string aName,
             std::string aMessage) const;

  static constexpr std::size_t kDefaultLimitBytes = 1024 * 1024;

private:
  std::string mText;
  std::string mSource;
  Json::Value mRoot;
};

// Inclusive range of an integer.
struct integer_range
{
  std::int64_t mLow = 0;
  std::int64_t mHigh = std::numeric_limits<std::int64_t>::max();
};

// Reads the fields of one object. Missing or wrong fields become findings and
// yield the fallback; Finish() reports the keys that were never asked for.
class object_reader
{
public:
  object_reader(const json_text& aText,
                const Json::Value& aObject,
                std::string aPath,
                findings& aFindings);

  std::string RequiredString(const std::string& aName);
  std::string OptionalString(const std::string& aName, std::string aFallback);
  std::int64_t OptionalInteger(const std::string& aName,
                               std::int64_t aFallback,
                               integer_range aRange);
  // A number of `aLow` to `aHigh`, with or without a fraction.
  double OptionalNumber(const std::string& aName,
                        double aFallback,
                        double aLow,
                        double aHigh);
  bool OptionalBool(const std::string& aName, bool aFallback);
  std::vector<std::string> OptionalStrings(const std::string& aName);

  // "IP:port" with an IPv4 or bracketed IPv6 address and a port above zero.
  std::string RequiredAddress(const std::string& aName);

  template<typename Enum, std::size_t Count>
  Enum OptionalEnum(const std::string& aName,
                    const name_table<Enum, Count>& aTable,
                    Enum aFallback)
  {
    const Json::Value* value = Take(aName);
    if (!value) {
      return aFallback;
    }
    const auto known =
      value->isString() ? ValueOf(aTable, value->asString()) : std::nullopt;
    if (!known) {
      std::string names;
      for (const auto& entry : aTable) {
        names += (names.empty() ? "" : ", ") + std::string(entry.mName);
      }
      Report(*value, aName, "unknown_value", "must be one of: " + names);
      return aFallback;
    }
    return *known;
  }

  // The member, or nothing when it is absent or not an object (a finding).
  const Json::Value* Object(const std::string& aName, bool aRequired);
  // Likewise for arrays.
  const Json::Value* Array(const std::string& aName, bool aRequired);

  // Reports keys that no call asked for.
  void Finish();

  // Adds a finding at a value of this object.
  void Report(const Json::Value& aValue,
              const std::string& aName,
              std::string aFindingName,
              std::string aMessage);
  // Adds a finding at the object itself.
  void ReportHere(const std::string& aName,
                  std::string aFindingName,
                  std::string aMessage);

  // Path of a member, such as "callers.address".
  std::string PathOf(const std::string& aName) const;
  const json_text& Text() const { return mText; }
  findings& Findings() { return mFindings; }

private:
  const Json::Value* Take(const std::string& aName);

  const json_text& mText;
  const Json::Value& mObject;
  std::string mPath;
  findings& mFindings;
  std::set<std::string> mAsked;
};

// Whether the text is "IP:port" with a port from 1 to 65535.
bool
IsAddress(const std::string& aText);

// Whether the text is a name: 1 to 64 letters, digits, '.', '-' or '_'.
bool
IsName(const std::string& aText);

} // namespace snipewalk

#endif // SNIPEWALK_BASE_JSON_READER_H_
