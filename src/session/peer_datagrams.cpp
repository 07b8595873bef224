// Implementation of the datagrams' msgpack encoding: an array of the type's
// number and an array of the fields.
#include "snipewalk/session/peer_datagrams.h"

#include "snipewalk/messages/store_revision.h"

#include <msgpack.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

namespace snipewalk {

namespace {

using wire_report_entry = std::tuple<std::string, std::string, int>;
using wire_report = std::tuple<std::string, std::vector<wire_report_entry>>;
using wire_release_request = std::tuple<std::string, std::uint64_t, bool>;
using wire_release_answer = std::tuple<std::string,
                                       std::uint64_t,
                                       std::string,
                                       std::uint64_t,
                                       std::uint64_t,
                                       std::uint64_t,
                                       std::uint64_t>;
using wire_connection_yield_request = std::tuple<std::string>;
using wire_confirmation_request = std::tuple<std::string,
                                             std::uint64_t,
                                             std::uint64_t,
                                             std::uint64_t,
                                             std::uint64_t>;
using wire_primary = std::tuple<std::string,
                                std::string,
                                std::uint64_t,
                                std::uint64_t,
                                int,
                                std::uint64_t,
                                std::uint64_t>;
using wire_instance = std::tuple<std::string,
                                 std::string,
                                 std::string,
                                 std::uint64_t,
                                 int,
                                 std::uint64_t>;
using wire_confirmation_answer = std::tuple<std::uint64_t,
                                            std::uint64_t,
                                            bool,
                                            std::string,
                                            std::string,
                                            std::uint64_t,
                                            std::uint64_t,
                                            std::uint64_t,
                                            std::vector<wire_primary>,
                                            std::uint64_t,
                                            std::vector<wire_instance>,
                                            int,
                                            std::uint64_t>;

using wire_allowance_want =
  std::tuple<std::string, std::uint32_t, std::uint32_t>;
using wire_allowance_request = std::tuple<std::string,
                                          std::uint64_t,
                                          std::uint64_t,
                                          std::vector<wire_allowance_want>>;
using wire_allowance_share = std::tuple<std::string, std::uint32_t, bool>;
using wire_allowance_grant =
  std::tuple<std::uint64_t, std::vector<wire_allowance_share>>;

// Datagrams contain the numbers of revisions, as instances of earlier versions
// know them, and their era once, at the end.

// Zero, which is no revision, for one of another era.
std::uint64_t
NumberIn(std::uint64_t aEra, std::uint64_t aRevision)
{
  return EraOf(aRevision) == aEra ? NumberOf(aRevision) : 0;
}

// Limits on the contents of a received datagram.
const msgpack::unpack_limit kUnpackLimits(/*array=*/20'000,
                                          /*map=*/0,
                                          /*str=*/4'096,
                                          /*bin=*/0,
                                          /*ext=*/0,
                                          /*depth=*/8);

// Type numbers in the order of peer_datagram's alternatives; part of the wire
// protocol.
enum class wire_type
{
  Report,
  Release,
  ReleaseAnswer,
  Confirmation,
  ConfirmationAnswer,
  ConnectionYield,
  AllowanceRequest,
  AllowanceGrant
};

template<typename Enum>
Enum
ToEnum(int aValue, Enum aLast)
{
  if (aValue < 0 || aValue > static_cast<int>(aLast)) {
    throw msgpack::type_error();
  }
  return static_cast<Enum>(aValue);
}

template<typename Wire>
std::string
Pack(wire_type aType, const Wire& aWire)
{
  msgpack::sbuffer buffer;
  msgpack::packer<msgpack::sbuffer> packer(buffer);
  packer.pack_array(2);
  packer.pack(static_cast<int>(aType));
  packer.pack(aWire);
  return { buffer.data(), buffer.size() };
}

struct encoder
{
  std::string operator()(const health_report& aReport) const
  {
    wire_report wire{ aReport.mInstance, {} };
    for (const auto& entry : aReport.mEntries) {
      std::get<1>(wire).emplace_back(
        entry.mService, entry.mServer, static_cast<int>(entry.mHealth));
    }
    return Pack(wire_type::Report, wire);
  }
  std::string operator()(const release_request& aRequest) const
  {
    return Pack(wire_type::Release,
                wire_release_request{
                  aRequest.mService, aRequest.mTerm, aRequest.mEndsWrites });
  }
  std::string operator()(const release_answer& aAnswer) const
  {
    return Pack(wire_type::ReleaseAnswer,
                wire_release_answer{ aAnswer.mInstance,
                                     aAnswer.mStarted,
                                     aAnswer.mService,
                                     aAnswer.mTerm,
                                     aAnswer.mAcknowledged.mTerm,
                                     aAnswer.mAcknowledged.mIndex,
                                     aAnswer.mUptimeMs });
  }
  std::string operator()(const confirmation_request& aRequest) const
  {
    return Pack(wire_type::Confirmation,
                wire_confirmation_request{ aRequest.mInstance,
                                           aRequest.mStarted,
                                           aRequest.mSequenceNumber,
                                           NumberOf(aRequest.mKnownRevision),
                                           EraOf(aRequest.mKnownRevision) });
  }
  std::string operator()(const confirmation_answer& aAnswer) const
  {
    const std::uint64_t era = EraOf(aAnswer.mKnownRevision);
    wire_confirmation_answer wire{ aAnswer.mSequenceNumber,
                                   aAnswer.mConfirmationAgeMs,
                                   aAnswer.mRequesterRegistered,
                                   aAnswer.mInstance,
                                   aAnswer.mDutyHolder,
                                   aAnswer.mDutyHolderSeenAgeMs,
                                   NumberIn(era, aAnswer.mDesiredVersion),
                                   NumberIn(era, aAnswer.mServerVersion),
                                   {},
                                   NumberOf(aAnswer.mKnownRevision),
                                   {},
                                   static_cast<int>(aAnswer.mInstanceCoverage),
                                   era };
    auto& primaries = std::get<std::vector<wire_primary>>(wire);
    for (const auto& [record, version] : aAnswer.mPrimaries) {
      primaries.emplace_back(record.mService,
                             record.mPrimary,
                             record.mTerm,
                             record.mLeadTerm,
                             static_cast<int>(record.mPhase),
                             record.mFence,
                             NumberIn(era, version));
    }
    auto& instances = std::get<std::vector<wire_instance>>(wire);
    for (const auto& [record, version] : aAnswer.mInstances) {
      instances.emplace_back(record.mName,
                             record.mDataCentre,
                             record.mPeerAddress,
                             record.mStarted,
                             static_cast<int>(record.mState),
                             NumberIn(era, version));
    }
    return Pack(wire_type::ConfirmationAnswer, wire);
  }
  std::string operator()(const connection_yield_request& aRequest) const
  {
    return Pack(wire_type::ConnectionYield,
                wire_connection_yield_request{ aRequest.mServer });
  }
  std::string operator()(const allowance_datagram& aDatagram) const
  {
    wire_allowance_request wire{ aDatagram.mInstance,
                                 aDatagram.mStarted,
                                 aDatagram.mRequest.mSequenceNumber,
                                 {} };
    for (const auto& want : aDatagram.mRequest.mWants) {
      std::get<3>(wire).emplace_back(want.mAccount, want.mHeld, want.mWanted);
    }
    return Pack(wire_type::AllowanceRequest, wire);
  }
  std::string operator()(const allowance_grant& aGrant) const
  {
    wire_allowance_grant wire{ aGrant.mSequenceNumber, {} };
    for (const auto& share : aGrant.mShares) {
      std::get<1>(wire).emplace_back(
        share.mAccount, share.mTokens, share.mLimited);
    }
    return Pack(wire_type::AllowanceGrant, wire);
  }
};

health_report
ReadReport(const msgpack::object& aObject)
{
  const auto wire = aObject.as<wire_report>();
  health_report report{ std::get<0>(wire), {} };
  for (const auto& [service, server, health] : std::get<1>(wire)) {
    report.mEntries.push_back(
      { service, server, ToEnum(health, primary_health::Unreachable) });
  }
  return report;
}

// Ages enter calculations of time, which must not overflow. An older sign of
// life or confirmation is of no use to the receiver.
std::uint64_t
BoundedAge(std::uint64_t aAgeMs)
{
  constexpr std::uint64_t kOldestMs = 24 * 60 * 60 * 1'000;
  return std::min(aAgeMs, kOldestMs);
}

// A damaged value must not count as a later era of the store.
std::uint64_t
ReadRevision(std::uint64_t aEra, std::uint64_t aNumber)
{
  if (!IsRevision(aEra, aNumber)) {
    throw msgpack::type_error();
  }
  return MakeRevision(aEra, aNumber);
}

// Instances of earlier versions omit the last elements.
confirmation_answer
ReadConfirmation(const msgpack::object& aObject)
{
  const auto [number,
              age,
              registered,
              instance,
              holder,
              holderAge,
              desiredVersion,
              serverVersion,
              primaries,
              knownRevision,
              instances,
              coverage,
              era] = aObject.as<wire_confirmation_answer>();
  confirmation_answer answer{ number,
                              BoundedAge(age),
                              registered,
                              instance,
                              holder,
                              BoundedAge(holderAge),
                              ReadRevision(era, desiredVersion),
                              ReadRevision(era, serverVersion),
                              {},
                              ReadRevision(era, knownRevision),
                              {},
                              ToEnum(coverage, instance_coverage::All) };
  for (const auto& [service, primary, term, leadTerm, phase, fence, version] :
       primaries) {
    answer.mPrimaries.push_back({ { service,
                                    primary,
                                    term,
                                    leadTerm,
                                    ToEnum(phase, primary_phase::Promoting),
                                    fence },
                                  ReadRevision(era, version) });
  }
  for (const auto& [name, dataCentre, address, started, state, version] :
       instances) {
    answer.mInstances.push_back({ { name,
                                    dataCentre,
                                    address,
                                    started,
                                    ToEnum(state, instance_state::Gone) },
                                  ReadRevision(era, version) });
  }
  return answer;
}

allowance_datagram
ReadAllowanceRequest(const msgpack::object& aObject)
{
  const auto [instance, started, number, wants] =
    aObject.as<wire_allowance_request>();
  allowance_datagram datagram{ instance, started, { number, {} } };
  for (const auto& [account, held, wanted] : wants) {
    datagram.mRequest.mWants.push_back({ account, held, wanted });
  }
  return datagram;
}

allowance_grant
ReadAllowanceGrant(const msgpack::object& aObject)
{
  const auto [number, shares] = aObject.as<wire_allowance_grant>();
  allowance_grant grant{ number, {} };
  for (const auto& [account, tokens, limited] : shares) {
    grant.mShares.push_back({ account, tokens, limited });
  }
  return grant;
}

peer_datagram
Read(wire_type aType, const msgpack::object& aObject)
{
  switch (aType) {
    case wire_type::Report:
      return ReadReport(aObject);
    case wire_type::Release: {
      // Instances of an earlier version omit the last element, which is read as
      // false.
      const auto [service, term, endsWrites] =
        aObject.as<wire_release_request>();
      return release_request{ service, term, endsWrites };
    }
    case wire_type::ReleaseAnswer: {
      // Instances of an earlier version omit the last three elements. They
      // count as started just now, so that nothing is concluded from them.
      const auto [instance,
                  started,
                  service,
                  term,
                  acknowledgedTerm,
                  acknowledgedIndex,
                  uptime] = aObject.as<wire_release_answer>();
      return release_answer{ instance,
                             started,
                             service,
                             term,
                             { acknowledgedTerm, acknowledgedIndex },
                             uptime };
    }
    case wire_type::Confirmation: {
      const auto [instance, started, number, knownRevision, era] =
        aObject.as<wire_confirmation_request>();
      return confirmation_request{
        instance, started, number, ReadRevision(era, knownRevision)
      };
    }
    case wire_type::ConfirmationAnswer:
      return ReadConfirmation(aObject);
    case wire_type::ConnectionYield:
      return connection_yield_request{ std::get<0>(
        aObject.as<wire_connection_yield_request>()) };
    case wire_type::AllowanceRequest:
      return ReadAllowanceRequest(aObject);
    case wire_type::AllowanceGrant:
      return ReadAllowanceGrant(aObject);
  }
  throw msgpack::type_error();
}

} // namespace

std::string
EncodeDatagram(const peer_datagram& aDatagram)
{
  return std::visit(encoder{}, aDatagram);
}

absl::StatusOr<peer_datagram>
DecodeDatagram(std::string_view aBytes)
{
  try {
    const msgpack::object_handle handle = msgpack::unpack(
      aBytes.data(), aBytes.size(), nullptr, nullptr, kUnpackLimits);
    const auto [type, fields] =
      handle.get().as<std::tuple<int, msgpack::object>>();
    return Read(ToEnum(type, wire_type::AllowanceGrant), fields);
  } catch (const std::exception& error) {
    return absl::InvalidArgumentError(error.what());
  }
}

} // namespace snipewalk
