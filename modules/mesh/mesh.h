#pragma once

/** Messaging between processes on a single event loop. */

#include "mesh/Mesh.h"
