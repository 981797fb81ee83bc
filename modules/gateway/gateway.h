#pragma once

/** HTTP towards callers and endpoints: a bounded HTTP/1.1 server for callers, a pool of calls to
    endpoints, and the formats that pass through them (chat completions and server-sent events).
    The module owns sockets and threads; it makes no routing or billing decision. */

#include "gateway/CallerServer.h"
#include "gateway/ChatChunk.h"
#include "gateway/ChatRequest.h"
#include "gateway/DeliveredText.h"
#include "gateway/ErrorAnswer.h"
#include "gateway/EventStreamParser.h"
#include "gateway/UpstreamPool.h"
#include "gateway/WholeAnswer.h"
