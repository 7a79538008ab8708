"""A random walk over pairs of troubles with shares that move, against the plain model and sharing's invariants."""

import random
from typing import cast

import pytest

from driftcleat.peers.client import PeerError
from driftcleat.sharing.messages import ReleaseRequest

from .sharing_simulation import SharedSimulation
from .simulation import LABELS, Simulation
from .test_meetings_walk import TROUBLES, Trouble, accepted, some_job


def move(sim: Simulation, rng: random.Random) -> None:
    """An operator asks for a move."""
    shared = cast(SharedSimulation, sim)
    if any(sim.up(label) for label in LABELS):
        share, receiver = rng.randrange(1, shared.sharing.shares), rng.choice(LABELS)
        sim.spawn(shared.order_move(share, receiver))


def owner_ends(sim: Simulation, rng: random.Random) -> None:
    """The leader of some share ends."""
    owner = cast(SharedSimulation, sim).owner(rng.randrange(3))
    if owner is not None:
        sim.end(owner)


def move_and_giver_ends(sim: Simulation, rng: random.Random) -> None:
    """A move begins, and its giver ends within its course."""
    shared = cast(SharedSimulation, sim)
    share = rng.randrange(1, shared.sharing.shares)
    giver = shared.owner(share)
    if giver is None:
        return
    others = [label for label in LABELS if label != giver]

    async def moving() -> None:
        await shared.order_move(share, rng.choice(others))
        await sim.rest(rng.choice([0.0, 0.005, 0.01, 0.02, 0.05, 0.5]))
        sim.end(rng.choice([giver, *others]))

    sim.spawn(moving())


def stray_let_go(sim: Simulation, rng: random.Random) -> None:
    """A message of a move that is over, or never was, comes late."""
    shared = cast(SharedSimulation, sim)
    share = rng.randrange(1, shared.sharing.shares)
    owner = shared.owner(share)
    if owner is None:
        return

    async def sending() -> None:
        sender = rng.choice([label for label in LABELS if label != owner])
        host = shared.controllers.get(sender)
        if host is None or not sim.up(sender):
            return
        try:
            await host.handoffs._client.send(owner, ReleaseRequest(share, sender, rng.randrange(1, 5)), 1.0)
        except PeerError:
            pass

    sim.spawn(sending())


def cut_off_from_everything(sim: Simulation, rng: random.Random) -> None:
    """A controller stands still as far as anybody can tell, and may go on with what it has under way."""
    label = rng.choice(LABELS)
    sim.cut_off(label)
    sim.away_from["workers"].add(label)
    sim.away_from["users"].add(label)


SHARING_TROUBLES: list[Trouble] = [
    *[move] * 6,
    *[owner_ends] * 2,
    *[move_and_giver_ends] * 4,
    stray_let_go,
    cut_off_from_everything,
]


def shared_walk(seed: int, kind: type[SharedSimulation] = SharedSimulation) -> SharedSimulation:
    """Play shares that move while other troubles come and go."""
    rng = random.Random(seed)
    sim = kind(seed, next={"value_kb": 2.0, "txn_ops": 4, "write_rps": 35.0})

    async def story(played: Simulation) -> None:
        number = 0
        await sim.ready()
        for _ in range(8):
            number += 1
            sim.hand_in(some_job(rng, number, accepted(sim)))
            await sim.rest(0.5)
        await sim.rest(9.0)
        for _ in range(rng.randrange(6, 16)):
            rng.choice(SHARING_TROUBLES)(sim, rng)
            await sim.rest(rng.choice([0.0, 0.01, 0.05, 0.5]))
            if rng.random() < 0.4:
                rng.choice(TROUBLES)(sim, rng)
            if rng.random() < 0.4:
                sim.call_off(f"req-{rng.randrange(1, number + 1):06d}")
            if rng.random() < 0.6:
                number += 1
                sim.hand_in(some_job(rng, number, accepted(sim)))
            for _ in range(3):
                await sim.poll(f"req-{rng.randrange(1, number + 1):06d}")
            await sim.rest(rng.choice([0.1, 0.5, 3.0, 15.0]))
            if rng.random() < 0.4 or not sim.cloud_up or not sim.processes:
                sim.heal()
        await sim.settle_down()

    sim.play(story)
    return sim


@pytest.mark.parametrize("seed", range(12))
def test_no_trouble_breaks_a_rule_while_shares_move(seed: int) -> None:
    sim = shared_walk(seed)
    assert sim.started > 3
