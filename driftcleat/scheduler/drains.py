"""Graceful eviction: cordons machines and stops their tasks with a grace period."""

import logging

from driftcleat.cluster import Batch, Job, JobState, Machine, MachineState, transition_machine
from driftcleat.scheduler.context import SchedulerContext

log = logging.getLogger(__name__)


class MachineDrainer:
    """Drains machines: places no more tasks there and stops theirs with a grace period for a checkpoint."""

    def __init__(self, context: SchedulerContext) -> None:
        self._cluster = context.cluster
        self._layout = context.layout
        self._draining: set[str] = set()
        # Whether the next batch must look for tasks to stop.
        self.pending = True

    def drain(self, machine: Machine, reason: str) -> None:
        """Cordon a machine and have the next batch stop its tasks gracefully; `reason` is for the log."""
        log.info("machine %s: draining %d tasks: %s", machine.name, len(machine.tasks), reason)
        transition_machine(machine, MachineState.DRAINING)
        self._draining.add(machine.name)
        # The next batch is built for the stops even if no other change is pending.
        self.pending = True

    def record_commit(self) -> None:
        """Look for tasks again after a commit, which may have placed one on a machine that is draining by now."""
        self.pending = self.pending or bool(self._draining)

    def append_stops(self, batch: Batch) -> None:
        """Append the stops of tasks on draining machines for which the batch has room."""
        for name in sorted(self._draining):
            machine = self._cluster.machines.get(name)
            if machine is None or machine.state is not MachineState.DRAINING:
                self._draining.discard(name)
                continue
            for job_id, index in machine.tasks:
                job = batch.job(job_id)
                if job is None or job.state is not JobState.ACTIVE:
                    continue
                if not self.stop_attempt(batch, job, index):
                    if batch.must_wait(job):
                        continue
                    return
        self.pending = bool(batch.waiting_jobs)

    def stop_attempt(self, batch: Batch, job: Job, index: int) -> bool:
        """Stop a task, or all tasks of its gang, with a grace period; return False if the batch has no room."""
        placement = job.placements.get(index)
        if placement is None or placement.stop_grace_s is not None:
            return True
        grace_s = job.spec.checkpoint_duration_s if job.spec.checkpoint_interval_s > 0 else 0.0
        indices = list(job.placements) if job.is_gang else [index]
        chunks = {self._layout.chunk_of(job, stopped) for stopped in indices}
        # The records are charged with grace periods already, so that stops add nothing.
        if not batch.has_room(job, 0, chunks):
            return False
        for stopped in indices:
            batch.stop_task(job.id, stopped, grace_s)
        return True
