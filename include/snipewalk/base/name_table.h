// Two-way tables between the enumerators of an `enum class` and their names in
// settings, headers, logs and messages.
#ifndef SNIPEWALK_BASE_NAME_TABLE_H_
#define SNIPEWALK_BASE_NAME_TABLE_H_

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace snipewalk {

template<typename Enum>
struct name_entry
{
  Enum mValue;
  std::string_view mName;
};

template<typename Enum, std::size_t Count>
using name_table = std::array<name_entry<Enum>, Count>;

// Returns the name of `aValue`, or "unknown" when the table lacks it.
template<typename Enum, std::size_t Count>
constexpr std::string_view
NameOf(const name_table<Enum, Count>& aTable, Enum aValue)
{
  for (const auto& entry : aTable) {
    if (entry.mValue == aValue) {
      return entry.mName;
    }
  }
  return "unknown";
}

// Returns the enumerator called `aName`, or nothing when there is none.
template<typename Enum, std::size_t Count>
constexpr std::optional<Enum>
ValueOf(const name_table<Enum, Count>& aTable, std::string_view aName)
{
  for (const auto& entry : aTable) {
    if (entry.mName == aName) {
      return entry.mValue;
    }
  }
  return std::nullopt;
}

} // namespace snipewalk

#endif // SNIPEWALK_BASE_NAME_TABLE_H_
