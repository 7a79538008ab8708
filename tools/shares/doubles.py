"""Protocol doubles of a load run: workers and a state service that record what happens as events of a history."""

import asyncio
import random
import time
from collections.abc import Callable
from typing import Any

import msgspec
from aiohttp import web

from driftcleat import wire
from driftcleat.sharing.keys import ALLOCATIONS_PREFIX, MACHINE_SHARDS_PREFIX, shard_key
from driftcleat.sharing.quota import QuotaAllocation
from driftcleat.store.keys import BATCH_MARKER_KEY, LEADER_KEY
from driftcleat.store.records import ScaleOutRecord
from driftcleat.wire.workers import Command
from tests.protocol_doubles import ChangeLogStoreDouble, HttpReferenceModel
from tests.reference_model import InvariantViolationError
from tests.reference_store import InMemoryStore
from tests.reference_worker import ReferenceWorker, WorkerTask

from .history import (
    Event,
    HeartbeatAnswered,
    LeaderElected,
    LeaseExpired,
    MachineAssigned,
    MachineDeleted,
    QuotaAllocated,
    TaskStarted,
    TaskStopped,
)

EventSink = Callable[[Event], None]


class HistoryWorker(ReferenceWorker):
    """A worker that records accepted heartbeat responses, lease expiries and stopped tasks."""

    model: "HistoryReferenceModel"

    def receive_response(
        self, worker_epoch: int, sequence: int, fencing_token: int, commands: list[Command], sent_at: float
    ) -> None:
        """Process a heartbeat response; record it if it was accepted."""
        before = self.lease_renewed_at
        super().receive_response(worker_epoch, sequence, fencing_token, commands, sent_at)
        if self.lease_renewed_at != before and fencing_token == self.fencing_token:
            self.model.record_event(HeartbeatAnswered(self.model.now, self.name, fencing_token))

    def step(self) -> None:
        """Advance the worker to the present time; record an expired lease and the tasks that stopped."""
        worker_epoch, running = self.worker_epoch, self.tasks_on_machine()
        super().step()
        if self.worker_epoch != worker_epoch:
            self.model.record_event(LeaseExpired(self.model.now, self.name))
        self.record_stops(running)

    def execute_commands(self, commands: list[Command]) -> None:
        """Execute commands; record the tasks that they stopped."""
        running = self.tasks_on_machine()
        super().execute_commands(commands)
        self.record_stops(running)

    def tasks_on_machine(self) -> dict[tuple[str, int, int], WorkerTask]:
        """Return the tasks that have not exited."""
        return {key: task for key, task in self.tasks.items() if task.state != "exited"}

    def record_stops(self, before: dict[tuple[str, int, int], WorkerTask]) -> None:
        """Record a stop of each task in `before` that is no longer on the machine."""
        now = self.tasks_on_machine()
        for key, task in before.items():
            if key not in now:
                done = (task.job.id, task.index) in self.model.finished
                self.model.record_event(TaskStopped(self.model.now, self.name, task.job.id, task.index, done))

    def exit_gang_task(self, task: WorkerTask, why: str) -> None:
        """Exit a task because its gang has ended; record the stop unless the task had already exited."""
        was_on_machine = task.state != "exited"
        super().exit_gang_task(task, why)
        if was_on_machine:
            self.model.record_event(TaskStopped(self.model.now, self.name, task.job.id, task.index, why == "done"))


class HistoryReferenceModel(HttpReferenceModel):
    """Workers and cloud that record their events; invariant violations are collected instead of raised."""

    def __init__(self, platform: Any, seed: int, record_event: EventSink) -> None:
        super().__init__(platform)
        self.rng = random.Random(seed)
        self.record_event = record_event
        self.invariant_violations: list[str] = []

    def boot(self, record: ScaleOutRecord) -> str:
        """Add the worker of a machine that was created; return its name."""
        self.machines_created += 1
        name = f"vm-{self.machines_created:06d}"
        self.workers[name] = HistoryWorker(self, name, self.types[record.machine_type], record.zone, record.spot)
        return name

    async def handle_cloud(self, request: web.BaseRequest) -> web.Response:
        """Serve a request to the cloud's API; record the machines that it deleted and the tasks that stopped."""
        alive = {worker.name for worker in self.alive()}
        running = {name: self.workers[name].tasks_on_machine() for name in alive}  # type: ignore[attr-defined]
        response = await super().handle_cloud(request)
        for name in alive:
            worker = self.workers[name]
            if worker.terminated:
                worker.record_stops(running[name])  # type: ignore[attr-defined]
                self.record_event(MachineDeleted(self.now, name))
        return response

    def check_start(self, worker: ReferenceWorker, task: WorkerTask) -> None:
        """Record the start of a task, and check it against the rules of the reference model."""
        self.record_event(TaskStarted(self.now, worker.name, task.job.id, task.index, task.job.team, task.job.gpus))
        try:
            super().check_start(worker, task)
        except InvariantViolationError as error:
            self.invariant_violations.append(str(error))

    async def run_clock(self) -> None:
        """Advance all workers in real time, one step each tick, until cancelled."""
        while True:
            self.now = asyncio.get_running_loop().time()
            for worker in list(self.workers.values()):
                worker.step()
            await asyncio.sleep(self.tick_s)


class HistoryStore(ChangeLogStoreDouble):
    """A state service that records commits of leader keys, machine assignments and quota allocations."""

    def __init__(self, store: InMemoryStore, shard_count: int, record_event: EventSink) -> None:
        super().__init__(store)
        self._record_event, self._shard_count = record_event, shard_count
        self._leader_keys = {shard_key(shard, LEADER_KEY): shard for shard in range(shard_count)}
        self._batch_keys = {shard_key(shard, BATCH_MARKER_KEY): shard for shard in range(shard_count)}
        self._elections: dict[int, tuple[int, float]] = {}
        # For each change of a shard's leader: the time from the commit of its key to its first batch.
        self.first_batch_delays_s: list[float] = []
        self.moves = 0
        self.total_changes = 0
        self.started_at = time.monotonic()

    def record_change(self, change: dict[str, Any], revision: int) -> None:
        """Add a change to the log, and record the event that it stands for, if any."""
        super().record_change(change, revision)
        self.total_changes += 1
        key, now = change.get("put"), self.now()
        if key is None:
            return
        if key in self._leader_keys:
            shard = self._leader_keys[key]
            self._elections[shard] = (revision, now)
            self._record_event(LeaderElected(now, shard, change["v"][0], revision))
        elif key in self._batch_keys:
            self._record_first_batch(self._batch_keys[key], change["v"][0], now)
        elif key.startswith(MACHINE_SHARDS_PREFIX):
            self._record_event(MachineAssigned(now, key[len(MACHINE_SHARDS_PREFIX) :], change["v"]))
        elif key.startswith(ALLOCATIONS_PREFIX):
            allocation = wire.convert(change["v"], QuotaAllocation)
            self._record_event(QuotaAllocated(now, key[len(ALLOCATIONS_PREFIX) :], allocation))

    def _record_first_batch(self, shard: int, fencing_token: int, now: float) -> None:
        election = self._elections.get(shard)
        if election is not None and election[0] == fencing_token:
            self.first_batch_delays_s.append(now - election[1])
            del self._elections[shard]


class Assignments(msgspec.Struct, array_like=True):
    """The fields of a stored shard assignment that a run reads."""

    format: int
    owners: tuple[str, ...]
    moves: list[Any]
    moves_begun: int
