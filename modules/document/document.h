#pragma once

/** Typed team documents and their validation, which reports all faults. The module does no I/O. */

#include "document/Document.h"
#include "document/Parser.h"
