#pragma once

/** The service of a control VM: it runs the replicated log on its data folder, applies committed
    commands to the ledger's state and answers proposals, document polls and queries. */

#include "control/ControlCore.h"
#include "control/ControlNode.h"
#include "control/ControlService.h"
#include "control/DataFolder.h"
#include "control/Report.h"
#include "control/Reports.h"
