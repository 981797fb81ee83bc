#include "LedgerExperiments.h"

namespace figchute::measure {

void runLedgerExperiments(RowWriter& /*rows*/) {}

} // namespace figchute::measure
