#pragma once

/** Parses INI texts into ordered sections and keys with line numbers, using cxxtools. The headers
    may be included from C++17 and C++20 code. The module does no I/O. */

#include "ini/Fault.h"
#include "ini/IniFile.h"
#include "ini/Rules.h"
#include "ini/SectionReader.h"
