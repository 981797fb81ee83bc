#pragma once

#include "ledger/ledger.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace figchute::measure {

/** The network and zones of one deployment. */
struct Site
{
  std::string_view name;
  int zones = 3;
  /** One-way delay between zones. */
  Duration crossZone{ 1000 };
};

/** Entry VMs of every experiment. */
constexpr int kEntryVms = 9;

/** Decides on requests at the entry VMs: the object of the experiment.
    Thread safety: use one instance from one thread only. */
class BudgetPolicy
{
public:
  virtual ~BudgetPolicy() = default;

  /** Applies a document with the cumulative purchases. */
  virtual void buy(Time now, const std::vector<ledger::Purchase>& purchases) = 0;

  /** Asks for a reservation; a waiting one is answered by takeDecisions(). */
  virtual ledger::Decision reserve(Time now,
                                   int vm,
                                   const RequestId& request,
                                   std::span<const BudgetId> budgets,
                                   Tokens bound) = 0;

  /** Lowers a reservation. */
  virtual void reduceReservation(Time now, int vm, const RequestId& request, Tokens bound) = 0;

  /** Bills a request. */
  virtual void charge(Time now, int vm, const RequestId& request, Tokens actual) = 0;

  /** Returns the decisions of a VM on waiting requests. */
  virtual std::vector<ledger::Decision> takeDecisions(int vm) = 0;

  /** Returns the requests of a VM whose last byte may be sent. */
  virtual std::vector<RequestId> takeRecordedCharges(int vm) = 0;

  /** Runs everything up to a time. */
  virtual void advance(Time now) = 0;

  /** Stops a VM without warning; it starts again empty after @p pause. */
  virtual void crash(Time now, int vm, Duration pause) = 0;

  /** Cuts a zone off from the others, or heals the network with -1. */
  virtual void cut(int zone) = 0;

  /** Returns what a VM could still give to requests of a budget without a message. */
  [[nodiscard]] virtual Tokens available(int vm, const BudgetId& budget) const = 0;

  /** Tells whether a VM has the latest document. */
  [[nodiscard]] virtual bool informed(int vm) const = 0;

  /** Tells whether the books have caught up: everything billed is settled and nothing is stranded.
      @param billed  the sum of all bills */
  [[nodiscard]] virtual bool recovered(Tokens billed) const = 0;
};

/** The ledger of this repository: wallets and witnesses around one control state, joined by a
   network with delay, jitter and loss. */
class FigchutePolicy : public BudgetPolicy
{
public:
  FigchutePolicy(const Site& site, std::uint64_t seed, Time start);

  void buy(Time now, const std::vector<ledger::Purchase>& purchases) override;
  ledger::Decision reserve(Time now,
                           int vm,
                           const RequestId& request,
                           std::span<const BudgetId> budgets,
                           Tokens bound) override;
  void reduceReservation(Time now, int vm, const RequestId& request, Tokens bound) override;
  void charge(Time now, int vm, const RequestId& request, Tokens actual) override;
  std::vector<ledger::Decision> takeDecisions(int vm) override;
  std::vector<RequestId> takeRecordedCharges(int vm) override;
  void advance(Time now) override;
  void crash(Time now, int vm, Duration pause) override;
  void cut(int zone) override;
  [[nodiscard]] Tokens available(int vm, const BudgetId& budget) const override;
  [[nodiscard]] bool informed(int vm) const override;
  [[nodiscard]] bool recovered(Tokens billed) const override;

  /** Returns the bytes of all messages sent. */
  [[nodiscard]] std::uint64_t bytes() const { return bytes_; }
  /** Returns the number of committed commands. */
  [[nodiscard]] std::uint64_t commands() const { return index_; }
  [[nodiscard]] const ledger::ControlState& control() const { return control_; }

private:
  struct Entry
  {
    Incarnation incarnation{ 1 };
    std::unique_ptr<ledger::Wallet> wallet;
    std::unique_ptr<ledger::Witness> witness;
    std::uint64_t revision = 0;
  };

  /** The control VM; it stands in the first zone. */
  static constexpr int kControl = kEntryVms;

  struct Packet
  {
    int from = 0;
    int to = 0;
    std::string bytes;
  };

  [[nodiscard]] int zoneOf(int process) const;
  [[nodiscard]] static ProcessId nameOf(int process);
  [[nodiscard]] static int processOf(const ProcessId& name);
  void start(Time now, int vm);
  void tellPeers(Time now);
  void send(Time now, int from, const ledger::Outgoing& outgoing, Duration extra = Duration{ 0 });
  void flush(Time now, int process);
  void deliver(Time now, const Packet& packet);
  void deliverToControl(Time now, int from, const ledger::Message& message);
  void tick(Time now);

  Site site_;
  Random random_;
  ledger::ControlState control_;
  ledger::Witness controlWitness_;
  std::uint64_t index_ = 0;
  std::uint64_t version_ = 0;
  std::vector<Entry> entries_;
  std::multimap<Time, Packet> packets_;
  std::multimap<Time, int> restarts_;
  Time nextTick_;
  int cutZone_ = -1;
  std::uint64_t bytes_ = 0;
};

/** The baseline: each entry VM owns a fixed ninth of each budget. Its counters survive a crash. */
class EqualSplitPolicy : public BudgetPolicy
{
public:
  EqualSplitPolicy(const Site& site, std::uint64_t seed, Time start);

  void buy(Time now, const std::vector<ledger::Purchase>& purchases) override;
  ledger::Decision reserve(Time now,
                           int vm,
                           const RequestId& request,
                           std::span<const BudgetId> budgets,
                           Tokens bound) override;
  void reduceReservation(Time now, int vm, const RequestId& request, Tokens bound) override;
  void charge(Time now, int vm, const RequestId& request, Tokens actual) override;
  std::vector<ledger::Decision> takeDecisions(int vm) override;
  std::vector<RequestId> takeRecordedCharges(int vm) override;
  void advance(Time now) override;
  void crash(Time now, int vm, Duration pause) override;
  void cut(int zone) override;
  [[nodiscard]] Tokens available(int vm, const BudgetId& budget) const override;
  [[nodiscard]] bool informed(int vm) const override;
  [[nodiscard]] bool recovered(Tokens billed) const override;

private:
  struct Reservation
  {
    std::vector<BudgetId> budgets;
    Tokens bound;
  };

  struct Share
  {
    std::map<BudgetId, Tokens> bought;
    std::map<BudgetId, Tokens> used;
    std::map<RequestId, Reservation> running;
    std::vector<RequestId> recorded;
    std::uint64_t revision = 0;
    Time nextPoll;
  };

  [[nodiscard]] int zoneOf(int vm) const { return vm % site_.zones; }
  void lower(Share& share, const Reservation& reservation, Tokens amount);

  Site site_;
  std::map<BudgetId, Tokens> bought_;
  std::uint64_t revision_ = 0;
  std::vector<Share> shares_;
  int cutZone_ = -1;
};

} // namespace figchute::measure
