#pragma once

/** HTTP/1.1 server and client connections on one event loop. */

#include "http/ClientPool.h"
#include "http/Head.h"
#include "http/Server.h"
#include "http/Traffic.h"
#include "http/TunnelServer.h"
