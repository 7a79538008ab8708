"""When the tasks of a gang that exited without the others are started again, so that all wait at the same time."""

from collections.abc import Callable

from driftcleat.cluster.jobs import Job

# The largest gang whose tasks are restarted one by one. A task that waits for W and is back after G seconds is
# missing for G / (W + G) of the time: of a large gang some task would be missing at any moment.
MAX_TASKS_RESTARTED_SINGLY = 50


class GangRestarts:
    """Decides when a gang's task that is to be restarted in place gets its start command.

    A small gang's task is restarted at once. The tasks of a large gang are restarted together, after all have exited:
    so they all have their images, and wait from about the same time on.
    """

    def __init__(self, window_s: float) -> None:
        """`window_s`: for how many seconds tasks of one gang are restarted together; several heartbeat intervals."""
        self._window_s = window_s
        # By job: until when its tasks are restarted, by the monotonic clock.
        self._open_until: dict[str, float] = {}
        # By job: a task that had not exited when last asked, which most often still has not.
        self._blocking_task: dict[str, int] = {}

    def may_restart(self, job: Job, has_exited: Callable[[int], bool], now: float) -> bool:
        """Return whether tasks of a gang are restarted at `now`; `has_exited` tells it of a task by its index."""
        if job.spec.tasks <= MAX_TASKS_RESTARTED_SINGLY or self._open_until.get(job.id, 0.0) > now:
            return True
        known = self._blocking_task.get(job.id)
        if known is not None and not has_exited(known):
            return False
        blocking = next((index for index in job.placements if not has_exited(index)), None)
        if blocking is not None:
            self._blocking_task[job.id] = blocking
            return False
        self._blocking_task.pop(job.id, None)
        self._open_until[job.id] = now + self._window_s
        return True

    def forget(self, job_id: str) -> None:
        """Remove a job that has ended."""
        self._open_until.pop(job_id, None)
        self._blocking_task.pop(job_id, None)
