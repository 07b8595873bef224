// Tests of the frames between instances.
#include "snipewalk/connection/frame_codec.h"

#include <gtest/gtest.h>

namespace snipewalk {
namespace {

// Guards against frames that are cut or joined wrongly, against lengths above
// the limit and against endless empty frames.
TEST(FrameCodecTest, TakesFramesOneByOne)
{
  std::string buffer;
  AppendFrame(buffer, "ab");
  AppendFrame(buffer, "c");
  buffer.push_back('\0');
  std::string_view rest = buffer;
  EXPECT_EQ(TakeFrame(rest, 10).value(), "ab");
  EXPECT_EQ(TakeFrame(rest, 10).value(), "c");
  EXPECT_EQ(TakeFrame(rest, 10).value(), std::nullopt);
  EXPECT_EQ(rest.size(), 1U);
  buffer.clear();
  AppendFrame(buffer, std::string(11, 'x'));
  rest = buffer;
  EXPECT_EQ(TakeFrame(rest, 10).status().code(),
            absl::StatusCode::kResourceExhausted);
  buffer.clear();
  AppendFrame(buffer, "");
  rest = buffer;
  EXPECT_EQ(TakeFrame(rest, 10).status().code(),
            absl::StatusCode::kInvalidArgument);
}

} // namespace
} // namespace snipewalk
