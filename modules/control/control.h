#pragma once

/** The control service: runs the replicated log on a data folder, applies committed commands to the
    ledger's ControlState and answers proposals, document polls and queries. */

#include "control/ControlCore.h"
#include "control/ControlNode.h"
#include "control/ControlService.h"
#include "control/DataFolder.h"
#include "control/LogWork.h"
#include "control/ReportBuilder.h"
#include "control/ReportMessages.h"
