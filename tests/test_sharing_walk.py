"""Random fault walk while shards move, checked against the reference model and the invariants of sharing."""

import random
from typing import cast

import pytest

from driftcleat.peers.client import PeerError
from driftcleat.sharing.messages import ReleaseRequest

from .sharing_simulation import ShardedSimulation
from .simulation import LABELS, Simulation
from .test_controller_fault_walk import FAULTS, Fault, accepted_job_ids, random_raw_job


def request_move(simulation: Simulation, rng: random.Random) -> None:
    """Request a move of a random shard to a random controller, as an operator does."""
    sharded = cast(ShardedSimulation, simulation)
    if any(simulation.is_up(label) for label in LABELS):
        shard, target = rng.randrange(1, sharded.sharing.shares), rng.choice(LABELS)
        simulation.spawn(sharded.request_move(shard, target))


def crash_shard_leader(simulation: Simulation, rng: random.Random) -> None:
    """Crash the leader of a random shard."""
    owner = cast(ShardedSimulation, simulation).shard_leader(rng.randrange(3))
    if owner is not None:
        simulation.crash(owner)


def crash_during_move(simulation: Simulation, rng: random.Random) -> None:
    """Request a move and crash a random controller, in most cases while the move is in progress."""
    sharded = cast(ShardedSimulation, simulation)
    shard = rng.randrange(1, sharded.sharing.shares)
    source = sharded.shard_leader(shard)
    if source is None:
        return
    others = [label for label in LABELS if label != source]

    async def move_and_crash() -> None:
        await sharded.request_move(shard, rng.choice(others))
        await simulation.advance(rng.choice([0.0, 0.005, 0.01, 0.02, 0.05, 0.5]))
        simulation.crash(rng.choice([source, *others]))

    simulation.spawn(move_and_crash())


def send_stale_release_request(simulation: Simulation, rng: random.Random) -> None:
    """Send a release request of a finished or unknown move to the leader of a random shard."""
    sharded = cast(ShardedSimulation, simulation)
    shard = rng.randrange(1, sharded.sharing.shares)
    owner = sharded.shard_leader(shard)
    if owner is None:
        return

    async def send() -> None:
        sender = rng.choice([label for label in LABELS if label != owner])
        host = sharded.controllers.get(sender)
        if host is None or not simulation.is_up(sender):
            return
        try:
            await host.handoffs._client.send(owner, ReleaseRequest(shard, sender, rng.randrange(1, 5)), 1.0)
        except PeerError:
            pass

    simulation.spawn(send())


def isolate_controller(simulation: Simulation, rng: random.Random) -> None:
    """Partition a random controller from peers, state service, workers and users; the controller keeps running."""
    label = rng.choice(LABELS)
    simulation.isolate(label)
    simulation.partitioned_from["workers"].add(label)
    simulation.partitioned_from["users"].add(label)


SHARING_FAULTS: list[Fault] = [
    *[request_move] * 6,
    *[crash_shard_leader] * 2,
    *[crash_during_move] * 4,
    send_stale_release_request,
    isolate_controller,
]


def run_sharded_fault_walk(seed: int, kind: type[ShardedSimulation] = ShardedSimulation) -> ShardedSimulation:
    """Run the fault walk of a seed with shard moves, submissions and cancellations; return the simulation."""
    rng = random.Random(seed)
    simulation = kind(seed, next={"value_kb": 2.0, "txn_ops": 4, "write_rps": 35.0})

    async def scenario(running: Simulation) -> None:
        number = 0
        await simulation.wait_until_ready()
        for _ in range(8):
            number += 1
            simulation.submit_until_accepted(random_raw_job(rng, number, accepted_job_ids(simulation)))
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
                simulation.submit_until_accepted(random_raw_job(rng, number, accepted_job_ids(simulation)))
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
