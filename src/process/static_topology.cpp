// Implementation of the static topology.
#include "snipewalk/process/static_topology.h"

#include "snipewalk/base/json_reader.h"
#include "snipewalk/version/document_validation.h"

#include <json/json.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace snipewalk {

namespace {

constexpr std::int64_t kTermLimit = std::numeric_limits<std::int64_t>::max();

class topology_reader
{
public:
  topology_reader(const json_text& aText,
                  std::string aSource,
                  std::string aInstance,
                  findings& aFindings)
    : mText(aText)
    , mSource(std::move(aSource))
    , mInstance(std::move(aInstance))
    , mFindings(aFindings)
  {
  }

  void Read(routing_snapshot& aSnapshot)
  {
    object_reader root(mText, mText.Root(), "", mFindings);
    ForEach(root, "members", [&](object_reader& aMember) {
      member_info member;
      member.mName = aMember.RequiredString("name");
      member.mDataCentre = aMember.RequiredString("data_centre");
      member.mRegion = aMember.OptionalString("region", "");
      member.mPeerAddress = aMember.RequiredAddress("peer_address");
      aSnapshot.mMembers[member.mName] = member;
    });
    ForEach(root, "session_keys", [&](object_reader& aKey) {
      session_key key;
      key.mId = aKey.RequiredString("id");
      key.mSecret = aKey.RequiredString("secret");
      aSnapshot.mSessionKeys.push_back(key);
    });
    ForEach(root, "services", [&](object_reader& aService) {
      auto view = ReadService(aService);
      aSnapshot.mServices[view->mDocument.mService] = view;
    });
    root.Finish();
  }

private:
  template<typename Reader>
  void ForEach(object_reader& aParent, const char* aName, const Reader& aRead)
  {
    const Json::Value* list = aParent.Array(aName, true);
    if (!list) {
      return;
    }
    for (const Json::Value& element : *list) {
      object_reader reader(mText, element, aParent.PathOf(aName), mFindings);
      aRead(reader);
      reader.Finish();
    }
  }

  std::shared_ptr<const service_view> ReadService(object_reader& aService)
  {
    auto view = std::make_shared<service_view>();
    if (const Json::Value* document = aService.Object("document", true)) {
      Json::StreamWriterBuilder writer;
      auto parsed = ParseServiceDocument(
        Json::writeString(writer, *document), mSource, mFindings);
      view->mDocument = parsed.value_or(service_document());
    }
    view->mTerm.mTerm = static_cast<std::uint64_t>(
      aService.OptionalInteger("term", 1, { 1, kTermLimit }));
    view->mTerm.mPrimary = aService.RequiredString("primary");
    for (const auto& server : view->mDocument.mServers) {
      view->mTerm.mVoters.push_back(server.mName);
    }
    const auto holders = aService.OptionalStrings("holders");
    for (const auto& holder : holders) {
      view->mSlots.mHolders.push_back({ holder, 0 });
    }
    if (std::find(holders.begin(), holders.end(), mInstance) != holders.end()) {
      // One connection of each share is the control thread's.
      view->mConnectionShare = std::max(1,
                                        view->mDocument.mConnectionsPerServer /
                                            static_cast<int>(holders.size()) -
                                          1);
    }
    return view;
  }

  const json_text& mText;
  std::string mSource;
  std::string mInstance;
  findings& mFindings;
};

} // namespace

std::shared_ptr<const routing_snapshot>
ParseStaticTopology(const std::string& aText,
                    const std::string& aSource,
                    const std::string& aInstance,
                    findings& aFindings)
{
  const auto text = json_text::Parse(aText, aSource, aFindings);
  if (!text) {
    return nullptr;
  }
  auto snapshot = std::make_shared<routing_snapshot>();
  topology_reader(*text, aSource, aInstance, aFindings).Read(*snapshot);
  snapshot->mRevision = 1;
  return aFindings.empty() ? snapshot : nullptr;
}

} // namespace snipewalk
