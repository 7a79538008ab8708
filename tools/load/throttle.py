"""Limits a process to a share of a core: `python -m tools.load.throttle PID SHARE`.

The process is paused (SIGSTOP) while it has used more CPU time than its share allows so far, and resumed (SIGCONT)
afterwards. As with the CPU limit of the platform, its timers fire late and its responses are delayed. Unused time is
carried over for at most `BURST_S`.
"""

import os
import signal
import sys
import time

from .processes import usage

CHECK_INTERVAL_S = 0.005
# Wall-clock time whose unused share may be used later, in seconds.
BURST_S = 0.1


def throttle(pid: int, share: float) -> None:
    """Pause and resume a process until it exits, which raises `OSError`."""
    allowed_s = used_s = usage(pid).core_s
    checked_at = time.monotonic()
    paused = False
    while True:
        time.sleep(CHECK_INTERVAL_S)
        now = time.monotonic()
        allowed_s = max(allowed_s + (now - checked_at) * share, used_s - BURST_S)
        checked_at = now
        used_s = usage(pid).core_s
        allowed_s = min(allowed_s, used_s + BURST_S * share)
        if (used_s > allowed_s) is not paused:
            paused = not paused
            os.kill(pid, signal.SIGSTOP if paused else signal.SIGCONT)


if __name__ == "__main__":
    try:
        throttle(int(sys.argv[1]), float(sys.argv[2]))
    except OSError:
        # The process has exited.
        pass
