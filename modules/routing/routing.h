#pragma once

/** Routes requests to endpoints. The class Router combines the endpoint registry, the queues by
    rank, fair sharing, endpoint choice, limits, retries, outlier ejection and preemption. The
    module does no I/O and reads no clock. */

#include "routing/Messages.h"
#include "routing/Policy.h"
#include "routing/RequestInfo.h"
#include "routing/Router.h"
