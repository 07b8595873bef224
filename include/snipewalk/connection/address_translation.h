// Addresses under which an instance reaches backend servers, for instances
// behind network address translation.
#ifndef SNIPEWALK_CONNECTION_ADDRESS_TRANSLATION_H_
#define SNIPEWALK_CONNECTION_ADDRESS_TRANSLATION_H_

#include "snipewalk/messages/backend_messages.h"

#include <map>
#include <string>

namespace snipewalk {

// Address to connect to, by the address in the documents.
using address_translation = std::map<std::string, std::string>;

// The endpoint to connect to: translated, or as given when the table lacks it.
inline server_endpoint
Translate(const address_translation& aTable, server_endpoint aServer)
{
  const auto found = aTable.find(aServer.mAddress);
  if (found != aTable.end()) {
    aServer.mAddress = found->second;
  }
  return aServer;
}

} // namespace snipewalk

#endif // SNIPEWALK_CONNECTION_ADDRESS_TRANSLATION_H_
