/** figchute-measure runs experiments with the production decision modules in virtual time. */

#include "DispatchExperiments.h"
#include "LedgerExperiments.h"
#include "RoutingExperiments.h"
#include "RowWriter.h"

#include <iostream>
#include <popt.h>
#include <string>

int main(int argc, const char** argv)
{
  char* onlyOption = nullptr;
  const poptOption options[] = { { "only",
                                   0,
                                   POPT_ARG_STRING,
                                   static_cast<void*>(&onlyOption),
                                   0,
                                   "run one part",
                                   "ledger|routing|dispatch" },
                                 POPT_AUTOHELP POPT_TABLEEND };
  poptContext context = poptGetContext("figchute-measure", argc, argv, options, 0);
  const int parseStatus = poptGetNextOpt(context);
  const std::string experiment = onlyOption == nullptr ? "" : onlyOption;
  const bool hasValidArguments = parseStatus == -1 && poptPeekArg(context) == nullptr &&
                                 (experiment.empty() || experiment == "ledger" ||
                                  experiment == "routing" || experiment == "dispatch");
  poptFreeContext(context);
  if (!hasValidArguments) {
    std::cerr << "usage: figchute-measure [--only ledger|routing|dispatch]\n";
    return 1;
  }
  figchute::measure::RowWriter rowWriter(std::cout);
  if (experiment.empty() || experiment == "ledger") {
    figchute::measure::runLedgerExperiments(rowWriter);
  }
  if (experiment.empty() || experiment == "routing") {
    figchute::measure::runRoutingExperiments(rowWriter);
  }
  if (experiment.empty() || experiment == "dispatch") {
    figchute::measure::runDispatchExperiments(rowWriter);
  }
  return 0;
}
