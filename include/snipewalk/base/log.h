// JSON-lines logs on log4cplus: one line an event, with a level per module.
// Fields never carry statement texts, tokens or keys.
#ifndef SNIPEWALK_BASE_LOG_H_
#define SNIPEWALK_BASE_LOG_H_

#include "snipewalk/base/name_table.h"

#include <cstdint>
#include <initializer_list>
#include <map>
#include <string>
#include <string_view>
#include <variant>

namespace snipewalk {

enum class log_level
{
  Debug,
  Info,
  Warning,
  Error,
  Off
};

inline constexpr name_table<log_level, 5> kLogLevelNames{ {
  { log_level::Debug, "debug" },
  { log_level::Info, "info" },
  { log_level::Warning, "warning" },
  { log_level::Error, "error" },
  { log_level::Off, "off" },
} };

enum class log_target
{
  StandardError,
  // Never blocks: lines that the reader of the output does not take, or that
  // are above the limit, are dropped and counted.
  BoundedStandardOutput
};

struct log_settings
{
  // Level of modules that mModules does not name.
  log_level mLevel = log_level::Info;
  std::map<std::string, log_level> mModules;
  // Written in each line; the instance's name.
  std::string mInstance;
  log_target mTarget = log_target::StandardError;
  // Of BoundedStandardOutput.
  int mLinesPerSecond = 300;
};

struct log_field
{
  std::string_view mName;
  std::variant<std::string_view, std::int64_t, double, bool> mValue;
};

// Directs logs to their target. Call once, before other threads start; until
// then warnings and errors are written with an empty instance name.
void
InitLogs(const log_settings& aSettings);

// Changes the level of the modules without one of their own. Any thread.
void
SetLogLevel(log_level aLevel);

// Writes one event. A text of more than 512 bytes, as written in JSON, is cut
// and ends with three dots. Any thread.
void
Log(log_level aLevel,
    std::string_view aModule,
    std::string_view aMessage,
    std::initializer_list<log_field> aFields = {});

} // namespace snipewalk

#endif // SNIPEWALK_BASE_LOG_H_
