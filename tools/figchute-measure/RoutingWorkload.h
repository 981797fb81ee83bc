#pragma once

#include "core/Fingerprint.h"
#include "core/Types.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace figchute::measure {

/** Sizes of one deployment, from section 1 of the design page. */
struct DeploymentSizes
{
  std::string_view name;
  int zones = 3;
  int engines = 12;
  int vms = 9;
  Duration zoneDelay{ 1000 };
};

/** The two deployments in use. */
std::vector<DeploymentSizes> deployments();

/** What happens in a run. */
enum class Scenario : std::uint8_t
{
  calm,
  floodReports,
  floodUrgent,
  zoneCut,
  crashLoop,
  plannedStop,
  /** A flood of reports of three workspaces that enter at all VMs, at the first VM of each zone and
      at the second VM of each zone. */
  skewedShare,
  /** The same, but the second and third workspace enter at the VMs of one zone each. */
  skewedZones,
};

/** Returns the name of a scenario in the rows. */
std::string_view toString(Scenario scenario);

constexpr int kWorkspaces = 10;
constexpr int kLargeWorkspaces = 3;
constexpr std::uint32_t kSlotsPerEngine = 32;

/** Requests that arrive in this window are counted. */
constexpr Time kCountFrom{ 20'000'000 };
constexpr Time kCountUntil{ 70'000'000 };
/** Arrivals go on until here, so that the load stays up while counted requests run. */
constexpr Time kArrivalsEnd{ 90'000'000 };
constexpr Time kRunEnd{ 130'000'000 };
/** Cut, stops and crashes begin at this time and the cut ends at the second one. */
constexpr Time kFaultAt{ 30'000'000 };
constexpr Time kCutEnd{ 50'000'000 };

/** One prefix of a prompt with its length. */
struct PromptPart
{
  Fingerprint prefix = 0;
  int tokens = 0;
};

/** One request of a caller. */
struct PlannedRequest
{
  Time arrival;
  int vm = 0;
  int workspace = 0;
  Rank rank = Rank::prompt;
  /** Parts of the prompt, each with the fingerprint of the prompt up to its end. */
  std::vector<PromptPart> prompt;
  int output = 0;
  int maxTokens = 0;
  /** The request crashes the engine that runs it. */
  bool crashes = false;
};

/** Makes the requests of one run; the same arguments give the same requests.
    @param onlySmall  leaves out the large workspaces */
std::vector<PlannedRequest> planRequests(const DeploymentSizes& sizes,
                                         Scenario scenario,
                                         std::uint64_t seed,
                                         bool onlySmall);

} // namespace figchute::measure
