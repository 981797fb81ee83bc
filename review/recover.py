"""Judges RECOVER after a final fault that kills all processes. Arguments: FOLDER and one of

quiet-then-killed  some seconds without requests, then the final fault: all processes are killed, and back after 1 s
down-then-killed   all processes are killed and back after 5 s; after the recovery, the same final fault

The environment variables QUIET_S and DOWN_S replace the seconds without requests and the 5 s.
"""

import os
import sys
import time

sys.dont_write_bytecode = True
from standins import BROKEN, HELD, CannotRun, play  # noqa: E402

PREPAID = 420_000
PROMPT = 1_000
PER_SECOND = 10
FINAL_DOWN_S = 1.0
RECOVER_S = 12


def restart_all(fleet, down_s):
    fleet.kill_all()
    time.sleep(down_s)
    fleet.start_all()


def recover(fleet, phase):
    """Waits until recoverS after the machines are back, with a little traffic."""
    back_at = time.monotonic()
    fleet.traffic(phase, RECOVER_S, 2, PROMPT)
    fleet.share(phase)
    time.sleep(max(0.0, back_at + RECOVER_S + 0.5 - time.monotonic()))


def scenario(case):
    def run(fleet, trouble):
        fleet.traffic("before", 10, PER_SECOND, PROMPT)
        fleet.share("before")
        if case == "down-then-killed":
            if trouble:
                restart_all(fleet, float(os.environ.get("DOWN_S", "5")))
            recover(fleet, "before")
        else:
            time.sleep(float(os.environ.get("QUIET_S", "5")))
        if fleet.share("before") < 0.25:
            raise CannotRun("less than a quarter was served before the final fault")
        if not fleet.configure():
            raise CannotRun("a configuration was not accepted")
        if trouble:
            restart_all(fleet, FINAL_DOWN_S)
        recover(fleet, "recovery")
        fleet.traffic("after", 8, PER_SECOND, PROMPT)
        return BROKEN if fleet.share("after") < 0.25 else HELD
    return run


play(sys.argv[1], PREPAID, scenario(sys.argv[2]))
