// Encoded sizes of entries of the member table. Private to the membership.
#ifndef SNIPEWALK_FLEET_MEMBER_ENCODING_H_
#define SNIPEWALK_FLEET_MEMBER_ENCODING_H_

#include "snipewalk/fleet/membership.h"

namespace snipewalk {

// Encoded size of a member_brief.
inline constexpr std::size_t kBriefBytes = 18;

// A range of versions in a member entry.
inline constexpr std::size_t kVersionsFieldBytes = 5;

// Upper bound of the encoded size.
inline std::size_t
EncodedBytes(const member_info& aMember)
{
  return aMember.mName.size() + aMember.mDataCentre.size() +
         aMember.mRegion.size() + aMember.mPeerAddress.size() +
         aMember.mControlAddress.size() + 5 * 3 + 11 + kVersionsFieldBytes;
}

} // namespace snipewalk

#endif // SNIPEWALK_FLEET_MEMBER_ENCODING_H_
