// Implementation of the slot model: moves of slots to better candidates.
#include "version/slot_model.h"

#include "version/slot_model_nodes.h"

namespace snipewalk {

namespace {

std::string
DataCentreName(std::size_t aNode, std::size_t aDataCentres)
{
  return "centre" + std::to_string(aNode % aDataCentres);
}

} // namespace

placement_index
slot_model::Index(std::size_t aViewer) const
{
  std::vector<std::string> texts;
  for (std::size_t i = 0; i < mNodes.size(); ++i) {
    texts.push_back(NodeName(i));
    texts.push_back(DataCentreName(i, mOptions.mDataCentres));
  }
  std::vector<placement_member> live;
  const node& viewer = *mNodes[aViewer];
  for (std::size_t i = 0; i < mNodes.size(); ++i) {
    if (!viewer.mView->mBelievedDead.contains(i)) {
      live.push_back({ texts[2 * i],
                       texts[2 * i + 1],
                       "region",
                       viewer.mSlots->HeldBy(texts[2 * i]) });
    }
  }
  return placement_index(live);
}

std::optional<release_reason>
slot_model::fleet_view::ReasonToRelease(
  const std::string& aService,
  const std::vector<std::string>& aHolders) const
{
  if (mModel.mOptions.mDataCentres == 0) {
    return std::nullopt;
  }
  return mModel.Index(mSelf).ReasonToRelease(
    { aService, {}, aHolders },
    NodeName(mSelf),
    mModel.mNodes[mSelf]->mSlots->HeldCount());
}

void
slot_model::ReportUse()
{
  const std::size_t i = mRandom() % mNodes.size();
  for (std::size_t service = 0; service < mDocuments.size(); ++service) {
    const std::string name = ServiceName(service);
    // Connections may still be open for some time after the share became zero,
    // as in the traffic threads.
    const int share = mNodes[i]->mSlots->Share(name);
    const bool busy = share > 0 || Chance(0.2);
    Deliver(i,
            slot_use_reported{ name, busy ? 1U : 0U, Chance(0.1) ? 1U : 0U });
  }
}

std::uint64_t
slot_model::Moves() const
{
  std::uint64_t moves = 0;
  for (const auto& each : mNodes) {
    moves += each->mSlots->Moves();
  }
  return moves;
}

std::size_t
slot_model::HoldersSharingDataCentre() const
{
  std::size_t shared = 0;
  for (std::size_t i = 0; i < mDocuments.size(); ++i) {
    std::map<std::string, std::size_t> holders;
    for (std::size_t each = 0; each < mNodes.size(); ++each) {
      if (mNodes[each]->mSlots->Share(ServiceName(i)) > 0) {
        shared +=
          ++holders[DataCentreName(each, mOptions.mDataCentres)] > 1 ? 1 : 0;
      }
    }
  }
  return shared;
}

} // namespace snipewalk
