"""Nominations: jobs for which tasks were preempted and that wait for the freed resources."""

from driftcleat.scheduler.reservations import Reservations


class Nominations:
    """The jobs with a pending preemption; `reservations` holds the machines reserved for them."""

    def __init__(self, reservations: Reservations) -> None:
        self.reservations = reservations
        # By job id: the time by which the victims are expected to be gone.
        self._pending_until: dict[str, float] = {}
        # The nominated jobs that wait for a machine with their image cached.
        self._waiting_for_image: set[str] = set()

    def nominate(self, job_id: str, until: float) -> None:
        """Record that a job's victims are expected to be gone by `until`; it does not preempt again before that."""
        self._pending_until[job_id] = until

    def nominate_for_image(self, job_id: str) -> None:
        """Record that a nominated job waits for a machine with its image cached and is placed nowhere else."""
        self._waiting_for_image.add(job_id)

    def withdraw(self, job_id: str) -> None:
        """Allow a job to preempt again at once; its reservations are kept."""
        self._pending_until.pop(job_id, None)

    def is_pending(self, job_id: str, now: float) -> bool:
        """Return whether the victims of a job's preemption may still be running."""
        return self._pending_until.get(job_id, 0.0) > now

    def waits_for_image(self, job_id: str, now: float) -> bool:
        """Return whether a job waits for victims on a machine that has its image cached."""
        if job_id not in self._waiting_for_image:
            return False
        if self.is_pending(job_id, now):
            return True
        self._waiting_for_image.discard(job_id)
        return False

    def release(self, job_id: str) -> None:
        """Drop the nomination and the reservations of a job that is placed or has ended."""
        self._pending_until.pop(job_id, None)
        self._waiting_for_image.discard(job_id)
        self.reservations.release(job_id)
