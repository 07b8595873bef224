// Seeded texts that the line protocol allows and a program may mistake for
// parts of its own lines: words of the protocol, names like those that
// instances give, repeated blanks, control characters and bytes that are no
// UTF-8. All of them are drawn from a few pieces, so that some are equal and
// some begin like others.
#ifndef SNIPEWALK_STANDINS_ODD_TEXTS_H_
#define SNIPEWALK_STANDINS_ODD_TEXTS_H_

#include <array>
#include <cstdint>
#include <random>
#include <string>

namespace snipewalk::standins {

class odd_texts
{
public:
  explicit odd_texts(std::uint64_t aSeed)
    : mRandom(aSeed)
  {
  }

  std::size_t Below(std::size_t aLimit) { return mRandom() % aLimit; }

  // A field that other fields follow: not empty, without blanks.
  std::string Word()
  {
    std::string word = Piece();
    while (word.empty()) {
      word = Piece();
    }
    return word;
  }

  // The last field of a line: not empty, otherwise any bytes but a line end.
  std::string Text()
  {
    std::string text = Word();
    const std::size_t more = Below(4);
    for (std::size_t i = 0; i < more; ++i) {
      text += " " + Piece();
    }
    return text;
  }

private:
  std::string Piece()
  {
    using namespace std::string_literals;
    static const std::array kPieces{
      "q1"s,   "q2"s, "READ"s,   "WRITE"s,    "my"s,       "r_q1"s,
      "w_q1"s, "r_"s, "QUERY"s,  "PARSE"s,    "AFTERLSN"s, "1.1"s,
      "-"s,    ""s,   "\t"s,     "a\rb"s,     "a\nb"s,     "a\0b"s,
      "\""s,   "{}"s, "\\r\\n"s, "\x7f\x01"s, "\xff\xfe"s, "\xc3\xa9"s,
      "%0d"s,  "1"s,  "2"s,      "\r"s,
    };
    return kPieces[Below(kPieces.size())];
  }

  std::mt19937_64 mRandom;
};

} // namespace snipewalk::standins

#endif // SNIPEWALK_STANDINS_ODD_TEXTS_H_
