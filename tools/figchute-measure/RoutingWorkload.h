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
  int zoneCount = 3;
  int engineCount = 12;
  int vmCount = 9;
  Duration crossZoneDelay{ 1000 };
};

/** Returns the sizes of the two deployments in use. */
std::vector<DeploymentSizes> deployments();

/** The load and the faults of one run. */
enum class Scenario : std::uint8_t
{
  calm,
  floodReports,
  floodUrgent,
  zoneCut,
  crashLoop,
  plannedStop,
  /** A flood of reports from three workspaces, which arrive at all VMs, at the first VM of each
      zone and at the second VM of each zone, respectively. */
  skewedShare,
  /** The same, but the requests of the second and third workspace arrive at the VMs of one zone
      each. */
  skewedZones,
};

/** Returns the name of a scenario in the rows. */
std::string_view toString(Scenario scenario);

constexpr int kWorkspaceCount = 10;
constexpr int kLargeWorkspaceCount = 3;
constexpr std::uint32_t kSlotsPerEngine = 32;

/** Requests that arrive in this window are measured. */
constexpr Time kMeasurementStart{ 20'000'000 };
constexpr Time kMeasurementEnd{ 70'000'000 };
/** Arrivals continue until this time, so that the load persists while measured requests run. */
constexpr Time kArrivalsEnd{ 90'000'000 };
constexpr Time kRunEnd{ 130'000'000 };
/** The partition, stops and crashes begin at the first time; the partition ends at the second. */
constexpr Time kFaultStart{ 30'000'000 };
constexpr Time kPartitionEnd{ 50'000'000 };

/** One part of a prompt: the fingerprint of the prefix that ends with it, and its length. */
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
  int outputTokens = 0;
  int maxTokens = 0;
  /** The request crashes the engine that runs it. */
  bool crashesEngine = false;
};

/** Draws the random requests of one run, in order of arrival. The same arguments give the same
    requests.
    @param onlySmallWorkspaces  true to omit the requests of the large workspaces */
std::vector<PlannedRequest> planRequests(const DeploymentSizes& sizes,
                                         Scenario scenario,
                                         std::uint64_t seed,
                                         bool onlySmallWorkspaces);

} // namespace figchute::measure
