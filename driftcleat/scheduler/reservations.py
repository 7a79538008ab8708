"""Free capacity that is kept for a job: what it displaced, or what its gang still lacks."""

from collections.abc import Container
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Reservation:
    """For whom a machine's free capacity is kept, and until when."""

    job_id: str
    until: float


class Reservations:
    """At most one reservation a machine."""

    def __init__(self) -> None:
        self._by_machine: dict[str, Reservation] = {}

    def __len__(self) -> int:
        return len(self._by_machine)

    def reserve(self, machine: str, job_id: str, until: float) -> None:
        """Keep a machine's free capacity for a job."""
        self._by_machine[machine] = Reservation(job_id, until)

    def holder(self, machine: str, now: float) -> str | None:
        """Return the job for which a machine's capacity is kept."""
        reservation = self._by_machine.get(machine)
        return reservation.job_id if reservation is not None and reservation.until > now else None

    def is_for(self, machine: str, job_id: str) -> bool:
        """Tell whether a machine was reserved for this job, even if its time has run out since the last round."""
        reservation = self._by_machine.get(machine)
        return reservation is not None and reservation.job_id == job_id

    def machines_of(self, job_id: str) -> list[str]:
        """Return the machines that are reserved for a job."""
        return [name for name, reservation in self._by_machine.items() if reservation.job_id == job_id]

    def release(self, job_id: str) -> None:
        """A job has found its places, or is over."""
        for name in self.machines_of(job_id):
            del self._by_machine[name]

    def expire(self, now: float, jobs: Container[str]) -> None:
        """Drop what has run out, or whose job is over."""
        self._by_machine = {
            name: reservation
            for name, reservation in self._by_machine.items()
            if reservation.until > now and reservation.job_id in jobs
        }
