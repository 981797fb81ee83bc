#pragma once

#include "control/Report.h"
#include "core/core.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace figchute::entry {

/** Asks control VMs for reports until the leader answers.
    Thread safety: use one instance from one thread only. */
class ReportClient
{
public:
  /** Takes the JSON text of the report, or not_found, or no_quorum when no leader answered in
      time. */
  using Done = std::function<void(Expected<std::string>)>;

  /** A message to a control VM. */
  struct Outgoing
  {
    ProcessId to;
    control::ReportMessage message;
  };

  /** An unanswered request goes to the next control VM after this time. */
  static constexpr Duration kResendAfter = std::chrono::milliseconds(300);
  /** A request fails after this time. */
  static constexpr Duration kGiveUpAfter = std::chrono::seconds(3);

  /** Replaces the list of control VMs. */
  void setControls(std::vector<ProcessId> controls) { controls_ = std::move(controls); }

  /** Starts a request; @p done is called once. */
  void ask(Time now, control::ReportKind kind, std::string argument, Done done);

  /** Handles an answer. */
  void receive(Time now, const control::ReportReply& reply);

  /** Sends unanswered requests again and fails those that took too long. */
  void tick(Time now);

  /** Returns the messages to send and forgets them. */
  std::vector<Outgoing> takeOutgoing() { return std::exchange(outgoing_, {}); }

private:
  struct Pending
  {
    control::ReportRequest request;
    Done done;
    Time askedAt;
    Time sentAt;
  };

  void send(Time now, Pending& pending, ProcessId to);
  ProcessId nextControl();

  std::vector<ProcessId> controls_;
  std::size_t next_ = 0;
  std::uint64_t lastId_ = 0;
  std::map<std::uint64_t, Pending> pending_;
  std::vector<Outgoing> outgoing_;
};

} // namespace figchute::entry
