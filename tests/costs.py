"""Measures processor time and memory of each step of a leader: `python -m tests.costs [MACHINES ...]`.

Runs the scheduler alone, with four tasks on each machine and without any communication. The times show how the cost
divides among steps and grows with the number of machines; absolute values hold for the machine that runs this only.
"""

import asyncio
import sys
import time
import tracemalloc
from collections.abc import Callable
from typing import TypeVar

from driftcleat import wire
from driftcleat.cluster import ClusterState, apply_heartbeat, commands_for_heartbeat
from driftcleat.scheduler import PendingRequest, Scheduler
from driftcleat.store.decoding import decode_jobs
from driftcleat.store.encoding import encode_batch
from driftcleat.store.keys import CHUNKS_PREFIX, JOBS_PREFIX
from driftcleat.wire.workers import Heartbeat, TaskPhase, TaskStatus, format_task_name

from .reference_store import InMemoryStore
from .samples import MACHINE_TYPES, job, platform
from .scheduler_fixtures import new_scheduler

T = TypeVar("T")

SITE = platform()
TASKS_PER_MACHINE = 4
TASKS_PER_JOB = 40
MACHINE_COUNTS = (700, 4000)
# Job settings whose tasks need a quarter of a machine each.
ARRAY_JOB = {"hands": TASKS_PER_JOB, "cores": 4.0, "accelerators": 0.0, "memGb": 4.0, "imageGb": 1.0}


class LeaderSteps:
    """A leader's scheduler with `machines` machines, run step by step."""

    def __init__(self, machines: int) -> None:
        self._machines = machines
        self._now = [0.0]
        self._store = InMemoryStore(SITE)
        self._batch_number = self._marker_revision = 0
        self._fencing_token = self._store.put_leader("a")
        self._scheduler = self._new_scheduler(
            ClusterState(self._fencing_token, {}, dict(MACHINE_TYPES), 0.0, SITE.lease_s)
        )

    def _new_scheduler(self, cluster: ClusterState) -> Scheduler:
        scheduler = new_scheduler(SITE, cluster, self._now)
        scheduler.pacing.placement_starts_at = 0.0
        return scheduler

    def _timed(self, name: str, work: Callable[[], T], count: int = 1) -> T:
        """Run `work` and print its processor time, in total and for each of `count` items."""
        started_at = time.process_time()
        value = work()
        spent = time.process_time() - started_at
        each = f", {spent / count * 1e6:.1f} us for each of {count}" if count > 1 else ""
        print(f"  {name}: {spent * 1e3:.1f} ms{each}", flush=True)
        return value

    def run(self) -> None:
        """Run all steps and print the processor time of each."""
        bodies = [wire.encode(heartbeat) for heartbeat in self._heartbeats(1)]
        heartbeats = self._timed(
            "decode heartbeats", lambda: [wire.decode(body, Heartbeat) for body in bodies], self._machines
        )
        self._timed("first heartbeats", lambda: self._apply(heartbeats), self._machines)
        jobs = self._machines * TASKS_PER_MACHINE // TASKS_PER_JOB
        for number in range(1, jobs + 1):
            self._scheduler.admission.submit(PendingRequest(lambda status: None, job(number, **ARRAY_JOB)))
        self._timed(
            "candidates of one placement round", lambda: self._scheduler.candidates.available(0.0), self._machines
        )
        self._timed("accept and place jobs, encode batches", self._commit_all, jobs)
        self._steady_state(2)
        now = self._now[0]
        self._timed("failure detection", lambda: self._scheduler.reachability.detect_failures(now), self._machines)
        plan = self._timed("scale-out plan", lambda: self._scheduler.plan_scale_out(now), self._machines)
        self._timed("scale-in selection", lambda: self._scheduler.select_scale_in(plan, now), self._machines)
        self._recover()

    def _steady_state(self, sequence: int) -> None:
        for number, name in enumerate(("changed", "first unchanged", "later unchanged")):
            heartbeats = self._heartbeats(sequence + number)
            self._timed(f"heartbeats, {name}", lambda heartbeats=heartbeats: self._apply(heartbeats), self._machines)  # type: ignore[misc]
            self._commit_all()

    def _recover(self) -> None:
        """Load the records into a new leader's scheduler and process one heartbeat of every machine."""
        heads, chunks = self._store.items(JOBS_PREFIX), self._store.items(CHUNKS_PREFIX)
        records = len(heads) + len(chunks)
        print(f"  recovery with {records} records of {len(heads)} jobs")
        jobs, _ = self._timed("  decode records", lambda: asyncio.run(decode_jobs(heads, chunks)), records)
        heartbeats = self._heartbeats(9)
        cluster = self._timed(
            "  build cluster state",
            lambda: ClusterState(self._fencing_token, jobs, dict(MACHINE_TYPES), 0.0, SITE.lease_s),
        )
        self._scheduler = self._new_scheduler(cluster)
        self._timed("  first heartbeat of every machine", lambda: self._apply(heartbeats), self._machines)
        self._timed("  commit task states from heartbeats", self._commit_all, self._machines)

    def _heartbeats(self, sequence: int) -> list[Heartbeat]:
        """Return a heartbeat of each machine that reports its placed tasks as running."""
        heartbeats = []
        for number in range(self._machines):
            name = f"vm-{number:06d}"
            machine = self._scheduler.cluster.machines.get(name)
            placed = machine.tasks.items() if machine is not None else ()
            tasks = tuple(
                TaskStatus(format_task_name(*key), placement.attempt, TaskPhase.RUNNING) for key, placement in placed
            )
            zone = ("north", "south")[number % 2]
            heartbeats.append(
                Heartbeat(name, f"10.0.0.1:{number}", "big", zone, False, 1, sequence, self._fencing_token, tasks)
            )
        return heartbeats

    def _apply(self, heartbeats: list[Heartbeat]) -> None:
        cluster = self._scheduler.cluster
        for heartbeat in heartbeats:
            machine = apply_heartbeat(cluster, heartbeat, self._now[0])
            assert machine is not None
            cluster.has_uncommitted_exits(machine)
            commands_for_heartbeat(cluster, machine, heartbeat)

    def _commit_all(self) -> None:
        """Commit batches until one is empty; time advances by 1 s per batch."""
        while True:
            self._now[0] += 1.0
            for machine in self._scheduler.cluster.machines.values():
                machine.last_heartbeat_at = self._now[0]
            batch = self._scheduler.build_batch()
            if batch.is_empty:
                return
            self._batch_number += 1
            encoded = encode_batch(
                batch, self._scheduler.layout, self._fencing_token, self._batch_number, self._marker_revision
            )
            revision = self._store.txn(encoded.body)
            assert revision is not None
            self._marker_revision = revision
            self._scheduler.apply_commit(batch, self._marker_revision, encoded.obsolete_keys)


def memory(machines: int) -> None:
    """Print the memory allocated at the end of a run, in total and for the eight largest source files."""
    tracemalloc.start()
    steps = LeaderSteps(machines)
    steps.run()
    statistics = tracemalloc.take_snapshot().statistics("filename")
    print(f"  memory held: {sum(stat.size for stat in statistics) / 2**20:.1f} MB, of which")
    for stat in statistics[:8]:
        print(f"    {stat.traceback[0].filename.rpartition('site-packages/')[2][-48:]}: {stat.size / 2**20:.2f} MB")
    tracemalloc.stop()


def main() -> None:
    """Run each number of machines, and the largest once more with memory tracing."""
    sizes = [int(text) for text in sys.argv[1:]] or list(MACHINE_COUNTS)
    for machines in sizes:
        print(f"{machines} machines")
        LeaderSteps(machines).run()
    print(f"{max(sizes)} machines again with memory tracing, which slows it down")
    memory(max(sizes))


if __name__ == "__main__":
    main()
