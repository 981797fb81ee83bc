#pragma once

/** Typed settings of the daemon and their validation, which lists every fault. The module does no
    I/O. */

#include "settings/Address.h"
#include "settings/Parser.h"
#include "settings/Settings.h"
