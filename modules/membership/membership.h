#pragma once

/** Detects which entry VMs are live by heartbeats. The module performs no I/O and reads no clock.
 */

#include "membership/Membership.h"
#include "membership/Messages.h"
