#pragma once

#include "World.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace figchute::simulation {

/** Creates the configurations of a run: valid ones that differ in their prepaid budgets, and
   invalid ones. */
class ConfigurationText
{
public:
  /** The prepaid tokens by workspace. */
  using Budgets = std::map<std::string, std::int64_t>;

  /** Returns a valid configuration.
      @param variant  makes the text differ from others of the same version */
  static std::string createValid(std::uint64_t version,
                                 std::uint64_t variant,
                                 const Budgets& budgets);

  /** Returns a configuration that must be refused.
      @param fault  selects the error in the configuration */
  static std::string createInvalid(std::uint64_t version,
                                   std::uint64_t fault,
                                   const Budgets& budgets);
};

/** Operators that change and read the configuration through random control processes, resend
    unacknowledged changes, race with each other and send configurations that must be refused. */
class Operators
{
public:
  Operators(World& world, int workspaces);

  /** Sends the first configuration until it is acknowledged, and starts the random actions. */
  void start();

  /** Stops the random actions. */
  void stopChanges() { changesEnabled_ = false; }

  /** Sends a last configuration that raises every budget until it is acknowledged. */
  void raiseAllBudgets(std::int64_t tokens);

  [[nodiscard]] std::uint64_t sentCount() const { return sentCount_; }
  [[nodiscard]] std::uint64_t refusedCount() const { return refusedCount_; }

private:
  void scheduleAction();
  void runRandomAction();
  void changeBudgets();
  void putConfiguration(const std::string& bytes, std::uint64_t version, int attemptsLeft);
  void putInvalidConfiguration();
  void putConflictingConfiguration();
  void readConfiguration();
  std::string createConfiguration(std::uint64_t version, const ConfigurationText::Budgets& budgets);
  ProcessId randomControl();

  World& world_;
  ConfigurationText::Budgets budgets_;
  std::vector<std::pair<std::uint64_t, std::string>> sentConfigurations_;
  std::uint64_t lastVersion_ = 0;
  std::uint64_t lastVariant_ = 0;
  std::uint64_t sentCount_ = 0;
  std::uint64_t refusedCount_ = 0;
  bool changesEnabled_ = true;
};

} // namespace figchute::simulation
