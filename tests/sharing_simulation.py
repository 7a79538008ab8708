"""The simulated site with sharing switched on: three hosts, and the invariants of sharing checked as time goes."""

import asyncio
import json
import random
from types import SimpleNamespace
from typing import Any

from driftcleat import wire
from driftcleat.net import SocketBudget
from driftcleat.settings import Platform, Tuning
from driftcleat.sharing.host import ShardHost
from driftcleat.sharing.keys import ALLOCATIONS_PREFIX, ASSIGNMENT_KEY, MACHINE_SHARDS_PREFIX, shard_prefix
from driftcleat.sharing.quota import QuotaAllocation, team_limit
from driftcleat.sharing.settings import SharingSettings
from driftcleat.store.keys import LEADER_KEY, ROOT_PREFIX

from .simulation import LABELS, Simulation, _Peers, belong_to, simulated_clients, simulated_front
from .standins import WatchingStore
from .world import PlainWorker, RuleBrokenError, Running

SHARES = 3


class SimulatedHost(ShardHost):
    """The real host without sockets."""

    def __init__(self, simulation: "SharedSimulation", platform: Platform, rng: random.Random) -> None:
        loop = asyncio.get_running_loop()
        super().__init__(platform, Tuning(), simulation.sharing, rng, loop.time, loop.time)
        self.simulation = simulation

    def connect(self, sockets: SocketBudget) -> list[Any]:
        clients = simulated_clients(self.simulation, self.platform, self.clock)
        self.store, self.cloud, self.workers = clients.store, clients.cloud, clients.workers
        return []

    def make_peers(self, share: int) -> Any:
        return self.make_sharing_client("/peer" if share == 0 else f"/peer/{share}")

    def make_sharing_client(self, path: str) -> Any:
        none: Any = SimpleNamespace()
        client = _Peers(none, self.platform, path)
        belong_to(client, self.simulation, self.platform)
        return client

    async def listen(self, sockets: SocketBudget) -> list[Any]:
        self.front = simulated_front()
        return []


class SharedSimulation(Simulation):
    """The simulated site, its controllers sharing the machines."""

    controllers: dict[str, SimulatedHost]  # type: ignore[assignment]

    def __init__(self, seed: int, shares: int = SHARES, balance: float = 0.0, **limits: Any) -> None:
        super().__init__(seed, **limits)
        self.sharing = SharingSettings(shares=shares, balance=balance)
        self.state = WatchingStore(self.store)
        # Who started a task on a machine under which token: one share's leaders only.
        self.machine_shares: dict[str, int] = {}
        self.moves = 0

    def start(self, label: str) -> None:
        host = SimulatedHost(self, self.platforms[label], random.Random(self.rng.random()))
        self.controllers[label] = host
        self.processes[label] = asyncio.ensure_future(host.run())

    def end(self, *labels: str) -> None:
        for label in labels:
            if label in self.processes:
                for engine in self.controllers[label].engines.values():
                    for task in engine.background.tasks:
                        task.cancel()
        super().end(*labels)

    def up(self, label: str) -> bool:
        return label in self.processes and self.controllers[label].is_serving(0)

    def lead(self) -> str | None:
        return next((label for label in sorted(self.processes) if self.controllers[label].may_decide), None)

    def owner(self, share: int) -> str | None:
        """Return who leads a share for certain."""
        owners = [label for label in sorted(self.processes) if self.controllers[label].leads(share)]
        assert len(owners) <= 1, f"share {share} is led by {owners}"
        return owners[0] if owners else None

    def all_led(self) -> bool:
        """Whether every share is led."""
        return ASSIGNMENT_KEY in self.store.data and all(self.owner(share) for share in range(self.sharing.shares))

    async def ready(self) -> None:
        """Wait until sharing has begun and every share is led."""
        await self.until(self.all_led)

    async def order_move(self, share: int, receiver: str) -> tuple[int, Any]:
        """An operator asks for a move, at any controller."""
        up = [other for other in LABELS if self.up(other)]
        if not up:
            return 0, None
        label = self.rng.choice(up)
        body = wire.encode({"share": share, "receiver": receiver})
        answer = await self.controllers[label].handle_back("POST", "/shares/move", body)
        return answer.status, json.loads(answer.body) if answer.body else None

    def tamper(self, key: str, value: Any) -> None:
        """Somebody writes a key that is not theirs."""
        self.store.revision += 1
        self.store.data[key] = (value, self.store.revision)
        assert isinstance(self.state, WatchingStore)
        self.state.note({"put": key, "v": value}, self.store.revision)

    def assignment(self) -> Any:
        """Return the stored assignment as plain data."""
        return self.store.data[ASSIGNMENT_KEY][0]

    # -- invariants ---------------------------------------------------------------------------------------

    def check_sharing(self) -> None:
        """Raise `RuleBrokenError` unless the invariants of `docs/sharing.md` hold just now."""
        for share in range(self.sharing.shares):
            self.owner(share)
        for key, (value, _) in self.store.data.items():
            if key.startswith(MACHINE_SHARDS_PREFIX):
                name = key[len(MACHINE_SHARDS_PREFIX) :]
                if self.machine_shares.setdefault(name, value) != value:
                    raise RuleBrokenError(f"two owners: {name} was of share {self.machine_shares[name]}, now {value}")
            elif key.startswith(ALLOCATIONS_PREFIX):
                self._check_allotment(key[len(ALLOCATIONS_PREFIX) :], value)

    def _check_allotment(self, team: str, value: Any) -> None:
        total = wire.convert(value, QuotaAllocation).total()
        if not team_limit(self.platform.teams[team]).covers(total):
            raise RuleBrokenError(f"quota: {team}'s parts add up to {total}")

    def check_start(self, worker: PlainWorker, task: Running) -> None:
        """As everywhere; and a task of a job starts only on a machine of the job's own share."""
        super().check_start(worker, task)
        home = next(
            (
                share
                for share in range(self.sharing.shares)
                if f"{shard_prefix(share)}jobs/{task.job.id}" in self.store.data
            ),
            None,
        )
        owner = self.store.data.get(MACHINE_SHARDS_PREFIX + worker.name, (None, 0))[0]
        if home is not None and owner is not None and owner != home:
            self.broken = RuleBrokenError(f"two owners: {worker.name} of share {owner} runs {task.job.id} of {home}")
            raise self.broken

    async def rest(self, seconds: float) -> None:
        await super().rest(seconds)
        self.check_sharing()


def leader_key(share: int) -> str:
    """Return where a share's leader key lies."""
    return LEADER_KEY if share == 0 else shard_prefix(share) + LEADER_KEY[len(ROOT_PREFIX) :]
