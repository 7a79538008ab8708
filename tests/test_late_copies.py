"""Late copies of messages that were carried out and answered before start no task, also after quick restarts.

A start reaches a worker only in the response to a heartbeat, which the worker takes only while it waits for it.
Commands that are sent directly can arrive again at any time within the worker's epoch: they hold no start.
"""

import json
import random
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from driftcleat import wire
from driftcleat.store.records import ScaleOutRecord
from driftcleat.wire.workers import Command, CommandAction, Heartbeat, HeartbeatResponse

from .reference_model import InvariantViolationError
from .reference_worker import ReferenceWorker
from .samples import raw_job
from .sharing_simulation import ShardedSimulation
from .simulation import LABELS, Simulation
from .test_accepted_jobs_walk import STARTING_FAULTS, SlowStartSimulation, random_slow_job
from .test_controller_fault_walk import run_fault_walk
from .test_fault_interactions import task_count
from .test_sharing_walk import run_sharded_fault_walk

JOB = "req-000001"
# A process or machine is back after this many seconds.
QUICK_RESTART_S = 0.3


class CopyingSimulation(SlowStartSimulation):
    """A simulation that keeps all messages to workers and heartbeats, and can deliver copies of them."""

    def __init__(self, seed: int, **limits: Any) -> None:
        super().__init__(seed, **limits)
        # Functions that deliver a copy to a worker, each with its worker; and the bodies of heartbeats.
        self.copies: list[tuple[ReferenceWorker, Callable[[], None]]] = []
        self.heartbeats: list[bytes] = []
        # Fraction of the messages of which a copy arrives within half a minute.
        self.copy_rate = 0.0
        self.copies_rng = random.Random(seed)

    async def to_worker(self, sender: str, addr: str, body: bytes) -> tuple[int, bytes]:
        """Deliver commands directly, and keep them once they are answered."""
        answer = await super().to_worker(sender, addr, body)
        worker = self.workers[addr.partition(":")[0]]
        raw = json.loads(body)
        commands = wire.convert(raw["signals"], list[Command])
        self.keep(worker, lambda: worker.receive_commands(raw["helm"], raw["watch"], commands))
        return answer

    def deliver_response(
        self, worker: ReferenceWorker, heartbeat: Heartbeat, reply: HeartbeatResponse, sent_at: float
    ) -> None:
        """Deliver a response, and keep it and the heartbeat."""
        super().deliver_response(worker, heartbeat, reply, sent_at)
        self.heartbeats.append(wire.encode(heartbeat))
        order = (heartbeat.worker_epoch, heartbeat.sequence)
        self.keep(worker, lambda: worker.receive_response(*order, reply.fencing_token, reply.commands, sent_at))

    def keep(self, worker: ReferenceWorker, deliver: Callable[[], None]) -> None:
        """Keep a message to a worker; at the copy rate, deliver a copy of it later."""
        self.copies.append((worker, deliver))
        if self.copies_rng.random() < self.copy_rate:
            self.spawn(self._deliver_late(worker, deliver))

    async def _deliver_late(self, worker: ReferenceWorker, deliver: Callable[[], None]) -> None:
        await self.advance(self.copies_rng.choice([0.2, 1.0, 5.0, 30.0]))
        self.deliver_copy(worker, deliver)

    def deliver_copy(self, worker: ReferenceWorker, deliver: Callable[[], None]) -> None:
        """Deliver a copy; raise if it starts a task."""
        if worker.terminated or worker.hung:
            return
        before = set(worker.tasks)
        deliver()
        started = set(worker.tasks) - before
        if started:
            self.failure = InvariantViolationError(f"late copy started {sorted(started)} on {worker.name}")
            raise self.failure

    async def deliver_all_copies(self) -> None:
        """Deliver copies of all messages to workers, and of all heartbeats to all controllers."""
        for worker, deliver in list(self.copies):
            self.deliver_copy(worker, deliver)
        for body in list(self.heartbeats):
            for label in LABELS:
                if self.is_up(label):
                    await self.controllers[label].handle_front("POST", "/agent/beat", body)


class ContinuouslyCopyingSimulation(CopyingSimulation):
    """A simulation in which copies of half of all messages arrive late, until the faults end."""

    def run_scenario(self, scenario: Callable[[Simulation], Awaitable[None]]) -> None:
        """Run a scenario amid copies."""
        self.copy_rate = self.duplicate_rate = 0.5
        super().run_scenario(scenario)

    def heal(self) -> None:
        """End all faults, and copy no further messages."""
        super().heal()
        self.copy_rate = 0.0


class CopyingShardedSimulation(ContinuouslyCopyingSimulation, ShardedSimulation):
    """The same with shards that move among the controllers."""


# What has become of the task that was started before the copies arrive.


async def completed(simulation: Simulation) -> None:
    await simulation.submit_until_accepted(raw_job(1, hands=3, voyageS=5.0))
    await simulation.wait_until_done(JOB, 60.0)


async def cancelled(simulation: Simulation) -> None:
    await simulation.submit_until_accepted(raw_job(1, hands=3, voyageS=200.0, mooringS=0.0))
    await simulation.run_until(lambda: task_count(simulation, JOB) == 3)
    await simulation.advance(3.0)
    await simulation.cancel_until_confirmed(JOB)
    await simulation.run_until(lambda: not task_count(simulation, JOB))


async def moved(simulation: Simulation) -> None:
    """A notice moves the replica of a service to another machine, while its first machine stays for a while."""
    await simulation.submit_until_accepted(raw_job(1, rig="daemon", hands=1, voyageS=0.0))
    await simulation.run_until(lambda: task_count(simulation, JOB) == 1)
    await simulation.advance(3.0)
    ((before, _),) = simulation.tasks_on_machines()
    before.termination_notice_s = 60.0
    await simulation.run_until(
        lambda: any(worker is not before for worker, _ in simulation.tasks_on_machines()), 60.0
    )
    assert task_count(simulation, JOB) == 1


async def restarted_in_place_and_completed(simulation: Simulation) -> None:
    """A gang's task waits in vain, is forgotten and started again in the same attempt, and completes."""
    simulation.fetch_gb_per_s = lambda name: 2.0 / 45.0 if name == "vm-000001" else 2.0
    whole_machine = {"cores": 7.0, "builds": ["small"]}
    await simulation.submit_until_accepted(raw_job(1, rig="group", hands=2, voyageS=10.0, **whole_machine))
    await simulation.wait_until_done(JOB, 120.0)


# What comes back within a second.


async def nothing(simulation: Simulation) -> None:
    await simulation.advance(QUICK_RESTART_S)


async def leader_back(simulation: Simulation) -> None:
    label = str(simulation.leader_label())
    simulation.crash(label)
    await simulation.advance(QUICK_RESTART_S)
    simulation.start(label)


async def all_controllers_back(simulation: Simulation) -> None:
    simulation.crash(*LABELS)
    await simulation.advance(QUICK_RESTART_S)
    for label in LABELS:
        simulation.start(label)


async def machines_back(simulation: Simulation) -> None:
    for worker in simulation.alive():
        worker.restart()
    await simulation.advance(QUICK_RESTART_S)


async def machines_back_in_their_first_epoch(simulation: Simulation) -> None:
    """Machines that remember neither epoch nor fencing token: every copy of a direct command is valid for them."""
    for worker in simulation.alive():
        worker.restart()
        worker.worker_epoch, worker.sequence, worker.fencing_token = 1, 0, 0
    await simulation.advance(QUICK_RESTART_S)


Step = Callable[[Simulation], Awaitable[None]]


@pytest.mark.parametrize(
    "restart", [nothing, leader_back, all_controllers_back, machines_back, machines_back_in_their_first_epoch]
)
@pytest.mark.parametrize("history", [completed, cancelled, moved, restarted_in_place_and_completed])
def test_copies_of_answered_messages_start_no_task(history: Step, restart: Step) -> None:
    """Guards against a task that runs twice, or after its cancellation, because a start arrives once more."""

    async def scenario(simulation: Simulation) -> None:
        assert isinstance(simulation, CopyingSimulation)
        # At one rate, so that an image is there within 2 s.
        simulation.fetch_gb_per_s = lambda name: 1.0
        for number in range(4):
            simulation.boot(ScaleOutRecord("small", ("north", "south")[number % 2], False, 1, 0.0))
        await simulation.advance(3.0)
        await history(simulation)
        await simulation.deliver_all_copies()
        await restart(simulation)
        for _ in range(20):
            await simulation.deliver_all_copies()
            await simulation.advance(1.0)
        assert not simulation.starts_after_cancel
        await simulation.verify_recovery()

    CopyingSimulation(1).run_scenario(scenario)


@pytest.mark.parametrize("seed", range(12))
def test_copies_amid_random_faults_start_no_task(seed: int) -> None:
    """Guards against the same with copies of half of all messages, notices, restarts and cancellations at random."""
    simulation = run_fault_walk(seed, ContinuouslyCopyingSimulation, STARTING_FAULTS, random_slow_job)
    assert simulation.task_starts > 3


@pytest.mark.parametrize("seed", range(3))
def test_copies_while_shards_move_start_no_task(seed: int) -> None:
    """Guards against the same when the controller that gives a machine its commands changes without a restart."""
    assert run_sharded_fault_walk(seed, CopyingShardedSimulation).task_starts > 3


def test_direct_start_is_reported_and_a_copy_of_it_would_start_the_task_anew() -> None:
    """The checks above can fail: a start in a direct command is one that a late copy repeats after the forget."""

    async def scenario(simulation: Simulation) -> None:
        assert isinstance(simulation, CopyingSimulation)
        await completed(simulation)
        await simulation.advance(3.0)
        worker = simulation.alive()[0]
        start = Command(CommandAction.START, f"{JOB}/0", 9)
        body = wire.encode({"helm": worker.fencing_token, "watch": worker.worker_epoch, "signals": [start]})
        await simulation.to_worker("a", f"{worker.name}:1", body)
        with pytest.raises(InvariantViolationError, match="start sent outside"):
            await simulation.advance(0.1)
        simulation.failure = None
        worker.tasks.clear()
        with pytest.raises(InvariantViolationError, match="late copy started"):
            await simulation.deliver_all_copies()
        simulation.failure = None

    CopyingSimulation(1).run_scenario(scenario)
