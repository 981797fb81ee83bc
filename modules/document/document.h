#pragma once

/** Typed team documents and their validation, which lists every fault. The module does no I/O. */

#include "document/Document.h"
#include "document/Parser.h"
