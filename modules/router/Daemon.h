#pragma once

#include "router/Dialect.h"

namespace figchute::router {

/** Runs a router process from its command line until it is stopped.
    @param argc     as given to main()
    @param argv     as given to main()
    @param dialect  the protocol of the deployment
    @returns the exit code: 0 after a clean stop, 1 for a wrong command line, 2 for wrong settings,
   3 when the process cannot start */
int runDaemon(int argc, const char** argv, const Dialect& dialect);

} // namespace figchute::router
