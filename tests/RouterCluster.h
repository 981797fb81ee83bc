#pragma once

#include "LedgerCluster.h"

#include <doctest/doctest.h>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace figchute::ledger::test {

/** Entry processes of the router daemon, which record no charges, in three availability zones with
    one prepaid budget. */
struct Router : Cluster
{
  explicit Router(std::uint64_t seed = 1)
    : Cluster(seed)
  {
    makeSettings = [](const HolderId& self, const ZoneId& zone) {
      return routerQuotaSettings(self, zone);
    };
  }

  void startProcesses(int processes, std::int64_t amount)
  {
    for (int i = 0; i < processes; ++i) {
      start(std::string(1, static_cast<char>('a' + i)), false, "z" + std::to_string(i % 3));
    }
    setPrepaidAmount(amount);
    advance(kSecond);
  }

  /** Sets the amount of the budget at control and at the quota managers that are connected to
      control. */
  void setPrepaidAmount(std::int64_t amount)
  {
    configuration = { { BudgetId("w:t/x"), Tokens{ amount } } };
    configure();
  }

  void configure()
  {
    control.setPrepaid(configuration);
    for (auto& [name, entry] : entries) {
      if (entry.quotaManager && connected(name, "ctl")) {
        entry.quotaManager->setBudgets(now, configuration);
      }
    }
  }

  void restart(const std::string& name)
  {
    start(name, false, entries.at(name).zone.value);
    entries.at(name).quotaManager->setBudgets(now, configuration);
  }

  void crashAll()
  {
    for (const auto& [name, entry] : entries) {
      crash(name);
    }
  }

  void restartAll()
  {
    for (const auto& [name, entry] : entries) {
      restart(name);
    }
  }

  void disconnectControl()
  {
    for (const auto& [name, entry] : entries) {
      disconnectedLinks.insert({ name, "ctl" });
    }
  }

  /** Runs the network until a process sends a Settle, for at most 2 s, and returns it. */
  Settle nextSettle(const std::string& name)
  {
    for (int ms = 0; ms < 2000; ++ms) {
      advance(kMs);
      for (const auto& [time, packet] : packetQueue) {
        const auto message = *wire::decode<Message>(packet.bytes);
        const auto* propose = std::get_if<Propose>(&message);
        if (packet.from != name || propose == nullptr) {
          continue;
        }
        const auto command = *wire::decode<Command>(propose->command);
        if (const auto* settle = std::get_if<Settle>(&command)) {
          return *settle;
        }
      }
    }
    return {};
  }

  /** Adds the receivers of the transfer requests of a process that are on their way. */
  void addTransferRequestReceivers(const std::string& name, std::set<std::string>& receivers) const
  {
    for (const auto& [time, packet] : packetQueue) {
      const auto message = *wire::decode<Message>(packet.bytes);
      if (packet.from == name && std::holds_alternative<TransferRequest>(message)) {
        receivers.insert(packet.to);
      }
    }
  }

  QuotaManager& quotaManager(const std::string& name) { return *entries.at(name).quotaManager; }

  /** Runs requests one after the other at one process and returns how many were refused. */
  int runRequests(const std::string& name, int requests, std::int64_t bound, Duration pause)
  {
    int refused = 0;
    for (int i = 0; i < requests; ++i) {
      const auto id = "s" + std::to_string(++requestCount);
      const bool admitted = decide(name, id, bound).status == ReserveStatus::admitted;
      refused += admitted ? 0 : 1;
      if (admitted) {
        CHECK(charge(name, id, bound));
      }
      advance(pause);
    }
    return refused;
  }

  std::vector<PrepaidBudget> configuration;
  int requestCount = 0;
};

struct NineRouters : Router
{
  NineRouters() { startProcesses(9, 100'000); }
};

} // namespace figchute::ledger::test
