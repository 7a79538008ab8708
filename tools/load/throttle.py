"""Holds a process to a share of a core: `python -m tools.load.throttle PID SHARE`.

The process is paused (SIGSTOP) whenever it has used more than its share so far, and goes on (SIGCONT) once time has
caught up, as on the platform's machines: its timers fire late and its answers wait. What it did not use is kept for
at most `BURST_S`.
"""

import os
import signal
import sys
import time

from .processes import usage

LOOK_S = 0.005
# Unused time that may be made up for, in seconds of the process's own share.
BURST_S = 0.1


def hold(pid: int, share: float) -> None:
    """Pause and resume a process until it ends."""
    allowed_s = used_s = usage(pid).core_s
    looked_at = time.monotonic()
    stopped = False
    while True:
        time.sleep(LOOK_S)
        now = time.monotonic()
        allowed_s = max(allowed_s + (now - looked_at) * share, used_s - BURST_S)
        looked_at = now
        used_s = usage(pid).core_s
        allowed_s = min(allowed_s, used_s + BURST_S * share)
        if (used_s > allowed_s) is not stopped:
            stopped = not stopped
            os.kill(pid, signal.SIGSTOP if stopped else signal.SIGCONT)


if __name__ == "__main__":
    try:
        hold(int(sys.argv[1]), float(sys.argv[2]))
    except OSError:
        # The process has ended.
        pass
