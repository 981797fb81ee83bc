#pragma once

#include "router/Dialect.h"

namespace figchute::router {

/** Parses the command line and the settings file, then runs a router process until it is stopped.
    @param argc     argument count of main()
    @param argv     arguments of main()
    @param dialect  translates the HTTP protocol of the deployment
    @returns the exit code: 0 after a stop or a settings check, 1 for an invalid command line or an
   unreadable settings file, 2 for invalid settings, 3 when the process cannot start */
int runDaemon(int argc, const char** argv, const Dialect& dialect);

} // namespace figchute::router
