#pragma once

#include "admin/Announcement.h"
#include "core/Error.h"
#include "json/json.h"

#include <cstdint>
#include <string>

namespace figchute::admin {

/** A new document for a team. */
struct ApplyRequest
{
  std::string team;
  /** The version that the document replaces; 0 for the first document of a team. */
  std::uint64_t base = 0;
  /** Id of the change; the same id again gets the first outcome. */
  std::string change;
  /** The INI text. */
  std::string text;
};

/** What the admin server asks of the fleet. The server checks keys, paths and parameters first:
    names are 1 to 64 letters, digits, `-`, `_` and `.`.
    Every method returns the JSON that the client gets with status 200, or an error that is
    answered by the error table. Tables are answered as an object with one array of objects, whose
    members the command line tool prints as columns.
    Thread safety: the server calls every method from several threads at a time; a method may block
    for a few seconds. Methods must not throw; an exception is answered as `internal`. */
class AdminBackend
{
public:
  virtual ~AdminBackend() = default;

  /** Replaces the document of a team.
      @returns `{"team", "version", "revision"}`; `version_conflict` when another change won,
               `document_invalid` with every fault, `no_quorum`, `timeout` when the outcome is not
               known */
  virtual Expected<json::Value> applyDocument(const ApplyRequest& request) = 0;

  /** Shows the document in force.
      @returns `{"team", "version", "change", "text"}`, or `not_found` */
  virtual Expected<json::Value> showDocument(const std::string& team) = 0;

  /** Lists the accepted documents of a team, oldest first.
      @returns `{"history": [{"version", "change", "time", ...}]}`, or `not_found` */
  virtual Expected<json::Value> history(const std::string& team) = 0;

  /** Lists the budgets. @returns `{"budgets": [{"budget", "bought", "settled", "held", "free",
      "stranded"}], ...}` */
  virtual Expected<json::Value> spend() = 0;

  /** Lists the service by rank and workspace. @returns an object with one or more arrays */
  virtual Expected<json::Value> service() = 0;

  /** Lists the endpoints known to this process. @returns `{"endpoints": [...]}` */
  virtual Expected<json::Value> endpoints() = 0;

  /** Lists which process has which documents in force. @returns `{"versions": [...]}` */
  virtual Expected<json::Value> versions() = 0;

  /** Lists the processes. @returns `{"members": [...]}` */
  virtual Expected<json::Value> members() = 0;

  /** Adds a control process to the replicated log, first as a learner.
      @returns an object, or `no_quorum`, `version_conflict` while another change runs */
  virtual Expected<json::Value> addMember(const std::string& process) = 0;

  /** Removes a control process from the replicated log. @see addMember */
  virtual Expected<json::Value> removeMember(const std::string& process) = 0;

  /** Declares that a process never returns, so that its grants can be freed once its witnesses
      have reported. @returns an object that names what stays stranded */
  virtual Expected<json::Value> retire(const std::string& process) = 0;

  /** Returns the state of this process for diagnosis, without keys. */
  virtual Expected<json::Value> dump() = 0;

  /** Returns the counters and latency summaries of this process. */
  virtual Expected<json::Value> metrics() = 0;

  /** Takes the announcement of an endpoint.
      @returns an object; it may carry `{"accepted": true}` only */
  virtual Expected<json::Value> announce(const Announcement& announcement) = 0;
};

} // namespace figchute::admin
