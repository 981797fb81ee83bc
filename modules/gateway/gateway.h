#pragma once

/** HTTP communication with callers and endpoints: an HTTP/1.1 server with resource limits, a client
    connection pool, and parsers and serializers for chat completions and server-sent events.
    The module owns sockets and threads. It makes no routing or billing decisions. */

#include "gateway/CallerServer.h"
#include "gateway/ChatChunk.h"
#include "gateway/ChatCompletionBuilder.h"
#include "gateway/ChatRequest.h"
#include "gateway/DeliveredText.h"
#include "gateway/ErrorResponse.h"
#include "gateway/EventStreamParser.h"
#include "gateway/UpstreamPool.h"
