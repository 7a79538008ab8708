"""Draining: machines that take no more tasks, and the orderly stop of what runs on them."""

import logging

from driftcleat.cluster import Batch, Job, JobState, Machine, MachineState, transition_machine
from driftcleat.scheduler.context import SchedulerContext

log = logging.getLogger(__name__)


class MachineDrainer:
    """The machines that are being drained."""

    def __init__(self, context: SchedulerContext) -> None:
        self._cluster, self._layout = context.cluster, context.layout
        self._machines: set[str] = set()
        # Whether the next batch has to look for tasks to stop.
        self.pending = True

    def drain(self, machine: Machine, why: str) -> None:
        """Place nothing more on a machine and stop what is there, with time to save."""
        log.info("draining %s with %d tasks: %s", machine.name, len(machine.tasks), why)
        transition_machine(machine, MachineState.DRAINING)
        self._machines.add(machine.name)
        # Nothing else need happen for the next batch to hold the stops.
        self.pending = True

    def record_commit(self) -> None:
        """A batch was committed: it may have put a task where a drain had begun meanwhile."""
        self.pending = self.pending or bool(self._machines)

    def append_stops(self, batch: Batch) -> None:
        """Put the stops of what runs on draining machines into a batch."""
        for name in sorted(self._machines):
            machine = self._cluster.machines.get(name)
            if machine is None or machine.state is not MachineState.DRAINING:
                self._machines.discard(name)
                continue
            for job_id, index in machine.tasks:
                job = batch.job(job_id)
                if job is None or job.state is not JobState.ACTIVE:
                    continue
                if not self.stop_attempt(batch, job, index):
                    if batch.must_migrate_first(job):
                        continue
                    return
        self.pending = bool(batch.awaiting_migration)

    def stop_attempt(self, batch: Batch, job: Job, index: int) -> bool:
        """Stop a task with time to save; of a gang all tasks. False when the batch is too full."""
        placement = job.placements.get(index)
        if placement is None or placement.stop_grace_s is not None:
            return True
        grace = job.spec.checkpoint_duration_s if job.spec.checkpoint_interval_s > 0 else 0.0
        indices = list(job.placements) if job.is_gang else [index]
        chunks = len({self._layout.chunk_of(job, other) for other in indices} - {0})
        if not batch.has_room(job, len(indices), chunks):
            return False
        for other in indices:
            batch.stop_task(job.id, other, grace)
        return True
