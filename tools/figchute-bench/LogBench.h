#pragma once

#include "core/Error.h"

#include <string>

namespace figchute::bench {

/** Measures appends per second with and without group commit, and the recovery time after 500
    changes, and prints them as tab-separated rows `scenario policy metric value unit`.
    @param folder  an existing folder on the disk to measure; a subfolder is created and removed */
Expected<void> runLogBench(const std::string& folder);

} // namespace figchute::bench
