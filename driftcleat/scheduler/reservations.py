"""Reservations: machines whose free resources are kept for one job, while room for its other tasks is being freed."""

from collections.abc import Container
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Reservation:
    """For which job a machine's free resources are kept, and until when."""

    job_id: str
    until: float


class Reservations:
    """At most one reservation per machine."""

    def __init__(self) -> None:
        self._by_machine: dict[str, Reservation] = {}

    def __len__(self) -> int:
        return len(self._by_machine)

    def reserve(self, machine: str, job_id: str, until: float) -> None:
        """Keep a machine's free resources for a job; an earlier reservation of the machine ends."""
        self._by_machine[machine] = Reservation(job_id, until)

    def holder(self, machine: str, now: float) -> str | None:
        """Return the id of the job for which a machine is reserved, or None."""
        reservation = self._by_machine.get(machine)
        return reservation.job_id if reservation is not None and reservation.until > now else None

    def is_for(self, machine: str, job_id: str) -> bool:
        """Tell whether a machine is reserved for this job, or was until the reservation ran out in this round."""
        reservation = self._by_machine.get(machine)
        return reservation is not None and reservation.job_id == job_id

    def machines_of(self, job_id: str) -> list[str]:
        """Return the machines that are reserved for a job."""
        return [name for name, reservation in self._by_machine.items() if reservation.job_id == job_id]

    def release(self, job_id: str) -> None:
        """Drop the reservations for a job that is placed or over."""
        for name in self.machines_of(job_id):
            del self._by_machine[name]

    def expire(self, now: float, jobs: Container[str]) -> None:
        """Drop the reservations that ran out, and those for jobs that are over."""
        self._by_machine = {
            name: reservation
            for name, reservation in self._by_machine.items()
            if reservation.until > now and reservation.job_id in jobs
        }
