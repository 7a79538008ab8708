"""Reservations: machines whose free resources only one job may use while more resources are freed for it."""

from collections.abc import Container
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Reservation:
    """The job for which a machine's free resources are reserved, and until when."""

    job_id: str
    until: float


class Reservations:
    """The current reservations, at most one per machine."""

    def __init__(self) -> None:
        self._by_machine: dict[str, Reservation] = {}

    def __len__(self) -> int:
        return len(self._by_machine)

    def reserve(self, machine: str, job_id: str, until: float) -> None:
        """Reserve a machine's free resources for a job; this replaces an earlier reservation of the machine."""
        self._by_machine[machine] = Reservation(job_id, until)

    def holder(self, machine: str, now: float) -> str | None:
        """Return the id of the job for which a machine is reserved; None if there is no unexpired reservation."""
        reservation = self._by_machine.get(machine)
        return reservation.job_id if reservation is not None and reservation.until > now else None

    def is_for(self, machine: str, job_id: str) -> bool:
        """Return whether a machine is reserved for this job, even if the reservation expires during this round."""
        reservation = self._by_machine.get(machine)
        return reservation is not None and reservation.job_id == job_id

    def machines_of(self, job_id: str) -> list[str]:
        """Return the names of the machines that are reserved for a job."""
        return [name for name, reservation in self._by_machine.items() if reservation.job_id == job_id]

    def release(self, job_id: str) -> None:
        """Drop the reservations for a job that is placed or has ended."""
        for name in self.machines_of(job_id):
            del self._by_machine[name]

    def expire(self, now: float, jobs: Container[str]) -> None:
        """Drop expired reservations and those for jobs that are not in `jobs`."""
        self._by_machine = {
            name: reservation
            for name, reservation in self._by_machine.items()
            if reservation.until > now and reservation.job_id in jobs
        }
