// Implementation of the JSON-lines logs.
#include "snipewalk/base/log.h"

#include <json/value.h>
#include <json/writer.h>
#include <log4cplus/appender.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <log4cplus/spi/loggingevent.h>

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <sstream>
#include <utility>

namespace snipewalk {

namespace {

std::string&
InstanceName()
{
  static std::string name;
  return name;
}

// Limit of a quoted text in bytes, without its quotes. Texts may come from
// callers, and a line must stay below bounded_appender::kAtomicBytes.
constexpr std::size_t kMaxQuotedBytes = 512;
// Stands for the rest of a text that is cut.
constexpr std::string_view kCut = "...";

// Text between the quotes of a JSON string.
std::string
EscapeJson(std::string_view aText)
{
  std::string escaped;
  while (true) {
    // The library takes the text up to its first zero byte.
    const std::size_t end = aText.find('\0');
    const std::string part(aText.substr(0, end));
    const std::string quoted = Json::valueToQuotedString(part.c_str());
    escaped.append(quoted, 1, quoted.size() - 2);
    if (end == std::string_view::npos) {
      return escaped;
    }
    escaped += "\\u0000";
    aText.remove_prefix(end + 1);
  }
}

std::string
QuoteJson(std::string_view aText)
{
  std::string_view kept = aText.substr(0, kMaxQuotedBytes);
  std::string escaped = EscapeJson(kept);
  while (escaped.size() > kMaxQuotedBytes) {
    kept = kept.substr(0, kept.size() / 2);
    escaped = EscapeJson(kept);
  }
  const bool cut = kept.size() < aText.size();
  return "\"" + escaped + (cut ? std::string(kCut) : std::string()) + "\"";
}

log4cplus::LogLevel
LevelOf(log_level aLevel)
{
  switch (aLevel) {
    case log_level::Debug:
      return log4cplus::DEBUG_LOG_LEVEL;
    case log_level::Info:
      return log4cplus::INFO_LOG_LEVEL;
    case log_level::Warning:
      return log4cplus::WARN_LOG_LEVEL;
    case log_level::Error:
      return log4cplus::ERROR_LOG_LEVEL;
    case log_level::Off:
      break;
  }
  return log4cplus::OFF_LOG_LEVEL;
}

std::string_view
LevelName(log4cplus::LogLevel aLevel)
{
  for (const auto& [value, name] : kLogLevelNames) {
    if (LevelOf(value) == aLevel) {
      return name;
    }
  }
  return "info";
}

// Writes one JSON object a line. The event's message holds the fields already
// serialised, so that the layout only adds time, level and module.
class json_layout : public log4cplus::Layout
{
public:
  void formatAndAppend(
    log4cplus::tostream& aOutput,
    const log4cplus::spi::InternalLoggingEvent& aEvent) override
  {
    const auto sinceEpoch = aEvent.getTimestamp().time_since_epoch();
    const auto micros =
      std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch);
    aOutput << "{\"time_us\":" << micros.count() << ",\"level\":\""
            << LevelName(aEvent.getLogLevel())
            << "\",\"instance\":" << QuoteJson(InstanceName())
            << ",\"module\":" << QuoteJson(aEvent.getLoggerName())
            << aEvent.getMessage() << "}\n";
  }
};

// Writes lines to standard output within a rate, and none that would block.
class bounded_appender : public log4cplus::Appender
{
public:
  explicit bounded_appender(int aLinesPerSecond)
    : mLinesPerSecond(aLinesPerSecond)
    , mAllowance(aLinesPerSecond)
  {
  }
  ~bounded_appender() override { destructorImpl(); }

  void close() override {}

protected:
  void append(const log4cplus::spi::InternalLoggingEvent& aEvent) override
  {
    Refill(std::chrono::steady_clock::now());
    if (mAllowance < 1) {
      ++mDropped;
      return;
    }
    mAllowance -= 1;
    std::ostringstream text;
    layout->formatAndAppend(text, aEvent);
    std::string line = text.str();
    if (mDropped > 0) {
      // In the object, before its closing brace and line end.
      line.insert(line.size() - 2,
                  ",\"dropped_before\":" + std::to_string(mDropped));
    }
    if (Write(line)) {
      mDropped = 0;
    } else {
      ++mDropped;
    }
  }

private:
  // A pipe that polls as writable takes this much without blocking.
  static constexpr std::size_t kAtomicBytes = 4'096;

  void Refill(std::chrono::steady_clock::time_point aNow)
  {
    const std::chrono::duration<double> passed = aNow - mRefilledAt;
    mRefilledAt = aNow;
    mAllowance = std::min(mAllowance + passed.count() * mLinesPerSecond,
                          static_cast<double>(mLinesPerSecond));
  }

  static bool Write(const std::string& aLine)
  {
    pollfd output{ STDOUT_FILENO, POLLOUT, 0 };
    if (aLine.size() > kAtomicBytes || ::poll(&output, 1, 0) != 1 ||
        (output.revents & POLLOUT) == 0) {
      return false;
    }
    return ::write(STDOUT_FILENO, aLine.data(), aLine.size()) ==
           static_cast<ssize_t>(aLine.size());
  }

  double mLinesPerSecond;
  double mAllowance;
  std::chrono::steady_clock::time_point mRefilledAt =
    std::chrono::steady_clock::now();
  // Lines since the last one that was written.
  std::uint64_t mDropped = 0;
};

log4cplus::SharedAppenderPtr
MakeAppender(const log_settings& aSettings)
{
  if (aSettings.mTarget == log_target::BoundedStandardOutput) {
    return log4cplus::SharedAppenderPtr(
      new bounded_appender(aSettings.mLinesPerSecond));
  }
  return log4cplus::SharedAppenderPtr(
    new log4cplus::ConsoleAppender(true, true));
}

struct value_writer
{
  std::string operator()(std::string_view aValue) const
  {
    return QuoteJson(aValue);
  }
  std::string operator()(std::int64_t aValue) const
  {
    return std::to_string(aValue);
  }
  std::string operator()(double aValue) const
  {
    return Json::valueToString(aValue);
  }
  std::string operator()(bool aValue) const
  {
    return aValue ? "true" : "false";
  }
};

} // namespace

void
InitLogs(const log_settings& aSettings)
{
  InstanceName() = aSettings.mInstance;
  log4cplus::initialize();
  const log4cplus::SharedAppenderPtr appender = MakeAppender(aSettings);
  appender->setLayout(std::make_unique<json_layout>());
  log4cplus::Logger root = log4cplus::Logger::getRoot();
  root.removeAllAppenders();
  root.addAppender(appender);
  root.setLogLevel(LevelOf(aSettings.mLevel));
  for (const auto& [module, level] : aSettings.mModules) {
    log4cplus::Logger::getInstance(module).setLogLevel(LevelOf(level));
  }
}

void
SetLogLevel(log_level aLevel)
{
  log4cplus::Logger::getRoot().setLogLevel(LevelOf(aLevel));
}

void
Log(log_level aLevel,
    std::string_view aModule,
    std::string_view aMessage,
    std::initializer_list<log_field> aFields)
{
  static const bool initialized = [] {
    log4cplus::initialize();
    return true;
  }();
  (void)initialized;
  const log4cplus::Logger logger =
    log4cplus::Logger::getInstance(std::string(aModule));
  const log4cplus::LogLevel level = LevelOf(aLevel);
  if (!logger.isEnabledFor(level)) {
    return;
  }
  std::string line = ",\"message\":" + QuoteJson(aMessage);
  for (const auto& field : aFields) {
    line += "," + QuoteJson(field.mName) + ":" +
            std::visit(value_writer{}, field.mValue);
  }
  logger.forcedLog(level, line);
}

} // namespace snipewalk
