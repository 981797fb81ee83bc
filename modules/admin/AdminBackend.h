#pragma once

#include "admin/Announcement.h"
#include "core/Error.h"
#include "json/json.h"

#include <cstdint>
#include <string>

namespace figchute::admin {

/** A request to apply a new document for a team. */
struct ApplyRequest
{
  std::string team;
  /** The version that the document replaces; 0 for the first document of the team. */
  std::uint64_t base = 0;
  /** The id of the change. A repeated id returns the outcome of the first request. */
  std::string change;
  /** The INI text. */
  std::string text;
};

/** The interface through which the admin server accesses the fleet. The server validates keys,
    paths and parameters first: names are 1 to 64 letters, digits, `-`, `_` and `.`.
    Every method returns the JSON that is sent to the client with status 200, or an error that is
    converted to a response by the error table. Tables are returned as an object with one array of
    objects, whose members the command line tool prints as columns.
    Thread safety: the server calls every method from several threads at the same time. A method may
    block for a few seconds. Methods must not throw; an exception is reported as `internal`. */
class AdminBackend
{
public:
  virtual ~AdminBackend() = default;

  /** Replaces the document of a team.
      @returns `{"team", "version", "revision"}`; `version_conflict` if another change was applied
               first, `document_invalid` with every fault, `no_quorum`, or `timeout` if the outcome
               is unknown */
  virtual Expected<json::Value> applyDocument(const ApplyRequest& request) = 0;

  /** Returns the document in force.
      @returns `{"team", "version", "change", "text"}`, or `not_found` */
  virtual Expected<json::Value> showDocument(const std::string& team) = 0;

  /** Returns the accepted documents of a team, oldest first.
      @returns `{"history": [{"version", "change", "time", ...}]}`, or `not_found` */
  virtual Expected<json::Value> history(const std::string& team) = 0;

  /** Returns the budgets.
      @returns `{"budgets": [{"budget", "bought", "settled", "held", "free", "stranded"}], ...}` */
  virtual Expected<json::Value> spend() = 0;

  /** Returns the service received by each rank and workspace.
      @returns an object with one or more arrays */
  virtual Expected<json::Value> service() = 0;

  /** Returns the endpoints in the registry of this process.
      @returns `{"endpoints": [...]}` */
  virtual Expected<json::Value> endpoints() = 0;

  /** Returns the documents that are in force at each process.
      @returns `{"versions": [...]}` */
  virtual Expected<json::Value> versions() = 0;

  /** Returns the processes of the system.
      @returns `{"members": [...]}` */
  virtual Expected<json::Value> members() = 0;

  /** Adds a control process to the replicated log, first as a learner.
      @returns an object, `no_quorum`, or `version_conflict` while another change is in progress */
  virtual Expected<json::Value> addMember(const std::string& process) = 0;

  /** Removes a control process from the replicated log.
      @see addMember */
  virtual Expected<json::Value> removeMember(const std::string& process) = 0;

  /** Declares that a process will not return, so that its grants can be freed once its witnesses
      have reported.
      @returns an object that lists what remains stranded */
  virtual Expected<json::Value> retire(const std::string& process) = 0;

  /** Returns the state of this process for diagnostics, without keys. */
  virtual Expected<json::Value> dump() = 0;

  /** Returns the counters and latency summaries of this process. */
  virtual Expected<json::Value> metrics() = 0;

  /** Handles the announcement of an endpoint.
      @returns an object, which may contain only `{"accepted": true}` */
  virtual Expected<json::Value> announce(const Announcement& announcement) = 0;
};

} // namespace figchute::admin
