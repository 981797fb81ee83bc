#pragma once

/** Parses the log lines of figchute-routerd and collects those that belong to one request. The
    module does not open files and does not read a clock. */

#include "trace/LineReader.h"
#include "trace/LogLine.h"
#include "trace/RequestTrace.h"
