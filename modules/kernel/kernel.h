#pragma once

/** A microkernel: services that are started in order, stopped in reverse order and found by name,
    and tasks that own their state and communicate by messages. */

#include "kernel/Clock.h"
#include "kernel/Kernel.h"
#include "kernel/Mailbox.h"
#include "kernel/Service.h"
#include "kernel/Task.h"
