#pragma once

/** Converts JSON texts to a Value tree and back. The headers may be included from C++17 and C++20
    code. The module does no I/O. */

#include "json/Json.h"
#include "json/Value.h"
