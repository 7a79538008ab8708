"""A random walk over pairs of troubles with shares that move, against the plain model and sharing's invariants."""

import random
from typing import cast

import pytest

from driftcleat.peers.client import PeerError
from driftcleat.sharing.messages import ReleaseRequest

from .sharing_simulation import ShardedSimulation
from .simulation import LABELS, Simulation
from .test_controller_fault_walk import FAULTS, Fault, accepted, some_job


def move(simulation: Simulation, rng: random.Random) -> None:
    """An operator asks for a move."""
    shared = cast(ShardedSimulation, simulation)
    if any(simulation.is_up(label) for label in LABELS):
        share, receiver = rng.randrange(1, shared.sharing.shares), rng.choice(LABELS)
        simulation.spawn(shared.request_move(share, receiver))


def owner_ends(simulation: Simulation, rng: random.Random) -> None:
    """The leader of some share ends."""
    owner = cast(ShardedSimulation, simulation).shard_leader(rng.randrange(3))
    if owner is not None:
        simulation.crash(owner)


def move_and_giver_ends(simulation: Simulation, rng: random.Random) -> None:
    """A move begins, and its giver ends within its course."""
    shared = cast(ShardedSimulation, simulation)
    share = rng.randrange(1, shared.sharing.shares)
    giver = shared.shard_leader(share)
    if giver is None:
        return
    others = [label for label in LABELS if label != giver]

    async def moving() -> None:
        await shared.request_move(share, rng.choice(others))
        await simulation.advance(rng.choice([0.0, 0.005, 0.01, 0.02, 0.05, 0.5]))
        simulation.crash(rng.choice([giver, *others]))

    simulation.spawn(moving())


def stray_let_go(simulation: Simulation, rng: random.Random) -> None:
    """A message of a move that is over, or never was, comes late."""
    shared = cast(ShardedSimulation, simulation)
    share = rng.randrange(1, shared.sharing.shares)
    owner = shared.shard_leader(share)
    if owner is None:
        return

    async def sending() -> None:
        sender = rng.choice([label for label in LABELS if label != owner])
        host = shared.controllers.get(sender)
        if host is None or not simulation.is_up(sender):
            return
        try:
            await host.handoffs._client.send(owner, ReleaseRequest(share, sender, rng.randrange(1, 5)), 1.0)
        except PeerError:
            pass

    simulation.spawn(sending())


def cut_off_from_everything(simulation: Simulation, rng: random.Random) -> None:
    """A controller stands still as far as anybody can tell, and may go on with what it has under way."""
    label = rng.choice(LABELS)
    simulation.isolate(label)
    simulation.partitioned_from["workers"].add(label)
    simulation.partitioned_from["users"].add(label)


SHARING_FAULTS: list[Fault] = [
    *[move] * 6,
    *[owner_ends] * 2,
    *[move_and_giver_ends] * 4,
    stray_let_go,
    cut_off_from_everything,
]


def run_sharded_fault_walk(seed: int, kind: type[ShardedSimulation] = ShardedSimulation) -> ShardedSimulation:
    """Play shares that move while other troubles come and go."""
    rng = random.Random(seed)
    simulation = kind(seed, next={"value_kb": 2.0, "txn_ops": 4, "write_rps": 35.0})

    async def scenario(running: Simulation) -> None:
        number = 0
        await simulation.wait_until_ready()
        for _ in range(8):
            number += 1
            simulation.submit_until_accepted(some_job(rng, number, accepted(simulation)))
            await simulation.advance(0.5)
        await simulation.advance(9.0)
        for _ in range(rng.randrange(6, 16)):
            rng.choice(SHARING_FAULTS)(simulation, rng)
            await simulation.advance(rng.choice([0.0, 0.01, 0.05, 0.5]))
            if rng.random() < 0.4:
                rng.choice(FAULTS)(simulation, rng)
            if rng.random() < 0.4:
                simulation.cancel_until_confirmed(f"req-{rng.randrange(1, number + 1):06d}")
            if rng.random() < 0.6:
                number += 1
                simulation.submit_until_accepted(some_job(rng, number, accepted(simulation)))
            for _ in range(3):
                await simulation.poll(f"req-{rng.randrange(1, number + 1):06d}")
            await simulation.advance(rng.choice([0.1, 0.5, 3.0, 15.0]))
            if rng.random() < 0.4 or not simulation.cloud_up or not simulation.processes:
                simulation.heal()
        await simulation.verify_recovery()

    simulation.run_scenario(scenario)
    return simulation


@pytest.mark.parametrize("seed", range(12))
def test_faults_violate_no_invariant_while_shards_move(seed: int) -> None:
    simulation = run_sharded_fault_walk(seed)
    assert simulation.task_starts > 3
