#pragma once

/** Messages between processes on one event loop. */

#include "mesh/Mesh.h"
