// Splits the text of a JSON object or array into the texts of its members,
// without interpreting these. Lists of objects from several writers are read
// with it: a member that no strict parser accepts, for instance because of its
// nesting or of a number that is out of range, does not affect the others.
#ifndef SNIPEWALK_BASE_JSON_SLICES_H_
#define SNIPEWALK_BASE_JSON_SLICES_H_

#include <map>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

namespace snipewalk {

// Texts of the members' values by name. Both refer to the text that was split.
// Names are as written, with any escapes.
using json_member_slices = std::map<std::string_view, std::string_view>;

// Splits one object. InvalidArgument if the text is not a single object, as far
// as quotes, brackets and commas show. The values may be malformed.
absl::StatusOr<json_member_slices>
SplitJsonObject(std::string_view aText);

// Splits one array, under the same conditions.
absl::StatusOr<std::vector<std::string_view>>
SplitJsonArray(std::string_view aText);

} // namespace snipewalk

#endif // SNIPEWALK_BASE_JSON_SLICES_H_
