// Implementation of the reader for JSON with comments, on jsoncpp.
#include "snipewalk/base/json_reader.h"

#include <Poco/Exception.h>
#include <Poco/Net/IPAddress.h>

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <json/reader.h>

#include <algorithm>
#include <sstream>
#include <utility>

namespace snipewalk {

namespace {

constexpr std::size_t kNameLimitChars = 64;
// Deeper settings and documents are mistakes or attacks.
constexpr int kDepthLimit = 32;

std::unique_ptr<Json::CharReader>
NewReader()
{
  Json::CharReaderBuilder builder;
  builder["collectComments"] = false;
  builder["allowComments"] = true;
  builder["allowTrailingCommas"] = false;
  builder["strictRoot"] = true;
  builder["rejectDupKeys"] = true;
  builder["failIfExtra"] = true;
  builder["stackLimit"] = kDepthLimit;
  return std::unique_ptr<Json::CharReader>(builder.newCharReader());
}

std::pair<int, int>
LineAndColumn(const std::string& aText, std::ptrdiff_t aOffset)
{
  const auto end =
    aText.begin() + std::min<std::ptrdiff_t>(
                      aOffset, static_cast<std::ptrdiff_t>(aText.size()));
  const auto line = 1 + std::count(aText.begin(), end, '\n');
  const auto lineStart =
    std::find(std::make_reverse_iterator(end), aText.rend(), '\n').base();
  return { static_cast<int>(line), static_cast<int>(end - lineStart) + 1 };
}

// jsoncpp reports "* Line 3, Column 7\n  message\n"; the first report counts,
// later ones follow from it.
finding
SyntaxFinding(const std::string& aSource, const std::string& aErrors)
{
  finding result{ aSource, 1, 1, "", "syntax", "", false };
  std::istringstream lines(aErrors);
  std::string first;
  std::getline(lines, first);
  if (std::sscanf(first.c_str(),
                  "* Line %d, Column %d",
                  &result.mLine,
                  &result.mColumn) != 2) {
    result.mMessage = first;
    return result;
  }
  std::getline(lines, result.mMessage);
  result.mMessage.erase(0, result.mMessage.find_first_not_of(' '));
  return result;
}

// One spelling for each port: two addresses that differ as texts are two.
bool
IsPort(const std::string& aText)
{
  constexpr std::size_t kMaxDigits = 5;
  constexpr int kHighestPort = 65'535;
  const bool digits = !aText.empty() && aText.size() <= kMaxDigits &&
                      aText.front() != '0' &&
                      std::all_of(aText.begin(), aText.end(), [](char aChar) {
                        return aChar >= '0' && aChar <= '9';
                      });
  return digits && std::stoi(aText) <= kHighestPort;
}

} // namespace

std::optional<json_text>
json_text::Parse(const std::string& aText,
                 const std::string& aSource,
                 findings& aFindings,
                 std::size_t aLimitBytes)
{
  if (aText.size() > aLimitBytes) {
    aFindings.Add({ aSource,
                    0,
                    0,
                    "",
                    "too_large",
                    "has more than " + std::to_string(aLimitBytes) + " bytes",
                    false });
    return std::nullopt;
  }
  json_text text;
  text.mText = aText;
  text.mSource = aSource;
  std::string errors;
  bool parsed = false;
  try {
    parsed = NewReader()->parse(
      aText.data(), aText.data() + aText.size(), &text.mRoot, &errors);
  } catch (const Json::Exception& exception) {
    // jsoncpp throws when the nesting exceeds the stack limit.
    errors = exception.what();
  }
  if (!parsed) {
    aFindings.Add(SyntaxFinding(aSource, errors));
    return std::nullopt;
  }
  return text;
}

finding
json_text::At(const Json::Value& aValue,
              std::string aPath,
              std::string aName,
              std::string aMessage) const
{
  const auto [line, column] = LineAndColumn(mText, aValue.getOffsetStart());
  return { mSource,
           line,
           column,
           std::move(aPath),
           std::move(aName),
           std::move(aMessage),
           false };
}

object_reader::object_reader(const json_text& aText,
                             const Json::Value& aObject,
                             std::string aPath,
                             findings& aFindings)
  : mText(aText)
  , mObject(aObject)
  , mPath(std::move(aPath))
  , mFindings(aFindings)
{
  if (!mObject.isObject()) {
    mFindings.Add(mText.At(mObject, mPath, "wrong_type", "must be an object"));
  }
}

std::string
object_reader::PathOf(const std::string& aName) const
{
  return mPath.empty() ? aName : mPath + "." + aName;
}

const Json::Value*
object_reader::Take(const std::string& aName)
{
  mAsked.insert(aName);
  if (!mObject.isObject()) {
    return nullptr;
  }
  return mObject.find(aName.data(), aName.data() + aName.size());
}

void
object_reader::Report(const Json::Value& aValue,
                      const std::string& aName,
                      std::string aFindingName,
                      std::string aMessage)
{
  mFindings.Add(mText.At(
    aValue, PathOf(aName), std::move(aFindingName), std::move(aMessage)));
}

void
object_reader::ReportHere(const std::string& aName,
                          std::string aFindingName,
                          std::string aMessage)
{
  Report(mObject, aName, std::move(aFindingName), std::move(aMessage));
}

std::string
object_reader::RequiredString(const std::string& aName)
{
  const Json::Value* value = Take(aName);
  if (!value) {
    if (mObject.isObject()) {
      ReportHere(aName, "missing", "is required");
    }
    return {};
  }
  if (!value->isString() || value->asString().empty()) {
    Report(*value, aName, "wrong_type", "must be a non-empty string");
    return {};
  }
  return value->asString();
}

std::string
object_reader::OptionalString(const std::string& aName, std::string aFallback)
{
  const Json::Value* value = Take(aName);
  if (!value) {
    return aFallback;
  }
  if (!value->isString()) {
    Report(*value, aName, "wrong_type", "must be a string");
    return aFallback;
  }
  return value->asString();
}

std::int64_t
object_reader::OptionalInteger(const std::string& aName,
                               std::int64_t aFallback,
                               integer_range aRange)
{
  const Json::Value* value = Take(aName);
  if (!value) {
    return aFallback;
  }
  if (!value->isInt64()) {
    Report(*value, aName, "wrong_type", "must be a whole number");
    return aFallback;
  }
  if (value->asInt64() < aRange.mLow || value->asInt64() > aRange.mHigh) {
    Report(*value,
           aName,
           "out_of_range",
           "must be from " + std::to_string(aRange.mLow) + " to " +
             std::to_string(aRange.mHigh));
    return aFallback;
  }
  return value->asInt64();
}

double
object_reader::OptionalNumber(const std::string& aName,
                              double aFallback,
                              double aLow,
                              double aHigh)
{
  const Json::Value* value = Take(aName);
  if (!value) {
    return aFallback;
  }
  if (!value->isNumeric()) {
    Report(*value, aName, "wrong_type", "must be a number");
    return aFallback;
  }
  if (value->asDouble() < aLow || value->asDouble() > aHigh) {
    Report(*value, aName, "out_of_range", "is out of range");
    return aFallback;
  }
  return value->asDouble();
}

bool
object_reader::OptionalBool(const std::string& aName, bool aFallback)
{
  const Json::Value* value = Take(aName);
  if (!value) {
    return aFallback;
  }
  if (!value->isBool()) {
    Report(*value, aName, "wrong_type", "must be true or false");
    return aFallback;
  }
  return value->asBool();
}

std::vector<std::string>
object_reader::OptionalStrings(const std::string& aName)
{
  std::vector<std::string> strings;
  const Json::Value* array = Array(aName, false);
  if (!array) {
    return strings;
  }
  for (Json::ArrayIndex i = 0; i < array->size(); ++i) {
    const Json::Value& item = (*array)[i];
    if (item.isString()) {
      strings.push_back(item.asString());
    } else {
      Report(item,
             aName + "[" + std::to_string(i) + "]",
             "wrong_type",
             "must be a string");
    }
  }
  return strings;
}

std::string
object_reader::RequiredAddress(const std::string& aName)
{
  const Json::Value* value = Take(aName);
  std::string address = RequiredString(aName);
  if (!address.empty() && !IsAddress(address)) {
    Report(*value,
           aName,
           "bad_address",
           "must be an IP number and a port, such as 10.0.0.7:5000");
    return {};
  }
  return address;
}

const Json::Value*
object_reader::Object(const std::string& aName, bool aRequired)
{
  const Json::Value* value = Take(aName);
  if (!value) {
    if (aRequired && mObject.isObject()) {
      ReportHere(aName, "missing", "is required");
    }
    return nullptr;
  }
  if (!value->isObject()) {
    Report(*value, aName, "wrong_type", "must be an object");
    return nullptr;
  }
  return value;
}

const Json::Value*
object_reader::Array(const std::string& aName, bool aRequired)
{
  const Json::Value* value = Take(aName);
  if (!value) {
    if (aRequired && mObject.isObject()) {
      ReportHere(aName, "missing", "is required");
    }
    return nullptr;
  }
  if (!value->isArray()) {
    Report(*value, aName, "wrong_type", "must be an array");
    return nullptr;
  }
  return value;
}

void
object_reader::Finish()
{
  if (!mObject.isObject()) {
    return;
  }
  for (auto member = mObject.begin(); member != mObject.end(); ++member) {
    if (!mAsked.contains(member.name())) {
      Report(*member, member.name(), "unknown_key", "is not a known key");
    }
  }
}

bool
IsAddress(const std::string& aText)
{
  const std::size_t colon = aText.rfind(':');
  const bool blank = std::any_of(aText.begin(), aText.end(), [](char aChar) {
    return absl::ascii_isspace(static_cast<unsigned char>(aChar));
  });
  if (colon == std::string::npos || blank) {
    return false;
  }
  std::string host = aText.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  } else if (host.find(':') != std::string::npos) {
    return false;
  }
  Poco::Net::IPAddress parsed;
  return IsPort(aText.substr(colon + 1)) &&
         Poco::Net::IPAddress::tryParse(host, parsed);
}

bool
IsName(const std::string& aText)
{
  return !aText.empty() && aText.size() <= kNameLimitChars &&
         std::all_of(aText.begin(), aText.end(), [](unsigned char aByte) {
           return absl::ascii_isalnum(aByte) || aByte == '.' || aByte == '-' ||
                  aByte == '_';
         });
}

} // namespace snipewalk
