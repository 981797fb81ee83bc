#pragma once

/** Basic types used by every other module: identifiers, time, tokens, errors, random numbers,
    metrics and run-time invariants. The module does no I/O and reads no clock. */

#include "core/Error.h"
#include "core/Fingerprint.h"
#include "core/Invariant.h"
#include "core/LogEvent.h"
#include "core/Metrics.h"
#include "core/Random.h"
#include "core/Types.h"
