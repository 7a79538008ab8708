"""The stand-ins of a run: workers that write the history, and the state service whose log tells the rest of it."""

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
from tests.reference_model import InMemoryStore, InvariantViolationError, ReferenceWorker, WorkerTask

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
    """A worker that tells what it does."""

    model: "HistoryReferenceModel"

    def receive_response(self, session: int, seq: int, token: int, commands: list[Command], sent_at: float) -> None:
        """Take an answer."""
        before = self.lease_renewed_at
        super().receive_response(session, seq, token, commands, sent_at)
        if self.lease_renewed_at != before and token == self.fencing_token:
            self.model.note(HeartbeatAnswered(self.model.now, self.name, token))

    def step(self) -> None:
        """Let time pass; tell what has ended by it."""
        session, running = self.worker_epoch, self.live()
        super().step()
        if self.worker_epoch != session:
            self.model.note(LeaseExpired(self.model.now, self.name))
        self.tell_stops(running)

    def execute_commands(self, commands: list[Command]) -> None:
        """Execute commands; tell what has ended by them."""
        running = self.live()
        super().execute_commands(commands)
        self.tell_stops(running)

    def live(self) -> dict[tuple[str, int, int], WorkerTask]:
        """Return the tasks that are on the machine."""
        return {key: task for key, task in self.tasks.items() if task.state != "exited"}

    def tell_stops(self, before: dict[tuple[str, int, int], WorkerTask]) -> None:
        """Tell which tasks are on the machine no more."""
        now = self.live()
        for key, task in before.items():
            if key not in now:
                done = (task.job.id, task.index) in self.model.finished
                self.model.note(TaskStopped(self.model.now, self.name, task.job.id, task.index, done))

    def exit_gang_task(self, task: WorkerTask, why: str) -> None:
        """A gang's task follows the others; it may have been told by them already."""
        was_live = task.state != "exited"
        super().exit_gang_task(task, why)
        if was_live:
            self.model.note(TaskStopped(self.model.now, self.name, task.job.id, task.index, why == "done"))


class HistoryReferenceModel(HttpReferenceModel):
    """Workers and cloud; every event is noted."""

    def __init__(self, platform: Any, seed: int, note: EventSink) -> None:
        super().__init__(platform)
        self.rng = random.Random(seed)
        self.note = note
        self.invariant_violations: list[str] = []

    def boot(self, record: ScaleOutRecord) -> str:
        """A machine comes up."""
        self.machines_created += 1
        name = f"vm-{self.machines_created:06d}"
        self.workers[name] = HistoryWorker(self, name, self.types[record.machine_type], record.zone, record.spot)
        return name

    async def handle_cloud(self, request: web.BaseRequest) -> web.Response:
        """Answer the cloud's interface; machines that are returned are gone."""
        alive = {worker.name for worker in self.alive()}
        running = {name: self.workers[name].live() for name in alive}  # type: ignore[attr-defined]
        answer = await super().handle_cloud(request)
        for name in alive:
            worker = self.workers[name]
            if worker.terminated:
                worker.tell_stops(running[name])  # type: ignore[attr-defined]
                self.note(MachineDeleted(self.now, name))
        return answer

    def check_start(self, worker: ReferenceWorker, task: WorkerTask) -> None:
        """A task starts."""
        self.note(TaskStarted(self.now, worker.name, task.job.id, task.index, task.job.team, task.job.gpus))
        try:
            super().check_start(worker, task)
        except InvariantViolationError as error:
            self.invariant_violations.append(str(error))

    async def run_clock(self) -> None:
        """Let the workers' time pass."""
        while True:
            self.now = asyncio.get_running_loop().time()
            for worker in list(self.workers.values()):
                worker.step()
            await asyncio.sleep(self.tick_s)


class HistoryStore(ChangeLogStoreDouble):
    """The state service; leaders, machines' shares and allotments go into the history as they are committed."""

    def __init__(self, store: InMemoryStore, shares: int, note: EventSink) -> None:
        super().__init__(store)
        self._note, self._shares = note, shares
        self._leader_keys = {shard_key(share, LEADER_KEY): share for share in range(shares)}
        self._batch_keys = {shard_key(share, BATCH_MARKER_KEY): share for share in range(shares)}
        self._since: dict[int, tuple[int, float]] = {}
        # For each change of a share's leader: from its key's change to the first batch after, and whether it was a
        # put over another's key, which only a move does.
        self.first_batch_delays_s: list[float] = []
        self.moves = 0
        self.total_changes = 0
        self.began = time.monotonic()

    def record_change(self, change: dict[str, Any], revision: int) -> None:
        """Remember a change, and tell what it means."""
        super().record_change(change, revision)
        self.total_changes += 1
        key, now = change.get("put"), self.now()
        if key is None:
            return
        if key in self._leader_keys:
            share = self._leader_keys[key]
            self._since[share] = (revision, now)
            self._note(LeaderElected(now, share, change["v"][0], revision))
        elif key in self._batch_keys:
            self._note_batch(self._batch_keys[key], change["v"][0], now)
        elif key.startswith(MACHINE_SHARDS_PREFIX):
            self._note(MachineAssigned(now, key[len(MACHINE_SHARDS_PREFIX) :], change["v"]))
        elif key.startswith(ALLOCATIONS_PREFIX):
            allocation = wire.convert(change["v"], QuotaAllocation)
            self._note(QuotaAllocated(now, key[len(ALLOCATIONS_PREFIX) :], allocation))

    def _note_batch(self, share: int, token: int, now: float) -> None:
        since = self._since.get(share)
        if since is not None and since[0] == token:
            self.first_batch_delays_s.append(now - since[1])
            del self._since[share]


class Assignments(msgspec.Struct, array_like=True):
    """The fields of a stored assignment that a run looks at."""

    format: int
    owners: tuple[str, ...]
    moves: list[Any]
    moves_begun: int
