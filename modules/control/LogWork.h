#pragma once

#include "core/core.h"
#include "ledger/ledger.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace figchute::control {

/** The kinds of commands whose application is counted separately. */
enum class CommandKind : std::uint8_t
{
  grant,
  settle,
  registration,
  retirement,
  configuration,
  endpoint,
  barrier,
  other,
};

constexpr std::size_t kCommandKinds = 8;

/** Returns the kind of a command.
    Thread safety: safe from any thread. */
CommandKind kindOf(const ledger::Command& command);

/** Returns the name of a kind in lower case.
    Thread safety: safe from any thread. */
std::string_view toString(CommandKind kind);

/** The applied commands of one kind. */
struct CommandWork
{
  std::uint64_t commands = 0;
  /** The budgets that grant requests and settlements name. */
  std::uint64_t items = 0;
  std::uint64_t bytes = 0;
  /** The time taken to decode and apply them and to encode their results. */
  Duration time{ 0 };
};

/** What a control process did for its replicated log, as leader or follower. Times are 0 unless
    CoreConfig::clock is set. */
struct LogWork
{
  std::array<CommandWork, kCommandKinds> applied{};
  /** Applied items of grant requests that named waiting requests, and those of them for which the
      budget was low. Holders request these again. */
  std::uint64_t waitingItems = 0;
  std::uint64_t lowItems = 0;
  /** Writes to the data folder, each with one sync or more. */
  std::uint64_t saves = 0;
  Duration saveTime{ 0 };
  std::uint64_t snapshots = 0;
  std::uint64_t snapshotBytes = 0;
  Duration snapshotTime{ 0 };

  /** Adds an applied command and its result. */
  void addCommand(const ledger::Command& command,
                  const ledger::Result& result,
                  std::size_t bytes,
                  Duration time);

  LogWork& operator+=(const LogWork& other);
};

} // namespace figchute::control
