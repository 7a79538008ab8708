"""Handles events of the cluster state for the scheduler."""

from driftcleat.cluster import Job, Machine, MachineState
from driftcleat.scheduler.context import Counters
from driftcleat.scheduler.drains import MachineDrainer
from driftcleat.scheduler.garbage_collection import GarbageCollector
from driftcleat.scheduler.pacing import RoundPacing

# Number of jobs with failed tasks on a machine from which on the machine is drained.
FAILED_JOBS_BEFORE_DRAIN = 2


class ClusterEventHandler:
    """A `ClusterListener` that counts exits, requests placement rounds, records cached images and drains machines."""

    def __init__(
        self,
        counters: Counters,
        pacing: RoundPacing,
        garbage_collector: GarbageCollector,
        drainer: MachineDrainer,
    ) -> None:
        self._counters = counters
        self._pacing = pacing
        self._garbage_collector = garbage_collector
        self._drainer = drainer

    def task_exited(self, machine: Machine, job: Job, reason: str) -> None:
        """Count the exit; drain the machine if tasks of several jobs failed on it."""
        self._counters.exits[reason] = self._counters.exits.get(reason, 0) + 1
        if len(machine.failed_jobs) >= FAILED_JOBS_BEFORE_DRAIN and machine.state is MachineState.UP:
            self._drainer.drain(machine, "tasks of several jobs failed")

    def machine_up(self) -> None:
        """Request a placement round, which may use the new machine."""
        self._pacing.record_change()

    def images_changed(self, machine: Machine) -> None:
        """Record the machine's cached images in the store for the next leader."""
        self._garbage_collector.record_images(machine)

    def termination_noticed(self, machine: Machine, notice_s: float) -> None:
        """Drain the machine, which the cloud will reclaim in `notice_s` seconds."""
        self._drainer.drain(machine, f"termination notice of {notice_s:.1f} s")
