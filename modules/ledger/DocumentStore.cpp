#include "ledger/DocumentStore.h"

#include <algorithm>
#include <fmt/format.h>

namespace figchute::ledger::detail {

DocumentResult DocumentStore::apply(Time time,
                                    const ApplyDocument& command,
                                    BudgetLedger& budgetLedger)
{
  const ChangeKey changeKey{ command.team, command.change };
  const auto previousOutcome = outcomes_.find(changeKey);
  if (previousOutcome != outcomes_.end()) {
    return previousOutcome->second.result;
  }
  auto result = applyNewChange(time, command, budgetLedger);
  outcomes_.emplace(changeKey, ChangeOutcome{ time, result });
  changesByAge_.push_back(changeKey);
  return result;
}

DocumentResult DocumentStore::applyNewChange(Time time,
                                             const ApplyDocument& command,
                                             BudgetLedger& budgetLedger)
{
  const auto documentEntry = documents_.find(command.team);
  const auto currentVersion = documentEntry == documents_.end() ? 0 : documentEntry->second.version;
  if (command.baseVersion != currentVersion) {
    const auto detail = fmt::format("document {} is at version {}, not {}",
                                    command.team.value,
                                    currentVersion,
                                    command.baseVersion);
    return { Verdict{ ErrorKind::versionConflict, detail }, currentVersion, revision_ };
  }
  if (const auto error = budgetLedger.checkPurchases(command.team, command.purchases)) {
    return { Verdict{ error->kind, error->detail }, currentVersion, revision_ };
  }
  if (usesKeyOfOtherTeam(command)) {
    return { Verdict{ ErrorKind::documentInvalid, "a caller key is in use by another team" },
             currentVersion,
             revision_ };
  }
  replaceKeys(command);
  budgetLedger.applyPurchases(command.purchases);
  auto& document = documents_[command.team];
  document.version = currentVersion + 1;
  document.revision = ++revision_;
  document.history.push_back({ document.version, command.change, time, command.text });
  if (document.history.size() > kMaxDocumentVersions) {
    document.history.pop_front();
  }
  return { Verdict{}, document.version, revision_ };
}

bool DocumentStore::usesKeyOfOtherTeam(const ApplyDocument& command) const
{
  return std::any_of(
    command.callerKeys.begin(), command.callerKeys.end(), [&](Fingerprint callerKey) {
      const auto owner = keyOwners_.find(callerKey);
      return owner != keyOwners_.end() && owner->second != command.team;
    });
}

void DocumentStore::replaceKeys(const ApplyDocument& command)
{
  std::erase_if(keyOwners_, [&](const auto& entry) { return entry.second == command.team; });
  for (const auto callerKey : command.callerKeys) {
    keyOwners_[callerKey] = command.team;
  }
}

void DocumentStore::expire(Time time)
{
  while (!changesByAge_.empty() &&
         outcomes_.at(changesByAge_.front()).time + kKeyRetention < time) {
    outcomes_.erase(changesByAge_.front());
    changesByAge_.pop_front();
  }
}

} // namespace figchute::ledger::detail
