"""Processor time and memory of a leader's steps, each apart: `python -m tests.costs [MACHINES ...]`.

The deciding core alone, with four tasks on each machine; nothing is sent and nobody else takes part. The times are of
this process: they tell shares and growth, not what another machine needs.
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

from .reference_model import InMemoryStore
from .samples import MACHINE_TYPES, job, platform
from .scheduler_fixtures import new_scheduler

T = TypeVar("T")

SITE = platform()
TASKS_A_MACHINE = 4
TASKS_A_JOB = 40
SIZES = (700, 4000)
# Tasks of which four fill a machine.
ARRAY = {"hands": TASKS_A_JOB, "cores": 4.0, "accelerators": 0.0, "memGb": 4.0, "imageGb": 1.0}


class LeaderSteps:
    """A term with so many machines, played step by step."""

    def __init__(self, machines: int) -> None:
        self._machines = machines
        self._now = [0.0]
        self._store = InMemoryStore(SITE)
        self._number = self._mark = 0
        self._token = self._store.put_leader("a")
        self._term = self._begin(ClusterState(self._token, {}, dict(MACHINE_TYPES), 0.0, SITE.lease_s))

    def _begin(self, cluster: ClusterState) -> Scheduler:
        scheduler = new_scheduler(SITE, cluster, self._now)
        scheduler.pacing.placement_starts_at = 0.0
        return scheduler

    def _timed(self, name: str, work: Callable[[], T], count: int = 1) -> T:
        """Print what some work takes, whole and for each of so many."""
        began = time.process_time()
        value = work()
        spent = time.process_time() - began
        each = f", {spent / count * 1e6:.1f} us for each of {count}" if count > 1 else ""
        print(f"  {name}: {spent * 1e3:.1f} ms{each}", flush=True)
        return value

    def run(self) -> None:
        """Print what each step takes."""
        bodies = [wire.encode(heartbeat) for heartbeat in self._reports(1)]
        reports = self._timed(
            "decode reports", lambda: [wire.decode(body, Heartbeat) for body in bodies], self._machines
        )
        self._timed("first reports", lambda: self._observe(reports), self._machines)
        jobs = self._machines * TASKS_A_MACHINE // TASKS_A_JOB
        for number in range(1, jobs + 1):
            self._term.admission.submit(PendingRequest(lambda status: None, job(number, **ARRAY)))
        self._timed("candidates of one round", lambda: self._term.candidates.all(0.0), self._machines)
        self._timed("jobs accepted and placed, batches encoded", self._commit_all, jobs)
        self._reports_in_service(2)
        now = self._now[0]
        self._timed("what is silent", lambda: self._term.reachability.detect_failures(now), self._machines)
        plan = self._timed("what to rent", lambda: self._term.plan_scale_out(now), self._machines)
        self._timed("what to return", lambda: self._term.select_scale_in(plan, now), self._machines)
        self._take_over()

    def _reports_in_service(self, seq: int) -> None:
        for number, name in enumerate(("changed", "equal, the first", "equal, later")):
            reports = self._reports(seq + number)
            self._timed(f"reports, {name}", lambda reports=reports: self._observe(reports), self._machines)  # type: ignore[misc]
            self._commit_all()

    def _take_over(self) -> None:
        """A new leader reads what the first one wrote, and hears every machine once."""
        heads, chunks = self._store.items(JOBS_PREFIX), self._store.items(CHUNKS_PREFIX)
        records = len(heads) + len(chunks)
        print(f"  take-over with {records} records of {len(heads)} jobs")
        jobs, _ = self._timed("  decode records", lambda: asyncio.run(decode_jobs(heads, chunks)), records)
        reports = self._reports(9)
        cluster = self._timed(
            "  the picture", lambda: ClusterState(self._token, jobs, dict(MACHINE_TYPES), 0.0, SITE.lease_s)
        )
        self._term = self._begin(cluster)
        self._timed("  every machine's first report", lambda: self._observe(reports), self._machines)
        self._timed("  what they prove, in rounds", self._commit_all, self._machines)

    def _reports(self, seq: int) -> list[Heartbeat]:
        """Return a report of each machine, with the tasks that are placed there."""
        out = []
        for number in range(self._machines):
            name = f"vm-{number:06d}"
            machine = self._term.cluster.machines.get(name)
            placed = machine.tasks.items() if machine is not None else ()
            tasks = tuple(
                TaskStatus(format_task_name(*key), placement.attempt, TaskPhase.RUNNING) for key, placement in placed
            )
            zone = ("north", "south")[number % 2]
            out.append(Heartbeat(name, f"10.0.0.1:{number}", "big", zone, False, 1, seq, self._token, tasks))
        return out

    def _observe(self, reports: list[Heartbeat]) -> None:
        cluster = self._term.cluster
        for heartbeat in reports:
            machine = apply_heartbeat(cluster, heartbeat, self._now[0])
            assert machine is not None
            cluster.has_uncommitted_exits(machine)
            commands_for_heartbeat(cluster, machine, heartbeat)

    def _commit_all(self) -> None:
        """Commit until nothing is left to do."""
        while True:
            self._now[0] += 1.0
            for machine in self._term.cluster.machines.values():
                machine.last_heartbeat_at = self._now[0]
            batch = self._term.build_batch()
            if batch.is_empty:
                return
            self._number += 1
            encoded = encode_batch(batch, self._term.layout, self._token, self._number, self._mark)
            revision = self._store.txn(encoded.body)
            assert revision is not None
            self._mark = revision
            self._term.apply_commit(batch, self._mark, encoded.obsolete_keys)


def memory(machines: int) -> None:
    """Print who holds how much at the end."""
    tracemalloc.start()
    steps = LeaderSteps(machines)
    steps.run()
    held = tracemalloc.take_snapshot().statistics("filename")
    print(f"  memory held: {sum(found.size for found in held) / 2**20:.1f} MB, of it")
    for found in held[:8]:
        print(f"    {found.traceback[0].filename.rpartition('site-packages/')[2][-48:]}: {found.size / 2**20:.2f} MB")
    tracemalloc.stop()


def main() -> None:
    """Play each size, and the largest once more for its memory."""
    sizes = [int(text) for text in sys.argv[1:]] or list(SIZES)
    for machines in sizes:
        print(f"{machines} machines")
        LeaderSteps(machines).run()
    print(f"{max(sizes)} machines again, slowed down by counting memory")
    memory(max(sizes))


if __name__ == "__main__":
    main()
