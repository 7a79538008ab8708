"""Draining: machines that take no more tasks, and the orderly stop of what runs on them."""

import logging

from driftcleat.model import Batch, Job, JobState, Machine, MachineState, change_machine

from .context import TermContext

log = logging.getLogger(__name__)


class Drains:
    """The machines that are being drained."""

    def __init__(self, context: TermContext) -> None:
        self._cluster, self._layout = context.cluster, context.layout
        self._machines: set[str] = set()
        # Whether the next batch has to look for tasks to stop.
        self.pending = True

    def drain(self, machine: Machine, why: str) -> None:
        """Place nothing more on a machine and stop what is there, with time to save."""
        log.info("draining %s with %d tasks: %s", machine.name, len(machine.tasks), why)
        change_machine(machine, MachineState.DRAINING)
        self._machines.add(machine.name)
        # Nothing else need happen for the next batch to hold the stops.
        self.pending = True

    def note_commit(self) -> None:
        """A batch was committed: it may have put a task where a drain had begun meanwhile."""
        self.pending = self.pending or bool(self._machines)

    def take(self, batch: Batch) -> None:
        """Put the stops of what runs on draining machines into a batch."""
        for name in sorted(self._machines):
            machine = self._cluster.machines.get(name)
            if machine is None or machine.state is not MachineState.DRAINING:
                self._machines.discard(name)
                continue
            for job_id, index in machine.tasks:
                job = batch.get(job_id)
                if job is None or job.state is not JobState.ACTIVE:
                    continue
                if not self.stop_attempt(batch, job, index):
                    if batch.awaits_migration(job):
                        continue
                    return
        self.pending = bool(batch.blocked)

    def stop_attempt(self, batch: Batch, job: Job, index: int) -> bool:
        """Stop a task with time to save; of a gang all tasks. False when the batch is too full."""
        place = job.places.get(index)
        if place is None or place.stop is not None:
            return True
        grace = job.spec.save_s if job.spec.checkpoint_s > 0 else 0.0
        indices = list(job.places) if job.is_gang else [index]
        chunks = len({self._layout.chunk_of(job, other) for other in indices} - {0})
        if not batch.has_room(job, len(indices), chunks):
            return False
        for other in indices:
            batch.stop(job.id, other, grace)
        return True
