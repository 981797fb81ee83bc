#pragma once

/** Escrow accounting of prepaid budgets. Control, the group of control VMs, grants parts of the
    budgets to holders, which are the incarnations of entry processes. ControlState is the state
    machine of control's replicated log, QuotaManager manages the grants of one holder, and Witness
   keeps records of other holders. The module does no I/O, reads no clock and is deterministic. */

#include "ledger/Command.h"
#include "ledger/ControlState.h"
#include "ledger/Message.h"
#include "ledger/Proposer.h"
#include "ledger/QuotaManager.h"
#include "ledger/Witness.h"
