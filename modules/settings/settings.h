#pragma once

/** Typed settings of the daemon and their validation, which reports all faults. Only
    readTextFile() does I/O. */

#include "settings/Address.h"
#include "settings/CommandLine.h"
#include "settings/Parser.h"
#include "settings/Settings.h"
