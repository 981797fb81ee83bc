#pragma once

/** The request coordinator of an entry VM and the service whose task owns the state of the VM: the
    quota manager, witness, router, membership and the requests in progress. */

#include "entry/Coordinator.h"
#include "entry/DocumentCache.h"
#include "entry/EntryService.h"
#include "entry/KeyValidation.h"
