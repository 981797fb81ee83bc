#pragma once

#include "World.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace figchute::simulation {

/** Builds the configurations of a run: whole ones that differ in their prepaid budgets, and broken
    ones. */
class ConfigurationText
{
public:
  /** The prepaid tokens by workspace. */
  using Budgets = std::map<std::string, std::int64_t>;

  /** Returns a valid configuration.
      @param mark  makes the text differ from others of the same version */
  static std::string valid(std::uint64_t version, std::uint64_t mark, const Budgets& budgets);

  /** Returns one that must be refused.
      @param fault  selects what is wrong */
  static std::string invalid(std::uint64_t version, std::uint64_t fault, const Budgets& budgets);
};

/** Operators that change and read the configuration through any control process, resend changes
    whose acknowledgement did not come, race, and send what must be refused. */
class Operators
{
public:
  Operators(World& world, int workspaces);

  /** Sends the first configuration, again until it is acknowledged, and begins to work. */
  void begin();

  /** Ends the random changes. */
  void end() { working_ = false; }

  /** Sends one last configuration that raises every budget, again until it is acknowledged. */
  void raiseAll(std::int64_t tokens);

  [[nodiscard]] std::uint64_t sent() const { return sent_; }
  [[nodiscard]] std::uint64_t refused() const { return refused_; }

private:
  void work();
  void act();
  void change();
  void put(const std::string& bytes, std::uint64_t version, int tries);
  void putInvalid();
  void putOther();
  void read();
  std::string offer(std::uint64_t version, const ConfigurationText::Budgets& budgets);
  ProcessId anyControl();

  World& world_;
  ConfigurationText::Budgets budgets_;
  std::vector<std::pair<std::uint64_t, std::string>> history_;
  std::uint64_t lastVersion_ = 0;
  std::uint64_t mark_ = 0;
  std::uint64_t sent_ = 0;
  std::uint64_t refused_ = 0;
  bool working_ = true;
};

} // namespace figchute::simulation
