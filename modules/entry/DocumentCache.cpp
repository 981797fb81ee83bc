#include "entry/DocumentCache.h"

namespace figchute::entry {

bool DocumentCache::apply(const ledger::DocumentPush& push)
{
  if (push.quarantineRevision > quarantineRevision_) {
    quarantineRevision_ = push.quarantineRevision;
    quarantine_ = push.quarantine;
  }
  if (push.revision <= revision_) {
    return false;
  }
  for (const auto& document : push.documents) {
    auto& stored = documents_[document.team];
    if (document.version >= stored.version) {
      stored = document;
    }
  }
  revision_ = push.revision;
  return true;
}

std::vector<ledger::TeamDocument> DocumentCache::documents() const
{
  std::vector<ledger::TeamDocument> result;
  for (const auto& [team, document] : documents_) {
    result.push_back(document);
  }
  return result;
}

std::string DocumentCache::encode() const
{
  ledger::DocumentPush push;
  push.revision = revision_;
  push.documents = documents();
  return wire::encode(push);
}

Expected<void> DocumentCache::decode(std::string_view bytes)
{
  const auto push = wire::decode<ledger::DocumentPush>(bytes);
  if (!push) {
    return tl::unexpected(push.error());
  }
  documents_.clear();
  revision_ = 0;
  apply(*push);
  return {};
}

} // namespace figchute::entry
