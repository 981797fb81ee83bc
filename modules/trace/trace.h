#pragma once

/** Reading of the log lines of figchute-routerd, and the lines that belong to one request. The
    module opens no files and reads no clock. */

#include "trace/LineReader.h"
#include "trace/LogLine.h"
#include "trace/RequestTrace.h"
