#pragma once

#include "ledger/Message.h"

#include <map>
#include <utility>
#include <vector>

namespace figchute::ledger::detail {

/** Collects one clock reading from each control VM after the start of a process. Control compares
    them with the last reading that the former incarnation reported.
    Thread safety: use one instance from one thread only. */
class ContactClocks
{
public:
  /** How long the registration of a new incarnation waits for readings. A control VM that does not
      answer within this time is probably down. */
  static constexpr Duration kMaxWait{ 150'000 };
  /** The interval at which a control VM that has not answered is asked again. */
  static constexpr Duration kRequestInterval{ 40'000 };

  /** @param self  the new incarnation */
  explicit ContactClocks(HolderId self);

  /** Adds control VMs to those that are asked. */
  void setControls(Time now, const std::vector<ProcessId>& controls);

  /** Handles an answer of a control VM. Only the first answer of each one counts: it bounds the end
      of the former incarnation more closely than a later one. */
  void receive(const ProcessId& from, const ClockReading& reading);

  /** Asks the control VMs again that have not answered. */
  void tick(Time now);

  /** Returns whether all control VMs have answered or the time to wait for them is over. */
  [[nodiscard]] bool isComplete(Time now) const;

  /** Returns the valid readings received so far. */
  [[nodiscard]] std::vector<ClockReading> readings() const;

  /** Returns and clears the messages to send. */
  std::vector<OutgoingMessage> takeOutgoing() { return std::exchange(outgoing_, {}); }

private:
  struct ControlClock
  {
    bool answered = false;
    ClockReading reading;
  };

  [[nodiscard]] bool hasUnanswered() const;

  HolderId self_;
  std::map<ProcessId, ControlClock> clocks_;
  /** The time at which the first control VM became known. */
  Time startedAt_;
  Time nextRequestAt_;
  std::vector<OutgoingMessage> outgoing_;
};

} // namespace figchute::ledger::detail
