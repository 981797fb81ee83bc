#pragma once

/** The request coordinator of an entry VM and the task that owns its state: wallet, witness,
   router, membership and the requests in progress. */

#include "entry/Coordinator.h"
#include "entry/DocumentCache.h"
#include "entry/EntryService.h"
