#pragma once

/** The HTTP server for operators and for the announcements of endpoints, and the client for
    operators, based on cxxtools. The server accesses the fleet only through AdminBackend. The
    headers may be included from C++17 and C++20 code. */

#include "admin/AdminBackend.h"
#include "admin/AdminClient.h"
#include "admin/AdminServer.h"
#include "admin/Announcement.h"
