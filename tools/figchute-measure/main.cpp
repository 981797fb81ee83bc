/** figchute-measure: experiments in virtual time over the real decision modules. */

#include "DispatchExperiments.h"
#include "LedgerExperiments.h"
#include "RoutingExperiments.h"
#include "RowWriter.h"

#include <iostream>
#include <popt.h>
#include <string>

int main(int argc, const char** argv)
{
  char* only = nullptr;
  const poptOption options[] = { { "only",
                                   0,
                                   POPT_ARG_STRING,
                                   static_cast<void*>(&only),
                                   0,
                                   "run one part",
                                   "ledger|routing|dispatch" },
                                 POPT_AUTOHELP POPT_TABLEEND };
  poptContext context = poptGetContext("figchute-measure", argc, argv, options, 0);
  const int status = poptGetNextOpt(context);
  const std::string part = only == nullptr ? "" : only;
  const bool usable = status == -1 && poptPeekArg(context) == nullptr &&
                      (part.empty() || part == "ledger" || part == "routing" || part == "dispatch");
  poptFreeContext(context);
  if (!usable) {
    std::cerr << "usage: figchute-measure [--only ledger|routing|dispatch]\n";
    return 1;
  }
  figchute::measure::RowWriter rows(std::cout);
  if (part.empty() || part == "ledger") {
    figchute::measure::runLedgerExperiments(rows);
  }
  if (part.empty() || part == "routing") {
    figchute::measure::runRoutingExperiments(rows);
  }
  if (part.empty() || part == "dispatch") {
    figchute::measure::runDispatchExperiments(rows);
  }
  return 0;
}
