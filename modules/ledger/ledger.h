#pragma once

/** Escrow accounting of prepaid budgets: ControlState is the state machine over the replicated log,
    Wallet an entry VM's grants, Witness the records of other holders. The module does no I/O, reads
    no clock and is deterministic. */

#include "ledger/Command.h"
#include "ledger/ControlState.h"
#include "ledger/Message.h"
#include "ledger/Proposer.h"
#include "ledger/Wallet.h"
#include "ledger/Witness.h"
