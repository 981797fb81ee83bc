#pragma once

/** Membership of the entry VMs by heartbeats with incarnations. The module does no I/O and reads no
    clock. */

#include "membership/Membership.h"
#include "membership/Messages.h"
