// Tests of the checks of names and addresses.
#include "snipewalk/base/json_reader.h"

#include <gtest/gtest.h>

namespace snipewalk {
namespace {

TEST(AddressTest, TakesAddressesWithAPort)
{
  for (const std::string address :
       { "127.0.0.1:1", "10.0.0.1:65535", "[::1]:8080" }) {
    EXPECT_TRUE(IsAddress(address)) << address;
  }
}

// Guards against an address that no connection can be made to, and against two
// spellings of one address, which count as two servers.
TEST(AddressTest, RefusesOtherSpellings)
{
  for (const std::string address : { "127.0.0.1:5432 ",
                                     "127.0.0.1:5432\n",
                                     "127.0.0.1: 5432",
                                     "127.0.0.1:+5432",
                                     "127.0.0.1:05432",
                                     "127.0.0.1:0",
                                     "127.0.0.1:65536",
                                     "127.0.0.1:",
                                     "127.0.0.1",
                                     " 127.0.0.1:5432",
                                     "127.0.0.1 :5432",
                                     "somewhere:5432",
                                     "::1:5432" }) {
    EXPECT_FALSE(IsAddress(address)) << address;
  }
}

} // namespace
} // namespace snipewalk
