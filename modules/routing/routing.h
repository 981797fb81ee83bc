#pragma once

/** Routing of requests to endpoints: registry, rank queue, fair share, endpoint choice, limits,
    retries, outlier ejection and preemption behind the class Router. The module does no I/O and
    reads no clock. */

#include "routing/Messages.h"
#include "routing/Policy.h"
#include "routing/Router.h"
#include "routing/Work.h"
