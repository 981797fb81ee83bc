#pragma once

/** Encoding of messages between processes: msgpack bodies in an authenticated, versioned envelope.
    The module performs no I/O. */

#include "wire/Codec.h"
#include "wire/Envelope.h"
