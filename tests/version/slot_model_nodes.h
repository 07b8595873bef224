// Instances of the slot model and their membership views; private to
// slot_model.
#ifndef SNIPEWALK_VERSION_SLOT_MODEL_NODES_H_
#define SNIPEWALK_VERSION_SLOT_MODEL_NODES_H_

#include "version/slot_model.h"

#include <set>

namespace snipewalk {

inline std::string
ServiceName(std::size_t aService)
{
  return "service" + std::to_string(aService);
}

inline std::string
NodeName(std::size_t aNode)
{
  return "instance" + std::to_string(aNode);
}

inline std::size_t
NodeOf(const std::string& aName)
{
  return static_cast<std::size_t>(
    std::stoul(aName.substr(std::string("instance").size())));
}

class slot_model::fleet_view : public slot_fleet
{
public:
  fleet_view(const slot_model& aModel, std::size_t aSelf)
    : mModel(aModel)
    , mSelf(aSelf)
  {
  }
  holder_liveness Liveness(const slot_record::holder& aHolder) const override;
  std::size_t Rank(const std::string& aService,
                   const std::vector<std::string>& aExcluded) const override;
  std::optional<release_reason> ReasonToRelease(
    const std::string& aService,
    const std::vector<std::string>& aHolders) const override;
  std::optional<time_point> StableSince() const override
  {
    return mStableSince;
  }
  std::string AddressOf(const std::string& aInstance) const override
  {
    return aInstance;
  }

  fleet_losses Losses() const override
  {
    return { mBelievedDead.size(), mModel.mNodes.size() };
  }

  // Indexes of the instances that this one believes dead, possibly wrongly.
  std::set<std::size_t> mBelievedDead;
  // Incarnations that are known to have ended; never wrong.
  std::set<std::uint64_t> mEnded;
  std::optional<time_point> mStableSince;

private:
  const slot_model& mModel;
  std::size_t mSelf;
};

struct slot_model::node
{
  std::uint64_t mIncarnation = 0;
  bool mRunning = false;
  std::unique_ptr<fleet_view> mView;
  std::unique_ptr<slot_assignment> mSlots;
  // Service documents by service, and versions of the slots objects by service
  // name, that the instance received.
  std::map<std::size_t, document> mDocuments;
  std::map<std::string, std::uint64_t> mRecords;
};

} // namespace snipewalk

#endif // SNIPEWALK_VERSION_SLOT_MODEL_NODES_H_
