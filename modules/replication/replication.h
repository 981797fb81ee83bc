#pragma once

/** A leader-based replicated log (Raft) and its storage. LogNode does no I/O and reads no clock;
    LogStorage stores the log in a data folder through a Disk. */

#include "replication/Disk.h"
#include "replication/Entry.h"
#include "replication/FileDisk.h"
#include "replication/LogNode.h"
#include "replication/LogStorage.h"
#include "replication/Membership.h"
#include "replication/MemoryDisk.h"
#include "replication/Message.h"
