"""Nominations: jobs for which work was preempted, until the resources that it frees are there."""

from driftcleat.scheduler.reservations import Reservations


class Nominations:
    """The jobs for which a preemption is pending; their machines are kept in the reservations."""

    def __init__(self, reservations: Reservations) -> None:
        self.reservations = reservations
        # By job id: until when the victims are expected to be gone.
        self._pending_until: dict[str, float] = {}
        # Of those, the jobs that wait for a machine with their image cached.
        self._waiting_for_image: set[str] = set()

    def nominate(self, job_id: str, until: float) -> None:
        """Expect a job's victims to be gone by then, and preempt nothing more for it until then."""
        self._pending_until[job_id] = until

    def nominate_for_image(self, job_id: str) -> None:
        """Note that a nominated job waits for a machine with its image cached, and is to be placed nowhere else."""
        self._waiting_for_image.add(job_id)

    def withdraw(self, job_id: str) -> None:
        """Allow a job to preempt again at once; what is reserved for it stays reserved."""
        self._pending_until.pop(job_id, None)

    def is_pending(self, job_id: str, now: float) -> bool:
        """Tell whether victims of a job's preemption are still expected to go."""
        return self._pending_until.get(job_id, 0.0) > now

    def waits_for_image(self, job_id: str, now: float) -> bool:
        """Tell whether a job waits for victims to go where its image is cached."""
        if job_id not in self._waiting_for_image:
            return False
        if self.is_pending(job_id, now):
            return True
        self._waiting_for_image.discard(job_id)
        return False

    def release(self, job_id: str) -> None:
        """Forget a job that is placed or over, and release what is reserved for it."""
        self._pending_until.pop(job_id, None)
        self._waiting_for_image.discard(job_id)
        self.reservations.release(job_id)
