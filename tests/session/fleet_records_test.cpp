// Tests for the fleet records in the store and the datagrams between instances.
#include "snipewalk/session/fleet_records.h"

#include "snipewalk/messages/store_revision.h"
#include "snipewalk/session/peer_datagrams.h"

#include <gtest/gtest.h>

#include <limits>

namespace snipewalk {
namespace {

TEST(FleetRecordsTest, KeepsEachRecord)
{
  const std::vector<fleet_record> records{
    duty_record{ "i1", 1'700'000'000'000, 4 },
    primary_record{ "s", "p", 3, 2, primary_phase::Promoting, 4 },
    candidate_record{ "s", "p", 3, 1'700'000'000'000 },
    instance_record{ "i1", "dc1", "10.0.0.1:7440", 5, instance_state::Gone },
    restored_record{ 3 },
  };
  for (const auto& record : records) {
    const auto decoded =
      DecodeFleetRecord(FleetRecordName(record), EncodeFleetRecord(record));
    ASSERT_TRUE(decoded.ok()) << decoded.status();
    EXPECT_EQ(*decoded, record);
  }
}

TEST(FleetRecordsTest, OrdersTheStatesOfAPrimary)
{
  primary_record earlier{ "s", "p", 3, 2, primary_phase::Changing, 4 };
  primary_record later = earlier;
  EXPECT_FALSE(IsLater(later, earlier));
  later.mPhase = primary_phase::Promoting;
  EXPECT_TRUE(IsLater(later, earlier));
  earlier.mPhase = primary_phase::Stable;
  EXPECT_FALSE(IsLater(later, earlier));
  later.mTerm = 4;
  EXPECT_TRUE(IsLater(later, earlier));
}

TEST(FleetRecordsTest, RefusesWhatItDoesNotKnow)
{
  const std::string duty = EncodeFleetRecord(duty_record{ "i1", 1, 2 });
  EXPECT_FALSE(DecodeFleetRecord("other", duty).ok());
  EXPECT_FALSE(DecodeFleetRecord("primary.s", duty).ok());
  EXPECT_FALSE(DecodeFleetRecord("duty", "{}").ok());
  EXPECT_FALSE(DecodeFleetRecord("duty", "null").ok());
  EXPECT_FALSE(DecodeFleetRecord("duty", "").ok());
}

TEST(FleetRecordsTest, RefusesARecordUnderAnotherName)
{
  const primary_record record{ "s", "p", 3, 3, primary_phase::Stable, 4 };
  EXPECT_FALSE(DecodeFleetRecord("primary.t", EncodeFleetRecord(record)).ok());
}

TEST(PeerDatagramsTest, KeepsAConfirmation)
{
  confirmation_answer answer;
  answer.mSequenceNumber = 7;
  answer.mConfirmationAgeMs = 1'200;
  answer.mRequesterRegistered = true;
  answer.mPrimaries.push_back(
    { { "s", "p", 3, 2, primary_phase::Changing, 4 }, 99 });
  answer.mInstances.push_back(
    { { "i2", "dc1", "10.0.0.2:7440", 5, instance_state::Gone }, 101 });
  answer.mInstanceCoverage = instance_coverage::Partial;
  const auto decoded = DecodeDatagram(EncodeDatagram(answer));
  ASSERT_TRUE(decoded.ok());
  const auto& kept = std::get<confirmation_answer>(*decoded);
  EXPECT_EQ(kept.mSequenceNumber, 7U);
  EXPECT_EQ(kept.mConfirmationAgeMs, 1'200U);
  EXPECT_TRUE(kept.mRequesterRegistered);
  ASSERT_EQ(kept.mPrimaries.size(), 1U);
  EXPECT_EQ(kept.mPrimaries[0].mRecord, answer.mPrimaries[0].mRecord);
  EXPECT_EQ(kept.mPrimaries[0].mVersion, 99U);
  ASSERT_EQ(kept.mInstances.size(), 1U);
  EXPECT_EQ(kept.mInstances[0].mRecord, answer.mInstances[0].mRecord);
  EXPECT_EQ(kept.mInstances[0].mVersion, 101U);
  EXPECT_EQ(kept.mInstanceCoverage, instance_coverage::Partial);
}

// Revisions of an earlier era mean nothing beside those of the present one.
TEST(PeerDatagramsTest, KeepsTheEraOfRevisions)
{
  confirmation_answer answer;
  answer.mKnownRevision = MakeRevision(2, 30);
  answer.mDesiredVersion = MakeRevision(2, 7);
  answer.mServerVersion = MakeRevision(1, 90);
  answer.mPrimaries.push_back(
    { { "s", "p", 3, 2, primary_phase::Stable, 4 }, MakeRevision(2, 20) });
  const auto decoded = DecodeDatagram(EncodeDatagram(answer));
  ASSERT_TRUE(decoded.ok());
  const auto& kept = std::get<confirmation_answer>(*decoded);
  EXPECT_EQ(kept.mKnownRevision, MakeRevision(2, 30));
  EXPECT_EQ(kept.mDesiredVersion, MakeRevision(2, 7));
  EXPECT_EQ(kept.mServerVersion, 0U);
  EXPECT_EQ(kept.mPrimaries[0].mVersion, MakeRevision(2, 20));
  const auto request = DecodeDatagram(
    EncodeDatagram(confirmation_request{ "i1", 5, 6, MakeRevision(2, 30) }));
  ASSERT_TRUE(request.ok());
  EXPECT_EQ(std::get<confirmation_request>(*request).mKnownRevision,
            MakeRevision(2, 30));
}

// A damaged era would count as later than all that the store has.
TEST(PeerDatagramsTest, RefusesRevisionsOutOfRange)
{
  for (const std::uint64_t known :
       { MakeRevision(kMaxEra, 1) + kNumbersPerEra,
         std::numeric_limits<std::uint64_t>::max() }) {
    EXPECT_FALSE(
      DecodeDatagram(EncodeDatagram(confirmation_request{ "i1", 5, 6, known }))
        .ok());
    confirmation_answer answer;
    answer.mKnownRevision = known;
    EXPECT_FALSE(DecodeDatagram(EncodeDatagram(answer)).ok());
  }
}

// A datagram that is too large is not sent, and the instance that asked would
// never be confirmed.
TEST(PeerDatagramsTest, HasRoomForAllConfirmedInstances)
{
  confirmation_answer answer;
  const std::string longName(64, 'n');
  for (std::uint64_t i = 0; i < kMaxConfirmedInstances; ++i) {
    answer.mInstances.push_back({ { longName,
                                    longName,
                                    "255.255.255.255:65535",
                                    1'700'000'000'000,
                                    instance_state::Live },
                                  (std::uint64_t{ 1 } << 60U) + i });
  }
  EXPECT_LE(EncodeDatagram(answer).size(), kMaxDatagramBytes);
}

TEST(PeerDatagramsTest, KeepsTheOthers)
{
  const health_report report{ "i1",
                              { { "s", "p", primary_health::WritesStall } } };
  const std::vector<peer_datagram> datagrams{
    report,
    release_request{ "s", 4 },
    release_answer{ "i1", 5, "s", 4, { 3, 17 }, 9'000 },
    confirmation_request{ "i1", 5, 6, 7 },
    connection_yield_request{ "p" },
  };
  for (const auto& datagram : datagrams) {
    const auto decoded = DecodeDatagram(EncodeDatagram(datagram));
    ASSERT_TRUE(decoded.ok());
    EXPECT_EQ(decoded->index(), datagram.index());
    EXPECT_EQ(EncodeDatagram(*decoded), EncodeDatagram(datagram));
  }
}

// The receiver subtracts ages from times, which must not overflow: a
// confirmation would otherwise seem to lie in the future.
TEST(PeerDatagramsTest, BoundsAges)
{
  confirmation_answer answer;
  answer.mConfirmationAgeMs = std::numeric_limits<std::uint64_t>::max();
  answer.mDutyHolderSeenAgeMs = std::uint64_t{ 1 } << 63U;
  const auto decoded = DecodeDatagram(EncodeDatagram(answer));
  ASSERT_TRUE(decoded.ok());
  const auto& bounded = std::get<confirmation_answer>(*decoded);
  const time_point now = time_point() + milliseconds(100'000);
  EXPECT_LT(now - milliseconds(bounded.mConfirmationAgeMs), now);
  EXPECT_LT(now - milliseconds(bounded.mDutyHolderSeenAgeMs), now);
}

TEST(PeerDatagramsTest, RefusesEveryTruncation)
{
  const std::string bytes =
    EncodeDatagram(release_answer{ "i1", 5, "s", 4, { 3, 17 }, 9'000 });
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    EXPECT_FALSE(DecodeDatagram(bytes.substr(0, size)).ok());
  }
}

// Instances of an earlier version send release requests without the last field
// and ignore it in those that they receive.
TEST(PeerDatagramsTest, ReadsReleaseRequestsWithAndWithoutTheEndOfWrites)
{
  const auto decoded =
    DecodeDatagram(EncodeDatagram(release_request{ "s", 4, true }));
  ASSERT_TRUE(decoded.ok());
  EXPECT_TRUE(std::get<release_request>(*decoded).mEndsWrites);

  // Array of the type 1 (release) and an array of the service and the term.
  const std::string earlier("\x92\x01\x92\xa1s\x04", 6);
  const auto read = DecodeDatagram(earlier);
  ASSERT_TRUE(read.ok());
  const auto& request = std::get<release_request>(*read);
  EXPECT_EQ(request.mService, "s");
  EXPECT_EQ(request.mTerm, 4U);
  EXPECT_FALSE(request.mEndsWrites);
}

// Nothing may be concluded from the answer of an instance of an earlier
// version, which does not tell what it has acknowledged.
TEST(PeerDatagramsTest, ReadsReleaseAnswersWithAndWithoutPositions)
{
  const auto decoded = DecodeDatagram(
    EncodeDatagram(release_answer{ "i1", 5, "s", 4, { 3, 17 }, 9'000 }));
  ASSERT_TRUE(decoded.ok());
  const auto& current = std::get<release_answer>(*decoded);
  EXPECT_EQ(current.mAcknowledged, (log_position{ 3, 17 }));
  EXPECT_EQ(current.mUptimeMs, 9'000U);

  // Array of the type 2 (release answer) and an array of the instance, its
  // start time, the service and the term.
  const std::string earlier("\x92\x02\x94\xa2i1\x05\xa1s\x04", 10);
  const auto read = DecodeDatagram(earlier);
  ASSERT_TRUE(read.ok());
  const auto& answer = std::get<release_answer>(*read);
  EXPECT_EQ(answer.mService, "s");
  EXPECT_EQ(answer.mTerm, 4U);
  EXPECT_EQ(answer.mUptimeMs, 0U);
}

// Nothing may be concluded about instances from the confirmation of an instance
// of an earlier version, which does not tell their records.
TEST(PeerDatagramsTest, ReadsConfirmationsWithoutInstances)
{
  // Array of the type 4 (confirmation) and an array of the sequence number, the
  // age, whether the requester is registered, the instance, the duty holder,
  // its age, the versions of the desired state and of the servers, the
  // primaries, and the known revision.
  const std::string earlier(
    "\x92\x04\x9a\x07\x05\xc3\xa2i1\xa2i2\x06\x08\x09\x90\x0b", 17);
  const auto read = DecodeDatagram(earlier);
  ASSERT_TRUE(read.ok());
  const auto& answer = std::get<confirmation_answer>(*read);
  EXPECT_EQ(answer.mSequenceNumber, 7U);
  EXPECT_EQ(answer.mKnownRevision, 11U);
  EXPECT_TRUE(answer.mInstances.empty());
  EXPECT_EQ(answer.mInstanceCoverage, instance_coverage::None);
}

} // namespace
} // namespace snipewalk
