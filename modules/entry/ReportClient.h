#pragma once

#include "control/ReportMessages.h"
#include "core/core.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace figchute::entry {

/** Requests reports from the control VMs until the leader answers.
    Thread safety: use one instance from one thread only. */
class ReportClient
{
public:
  /** Receives the JSON text of the report, or not_found, or no_quorum if no leader answered in
      time. */
  using Done = std::function<void(Expected<std::string>)>;

  /** A message to a control VM. */
  struct OutgoingMessage
  {
    ProcessId to;
    control::ReportMessage message;
  };

  /** An unanswered request is sent to the next control VM after this time. */
  static constexpr Duration kResendInterval = std::chrono::milliseconds(300);
  /** A request without an answer fails after this time. */
  static constexpr Duration kRequestTimeout = std::chrono::seconds(3);

  /** Sets the control VMs to send requests to. */
  void setControls(std::vector<ProcessId> controls) { controls_ = std::move(controls); }

  /** Requests a report. @p done is called exactly once. */
  void requestReport(Time now, control::ReportKind kind, std::string argument, Done done);

  /** Handles a reply. */
  void receive(Time now, const control::ReportReply& reply);

  /** Resends unanswered requests and fails those that have timed out. */
  void tick(Time now);

  /** Returns the messages to send and clears them. */
  std::vector<OutgoingMessage> takeOutgoing() { return std::exchange(outgoing_, {}); }

private:
  struct Pending
  {
    control::ReportRequest request;
    Done done;
    Time startedAt;
    Time sentAt;
  };

  void send(Time now, Pending& pending, ProcessId to);
  ProcessId nextControl();

  std::vector<ProcessId> controls_;
  std::size_t nextControlIndex_ = 0;
  std::uint64_t lastId_ = 0;
  std::map<std::uint64_t, Pending> pending_;
  std::vector<OutgoingMessage> outgoing_;
};

} // namespace figchute::entry
