// What the programs have in common on their command lines.
#ifndef SNIPEWALK_BASE_COMMAND_LINE_H_
#define SNIPEWALK_BASE_COMMAND_LINE_H_

#include <string>

namespace snipewalk {

// Sets the texts of --help and --version; call it before the flags are parsed.
// --help lists the flags that the program's own main file defines.
void
DescribeProgram(const std::string& aName, const std::string& aUsage);

} // namespace snipewalk

#endif // SNIPEWALK_BASE_COMMAND_LINE_H_
