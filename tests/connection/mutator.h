// Seeded mutations of valid inputs for fuzz tests.
#ifndef SNIPEWALK_TESTS_CONNECTION_MUTATOR_H_
#define SNIPEWALK_TESTS_CONNECTION_MUTATOR_H_

#include <algorithm>
#include <cstdint>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace snipewalk {

class mutator
{
public:
  mutator(std::uint64_t aSeed, std::vector<std::string> aInputs)
    : mRandom(aSeed)
    , mInputs(std::move(aInputs))
  {
  }

  // A valid input after one to four mutations; one in 50 stays valid.
  std::string Next()
  {
    std::string text = mInputs[Below(mInputs.size())];
    if (Below(50) == 0) {
      return text;
    }
    const std::size_t rounds = 1 + Below(4);
    for (std::size_t i = 0; i < rounds; ++i) {
      Mutate(text);
    }
    return text;
  }

  std::size_t Below(std::size_t aLimit)
  {
    return aLimit == 0 ? 0 : mRandom() % aLimit;
  }

private:
  void Mutate(std::string& aText)
  {
    const std::size_t at = Below(aText.size() + 1);
    switch (Below(9)) {
      case 0:
        aText.resize(at);
        break;
      case 1:
        aText.insert(at, 1 + Below(8), static_cast<char>(Below(256)));
        break;
      case 2:
        Overwrite(aText, at, static_cast<char>(Below(256)));
        break;
      case 3:
        aText.erase(at, 1 + Below(16));
        break;
      case 4:
        aText.insert(at, aText.substr(Below(aText.size()), Below(64)));
        break;
      case 5:
        aText += mInputs[Below(mInputs.size())];
        break;
      case 6:
        // Oversized parts.
        aText.insert(at, Below(20) == 0 ? 40'000 : 200, 'a');
        break;
      case 7:
        // Nesting of JSON or msgpack arrays, or an invalid UTF-8 lead byte.
        aText.insert(at, 1 + Below(300), "[{\x91\xff"[Below(4)]);
        break;
      default:
        // Extreme lengths and digits.
        Overwrite(aText,
                  at,
                  "\x00\x7f\x80\xff\xc6\xdd\xdf"
                  "9-"[Below(9)]);
        break;
    }
  }

  static void Overwrite(std::string& aText, std::size_t aAt, char aValue)
  {
    if (aAt < aText.size()) {
      aText[aAt] = aValue;
    }
  }

  std::mt19937_64 mRandom;
  std::vector<std::string> mInputs;
};

} // namespace snipewalk

#endif // SNIPEWALK_TESTS_CONNECTION_MUTATOR_H_
