#pragma once

#include "admin/admin.h"
#include "control/control.h"
#include "core/core.h"
#include "entry/entry.h"
#include "settings/settings.h"
#include "transport/transport.h"

#include <string>

namespace figchuted {

/** The parts of the process that the backend uses. They must outlive the backend. */
struct BackendParts
{
  const figchute::settings::Settings& settings;
  figchute::Metrics& metrics;
  figchute::entry::EntryService& entry;
  /** nullptr if the process does not have the role control. */
  figchute::control::ControlService* control;
  figchute::transport::Transport& transport;
};

/** Serves the requests of the admin server from the services of this process; commands and report
    requests are sent to the leader of the control VMs, whichever process that is.
    Thread safety: all methods may be called from several threads at a time. */
class FleetBackend : public figchute::admin::AdminBackend
{
public:
  explicit FleetBackend(BackendParts parts)
    : parts_(parts)
  {
  }

  figchute::Expected<figchute::json::Value> applyDocument(
    const figchute::admin::ApplyRequest& request) override;
  figchute::Expected<figchute::json::Value> showDocument(const std::string& team) override;
  figchute::Expected<figchute::json::Value> history(const std::string& team) override;
  figchute::Expected<figchute::json::Value> spend() override;
  figchute::Expected<figchute::json::Value> service() override;
  figchute::Expected<figchute::json::Value> endpoints() override;
  figchute::Expected<figchute::json::Value> versions() override;
  figchute::Expected<figchute::json::Value> members() override;
  figchute::Expected<figchute::json::Value> addMember(const std::string& process) override;
  figchute::Expected<figchute::json::Value> removeMember(const std::string& process) override;
  figchute::Expected<figchute::json::Value> retire(const std::string& process) override;
  figchute::Expected<figchute::json::Value> dump() override;
  figchute::Expected<figchute::json::Value> metrics() override;
  figchute::Expected<figchute::json::Value> announce(
    const figchute::admin::Announcement& announcement) override;

private:
  figchute::Expected<figchute::ledger::Result> propose(figchute::ledger::Command command);
  figchute::Expected<figchute::json::Value> report(figchute::control::ReportKind kind,
                                                   std::string argument);
  figchute::Expected<figchute::entry::EntryDump> entryDump();
  figchute::Expected<figchute::json::Value> changeMember(figchute::ledger::Command command,
                                                         const std::string& process);

  BackendParts parts_;
};

} // namespace figchuted
