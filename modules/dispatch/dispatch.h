#pragma once

/** Choice of an endpoint for each request of an entry process. */

#include "dispatch/Dispatcher.h"
#include "dispatch/RequestInfo.h"
